#include "adm.h"

/* The expected wait may take this share of the time left until the objective,
 * less the mean service time: service times vary, and load counts are a few
 * tenths of a second old. */
#define QUEUE_SLACK_SHARE 0.75
/* A request without an attempt is parked for at most this share of its
 * objective; a later refusal would only cost its caller time. */
#define PARK_OBJECTIVE_SHARE 0.3
/* Parked requests are refused with at most this many mean service times left. */
#define PARK_TIME_LEFT_MEANS 1.5
#define RETRY_AFTER_MIN_US (200 * FS_US_PER_MS)

static int64_t max_queue_wait_us(const struct adm_input *n)
{
	int64_t spare_us = n->objective_us - n->age_us - n->mean_us;

	return (int64_t)((double)MAX(spare_us, 0) * QUEUE_SLACK_SHARE);
}

enum adm_decision adm_decide(const struct adm_input *n)
{
	if (n->has_capacity && n->wait_us <= max_queue_wait_us(n))
		return ADM_SEND;
	if ((double)n->left_us <= (double)n->mean_us * PARK_TIME_LEFT_MEANS)
		return ADM_REFUSE;
	if (n->attempted ||
	    (double)n->age_us < (double)n->objective_us * PARK_OBJECTIVE_SHARE)
		return ADM_PARK;
	return ADM_REFUSE;
}

int64_t adm_retry_after(const struct adm_input *n)
{
	return MAX(n->wait_us - max_queue_wait_us(n), RETRY_AFTER_MIN_US);
}
