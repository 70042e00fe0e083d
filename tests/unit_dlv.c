/* Deliveries in virtual time: callers that read steadily, in bursts, or not at all. */
#include <glib.h>

#include "dlv.h"
#include "fs_types.h"

#define BEGIN_US (100 * FS_US_PER_S)
#define STALL_US (2 * FS_US_PER_S)
#define STEP_US (100 * FS_US_PER_MS)

static struct dlv dlv;

/* Guards against a limit on how long a caller may read. */
static void test_steady_reader_never_stalls(void)
{
	int64_t now_us = BEGIN_US;

	dlv_begin(&dlv, 1000, now_us);
	for (size_t left = 999; left; left--) {
		now_us += STALL_US - 1;
		g_assert_cmpint(dlv_update(&dlv, left, STALL_US, now_us), ==,
				DLV_MOVING);
	}
	now_us += STEP_US;
	g_assert_cmpint(dlv_update(&dlv, 0, STALL_US, now_us), ==,
			DLV_CONFIRMED);
	g_assert_cmpint(dlv.progress_us, ==, now_us);
	/* It stays so, with the time at which it became so. */
	g_assert_cmpint(dlv_update(&dlv, 0, STALL_US, now_us + STALL_US), ==,
			DLV_CONFIRMED);
	g_assert_cmpint(dlv.progress_us, ==, now_us);
}

static void test_silent_caller_stalls(void)
{
	dlv_begin(&dlv, 1000, BEGIN_US);
	g_assert_cmpint(
		dlv_update(&dlv, 1000, STALL_US, BEGIN_US + STALL_US - 1), ==,
		DLV_WAITING);
	g_assert_cmpint(dlv_update(&dlv, 1000, STALL_US, BEGIN_US + STALL_US),
			==, DLV_STALLED);
}

/* Guards against a caller that is taken for stalled although it reads: as much is written
 * as it confirms, for longer than a stall, and then no more. */
static void test_writes_hide_what_is_read(void)
{
	int64_t now_us = BEGIN_US;

	dlv_begin(&dlv, 1000, now_us);
	for (size_t left = 1001; left < 1100; left++) {
		now_us += STEP_US;
		g_assert_cmpint(dlv_update(&dlv, left, STALL_US, now_us), ==,
				DLV_WAITING);
	}
	g_assert_cmpint(dlv_update(&dlv, 1099, STALL_US, now_us + STEP_US), ==,
			DLV_WAITING);
}

/* What is written is no progress of the caller's, and hides none for good. */
static void test_more_is_written(void)
{
	dlv_begin(&dlv, 1000, BEGIN_US);
	g_assert_cmpint(dlv_update(&dlv, 5000, STALL_US, BEGIN_US + STEP_US),
			==, DLV_WAITING);
	g_assert_cmpint(
		dlv_update(&dlv, 4000, STALL_US, BEGIN_US + STALL_US - 1), ==,
		DLV_MOVING);
	g_assert_cmpint(
		dlv_update(&dlv, 4000, STALL_US, BEGIN_US + 2 * STALL_US - 1),
		==, DLV_STALLED);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dlv/steady_reader_never_stalls",
			test_steady_reader_never_stalls);
	g_test_add_func("/dlv/silent_caller_stalls", test_silent_caller_stalls);
	g_test_add_func("/dlv/writes_hide_what_is_read",
			test_writes_hide_what_is_read);
	g_test_add_func("/dlv/more_is_written", test_more_is_written);
	return g_test_run();
}
