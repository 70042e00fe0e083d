#include "bal_impl.h"

#include <math.h>
#include <string.h>

/* A target that refused a request has no capacity until it has fewer requests
 * in flight than then, or until this time has passed: the counts reported by
 * other nodes are slightly stale. */
#define FULL_COOLDOWN_US (1500 * FS_US_PER_MS)
/* A target whose address belongs to another server is skipped this long: by
 * then it was removed or its new entry has arrived. */
#define WRONG_SERVER_COOLDOWN_US (2 * FS_US_PER_S)
/* Costs within 10 % of each other count as equal. */
#define JITTER 0.1
/* When all slots are taken, a target with a newly free slot is the cheapest
 * for all nodes until they receive the counts of each other. Each node skips
 * this share of the targets at random, so that not all select the same one. */
#define SKIP_SHARE 0.8
#define PROPAGATION_US (300 * FS_US_PER_MS) /* until a send is reported */
#define SAMPLE_MAX 64			    /* targets per selection */
/* Extra idle time before a trial of a target in another failure domain: the
 * nodes there try it first. */
#define CROSS_DOMAIN_DELAY_US (1500 * FS_US_PER_MS)
/* No trials in another failure domain if the transfer of an answer costs more
 * than this: the nodes there do them. */
#define CROSS_DOMAIN_TRIAL_COST_MAX_US (400 * FS_US_PER_MS)
/* A new target is tried about as soon as nodes receive the counts of each
 * other. */
#define NEW_TARGET_MEAN_US (300 * FS_US_PER_MS)
/* Classification of a target by its consecutive failures, its failure
 * probability and its time relative to the mean of the service. */
#define FAILING_RUN 2
#define FAILING_PROBABILITY 0.6	 /* one success does not outweigh it */
#define HEALTHY_PROBABILITY 0.12 /* little above that of any target */
#define SLOW_FACTOR 3.0		 /* times the mean */
#define TRIAL_SHARE_MAX 0.9	 /* of requests */
#define RATE_MIN 0.5 /* requests per second; lower rates are imprecise */

struct bal_target *bal_target_get(struct dir_target *target, int64_t now_us)
{
	struct bal_target *stats = target->user_data;

	if (!stats) {
		stats = g_new0(struct bal_target, 1);
		gry_init(&stats->gry, now_us);
		/* A node that starts has no send counts of others; a target in
		 * its warm-up is new to all nodes. */
		stats->sent_us = target->warm_us > now_us ? INT64_MIN / 2 :
							    now_us;
		target->user_data = stats;
	}
	return stats;
}

int64_t bal_expected_wait(const struct dir_target *target, int64_t mean_us)
{
	const struct bal_target *stats = target->user_data;
	int64_t slots = MAX(target->entry.slots, 1);
	int64_t busy = stats ? (int64_t)stats->own + stats->others : 0;

	if (busy < slots)
		return 0;
	return (busy - slots + 1) * mean_us / slots;
}

static uint32_t in_flight_of(const struct bal_target *stats)
{
	return stats->own + stats->others;
}

void bal_note_full(struct dir_target *target, int64_t now_us)
{
	struct bal_target *stats = bal_target_get(target, now_us);

	stats->full_at = MAX(in_flight_of(stats), target->entry.slots);
}

bool bal_is_full(const struct dir_target *target, int64_t now_us)
{
	const struct bal_target *stats = target->user_data;

	return stats && now_us - stats->gry.full_us < FULL_COOLDOWN_US &&
	       in_flight_of(stats) >= stats->full_at;
}

/* Each target has a draw of its own, so that a request does not go to all that are
 * limited or to none. */
static enum tst_verdict statement_on(const struct dir_target *target,
				     const struct bal_query *query)
{
	const struct bal_target *stats = target->user_data;
	struct lim_query limit = query->limit;

	if (!stats || !tst_has_statement(&stats->tst, query->now_us))
		return TST_ACCEPTS;
	limit.draw ^= target->hash;
	limit.draw = fs_random(&limit.draw);
	return tst_decide(&stats->tst, &limit, query->now_us);
}

bool bal_is_limited(const struct dir_target *target,
		    const struct bal_query *query)
{
	return statement_on(target, query) != TST_ACCEPTS;
}

/* Returns whether a target takes nothing at the moment. */
static bool is_closed(const struct dir_target *target,
		      const struct bal_query *query)
{
	return bal_is_full(target, query->now_us) ||
	       bal_is_limited(target, query);
}

bool bal_is_leaving(const struct dir_target *target)
{
	const struct bal_target *stats = target->user_data;

	return target->entry.leaving || (stats && stats->tst.leaving);
}

static bool is_avoided(const struct bal_query *query,
		       const struct dir_target *target)
{
	for (uint32_t i = 0; i < query->avoid_count; i++) {
		if (query->avoid[i] == target)
			return true;
	}
	return false;
}

/* xorshift; the seed of a query serves for all its targets. */
double bal_random(uint64_t *state)
{
	*state ^= *state << 13;
	*state ^= *state >> 7;
	*state ^= *state << 17;
	return (double)(*state >> 11) / (double)(1ULL << 53);
}

static double work_us(const struct dir_target *target,
		      const struct bal_target *stats, double mean_us,
		      int64_t now_us)
{
	double slots = MAX(target->entry.slots, 1);
	double busy = stats->own + stats->others;
	double us = mean_us * gry_slowness(&stats->gry, now_us) *
		    (1.0 + BAL_LOAD_SLOWDOWN * MIN(busy / slots, 1.0));

	return target->warm_us > now_us ? us * BAL_WARM_UP_FACTOR : us;
}

static double cost_of(struct dir_target *target, const struct bal_query *query,
		      struct bal_choice *out)
{
	struct bal_target *stats = bal_target_get(target, query->now_us);
	int64_t mean_us = query->mean_us ? query->mean_us : BAL_MEAN_DEFAULT_US;
	double us = work_us(target, stats, (double)mean_us, query->now_us);

	out->wait_us = bal_expected_wait(target, mean_us);
	out->failure = gry_failure_probability(&stats->gry, query->now_us);
	us += (double)out->wait_us * gry_slowness(&stats->gry, query->now_us);
	us += out->failure * (double)query->failure_cost_us;
	if (strcmp(target->entry.domain, query->domain) != 0)
		us += (double)query->cross_domain_cost_us;
	return us;
}

bool bal_is_eligible(const struct dir_target *target,
		     const struct bal_query *query)
{
	const struct bal_target *stats = target->user_data;

	return !bal_is_leaving(target) && !is_avoided(query, target) &&
	       (!stats || query->now_us - stats->gry.wrong_server_us >=
				  WRONG_SERVER_COOLDOWN_US);
}

/** When an idle target gets a trial request. */
struct trial_schedule {
	int64_t idle_us; /* since the last send, or failure: no trial before */
	int64_t mean_us; /* then the mean time to a trial by any node */
};

/* Faults may leave any few targets of a service healthy, so each target that
 * may be healthy has to get a request within 2 s, the age of the reports of
 * other nodes included. */
static const struct trial_schedule schedule_healthy = {
	800 * FS_US_PER_MS,
	400 * FS_US_PER_MS,
};

/* Of the targets that failed once, one in three fails the next request as
 * well, whenever it comes. The same holds for those whose last request
 * succeeded after several failures. */
static const struct trial_schedule schedule_degraded = {
	1200 * FS_US_PER_MS,
	500 * FS_US_PER_MS,
};

/* Of the targets that failed twice in a row, two in three go on failing. The
 * fault episode may have ended with the last failure; then the target counts
 * as healthy 2 s later and has to be detected within the 2 s that follow. */
static const struct trial_schedule schedule_failing = {
	2900 * FS_US_PER_MS,
	500 * FS_US_PER_MS,
};

/* The same for requests that must not be retried: fault episodes are longer
 * than that, and most trials would cost a caller its request. */
static const struct trial_schedule schedule_failing_no_retry = {
	4500 * FS_US_PER_MS,
	1000 * FS_US_PER_MS,
};

/* Most work there misses its objective. Slow episodes last longer. */
static const struct trial_schedule schedule_slow = {
	5000 * FS_US_PER_MS,
	1200 * FS_US_PER_MS,
};

/* Most failures come at once: a request that was sent after the last failure,
 * and has not failed since, succeeds or hangs. */
static bool is_trial_under_way(const struct bal_target *stats, int64_t now_us)
{
	return stats->sent_us > stats->gry.failed_us &&
	       now_us - stats->sent_us > PROPAGATION_US;
}

static const struct trial_schedule *schedule_of(const struct bal_target *stats,
						const struct bal_query *query)
{
	const struct gry *gry = &stats->gry;
	double slowness = gry_slowness(gry, query->now_us);
	double failure = gry_failure_probability(gry, query->now_us);

	if (slowness >= SLOW_FACTOR)
		return &schedule_slow;
	if (!query->repeatable && failure > FAILING_PROBABILITY)
		return &schedule_failing_no_retry;
	if (gry->consecutive_failures >= FAILING_RUN &&
	    !is_trial_under_way(stats, query->now_us))
		return query->repeatable ? &schedule_failing :
					   &schedule_failing_no_retry;
	if (gry->consecutive_failures || slowness > 1.0 ||
	    failure > HEALTHY_PROBABILITY)
		return &schedule_degraded;
	return &schedule_healthy;
}

/* Returns the share of this node's requests to send to a target that is due
 * for a trial; 0 if it is not. A degraded target gets fewer at a time, so that
 * hanging work does not pile up. */
static double due_share(struct dir_target *target,
			const struct bal_query *query)
{
	const struct bal_target *stats = bal_target_get(target, query->now_us);
	const struct trial_schedule *schedule;
	bool degraded;
	bool other_domain = strcmp(target->entry.domain, query->domain) != 0;
	double share = other_domain ? 1.0 - query->domain_share :
				      query->domain_share;
	int64_t last_us = stats->sent_us;

	/* No schedule has a shorter time. */
	if (query->now_us - last_us < schedule_healthy.idle_us)
		return 0;
	schedule = schedule_of(stats, query);
	degraded = schedule != &schedule_healthy;
	if (!bal_is_eligible(target, query) || is_closed(target, query) ||
	    in_flight_of(stats) >= (degraded ? MAX(target->entry.slots / 2, 1) :
					       MAX(target->entry.slots, 1)) ||
	    (other_domain &&
	     query->cross_domain_cost_us > CROSS_DOMAIN_TRIAL_COST_MAX_US))
		return 0;
	if (degraded)
		last_us = MAX(last_us, stats->gry.failed_us);
	if (query->now_us - last_us <
	    schedule->idle_us + (other_domain ? CROSS_DOMAIN_DELAY_US : 0))
		return 0;
	return FS_US_PER_S /
	       (double)(stats->gry.has_outcome ? schedule->mean_us :
						 NEW_TARGET_MEAN_US) /
	       MAX(query->rate * share, RATE_MIN);
}

/* Returns a target that is due for a trial, or NULL. All nodes together reach
 * the wanted rate of trials; the target is selected at random, so that nodes
 * without the counts of each other seldom collide. */
static struct dir_target *choose_due(const struct dir_service *service,
				     const struct bal_query *query,
				     uint64_t *random)
{
	struct dir_target *chosen = NULL;
	double sum = 0;

	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		double share = due_share(target, query);

		if (share <= 0)
			continue;
		sum += share;
		if (bal_random(random) * sum < share)
			chosen = target;
	}
	return bal_random(random) < MIN(sum, TRIAL_SHARE_MAX) ? chosen : NULL;
}

/* Returns the share of targets to skip: 0 while the free slots hold what all
 * nodes send within the propagation delay. */
static double skip_share(const struct dir_service *service,
			 const struct bal_query *query)
{
	double unreported = query->rate * (double)PROPAGATION_US / FS_US_PER_S;
	double free_slots = 0;
	uint32_t usable = 0;
	uint32_t saturated = 0;

	for (uint32_t i = 0; i < service->targets->len; i++) {
		struct dir_target *target =
			g_ptr_array_index(service->targets, i);
		const struct bal_target *stats =
			bal_target_get(target, query->now_us);
		uint32_t slots = target->entry.slots;

		if (!bal_is_eligible(target, query) ||
		    tst_has_statement(&stats->tst, query->now_us) ||
		    gry_is_suspected(&stats->gry, query->now_us))
			continue;
		usable++;
		saturated += in_flight_of(stats) >= slots;
		free_slots += slots - MIN(in_flight_of(stats), slots);
	}
	if (!usable || free_slots >= unreported)
		return 0.0;
	return SKIP_SHARE * saturated / usable *
	       (1.0 - free_slots / unreported);
}

void bal_note_closed(const struct dir_target *target,
		     const struct bal_query *query, struct bal_choice *choice)
{
	const struct bal_target *stats = target->user_data;

	if (bal_is_full(target, query->now_us) ||
	    statement_on(target, query) != TST_NOT_BEFORE)
		choice->full++;
	else if (!choice->not_before_us ||
		 stats->tst.not_before_us < choice->not_before_us)
		choice->not_before_us = stats->tst.not_before_us;
}

/* Returns the cheapest target; each one is skipped with probability @p skip. */
static struct bal_choice choose_cheapest(const struct dir_service *service,
					 const struct bal_query *query,
					 double skip, uint64_t *random)
{
	struct bal_choice best = {0};
	uint32_t count = service->targets->len;
	uint32_t start = (uint32_t)(query->random % count);
	double best_us = 0;

	for (uint32_t i = 0; i < MIN(count, SAMPLE_MAX); i++) {
		struct dir_target *target = g_ptr_array_index(
			service->targets, (start + i) % count);
		struct bal_choice one = {.target = target};
		double us;

		if (!bal_is_eligible(target, query))
			continue;
		if (is_closed(target, query)) {
			bal_note_closed(target, query, &best);
			continue;
		}
		best.usable++;
		if (skip > 0 && bal_random(random) < skip)
			continue;
		us = cost_of(target, query, &one) *
		     (1.0 + JITTER * bal_random(random));
		if (best.target && us >= best_us)
			continue;
		one.usable = best.usable;
		one.full = best.full;
		one.not_before_us = best.not_before_us;
		best = one;
		best_us = us;
	}
	best.cost_us = (int64_t)best_us;
	if (best.usable || best.full)
		best.not_before_us = 0;
	return best;
}

static struct bal_choice choose_by_count(const struct dir_service *service,
					 const struct bal_query *query,
					 uint64_t *random)
{
	double skip = skip_share(service, query);
	struct bal_choice best = choose_cheapest(service, query, skip, random);

	if (!best.target && best.usable)
		best = choose_cheapest(service, query, 0.0, random);
	return best;
}

struct bal_choice bal_choose(const struct dir_service *service,
			     const struct bal_query *query)
{
	struct bal_choice best = {0};
	uint64_t random = query->random | 1;
	struct dir_target *due;

	if (!service || !service->targets->len)
		return best;
	best = query->even ? bal_choose_even(service, query, &random) :
			     choose_by_count(service, query, &random);
	due = query->no_trial ? NULL : choose_due(service, query, &random);
	if (due)
		best = (struct bal_choice){
			.target = due,
			.usable = best.usable,
			.full = best.full,
			.failure = gry_failure_probability(
				&bal_target_get(due, 0)->gry, query->now_us),
		};
	return best;
}
