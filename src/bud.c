#include "bud.h"

#include <string.h>

/* A tenth is reserved: a node may count live nodes as dead. */
#define BUDGET_SHARE 0.9

/* Until the counts of a node have reached all others: a report and a digest in
 * a domain of 100 nodes. */
#define REPORT_DELAY_S 0.75

/* A rate is averaged over this many full buckets and the one being filled. */
#define RATE_BUCKETS 4u

/* Clears buckets that expired since the last call. Returns the newest one. */
static uint32_t advance(struct bud *bud, const struct bud_rule *rule,
			int64_t now_us)
{
	int64_t width_us = MAX(rule->window_us / BUD_BUCKETS, 1);
	int64_t bucket = now_us / width_us;

	if (bucket - bud->bucket >= BUD_BUCKETS) {
		memset(bud->requests, 0, sizeof(bud->requests));
		memset(bud->retries, 0, sizeof(bud->retries));
		bud->bucket = bucket;
	}
	while (bud->bucket < bucket) {
		bud->bucket++;
		bud->requests[bud->bucket % BUD_BUCKETS] = 0;
		bud->retries[bud->bucket % BUD_BUCKETS] = 0;
	}
	return (uint32_t)(bucket % BUD_BUCKETS);
}

void bud_count_request(struct bud *bud, const struct bud_rule *rule,
		       int64_t now_us)
{
	bud->requests[advance(bud, rule, now_us)]++;
}

void bud_count_retry(struct bud *bud, const struct bud_rule *rule,
		     int64_t now_us)
{
	bud->retries[advance(bud, rule, now_us)]++;
}

uint32_t bud_recent_retries(struct bud *bud, const struct bud_rule *rule,
			    int64_t now_us)
{
	uint32_t newest = advance(bud, rule, now_us);
	uint32_t before = (newest + BUD_BUCKETS - 1) % BUD_BUCKETS;

	return bud->retries[newest] + bud->retries[before];
}

uint32_t bud_expiring_retries(struct bud *bud, const struct bud_rule *rule,
			      int64_t span_us, int64_t now_us)
{
	uint32_t newest = advance(bud, rule, now_us);
	int64_t width_us = MAX(rule->window_us / BUD_BUCKETS, 1);
	uint32_t retries = 0;

	for (uint32_t i = 1; i <= BUD_BUCKETS && i * width_us <= span_us; i++)
		retries += bud->retries[(newest + i) % BUD_BUCKETS];
	return retries;
}

double bud_request_rate(struct bud *bud, const struct bud_rule *rule,
			int64_t now_us)
{
	uint32_t newest = advance(bud, rule, now_us);
	double width_us = (double)MAX(rule->window_us / BUD_BUCKETS, 1);
	double requests = 0;

	for (uint32_t i = 0; i <= RATE_BUCKETS; i++)
		requests +=
			bud->requests[(newest + BUD_BUCKETS - i) % BUD_BUCKETS];
	return requests * FS_US_PER_S /
	       (RATE_BUCKETS * width_us + (double)(now_us % (int64_t)width_us));
}

double bud_borrowable(double fleet_left, double rate)
{
	return fleet_left - rate * REPORT_DELAY_S;
}

double bud_retries_left(struct bud *bud, const struct bud_rule *rule,
			uint32_t nodes, int64_t now_us)
{
	double requests = 0;
	double retries = 0;

	advance(bud, rule, now_us);
	for (int i = 0; i < BUD_BUCKETS; i++) {
		requests += bud->requests[i];
		retries += bud->retries[i];
	}
	return BUDGET_SHARE *
		       (rule->ratio * requests + rule->slack / MAX(nodes, 1)) -
	       retries;
}
