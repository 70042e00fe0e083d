/**
 * @file lod.h
 * @brief Load exchange: fleet-wide in-flight requests and outcomes of each
 * target, and use of the retry budget.
 *
 * Each node reports to the hub of its failure domain: its in-flight requests
 * at each target, the outcomes since the last report, and its requests and
 * retries. The hub adds them up and broadcasts a digest to the nodes of its
 * domain and to the hubs of the other domains, which forward it. So messages
 * grow linearly with the nodes, not with their square, and only hubs send
 * between domains. A standby node receives the reports too, and becomes
 * active when the hub times out. Hubs follow from membership: there is no
 * election.
 *
 * Outcomes are sent as evidence, with the node that observed them, not as
 * health states: every node evaluates them itself (gry.h). A hub does not
 * forward a node's path failures once they are 40 % or more of that node's
 * outcomes: its own network path is at fault then. Failures are sent at once
 * and first (lod_queue.h).
 *
 * Targets that name a limit (lim.h) are few, or the fleet sends them little: each
 * send to one and each statement of theirs goes the same way in datagrams of their
 * own, with less delay.
 *
 * Limits of organisations (quo.h) go the same way as running totals (lod_totals.h),
 * sooner while a limit is nearly used up.
 *
 * Datagrams may be lost. Counts are resent periodically and expire after
 * LOD_COUNT_EXPIRY_US otherwise; a lost outcome is not resent.
 */
#ifndef LOD_H
#define LOD_H

#include "bal.h"
#include "bud.h"
#include "lod_wire.h"
#include "node.h"
#include "quo.h"
#include "rnk.h"

#define LOD_COUNT_EXPIRY_US \
	(2500 * FS_US_PER_MS) /* several digests are missing */

struct lod;

struct lod *lod_new(struct node *node, struct dir *dir);
void lod_free(struct lod *lod);

/** Schedules a report of this node's in-flight requests at a target. */
void lod_in_flight_changed(struct lod *lod, struct dir_target *target);

/**
 * Applies an outcome here and queues it for the next report.
 * @param latency_us  of a success, else 0
 */
void lod_record_outcome(struct lod *lod, struct dir_target *target,
			enum gry_outcome outcome, int64_t latency_us);

/** Applies what a target states of itself, and queues it for other nodes. */
void lod_record_statement(struct lod *lod, struct dir_target *target,
			  const struct stm *stm, int64_t now_us);

/** Counts a send to a target, and queues it for other nodes if it is limited. */
void lod_record_send(struct lod *lod, struct dir_target *target,
		     int64_t now_us);

/** Returns after how long nodes know of each other's sends to limited targets. */
int64_t lod_statement_delay_us(const struct lod *lod);

/** Counts requests and retries that this node sent to a service, and requests
 *  that ended unserved. @param counts  without the service's hash */
void lod_record_requests(struct lod *lod, const char *service,
			 const struct lod_service_counts *counts);

/** Returns the classes of a service by rank: of the fleet, or of this node alone
 *  if it receives no digests. Valid until the next call that counts. */
struct rnk *lod_ranks(struct lod *lod, const char *service, int64_t now_us);

/** Returns the share of a rank's retries that may be made, 0 to 1.
 *  @param own_left  retries of this node's own budget, for one that receives no
 *                   digests */
double lod_retry_share(struct lod *lod, const char *service, uint32_t rank,
		       double own_left, int64_t now_us);

/** Returns the fleet-wide share of a service's requests that ended unserved
 *  within about the last second. */
double lod_unserved_share(const struct lod *lod, const char *service);

/** Returns the fleet-wide rate of callers' requests for a service, per
 *  second. */
double lod_request_rate(struct lod *lod, const char *service, int64_t now_us);

/** Admits a request of an organisation with a limit.
 *  @return 0, or the time in us until a place is likely */
int64_t lod_quota_take(struct lod *lod,
		       const struct cfg_organisation *organisation,
		       int64_t now_us);

/** Gives back the place of a request that did not run. */
void lod_quota_return(struct lod *lod,
		      const struct cfg_organisation *organisation,
		      int64_t now_us);

/** Returns the state of an organisation's bucket. */
struct quo_level lod_quota_level(const struct lod *lod, const char *name,
				 int64_t now_us);

/** Returns how many buckets are in use. */
uint32_t lod_quota_buckets(const struct lod *lod);

/** Returns the mean latency of a service's successful answers in
 *  microseconds, 0 if unknown. */
int64_t lod_mean_latency(const struct lod *lod, const char *service);

/** Returns whether this node receives its domain's digests. */
bool lod_is_current(const struct lod *lod, int64_t now_us);

/** Returns how old the counts of other nodes' requests are. */
int64_t lod_counts_age_us(const struct lod *lod, int64_t now_us);

/** Returns how many retries the fleet has left for a service, by the counts
 *  that this node received. */
double lod_retry_budget_left(struct lod *lod, const char *service,
			     const struct bud_rule *rule, int64_t now_us);

#endif
