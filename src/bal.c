#include "bal.h"

#include <math.h>
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
/* Once all slots are taken, a target whose slot comes free is the cheapest for
 * all nodes until they hear of what the others sent there: each leaves out this
 * share of the targets at random, so that not all choose it. */
#define SKIP_SHARE 0.8
#define NEWS_US (300 * FS_US_PER_MS) /* until nodes hear of a send */
#define SAMPLE_MAX 64		     /* targets looked at in one choice */
/* A target is idle once nobody is known to have used it for so long: counts
 * and outcomes of other nodes are 0.2 to 0.4 s old. */
#define IDLE_US (1000 * FS_US_PER_MS)
/* The mean time until one of all nodes tries an idle target. */
#define TRIAL_NEED_US (1000 * FS_US_PER_MS)
#define TRIAL_CALM_US (2000 * FS_US_PER_MS)
#define TRIAL_SHARE_MAX 0.5 /* of requests */
/* A trial without need waits until the evidence has faded: the target's chance
 * to be gray is near that of any. One that is needed may rather fail. */
#define FADED_FAILURE 0.12
#define NEEDED_FAILURE 0.45
/* An answer that costs more than this to fetch from another failure domain is
 * no trial: nodes there try their own targets. */
#define TRIAL_CROSS_US (400 * FS_US_PER_MS)
/* The deployments' floor: 70 % of the sound targets of a service get work in
 * any two seconds. It counts when a tenth of the requests is not served, also
 * when that shows only later: when the nodes that hold them are lost. So the
 * floor is kept at all times, with a margin once requests fail. A target that
 * failed by itself is not sound for two seconds. */
#define FLOOR_IDLE_US (1500 * FS_US_PER_MS)
#define FLOOR_FAILED_US (2000 * FS_US_PER_MS)
#define FLOOR_IDLE_SHARE 0.28
#define FLOOR_IDLE_SHARE_FAILING 0.05
#define FLOOR_TRIAL_US (1000 * FS_US_PER_MS)
#define UNSERVED_MANY 0.07
/* Among targets that are equally doubtful chance decides. */
#define FLOOR_CHANCE 0.2
#define RATE_MIN 0.5 /* requests a second; fewer are not measured well */

struct bal_target *bal_of(struct dir_target *target, int64_t now_us)
{
	struct bal_target *kept = target->judge;

	if (!kept) {
		kept = g_new0(struct bal_target, 1);
		gry_init(&kept->gry, now_us);
		kept->sent_us = INT64_MIN / 2;
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

/** Which idle targets a request may try, and how many should be tried soon. */
struct trial {
	double rate;	    /* trials a second, of all nodes */
	double failure_max; /* targets more likely to fail are left alone */
	double chance;	    /* weight of chance against the evidence */
};

static bool is_idle(struct dir_target *target, const struct bal_wish *wish,
		    int64_t idle_us)
{
	const struct bal_target *kept = bal_of(target, wish->now_us);

	return may_take(target, wish) && !kept->own && !kept->others &&
	       wish->now_us - kept->used_us > idle_us;
}

static bool may_try(struct dir_target *target, const struct bal_wish *wish,
		    const struct trial *trial)
{
	const struct bal_target *kept = bal_of(target, wish->now_us);

	return is_idle(target, wish, IDLE_US) &&
	       wish->now_us - kept->gry.failed_us > FLOOR_FAILED_US &&
	       gry_failure(&kept->gry, wish->now_us) <= trial->failure_max &&
	       (wish->cross_us <= TRIAL_CROSS_US ||
		!strcmp(target->entry.domain, wish->domain));
}

/* Returns how many targets lie idle beyond what the floor allows. */
static double idle_below_floor(const struct dir_service *service,
			       const struct bal_wish *wish)
{
	double share = wish->unserved > UNSERVED_MANY ?
			       FLOOR_IDLE_SHARE_FAILING :
			       FLOOR_IDLE_SHARE;
	uint32_t sound = 0;
	uint32_t idle = 0;

	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		const struct bal_target *kept = bal_of(target, wish->now_us);

		if (!may_take(target, wish) ||
		    wish->now_us - kept->gry.failed_us < FLOOR_FAILED_US)
			continue;
		sound++;
		idle += is_idle(target, wish, FLOOR_IDLE_US);
	}
	return (double)idle - share * (double)sound;
}

static uint32_t count_trials(const struct dir_service *service,
			     const struct bal_wish *wish,
			     const struct trial *trial)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < service->targets->len; i++)
		count += may_try(g_ptr_array_index(service->targets, i), wish,
				 trial);
	return count;
}

static struct trial trial_of(const struct dir_service *service,
			     const struct bal_wish *wish,
			     const struct bal_choice *best)
{
	bool needed = !best->target || best->wait_us > 0;
	struct trial trial = {
		.failure_max = needed ? NEEDED_FAILURE : FADED_FAILURE,
		.chance = 1.0,
	};
	double below = ceil(idle_below_floor(service, wish)) * FS_US_PER_S /
		       FLOOR_TRIAL_US;

	trial.rate = (double)count_trials(service, wish, &trial) * FS_US_PER_S /
		     (needed ? TRIAL_NEED_US : TRIAL_CALM_US);
	if (below > trial.rate)
		return (struct trial){below, 1.0, FLOOR_CHANCE};
	return trial;
}

/* Returns an idle target to try, or NULL. All nodes together make trials at the
 * rate that is wanted; which target is left to chance, so that nodes that do
 * not know of each other yet seldom meet. */
static struct dir_target *choose_trial(const struct dir_service *service,
				       const struct bal_wish *wish,
				       const struct bal_choice *best,
				       uint64_t *random)
{
	struct trial trial = trial_of(service, wish, best);
	double rate = wish->cross_us > TRIAL_CROSS_US ?
			      wish->rate * wish->domain_share :
			      wish->rate;
	struct dir_target *chosen = NULL;
	double lowest = 0;

	if (trial.rate <= 0 ||
	    next_random(random) >=
		    MIN(trial.rate / MAX(rate, RATE_MIN), TRIAL_SHARE_MAX))
		return NULL;
	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		double failure;

		if (!may_try(target, wish, &trial))
			continue;
		failure = gry_failure(&bal_of(target, 0)->gry, wish->now_us) +
			  trial.chance * next_random(random);
		if (chosen && failure >= lowest)
			continue;
		chosen = target;
		lowest = failure;
	}
	return chosen;
}

/* Returns the share of targets to leave out. Nothing, while the slots that are
 * free hold what all nodes send until they hear of each other. */
static double skip_share(const struct dir_service *service,
			 const struct bal_wish *wish)
{
	double unheard = wish->rate * (double)NEWS_US / FS_US_PER_S;
	double room = 0;
	uint32_t usable = 0;
	uint32_t saturated = 0;

	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		const struct bal_target *kept = bal_of(target, wish->now_us);
		uint32_t slots = target->entry.slots;

		if (!may_take(target, wish) ||
		    gry_is_suspect(&kept->gry, wish->now_us))
			continue;
		usable++;
		saturated += busy_of(kept) >= slots;
		room += slots - MIN(busy_of(kept), slots);
	}
	if (!usable || room >= unheard)
		return 0.0;
	return SKIP_SHARE * saturated / usable * (1.0 - room / unheard);
}

/* Returns the cheapest target, each one left out with the chance @p skip. */
static struct bal_choice choose_cheapest(const struct dir_service *service,
					 const struct bal_wish *wish,
					 double skip, uint64_t *random)
{
	struct bal_choice best = {0};
	uint32_t count = service->targets->len;
	uint32_t start = (uint32_t)(wish->random % count);
	double best_us = 0;

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
		if (skip > 0 && next_random(random) < skip)
			continue;
		us = cost_of(target, wish, &one) *
		     (1.0 + JITTER * next_random(random));
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

struct bal_choice bal_choose(const struct dir_service *service,
			     const struct bal_wish *wish)
{
	struct bal_choice best = {0};
	uint64_t random = wish->random | 1;
	struct dir_target *trial;
	double skip;

	if (!service || !service->targets->len)
		return best;
	skip = skip_share(service, wish);
	best = choose_cheapest(service, wish, skip, &random);
	if (!best.target && best.usable)
		best = choose_cheapest(service, wish, 0.0, &random);
	trial = choose_trial(service, wish, &best, &random);
	if (trial)
		best = (struct bal_choice){
			.target = trial,
			.usable = best.usable,
			.full = best.full,
			.failure = gry_failure(&bal_of(trial, 0)->gry,
					       wish->now_us),
		};
	return best;
}
