/**
 * @file hlt_lat.h
 * @brief Recent distribution of answer times of one shard.
 *
 * Requests are told apart by their deadline, in bands of a power of two, so
 * that large answers with long deadlines are compared with their like. Each
 * band has two generations of buckets, four per power of two; the older one
 * is dropped every HLT_LAT_ROTATION_US.
 */
#ifndef HLT_LAT_H
#define HLT_LAT_H

#include "fs_types.h"

#define HLT_LAT_BANDS 8
#define HLT_LAT_BUCKETS 96
#define HLT_LAT_ROTATION_US (30 * FS_US_PER_S)
#define HLT_LAT_SAMPLES_MIN 20 /* answers, for a quantile to mean something */

/** One band. */
struct hlt_lat_band {
	uint32_t buckets[2][HLT_LAT_BUCKETS];
	uint32_t count[2];
	int64_t p50_us; /* -1: too few answers */
	int64_t p95_us;
};

struct hlt_lat {
	int64_t rotated_us;
	uint32_t current; /* generation, 0 or 1 */
	struct hlt_lat_band bands[HLT_LAT_BANDS];
};

void hlt_lat_init(struct hlt_lat *lat, int64_t now_us);

/** Returns the band of requests with @p deadline_us left at their start. */
uint32_t hlt_lat_band_of(int64_t deadline_us);

/** Notes a good answer. */
void hlt_lat_record(struct hlt_lat *lat, uint32_t band, int64_t took_us);

/** Drops old answers and computes the quantiles again. */
void hlt_lat_update(struct hlt_lat *lat, int64_t now_us);

#endif
