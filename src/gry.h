/**
 * @file gry.h
 * @brief Gray-failure detector of one target, from the outcomes of requests.
 *
 * A gray target passes its health checks but fails, stalls or delays a part of
 * its work for some seconds. The detector keeps the log-odds of that: each
 * outcome moves them by its log-likelihood ratio between a gray and a healthy
 * target, and with time they decay to the prior. So one failure at a target
 * with little work is enough to route work elsewhere. Evidence against a
 * target is held for the duration of most fault episodes, then decays, so that
 * the target is tried again.
 *
 * The detector also keeps how slow the target is relative to its service.
 *
 * Pure; outcomes may come from this node or be reported by other nodes.
 */
#ifndef GRY_H
#define GRY_H

#include "fs_types.h"

/** An outcome of one request at one target. */
enum gry_outcome {
	GRY_SUCCESS,	  /* a complete answer that is no failure */
	GRY_FAILED,	  /* a complete answer that reports a failure */
	GRY_BROKEN,	  /* a reset, a truncated or an invalid answer */
	GRY_OVERDUE,	  /* no answer by the expected time */
	GRY_UNREACHABLE,  /* no connection */
	GRY_FULL,	  /* refused without running: no capacity */
	GRY_WRONG_SERVER, /* another server has the address */
	GRY_OUTCOME_COUNT,
};

/** State of one target. */
struct gry {
	bool has_outcome;   /* at least one outcome was recorded */
	double log_odds;    /* natural logarithm, relative to the prior */
	double slowness;    /* time to answer relative to the service's mean */
	int64_t updated_us; /* when log_odds was computed */
	int64_t failed_us;  /* last failure that counts */
	uint32_t consecutive_failures; /* such failures since a success */
	int64_t slowness_updated_us;   /* when slowness was computed */
	int64_t full_us;	       /* last refusal for lack of capacity */
	int64_t wrong_server_us;       /* last answer from another server */
};

void gry_init(struct gry *gry, int64_t now_us);

/**
 * Records an outcome.
 * @param weight  1: observed by this node; less: reported by other nodes
 */
void gry_record_outcome(struct gry *gry, enum gry_outcome outcome,
			double weight, int64_t now_us);

/** Returns whether a fault of the network path may cause the outcome. */
bool gry_may_be_path_fault(enum gry_outcome outcome);

/**
 * Records a response time.
 * @param mean_us  of the service; 0: unknown
 */
void gry_record_response_time(struct gry *gry, int64_t took_us, int64_t mean_us,
			      int64_t now_us);

/** Returns the response time relative to the mean; 1 if not clearly slower. */
double gry_slowness(const struct gry *gry, int64_t now_us);

/** Returns the probability that a request to the target fails, 0 to 1. */
double gry_failure_probability(const struct gry *gry, int64_t now_us);

/** Returns whether the target is more likely gray than not. */
bool gry_is_suspected(const struct gry *gry, int64_t now_us);

const char *gry_outcome_name(enum gry_outcome outcome);

#endif
