/**
 * @file bud.h
 * @brief A node's share of the fleet's retry budget. Pure.
 *
 * Within any window the fleet may retry up to a ratio of a service's requests
 * plus a slack. Each node stays within that ratio of its own requests and its
 * part of the slack, so that the sum holds without messages. Counts are kept
 * in buckets over the window.
 */
#ifndef BUD_H
#define BUD_H

#include "fs_types.h"

#define BUD_BUCKETS 20 /* per window */

/** The fleet's retry budget, from the deployment's settings. */
struct bud_rule {
	double ratio;	   /* retries per request */
	double slack;	   /* retries of the whole fleet per window */
	int64_t window_us; /* the limit applies to every span of this length */
};

/** Requests and retries of one node for one service. */
struct bud {
	int64_t bucket; /* number of the newest bucket */
	uint32_t requests[BUD_BUCKETS];
	uint32_t retries[BUD_BUCKETS];
};

/** Counts a request of a caller. */
void bud_count_request(struct bud *bud, const struct bud_rule *rule,
		       int64_t now_us);

/** Returns how many retries are left. @param nodes  that share the slack */
double bud_retries_left(struct bud *bud, const struct bud_rule *rule,
			uint32_t nodes, int64_t now_us);

/** Returns the retries counted in the newest two buckets. */
uint32_t bud_recent_retries(struct bud *bud, const struct bud_rule *rule,
			    int64_t now_us);

/** Returns how many counted retries leave the window within a span. */
uint32_t bud_expiring_retries(struct bud *bud, const struct bud_rule *rule,
			      int64_t span_us, int64_t now_us);

/** Returns the recent request rate per second. */
double bud_request_rate(struct bud *bud, const struct bud_rule *rule,
			int64_t now_us);

void bud_count_retry(struct bud *bud, const struct bud_rule *rule,
		     int64_t now_us);

/**
 * Returns how many of the retries that the fleet has left any node may use. A
 * node's own share is a few retries at hundreds of nodes, and failures cluster:
 * without borrowing most of the budget stays unused. Every request may fail
 * once before its retry is reported, so that many retries are kept back.
 * @param fleet_left  by the reported counts
 * @param rate  requests per second of the fleet
 */
double bud_borrowable(double fleet_left, double rate);

#endif
