#include "hlt_lat.h"

#include <string.h>

#define FIRST_POWER 8 /* the first bucket ends at 2^8 us */
#define FIRST_BAND_MS 1024

void hlt_lat_init(struct hlt_lat *lat, int64_t now_us)
{
	memset(lat, 0, sizeof(*lat));
	lat->rotated_us = now_us;
	for (int c = 0; c < HLT_LAT_BANDS; c++) {
		lat->bands[c].p50_us = -1;
		lat->bands[c].p95_us = -1;
	}
}

uint32_t hlt_lat_band_of(int64_t deadline_us)
{
	int64_t limit_us = FIRST_BAND_MS * FS_US_PER_MS;
	uint32_t band = 0;

	while (band < HLT_LAT_BANDS - 1 && deadline_us > limit_us) {
		band++;
		limit_us *= 2;
	}
	return band;
}

/* Four buckets per power of two, by the two bits after the highest one. */
static uint32_t bucket_of(int64_t us)
{
	uint64_t v = us > 0 ? (uint64_t)us : 1;
	uint32_t power = 63 - (uint32_t)__builtin_clzll(v);
	uint32_t bucket;

	if (power < FIRST_POWER)
		return 0;
	bucket = (power - FIRST_POWER) * 4 + (uint32_t)((v >> (power - 2)) & 3);
	return MIN(bucket, HLT_LAT_BUCKETS - 1);
}

/* The largest time that falls into a bucket. */
static int64_t bucket_end(uint32_t bucket)
{
	uint32_t power = bucket / 4 + FIRST_POWER;

	return (5LL + bucket % 4) << (power - 2);
}

void hlt_lat_record(struct hlt_lat *lat, uint32_t band, int64_t took_us)
{
	struct hlt_lat_band *c = &lat->bands[band];

	c->buckets[lat->current][bucket_of(took_us)]++;
	c->count[lat->current]++;
}

static int64_t quantile(const struct hlt_lat_band *c, uint64_t permille)
{
	uint64_t total = (uint64_t)c->count[0] + c->count[1];
	uint64_t want = (total * permille + 999) / 1000;
	uint64_t seen = 0;
	uint32_t bucket = 0;

	if (total < HLT_LAT_SAMPLES_MIN)
		return -1;
	for (; bucket < HLT_LAT_BUCKETS - 1; bucket++) {
		seen += (uint64_t)c->buckets[0][bucket] + c->buckets[1][bucket];
		if (seen >= want)
			break;
	}
	return bucket_end(bucket);
}

static void rotate(struct hlt_lat *lat)
{
	lat->current ^= 1;
	for (int i = 0; i < HLT_LAT_BANDS; i++) {
		struct hlt_lat_band *c = &lat->bands[i];

		memset(c->buckets[lat->current], 0, sizeof(c->buckets[0]));
		c->count[lat->current] = 0;
	}
}

void hlt_lat_update(struct hlt_lat *lat, int64_t now_us)
{
	if (now_us - lat->rotated_us >= HLT_LAT_ROTATION_US) {
		rotate(lat);
		lat->rotated_us = now_us;
	}
	for (int i = 0; i < HLT_LAT_BANDS; i++) {
		struct hlt_lat_band *c = &lat->bands[i];
		int64_t p50_us = quantile(c, 500);

		if (p50_us < 0)
			continue;
		c->p50_us = p50_us;
		c->p95_us = quantile(c, 950);
	}
}
