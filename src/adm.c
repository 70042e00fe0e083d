#include "adm.h"

/* The expected wait may take this share of the time left until the objective,
 * less the mean service time: service times vary, and load counts are a few
 * tenths of a second old. */
#define QUEUE_SLACK_SHARE 0.75
/* A request that can still be parked joins only a queue of at most this many
 * mean service times: longer ones are left to requests with less time. */
#define SHORT_QUEUE_MEANS 0.8
/* Beyond this queue there is no room for those that yield to more urgent ones. */
#define YIELD_QUEUE_MEANS 0.4
/* Callers of yielding requests retry later than others, the less of their rank
 * is served, but not later than this many times. */
#define YIELD_RETRY_FACTOR_MAX 5.0
/* A request without an attempt is parked for at most this share of its
 * objective; a later refusal would only cost its caller time. */
#define PARK_OBJECTIVE_SHARE 0.3
/* A request with at most this many mean service times left is urgent: it is not
 * parked. */
#define URGENT_MEANS 1.5
#define RETRY_AFTER_MIN_US (200 * FS_US_PER_MS)
/* Nine of ten requests take no longer than two mean service times, and six of
 * ten no longer than one. */
#define EXIT_MEANS_FIRST 2.0
#define EXIT_MEANS_RETRY 1.0

static bool is_urgent(const struct adm_input *n)
{
	return (double)n->left_us <= (double)n->mean_us * URGENT_MEANS;
}

/* Many requests take far less than the mean service time, and those with short
 * deadlines are among them: the deadline alone limits an urgent one. */
static int64_t max_queue_wait_us(const struct adm_input *n)
{
	int64_t spare_us = n->objective_us - n->age_us - n->mean_us;

	if (is_urgent(n))
		spare_us = n->left_us;
	return (int64_t)((double)MAX(spare_us, 0) * QUEUE_SLACK_SHARE);
}

static bool yields(const struct adm_input *n)
{
	return n->yields && n->refusable;
}

static bool can_park(const struct adm_input *n)
{
	if (is_urgent(n) || yields(n))
		return false;
	return n->attempted || (double)n->age_us < (double)n->objective_us *
							   PARK_OBJECTIVE_SHARE;
}

bool adm_lacks_room(const struct adm_input *n)
{
	return !n->has_capacity ||
	       (double)n->wait_us > (double)n->mean_us * YIELD_QUEUE_MEANS;
}

enum adm_decision adm_decide(const struct adm_input *n)
{
	int64_t max_us = max_queue_wait_us(n);
	bool parkable = can_park(n);

	if (parkable)
		max_us = MIN(max_us,
			     (int64_t)((double)n->mean_us * SHORT_QUEUE_MEANS));
	if (yields(n) && adm_lacks_room(n))
		return ADM_REFUSE;
	if (n->has_capacity && n->wait_us <= max_us)
		return ADM_SEND;
	return parkable ? ADM_PARK : ADM_REFUSE;
}

bool adm_ends_before_exit(const struct adm_input *n)
{
	double means = n->refusable ? EXIT_MEANS_FIRST : EXIT_MEANS_RETRY;

	return (double)n->left_us >
	       (double)n->wait_us + means * (double)n->mean_us;
}

int64_t adm_retry_after(const struct adm_input *n)
{
	int64_t us = MAX(n->wait_us - max_queue_wait_us(n), RETRY_AFTER_MIN_US);

	if (!yields(n))
		return us;
	return (int64_t)((double)us / CLAMP(n->room_share,
					    1.0 / YIELD_RETRY_FACTOR_MAX, 1.0));
}
