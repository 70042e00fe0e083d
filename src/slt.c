#include "slt.h"

#include <stdlib.h>
#include <string.h>

#define SLT_SERVICE_TIME_PERMILLE 900 /* of a route's recent answers */

void slt_times_add(struct slt_times *times, int64_t us)
{
	if (times->count == SLT_TIMES)
		times->sum -= times->us[times->next];
	else
		times->count++;
	times->us[times->next] = us;
	times->sum += us;
	times->next = (times->next + 1) % SLT_TIMES;
}

int64_t slt_times_mean(const struct slt_times *times)
{
	return times->count ? times->sum / times->count : 0;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t slt_times_quantile(const struct slt_times *times, uint32_t permille)
{
	int64_t sorted[SLT_TIMES];

	if (!times->count)
		return 0;
	memcpy(sorted, times->us, sizeof(sorted[0]) * times->count);
	qsort(sorted, times->count, sizeof(sorted[0]), compare_times);
	return sorted[(times->count - 1) * permille / 1000];
}

int64_t slt_service_time(const struct slt_times *route, int64_t deadline_us)
{
	return MIN(slt_times_quantile(route, SLT_SERVICE_TIME_PERMILLE),
		   deadline_us / 2);
}

int64_t slt_expected_wait(const struct slt_inputs *n)
{
	int64_t wait = 0;

	if (n->usable > 0 && n->free_slots <= n->ahead)
		wait = (n->ahead - n->free_slots + 1) * n->hold_us / n->usable;
	return wait + n->service_time_us;
}

bool slt_queue_full(int64_t waiting, int64_t queue)
{
	return waiting >= queue;
}

bool slt_wait_too_long(int64_t expected_wait_us, int64_t remaining_us)
{
	return expected_wait_us >= remaining_us;
}

bool slt_no_target(int64_t usable)
{
	return usable == 0;
}

int slt_admit(const struct slt_inputs *n)
{
	if (slt_no_target(n->usable))
		return FS_E_NO_TARGET;
	if (slt_wait_too_long(slt_expected_wait(n), n->remaining_us))
		return FS_E_WAIT_TOO_LONG;
	if (n->free_slots <= n->ahead && slt_queue_full(n->waiting, n->queue))
		return FS_E_QUEUE_FULL;
	return 0;
}

int64_t slt_retry_after(const struct slt_inputs *n)
{
	return CLAMP(slt_expected_wait(n), SLT_RETRY_AFTER_MIN_US,
		     SLT_RETRY_AFTER_MAX_US);
}

bool slt_has_capacity(const struct slt_server *server)
{
	return !server->leaving && server->in_flight < server->allowed;
}

/* Whether @p a goes before @p b. */
static bool goes_before(const struct slt_server *a, const struct slt_server *b)
{
	if (a->last != b->last)
		return b->last;
	return (uint64_t)a->in_flight * b->allowed <
	       (uint64_t)b->in_flight * a->allowed;
}

uint32_t slt_choose(const struct slt_server *servers, uint32_t count,
		    uint32_t start, uint32_t avoid)
{
	uint32_t best = FS_NONE;

	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (start + n) % count;
		const struct slt_server *s = &servers[i];

		if ((avoid & (1U << i)) || !slt_has_capacity(s))
			continue;
		if (best == FS_NONE || goes_before(s, &servers[best]))
			best = i;
	}
	return best;
}
