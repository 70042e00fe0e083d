/**
 * @file hlt_window.h
 * @brief Counts of outcomes in a sliding window, in HLT_WINDOW_BUCKETS steps.
 */
#ifndef HLT_WINDOW_H
#define HLT_WINDOW_H

#include "fs_types.h"

#define HLT_WINDOW_BUCKETS 10 /* of one window */

/** What is counted. */
struct hlt_counts {
	uint32_t good; /* whole answers in time */
	uint32_t slow; /* of these, slower than the peers */
	uint32_t bad;  /* errors, timeouts, overdue requests */
	uint32_t weak; /* failures on reused connections */
};

/** The window of one server. */
struct hlt_window {
	int64_t step_us; /* width of a bucket */
	int64_t step;	 /* number of the newest bucket */
	struct hlt_counts buckets[HLT_WINDOW_BUCKETS];
};

void hlt_window_init(struct hlt_window *window, int64_t window_us,
		     int64_t now_us);

/** Returns the counts of now, to be added to. */
struct hlt_counts *hlt_window_current(struct hlt_window *window,
				      int64_t now_us);

/** Adds up the window as of @p now_us. */
struct hlt_counts hlt_window_sum(struct hlt_window *window, int64_t now_us);

#endif
