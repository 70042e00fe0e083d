/**
 * @file lod.h
 * @brief Load exchange: what all nodes together have at each target, how that
 * went, and how much of the budget for repeats is used.
 *
 * Each node reports to the hub of its failure domain: its requests at each
 * target, the outcomes since the last report, and its sends. The hub adds up
 * and tells all nodes of its domain and the hubs of the others, which pass it
 * on. So messages grow with the nodes, not with their square, and only hubs
 * send between domains. A second node gets the reports too, and speaks if the
 * hub falls silent. Hubs follow from membership: there is no election.
 *
 * Outcomes go as evidence, with the node that saw them, not as verdicts: every
 * node judges by itself (gry.h). A hub does not pass on what a node tells of ways
 * once most of them are bad: that node's own way is. Failures go at once and
 * first (lod_queue.h).
 *
 * Datagrams may be lost. Counts are told again and again, and lapse after
 * LOD_COUNT_EXPIRY_US if they are not; an outcome that is lost is missed.
 */
#ifndef LOD_H
#define LOD_H

#include "bal.h"
#include "bud.h"
#include "node.h"

#define LOD_COUNT_EXPIRY_US \
	(2500 * FS_US_PER_MS) /* several digests are missing */

struct lod;

struct lod *lod_new(struct node *node, struct dir *dir);
void lod_free(struct lod *lod);

/** Notes that this node has one more or one less request at a target. */
void lod_in_flight_changed(struct lod *lod, struct dir_target *target);

/** Notes an outcome. @param took_us  of a good one, else 0 */
void lod_record_outcome(struct lod *lod, struct dir_target *target,
			enum gry_outcome outcome, int64_t took_us);

/** Notes requests and repeats that this node sent a service, and requests
 *  that ended unserved. */
void lod_record_requests(struct lod *lod, const char *service,
			 uint32_t requests, uint32_t repeats,
			 uint32_t unserved);

/** Returns the share of a service's requests that ends unserved now, in the
 *  whole fleet. */
double lod_unserved_share(const struct lod *lod, const char *service);

/** Returns how many requests a second callers send a service, in the whole
 *  fleet. */
double lod_request_rate(struct lod *lod, const char *service, int64_t now_us);

/** Returns the mean time of good answers of a service, 0 if unknown. */
int64_t lod_mean_latency(const struct lod *lod, const char *service);

/** Returns how many repeats the whole fleet has left for a service, as far as
 *  it is known here. */
double lod_retry_budget_left(struct lod *lod, const char *service,
			     const struct bud_rule *rule, int64_t now_us);

#endif
