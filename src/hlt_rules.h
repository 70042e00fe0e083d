/**
 * @file hlt_rules.h
 * @brief Predicates of health evaluation, which the audit evaluates again.
 *
 * Each takes the thresholds and the figures that the audit record of its
 * decision keeps under the same names.
 */
#ifndef HLT_RULES_H
#define HLT_RULES_H

#include "hlt_params.h"

/**
 * Most requests in flight are overdue and nothing has succeeded for a while.
 */
bool hlt_rule_stall(const struct hlt_params *p, int64_t overdue,
		    int64_t in_flight, int64_t quiet_us);

/** Failures reach the threshold, and twice the share of the peers. */
bool hlt_rule_errors(const struct hlt_params *p, int64_t bad, int64_t good,
		     int64_t peers_bad, int64_t peers_good);

/** Slow answers reach the threshold, and twice the share of the peers. */
bool hlt_rule_slow(const struct hlt_params *p, int64_t slow, int64_t good,
		   int64_t peers_slow, int64_t peers_good);

/** Consecutive connect failures reach the threshold. */
bool hlt_rule_connect(const struct hlt_params *p, int64_t failures);

/**
 * A suspected server that meets a rule again goes on trial.
 * @param hard  nothing is answered at all: a stall or no connection
 */
bool hlt_rule_trial(const struct hlt_params *p, bool hard, int64_t since_us);

/**
 * A server is healthy again: enough successes, or a long time without failures
 * if idle.
 * @param relapses  recent unhealthy periods before this one
 */
bool hlt_rule_clear(const struct hlt_params *p, int64_t good_run,
		    int64_t quiet_us, int64_t relapses, bool reachable);

/** An ejected server may be reinstated; as above, with longer times. */
bool hlt_rule_reinstate(const struct hlt_params *p, int64_t good_run,
			int64_t quiet_us, int64_t ejections, bool reachable);

/** An unhealthy server is to be ejected, unless another check prevents it. */
bool hlt_rule_eject(const struct hlt_params *p, int64_t since_us, int64_t bad,
		    int64_t last_bad_us);

/** More servers are unhealthy at once than independent faults explain. */
bool hlt_rule_common_cause(const struct hlt_params *p, int64_t sick,
			   int64_t count);

/**
 * Returns how many servers of a shard may be steered away from.
 * @param first    servers of the service in the region before the shard's
 * @param servers  of the shard
 * @param count    of the service in the region, not leaving
 * @param out      of those, ejected
 * @param floor    of those, to stay in use
 */
int64_t hlt_steering_headroom(int64_t first, int64_t servers, int64_t count,
			      int64_t out, int64_t floor);

#endif
