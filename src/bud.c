#include "bud.h"

#include <string.h>

/* A tenth is left unused: a node may count more nodes as lost than are. */
#define USED_SHARE 0.9

/* A rate is that of so many full buckets and the one that is being filled. */
#define RATE_BUCKETS 4u

/* Clears the buckets that have passed since the last call. */
static uint32_t turn(struct bud *bud, const struct bud_rule *rule,
		     int64_t now_us)
{
	int64_t width_us = MAX(rule->window_us / BUD_BUCKETS, 1);
	int64_t bucket = now_us / width_us;

	if (bucket - bud->bucket >= BUD_BUCKETS) {
		memset(bud->requests, 0, sizeof(bud->requests));
		memset(bud->repeats, 0, sizeof(bud->repeats));
		bud->bucket = bucket;
	}
	while (bud->bucket < bucket) {
		bud->bucket++;
		bud->requests[bud->bucket % BUD_BUCKETS] = 0;
		bud->repeats[bud->bucket % BUD_BUCKETS] = 0;
	}
	return (uint32_t)(bucket % BUD_BUCKETS);
}

void bud_count_request(struct bud *bud, const struct bud_rule *rule,
		       int64_t now_us)
{
	bud->requests[turn(bud, rule, now_us)]++;
}

void bud_count_retry(struct bud *bud, const struct bud_rule *rule,
		     int64_t now_us)
{
	bud->repeats[turn(bud, rule, now_us)]++;
}

uint32_t bud_recent_retries(struct bud *bud, const struct bud_rule *rule,
			    int64_t now_us)
{
	uint32_t newest = turn(bud, rule, now_us);
	uint32_t before = (newest + BUD_BUCKETS - 1) % BUD_BUCKETS;

	return bud->repeats[newest] + bud->repeats[before];
}

double bud_request_rate(struct bud *bud, const struct bud_rule *rule,
			int64_t now_us)
{
	uint32_t newest = turn(bud, rule, now_us);
	double width_us = (double)MAX(rule->window_us / BUD_BUCKETS, 1);
	double requests = 0;

	for (uint32_t i = 0; i <= RATE_BUCKETS; i++)
		requests +=
			bud->requests[(newest + BUD_BUCKETS - i) % BUD_BUCKETS];
	return requests * FS_US_PER_S /
	       (RATE_BUCKETS * width_us + (double)(now_us % (int64_t)width_us));
}

double bud_retries_left(struct bud *bud, const struct bud_rule *rule,
			uint32_t nodes, int64_t now_us)
{
	double requests = 0;
	double repeats = 0;

	turn(bud, rule, now_us);
	for (int i = 0; i < BUD_BUCKETS; i++) {
		requests += bud->requests[i];
		repeats += bud->repeats[i];
	}
	return USED_SHARE *
		       (rule->ratio * requests + rule->slack / MAX(nodes, 1)) -
	       repeats;
}
