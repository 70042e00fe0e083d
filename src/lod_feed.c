#include "lod_feed.h"

void lod_feed_report(struct lod_feed_sources *sources,
		     const struct lod_feed *feed, node_id reader,
		     int64_t now_us)
{
	if (!feed->fresh)
		return;
	sources->reported = *feed;
	sources->reported.reader = reader;
	sources->reported_us = now_us;
}

struct lod_feed lod_feed_select(const struct lod_feed_sources *sources,
				int64_t now_us)
{
	bool known = now_us - sources->own_us < LOD_FEED_MAX_AGE_US;

	if (!(known && sources->own.fresh) && sources->reported.fresh &&
	    now_us - sources->reported_us < LOD_FEED_REPORTED_MAX_AGE_US)
		return sources->reported;
	return known ? sources->own : (struct lod_feed){0};
}
