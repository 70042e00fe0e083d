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
/* Costs within a tenth of each other are the same. */
#define JITTER 0.1
#define MEAN_DEFAULT_US (300 * FS_US_PER_MS) /* until the service is known */
/* Once all slots are taken, a target whose slot comes free is the cheapest for
 * all nodes until they hear of what the others sent there: each leaves out this
 * share of the targets at random, so that not all choose it. */
#define SKIP_SHARE 0.8
#define NEWS_US (300 * FS_US_PER_MS) /* until nodes hear of a send */
#define SAMPLE_MAX 64		     /* targets looked at in one choice */
/* A target of another failure domain is left to the nodes there for so long. */
#define REST_CROSS_US (1500 * FS_US_PER_MS)
/* An answer that costs more than this to fetch from another failure domain is
 * left to the nodes there altogether. */
#define REST_CROSS_MAX_US (400 * FS_US_PER_MS)
/* A target that is new is tried about as soon as nodes hear of each other. */
#define NEW_MEAN_US (300 * FS_US_PER_MS)
/* What a target is taken for, by its failures in a row, the chance that it
 * fails, and its time relative to the service's mean. */
#define BAD_RUN 2
#define BAD_FAILURE 0.6	    /* chance: one good answer does not outweigh it */
#define SOUND_FAILURE 0.12  /* chance, little above that of any target */
#define SLOW 3.0	    /* times the service's mean */
#define TRIAL_SHARE_MAX 0.9 /* of requests */
#define RATE_MIN 0.5	    /* requests a second; fewer are not measured well */

struct bal_target *bal_target_get(struct dir_target *target, int64_t now_us)
{
	struct bal_target *kept = target->judge;

	if (!kept) {
		kept = g_new0(struct bal_target, 1);
		gry_init(&kept->gry, now_us);
		/* A node that starts knows nothing of what others send; a
		 * target that has just started is new to all of them. */
		kept->sent_us = target->warm_us > now_us ? INT64_MIN / 2 :
							   now_us;
		target->judge = kept;
	}
	return kept;
}

int64_t bal_expected_wait(const struct dir_target *target, int64_t mean_us)
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
	struct bal_target *kept = bal_target_get(target, now_us);

	kept->full_at = MAX(busy_of(kept), target->entry.slots);
}

static bool is_full(const struct dir_target *target, int64_t now_us)
{
	const struct bal_target *kept = target->judge;

	return kept && now_us - kept->gry.full_us < FULL_US &&
	       busy_of(kept) >= kept->full_at;
}

static bool is_avoided(const struct bal_query *wish,
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

static double cost_of(struct dir_target *target, const struct bal_query *wish,
		      struct bal_choice *out)
{
	struct bal_target *kept = bal_target_get(target, wish->now_us);
	int64_t mean_us = wish->mean_us ? wish->mean_us : MEAN_DEFAULT_US;
	double us = work_us(target, kept, (double)mean_us, wish->now_us);

	out->wait_us = bal_expected_wait(target, mean_us);
	out->failure = gry_failure_probability(&kept->gry, wish->now_us);
	us += (double)out->wait_us * gry_slowness(&kept->gry, wish->now_us);
	us += out->failure * (double)wish->failure_us;
	if (strcmp(target->entry.domain, wish->domain) != 0)
		us += (double)wish->cross_us;
	return us;
}

static bool may_take(const struct dir_target *target,
		     const struct bal_query *wish)
{
	const struct bal_target *kept = target->judge;

	return !target->entry.leaving && !is_avoided(wish, target) &&
	       (!kept || wish->now_us - kept->gry.other_us >= OTHER_US);
}

/** How long a target may get nothing. */
struct rest {
	int64_t idle_us; /* since the last send, or failure: not due before */
	int64_t mean_us; /* then, the mean time until one of all nodes sends */
};

/* Faults may leave any few targets of a service sound, so each one that may be
 * sound has to get a request within two seconds, the age of the news of other
 * nodes included. */
static const struct rest rest_sound = {
	800 * FS_US_PER_MS,
	400 * FS_US_PER_MS,
};

/* Of the targets that failed once, one in three fails the next request as well,
 * whenever it comes; so does one in three of those whose last request went well
 * after several failures. */
static const struct rest rest_doubtful = {
	1200 * FS_US_PER_MS,
	500 * FS_US_PER_MS,
};

/* Of those that failed twice in a row two in three go on failing. A spell may
 * have ended with the last failure, and then the target is sound two seconds
 * later: it has to be found out within the two seconds that follow. */
static const struct rest rest_bad = {
	2900 * FS_US_PER_MS,
	500 * FS_US_PER_MS,
};

/* The same for requests that are lost if they fail: spells are longer than that,
 * and most tries would cost a caller its request. */
static const struct rest rest_bad_once = {
	4500 * FS_US_PER_MS,
	1000 * FS_US_PER_MS,
};

/* Most work there misses its objective. Slow spells last longer. */
static const struct rest rest_slow = {
	5000 * FS_US_PER_MS,
	1200 * FS_US_PER_MS,
};

/* Most failures come at once: a request that was sent after the last one, and has
 * not failed since, goes well or hangs. */
static bool is_trial_under_way(const struct bal_target *kept, int64_t now_us)
{
	return kept->sent_us > kept->gry.failed_us &&
	       now_us - kept->sent_us > NEWS_US;
}

static const struct rest *rest_of(const struct bal_target *kept,
				  const struct bal_query *wish)
{
	const struct gry *gry = &kept->gry;
	double slowness = gry_slowness(gry, wish->now_us);
	double failure = gry_failure_probability(gry, wish->now_us);

	if (slowness >= SLOW)
		return &rest_slow;
	if (!wish->repeatable && failure > BAD_FAILURE)
		return &rest_bad_once;
	if (gry->failed_run >= BAD_RUN &&
	    !is_trial_under_way(kept, wish->now_us))
		return wish->repeatable ? &rest_bad : &rest_bad_once;
	if (gry->failed_run || slowness > 1.0 || failure > SOUND_FAILURE)
		return &rest_doubtful;
	return &rest_sound;
}

/* Returns the share of this node's requests that should go to a target because
 * it is due; 0 if it is not. A doubtful target gets less at a time, so that work
 * which hangs there does not pile up. */
static double due_share(struct dir_target *target, const struct bal_query *wish)
{
	const struct bal_target *kept = bal_target_get(target, wish->now_us);
	const struct rest *rest = rest_of(kept, wish);
	bool doubtful = rest != &rest_sound;
	bool far = strcmp(target->entry.domain, wish->domain) != 0;
	double share = far ? 1.0 - wish->domain_share : wish->domain_share;
	int64_t last_us = kept->sent_us;

	if (!may_take(target, wish) || is_full(target, wish->now_us) ||
	    busy_of(kept) >= (doubtful ? MAX(target->entry.slots / 2, 1) :
					 MAX(target->entry.slots, 1)) ||
	    (far && wish->cross_us > REST_CROSS_MAX_US))
		return 0;
	if (doubtful)
		last_us = MAX(last_us, kept->gry.failed_us);
	if (wish->now_us - last_us < rest->idle_us + (far ? REST_CROSS_US : 0))
		return 0;
	return FS_US_PER_S /
	       (double)(kept->gry.known ? rest->mean_us : NEW_MEAN_US) /
	       MAX(wish->rate * share, RATE_MIN);
}

/* Returns a target that is due, or NULL. All nodes together send to due targets
 * at the rate that is wanted; which target is left to chance, so that nodes that
 * do not know of each other yet seldom meet. */
static struct dir_target *choose_due(const struct dir_service *service,
				     const struct bal_query *wish,
				     uint64_t *random)
{
	struct dir_target *chosen = NULL;
	double sum = 0;

	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		double share = due_share(target, wish);

		if (share <= 0)
			continue;
		sum += share;
		if (next_random(random) * sum < share)
			chosen = target;
	}
	return next_random(random) < MIN(sum, TRIAL_SHARE_MAX) ? chosen : NULL;
}

/* Returns the share of targets to leave out. Nothing, while the slots that are
 * free hold what all nodes send until they hear of each other. */
static double skip_share(const struct dir_service *service,
			 const struct bal_query *wish)
{
	double unheard = wish->rate * (double)NEWS_US / FS_US_PER_S;
	double room = 0;
	uint32_t usable = 0;
	uint32_t saturated = 0;

	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		const struct bal_target *kept =
			bal_target_get(target, wish->now_us);
		uint32_t slots = target->entry.slots;

		if (!may_take(target, wish) ||
		    gry_is_suspected(&kept->gry, wish->now_us))
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
					 const struct bal_query *wish,
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
			     const struct bal_query *wish)
{
	struct bal_choice best = {0};
	uint64_t random = wish->random | 1;
	struct dir_target *due;
	double skip;

	if (!service || !service->targets->len)
		return best;
	skip = skip_share(service, wish);
	best = choose_cheapest(service, wish, skip, &random);
	if (!best.target && best.usable)
		best = choose_cheapest(service, wish, 0.0, &random);
	due = choose_due(service, wish, &random);
	if (due)
		best = (struct bal_choice){
			.target = due,
			.usable = best.usable,
			.full = best.full,
			.failure = gry_failure_probability(
				&bal_target_get(due, 0)->gry, wish->now_us),
		};
	return best;
}
