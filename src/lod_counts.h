/**
 * @file lod_counts.h
 * @brief What a failure domain has at each target, as its hub told it. Pure.
 *
 * A hub repeats a count at least every LOD_REFRESH_INTERVAL_US. One that is not repeated
 * lapses: the datagram that set it to zero may be lost, and a hub that takes
 * over does not know what the one before told. Without that, a target would
 * look busy for good and get no work.
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

/** Drops counts last told before @p before_us. @param lapsed  uint32_t, the
 *  targets are appended */
void lod_counts_expire(struct lod_counts *counts, int64_t before_us,
		       GArray *lapsed);

/** A count that waits to be told. */
struct lod_pending_count {
	uint32_t target;
	uint32_t requests;
	int64_t told_us; /* when this target was told last */
};

/** Keeps the @p max counts that were told longest ago, in that order, and drops
 *  the others: each gets its turn. @param waiting  struct lod_pending_count
 *  @return how many are dropped */
guint lod_counts_select_oldest(GArray *waiting, guint max);

#endif
