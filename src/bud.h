/**
 * @file bud.h
 * @brief A node's share of the fleet's budget for repeated sends. Pure.
 *
 * The fleet may send a service, within any window, repeats up to a ratio of
 * the requests for it plus a slack. Each node keeps to that ratio of its own
 * requests and to its part of the slack, so that the sum holds without a
 * message. Counts are kept in buckets over the window.
 */
#ifndef BUD_H
#define BUD_H

#include "fs_types.h"

#define BUD_BUCKETS 20 /* of one window */

/** The fleet's budget, from the deployment's settings. */
struct bud_rule {
	double ratio;	   /* repeats for each request */
	double slack;	   /* repeats for the whole fleet and window */
	int64_t window_us; /* any span of that length counts */
};

/** What one node sent one service. */
struct bud {
	int64_t bucket; /* number of the newest bucket */
	uint32_t requests[BUD_BUCKETS];
	uint32_t repeats[BUD_BUCKETS];
};

/** Counts a request that a caller sent. */
void bud_count_request(struct bud *bud, const struct bud_rule *rule,
		       int64_t now_us);

/** Returns how many repeats are left. @param nodes  that share the slack */
double bud_retries_left(struct bud *bud, const struct bud_rule *rule,
			uint32_t nodes, int64_t now_us);

/** Returns how many repeats were counted in the newest two buckets. */
uint32_t bud_recent_retries(struct bud *bud, const struct bud_rule *rule,
			    int64_t now_us);

/** Returns how many requests a second there were in the last seconds. */
double bud_request_rate(struct bud *bud, const struct bud_rule *rule,
			int64_t now_us);

/** Counts a repeat. */
void bud_count_retry(struct bud *bud, const struct bud_rule *rule,
		     int64_t now_us);

#endif
