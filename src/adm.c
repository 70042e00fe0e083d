#include "adm.h"

/* Of the time that is left until the objective when the work itself is taken
 * off, the queue may take this share: work differs, and so do counts that are a
 * few tenths of a second old. */
#define QUEUE_SHARE 0.75
/* A request that no target has had is parked for this share of its objective; a
 * refusal that comes later has cost its caller time for nothing. */
#define PARK_SHARE 0.3
/* Parked requests are given up when less than this many mean times are left. */
#define PARK_MEANS 1.5
#define RETRY_AFTER_MIN_US (200 * FS_US_PER_MS)

static int64_t queue_max(const struct adm_input *n)
{
	int64_t spare_us = n->objective_us - n->age_us - n->mean_us;

	return (int64_t)((double)MAX(spare_us, 0) * QUEUE_SHARE);
}

enum adm_decision adm_decide(const struct adm_input *n)
{
	if (n->room && n->wait_us <= queue_max(n))
		return ADM_SEND;
	if ((double)n->left_us <= (double)n->mean_us * PARK_MEANS)
		return ADM_REFUSE;
	if (n->offered ||
	    (double)n->age_us < (double)n->objective_us * PARK_SHARE)
		return ADM_PARK;
	return ADM_REFUSE;
}

int64_t adm_retry_after(const struct adm_input *n)
{
	return MAX(n->wait_us - queue_max(n), RETRY_AFTER_MIN_US);
}
