#include "hlt_window.h"

#include <string.h>

void hlt_window_init(struct hlt_window *window, int64_t window_us,
		     int64_t now_us)
{
	memset(window, 0, sizeof(*window));
	window->step_us = window_us / HLT_WINDOW_BUCKETS;
	window->step = now_us / window->step_us;
}

static void advance(struct hlt_window *window, int64_t now_us)
{
	int64_t step = now_us / window->step_us;

	if (step - window->step >= HLT_WINDOW_BUCKETS) {
		memset(window->buckets, 0, sizeof(window->buckets));
		window->step = step;
	}
	while (window->step < step) {
		window->step++;
		memset(&window->buckets[window->step % HLT_WINDOW_BUCKETS], 0,
		       sizeof(window->buckets[0]));
	}
}

struct hlt_counts *hlt_window_current(struct hlt_window *window, int64_t now_us)
{
	advance(window, now_us);
	return &window->buckets[window->step % HLT_WINDOW_BUCKETS];
}

struct hlt_counts hlt_window_sum(struct hlt_window *window, int64_t now_us)
{
	struct hlt_counts sum = {0};

	advance(window, now_us);
	for (int i = 0; i < HLT_WINDOW_BUCKETS; i++) {
		sum.good += window->buckets[i].good;
		sum.slow += window->buckets[i].slow;
		sum.bad += window->buckets[i].bad;
		sum.weak += window->buckets[i].weak;
	}
	return sum;
}
