#include "bal.h"

#include <string.h>

/* Work slows when slots fill up: at the last slot by about a third. */
#define CROWDING 0.3
/* A target that refused a request has no room until it has fewer requests than
 * then, or until this time has passed: counts of others are a little old. */
#define FULL_US (1500 * FS_US_PER_MS)
/* A target with another server at its address is gone, or its entry comes. */
#define OTHER_US (2 * FS_US_PER_S)
/* A target that has just started takes about twice as long. */
#define COLD_FACTOR 2.0
#define UNKNOWN_FACTOR 0.4 /* outweighs the cold start */
/* Costs within a tenth of each other are the same. */
#define JITTER 0.1
#define MEAN_DEFAULT_US (300 * FS_US_PER_MS) /* until the service is known */
#define SAMPLE_MAX 64 /* targets looked at in one choice */
/* A target without work for so long is tried by a single request, one in
 * eight of those that come then. */
#define IDLE_US (1300 * FS_US_PER_MS)
#define EXPLORE_SHARE 0.125
/* The deployments' floor is 70 % of a service's targets, counted when more than
 * a tenth of its requests fail; both are met with a margin. */
#define IDLE_SHARE_MAX 0.25
#define UNSERVED_MANY 0.08
#define UNSERVED_SOME 0.035
/* Otherwise the trial waits until the evidence against the
 * target has faded: its chance to be gray is near that of any. */
#define FADED_FAILURE 0.12
#define FADED_IDLE_US (2500 * FS_US_PER_MS)

struct bal_target *bal_of(struct dir_target *target, int64_t now_us)
{
	struct bal_target *kept = target->judge;

	if (!kept) {
		kept = g_new0(struct bal_target, 1);
		gry_init(&kept->gry, now_us);
		target->judge = kept;
	}
	return kept;
}

int64_t bal_wait(const struct dir_target *target, int64_t mean_us)
{
	const struct bal_target *kept = target->judge;
	int64_t slots = MAX(target->entry.slots, 1);
	int64_t busy = kept ? (int64_t)kept->own + kept->others : 0;

	if (busy < slots)
		return 0;
	return (busy - slots + 1) * mean_us / slots;
}

static uint32_t busy_of(const struct bal_target *kept)
{
	return kept->own + kept->others;
}

void bal_note_full(struct dir_target *target, int64_t now_us)
{
	struct bal_target *kept = bal_of(target, now_us);

	kept->full_at = MAX(busy_of(kept), target->entry.slots);
}

static bool is_full(const struct dir_target *target, int64_t now_us)
{
	const struct bal_target *kept = target->judge;

	return kept && now_us - kept->gry.full_us < FULL_US &&
	       busy_of(kept) >= kept->full_at;
}

static bool is_avoided(const struct bal_wish *wish,
		       const struct dir_target *target)
{
	for (uint32_t i = 0; i < wish->avoid_count; i++) {
		if (wish->avoid[i] == target)
			return true;
	}
	return false;
}

/* xorshift; the seed of a wish serves for all its targets. */
static double next_random(uint64_t *state)
{
	*state ^= *state << 13;
	*state ^= *state >> 7;
	*state ^= *state << 17;
	return (double)(*state >> 11) / (double)(1ULL << 53);
}

static double work_us(const struct dir_target *target,
		      const struct bal_target *kept, double mean_us,
		      int64_t now_us)
{
	double slots = MAX(target->entry.slots, 1);
	double busy = kept->own + kept->others;
	double us = mean_us * gry_slowness(&kept->gry, now_us) *
		    (1.0 + CROWDING * MIN(busy / slots, 1.0));

	return target->warm_us > now_us ? us * COLD_FACTOR : us;
}

static double cost_of(struct dir_target *target, const struct bal_wish *wish,
		      struct bal_choice *out)
{
	struct bal_target *kept = bal_of(target, wish->now_us);
	int64_t mean_us = wish->mean_us ? wish->mean_us : MEAN_DEFAULT_US;
	double us = work_us(target, kept, (double)mean_us, wish->now_us);

	out->wait_us = bal_wait(target, mean_us);
	out->failure = gry_failure(&kept->gry, wish->now_us);
	us += (double)out->wait_us * gry_slowness(&kept->gry, wish->now_us);
	us += out->failure * (double)wish->failure_us;
	if (strcmp(target->entry.domain, wish->domain) != 0)
		us += (double)wish->cross_us;
	/* A target that nobody has used yet is tried before it is needed. */
	if (!kept->gry.known && !out->wait_us)
		us *= UNKNOWN_FACTOR;
	return us;
}

static bool may_take(const struct dir_target *target,
		     const struct bal_wish *wish)
{
	const struct bal_target *kept = target->judge;

	return !target->entry.leaving && !is_avoided(wish, target) &&
	       (!kept || wish->now_us - kept->gry.other_us >= OTHER_US);
}

/* Returns whether idle targets are to be tried whatever the evidence. */
static bool must_explore(const struct bal_wish *wish, uint32_t idle,
			 uint32_t count)
{
	if (wish->unserved > UNSERVED_MANY)
		return true;
	return wish->unserved > UNSERVED_SOME &&
	       (double)idle > IDLE_SHARE_MAX * (double)count;
}

static bool is_idle(struct dir_target *target, const struct bal_wish *wish,
		    int64_t idle_us)
{
	return may_take(target, wish) &&
	       wish->now_us - bal_of(target, wish->now_us)->used_us > idle_us;
}

static uint32_t count_idle(const struct dir_service *service,
			   const struct bal_wish *wish)
{
	uint32_t idle = 0;

	for (uint32_t i = 0; i < service->targets->len; i++)
		idle += is_idle(g_ptr_array_index(service->targets, i), wish,
				IDLE_US);
	return idle;
}

/* Returns the target to try that nobody has used for longest, or NULL. */
static struct dir_target *choose_idle(const struct dir_service *service,
				      const struct bal_wish *wish)
{
	uint32_t idle = count_idle(service, wish);
	bool all = must_explore(wish, idle, service->targets->len);
	struct dir_target *longest = NULL;

	for (uint32_t i = 0; idle && i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		const struct bal_target *kept = bal_of(target, wish->now_us);

		if (!is_idle(target, wish, all ? IDLE_US : FADED_IDLE_US))
			continue;
		if (!all &&
		    gry_failure(&kept->gry, wish->now_us) > FADED_FAILURE)
			continue;
		if (!longest || kept->used_us < bal_of(longest, 0)->used_us)
			longest = target;
	}
	return longest;
}

struct bal_choice bal_choose(const struct dir_service *service,
			     const struct bal_wish *wish)
{
	struct bal_choice best = {0};
	uint64_t random = wish->random | 1;
	uint32_t count = service ? service->targets->len : 0;
	uint32_t start = count ? (uint32_t)(wish->random % count) : 0;
	double best_us = 0;

	if (count && next_random(&random) < EXPLORE_SHARE) {
		best.target = choose_idle(service, wish);
		best.usable = count;
		if (best.target)
			return best;
	}
	for (uint32_t i = 0; i < MIN(count, SAMPLE_MAX); i++) {
		struct dir_target *target = g_ptr_array_index(
			service->targets, (start + i) % count);
		struct bal_choice one = {.target = target};
		double us;

		if (!may_take(target, wish))
			continue;
		if (is_full(target, wish->now_us)) {
			best.full++;
			continue;
		}
		best.usable++;
		us = cost_of(target, wish, &one) *
		     (1.0 + JITTER * next_random(&random));
		if (best.target && us >= best_us)
			continue;
		one.usable = best.usable;
		one.full = best.full;
		best = one;
		best_us = us;
	}
	best.cost_us = (int64_t)best_us;
	return best;
}
