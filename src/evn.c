#include "evn.h"

#include <math.h>
#include <string.h>

/* A figure reaches the first nodes and the last ones after these times. */
#define REACH_MIN_US (100 * FS_US_PER_MS)
#define REACH_MAX_US (200 * FS_US_PER_MS)
/* Per second and request above the mean; slow, so that chance adds little. */
#define SURCHARGE_RATE 0.1
#define SURCHARGE_DECAY_S 40.0
#define SURCHARGE_MAX 2.0	      /* requests */
#define SURCHARGE_STEP_US FS_US_PER_S /* longer ago counts as this */
#define PREFERENCE_MAX 1.0 /* requests, for the other side of the ring */

/* Returns for how long nodes have chosen by figures of this age, on average. */
static double used_us(double age_us)
{
	double reach_us = REACH_MAX_US - REACH_MIN_US;
	double since_us = age_us - REACH_MIN_US;

	if (since_us <= 0)
		return 0;
	if (since_us < reach_us)
		return since_us * since_us / (2 * reach_us);
	return since_us - reach_us / 2;
}

void evn_begin(struct evn *evn, int64_t age_us, int64_t mean_us)
{
	double late_us = used_us((double)age_us);

	memset(evn, 0, sizeof(*evn));
	evn->early = exp((late_us - (double)age_us) / (double)mean_us);
	evn->late = exp(-late_us / (double)mean_us);
}

void evn_add(struct evn *evn, enum evn_group group, uint32_t requests,
	     uint32_t slots)
{
	uint32_t at = MIN(requests * EVN_PARTS_PER_SLOT / slots, EVN_PARTS - 1);

	evn->parts[group][at].requests += requests;
	evn->parts[group][at].slots += slots;
}

/* Returns the requests that others had when the figure reached them and still have,
 * at targets with that figure. */
static double left_of(const struct evn *evn, enum evn_group group,
		      double requests, double slots)
{
	double reached = evn->early * requests +
			 (1.0 - evn->early) * evn->mean[group] * slots;

	return evn->late * reached;
}

/* As many requests begin as end. They fill the least used targets. */
static void fill(struct evn *evn, enum evn_group group)
{
	const struct evn_part *parts = evn->parts[group];
	double requests = 0;
	double slots = 0;
	double begun;

	for (uint32_t i = 0; i < EVN_PARTS; i++) {
		requests += parts[i].requests;
		slots += parts[i].slots;
	}
	if (slots <= 0)
		return;
	evn->mean[group] = requests / slots;
	begun = (1.0 - evn->late) * requests;
	slots = 0;
	for (uint32_t i = 0; i < EVN_PARTS; i++) {
		double left =
			left_of(evn, group, parts[i].requests, parts[i].slots);

		if (parts[i].slots <= 0)
			continue;
		if (slots > 0 && begun * parts[i].slots <= left * slots)
			break;
		begun += left;
		slots += parts[i].slots;
		evn->level[group] = begun / slots;
	}
}

void evn_end(struct evn *evn)
{
	for (uint32_t g = 0; g < EVN_GROUPS; g++)
		fill(evn, g);
}

double evn_predict(const struct evn *evn, enum evn_group group,
		   uint32_t requests, uint32_t slots)
{
	return MAX(left_of(evn, group, requests, slots),
		   evn->level[group] * slots);
}

double evn_surcharge(const struct evn *evn, enum evn_group group,
		     uint32_t requests, uint32_t slots, double surcharge,
		     int64_t past_us)
{
	double past_s = (double)MIN(past_us, SURCHARGE_STEP_US) / FS_US_PER_S;
	/* As far as the figure still holds. */
	double excess =
		evn->early * evn->late * (requests - evn->mean[group] * slots);

	surcharge += past_s *
		     (SURCHARGE_RATE * excess - surcharge / SURCHARGE_DECAY_S);
	return CLAMP(surcharge, -SURCHARGE_MAX, SURCHARGE_MAX);
}

double evn_preference(double place, double target)
{
	double distance = fabs(place - target);

	return PREFERENCE_MAX * sqrt(2.0 * MIN(distance, 1.0 - distance));
}
