/**
 * @file bal.h
 * @brief Selects the target of a request. Pure.
 *
 * Each target has an expected cost in time: its work, the wait for a slot, a
 * surcharge for another failure domain, and the probability of a failure times
 * its cost for this request. The cheapest target is selected. Ties and small
 * differences are broken at random, so that nodes with the same view do not
 * all select the same target.
 *
 * A target whose address was just found to belong to another server is
 * skipped. No other target is ever excluded altogether: if all are suspected,
 * all are used. Each target that may be healthy gets a trial request from time
 * to time, whatever the cost of the others: soon if there is no evidence
 * against it, later the likelier it fails. All nodes share these trials, with
 * those of the same failure domain first. So the floor of a service holds for
 * any few of its targets, and a recovered target is detected.
 */
#ifndef BAL_H
#define BAL_H

#include "dir.h"
#include "gry.h"
#include "tst.h"

/** Load and health state of a target, as this node sees it. */
struct bal_target {
	struct gry gry;
	struct tst tst;
	uint32_t own;	      /* requests of this node in flight */
	uint32_t others;      /* of other nodes, as last reported */
	int64_t sent_us;      /* last known send of any node */
	uint32_t full_at;     /* requests in flight at the last refusal */
	double surcharge;     /* of its load, in requests (evn.h) */
	int64_t surcharge_us; /* when it was computed */
};

/** Parameters of a selection. */
struct bal_query {
	const char *domain;	      /* failure domain of this node */
	int64_t mean_us;	      /* mean work time of the service */
	int64_t failure_cost_us;      /* cost of a failure, as time */
	int64_t cross_domain_cost_us; /* surcharge of another domain, as time */
	const struct dir_target *const *avoid; /* targets tried before */
	uint32_t avoid_count;
	bool repeatable; /* a failure costs a retry, not the request */
	bool no_trial;	 /* not to be used as a trial of a target */
	bool even;	 /* by predicted load (evn.h) */
	double place; /* of this node among those of its failure domain, 0 to 1;
		       * below 0: not known */
	int64_t figures_age_us; /* of the requests of other nodes */
	double rate;		/* requests per second for the service */
	struct lim_query limit; /* of requests that draw for a limited target;
				 * its draw is that of the request */
	double domain_share; /* share of them that nodes of this domain get */
	int64_t now_us;
	uint64_t random;
};

/** The selected target and the figures behind it. */
struct bal_choice {
	struct dir_target *target; /* NULL: there is none */
	int64_t cost_us;
	int64_t wait_us; /* expected wait for a slot */
	double failure;	 /* probability of a failure */
	uint32_t usable; /* candidates */
	uint32_t full;	 /* skipped for lack of capacity */
	/* If all others want nothing for some time, the earliest end of that, as
	 * they stated; else 0. */
	int64_t not_before_us;
};

/** Returns the state of a target; creates it on first use. */
struct bal_target *bal_target_get(struct dir_target *target, int64_t now_us);

/** Records that a target refused a request for lack of capacity. */
void bal_note_full(struct dir_target *target, int64_t now_us);

/** Selects a target of a service; NULL is allowed. */
struct bal_choice bal_choose(const struct dir_service *service,
			     const struct bal_query *query);

/** Returns the expected wait for a slot at a target. */
int64_t bal_expected_wait(const struct dir_target *target, int64_t mean_us);

#endif
