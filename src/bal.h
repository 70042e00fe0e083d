/**
 * @file bal.h
 * @brief Chooses the target of a request. Pure.
 *
 * Each target has an expected cost in time: its work, the wait for a slot, a
 * surcharge for another failure domain, and the chance that it fails times
 * what a failure costs this request. The cheapest target is chosen; ties and
 * small differences are broken at random, so that nodes which know the same do
 * not all choose the same one.
 *
 * A target that has just shown to be another server is passed over. No other
 * target is ever left out altogether: when all look sick, all are used. And
 * each target that may be sound gets a request now and then, however cheap the
 * others are: soon if nothing speaks against it, later the likelier it fails.
 * All nodes together see to that, those of its failure domain first. So the
 * floor of a service holds for any few of its targets, and a target that
 * recovers is found out.
 */
#ifndef BAL_H
#define BAL_H

#include "dir.h"
#include "gry.h"

/** What a node keeps of a target. */
struct bal_target {
	struct gry gry;
	uint32_t own;	  /* requests of this node there now */
	uint32_t others;  /* requests of other nodes there, as last told */
	int64_t sent_us;  /* last request that any node is known to send */
	uint32_t full_at; /* requests there when it last refused one */
};

/** What is asked for. */
struct bal_query {
	const char *domain; /* failure domain of this node */
	int64_t mean_us;    /* mean time of the service's work */
	int64_t failure_us; /* what a failure costs, as time */
	int64_t cross_us;   /* what another failure domain costs, as time */
	const struct dir_target *const *avoid; /* targets tried before */
	uint32_t avoid_count;
	bool repeatable;     /* a failure costs another send, not the request */
	double rate;	     /* requests for the service a second */
	double domain_share; /* of them, those that nodes of this domain get */
	int64_t now_us;
	uint64_t random;
};

/** A choice and the figures it was made from. */
struct bal_choice {
	struct dir_target *target; /* NULL: there is none */
	int64_t cost_us;
	int64_t wait_us; /* expected wait for a slot */
	double failure;	 /* chance of a failure */
	uint32_t usable; /* targets there were to choose from */
	uint32_t full;	 /* targets passed over since they have no room */
};

/** Returns what is kept of a target, made when first asked for. */
struct bal_target *bal_target_get(struct dir_target *target, int64_t now_us);

/** Notes that a target refused a request for lack of room. */
void bal_note_full(struct dir_target *target, int64_t now_us);

/** Chooses among the targets of a service; NULL is allowed. */
struct bal_choice bal_choose(const struct dir_service *service,
			     const struct bal_query *wish);

/** Returns the expected wait for a slot at a target. */
int64_t bal_expected_wait(const struct dir_target *target, int64_t mean_us);

#endif
