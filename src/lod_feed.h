/**
 * @file lod_feed.h
 * @brief Which reader's state a hub sends with its digests. Pure.
 *
 * Nodes read the store for themselves once they hear of no fresh reader. The
 * reader of a failure domain is its hub; if the store refuses the hub, another
 * member reads and reports its state to the hub, which passes it on. Otherwise
 * a store that refuses five hubs would be read by all nodes.
 */
#ifndef LOD_FEED_H
#define LOD_FEED_H

#include "lod_wire.h"

/* An older state of this node's feed task is not sent. */
#define LOD_FEED_MAX_AGE_US (300 * FS_US_PER_MS)
/* An older reported state is not passed on: the interval between reports in a
 * domain of 100 nodes is 0.5 s. */
#define LOD_FEED_REPORTED_MAX_AGE_US (600 * FS_US_PER_MS)

/** States of feed tasks that a node knows; zero if none. */
struct lod_feed_sources {
	struct lod_feed own;
	int64_t own_us; /* when it was received */
	struct lod_feed reported;
	int64_t reported_us;
};

/** Records a reader's state, as reported to this hub. */
void lod_feed_report(struct lod_feed_sources *sources,
		     const struct lod_feed *feed, node_id reader,
		     int64_t now_us);

/** Returns the state to send: this node's own if it is fresh, else a reported
 *  one if that is; `reader` is set in the latter case only. */
struct lod_feed lod_feed_select(const struct lod_feed_sources *sources,
				int64_t now_us);

#endif
