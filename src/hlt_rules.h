/**
 * @file hlt_rules.h
 * @brief The predicates by which the judge decides, and the audit again.
 *
 * Each takes the thresholds and the numbers that the record of its decision
 * keeps under the same names.
 */
#ifndef HLT_RULES_H
#define HLT_RULES_H

#include "hlt_params.h"

/** Requests in flight are overdue and nothing good has come for a while. */
bool hlt_rule_stall(const struct hlt_params *p, int64_t overdue,
		    int64_t in_flight, int64_t quiet_us);

/** Bad outcomes pass the threshold, and twice the share of the peers. */
bool hlt_rule_errors(const struct hlt_params *p, int64_t bad, int64_t good,
		     int64_t peers_bad, int64_t peers_good);

/** Slow answers pass the threshold, and twice the share of the peers. */
bool hlt_rule_slow(const struct hlt_params *p, int64_t slow, int64_t good,
		   int64_t peers_slow, int64_t peers_good);

/** Failures to connect in a row pass the threshold. */
bool hlt_rule_connect(const struct hlt_params *p, int64_t failures);

/** A suspect server, judged by a rule again, goes on trial.
 *  @param hard  nothing is answered at all: a stall or no connection */
bool hlt_rule_trial(const struct hlt_params *p, bool hard, int64_t since_us);

/** A server may clear: good answers, or nothing bad for long if idle.
 *  @param relapses  how often it was sick of late, before this time */
bool hlt_rule_clear(const struct hlt_params *p, int64_t good_run,
		    int64_t quiet_us, int64_t relapses, bool reachable);

/** An ejected server may return; as above, with longer times. */
bool hlt_rule_reinstate(const struct hlt_params *p, int64_t good_run,
			int64_t quiet_us, int64_t ejections, bool reachable);

/** A sick server is to be ejected, if nothing speaks against it. */
bool hlt_rule_eject(const struct hlt_params *p, int64_t since_us, int64_t bad,
		    int64_t last_bad_us);

/** More servers are sick together than one cause each would explain. */
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
