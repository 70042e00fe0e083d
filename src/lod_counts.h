/**
 * @file lod_counts.h
 * @brief In-flight requests of a failure domain at each target, as its hub
 * reported them. Pure.
 *
 * A hub resends a count at least every LOD_REFRESH_INTERVAL_US. One that is
 * not resent expires: the datagram that set it to zero may be lost, and a new
 * hub does not know what its predecessor sent. Without expiry, a target would
 * look busy forever and get no requests.
 */
#ifndef LOD_COUNTS_H
#define LOD_COUNTS_H

#include "fs_types.h"

struct lod_counts {
	GHashTable *rows; /* target hash to its count */
};

void lod_counts_init(struct lod_counts *counts);
void lod_counts_clear(struct lod_counts *counts);

/** Sets the requests at a target. */
void lod_counts_put(struct lod_counts *counts, uint32_t target,
		    uint32_t requests, int64_t now_us);

/** Returns the requests at a target. */
uint32_t lod_counts_get(const struct lod_counts *counts, uint32_t target);

/** Drops counts last set before @p before_us. @param expired  uint32_t, the
 *  targets are appended */
void lod_counts_expire(struct lod_counts *counts, int64_t before_us,
		       GArray *expired);

/** A count that waits to be broadcast. */
struct lod_pending_count {
	uint32_t target;
	uint32_t requests;
	int64_t broadcast_us; /* last broadcast of this target */
};

/**
 * Keeps the @p max counts with the oldest broadcasts, oldest first, and drops
 * the others. Dropped counts are older the next time, so none is starved.
 * @param pending  struct lod_pending_count
 * @return how many are dropped
 */
guint lod_counts_select_oldest(GArray *pending, guint max);

/**
 * Returns how much older than their digest the counts are on average: there may be
 * more of them than one digest holds.
 * @param in_digest    rows of the last digest
 * @param interval_us  between digests
 */
int64_t lod_counts_lag_us(const struct lod_counts *counts, guint in_digest,
			  int64_t interval_us);

#endif
