/* Admission in virtual time, one test a pattern of load. No network, no clock.
 */
#include <glib.h>

#include "adm.h"

#define MS FS_US_PER_MS

/* A request that has just come, for work of 300 ms that is worth most within
 * 1.2 s. */
static struct adm_input fresh(int64_t wait_us)
{
	return (struct adm_input){
		.left_us = 3000 * MS,
		.objective_us = 1200 * MS,
		.mean_us = 300 * MS,
		.wait_us = wait_us,
		.room = true,
	};
}

/* Load below capacity: nothing is parked. */
static void test_short_queues_are_joined(void)
{
	struct adm_input n = fresh(0);

	g_assert_cmpint(adm_decide(&n), ==, ADM_SEND);
	n = fresh(400 * MS);
	g_assert_cmpint(adm_decide(&n), ==, ADM_SEND);
}

/* Load above capacity for long: whoever could only be answered late does not
 * make those behind it late as well. */
static void test_queue_does_not_outgrow_the_objective(void)
{
	struct adm_input n = fresh(1000 * MS);

	g_assert_cmpint(adm_decide(&n), ==, ADM_PARK);
	n.age_us = 600 * MS;
	n.left_us = 2400 * MS;
	g_assert_cmpint(adm_decide(&n), ==, ADM_REFUSE);
}

/* A short burst: a parked request goes as soon as a slot is free. */
static void test_parked_request_takes_a_free_slot(void)
{
	struct adm_input n = fresh(0);

	n.age_us = 1100 * MS;
	n.left_us = 1900 * MS;
	g_assert_cmpint(adm_decide(&n), ==, ADM_SEND);
}

/* All queues are full: a caller is not kept until its time is over. */
static void test_full_targets_refuse_in_time(void)
{
	struct adm_input n = fresh(0);

	n.room = false;
	g_assert_cmpint(adm_decide(&n), ==, ADM_PARK);
	n.age_us = 500 * MS;
	g_assert_cmpint(adm_decide(&n), ==, ADM_REFUSE);
}

/* A request that a target has turned away waits for another one as long as its
 * work can be done. */
static void test_turned_away_request_waits_longer(void)
{
	struct adm_input n = fresh(1000 * MS);

	n.offered = true;
	n.age_us = 1500 * MS;
	n.left_us = 1500 * MS;
	g_assert_cmpint(adm_decide(&n), ==, ADM_PARK);
	n.left_us = 400 * MS;
	g_assert_cmpint(adm_decide(&n), ==, ADM_REFUSE);
}

/* The longer the queue, the later callers come back. */
static void test_retry_after_follows_the_queue(void)
{
	struct adm_input n = fresh(600 * MS);

	g_assert_cmpint(adm_retry_after(&n), ==, 200 * MS);
	n.wait_us = 3000 * MS;
	g_assert_cmpint(adm_retry_after(&n), >, 2000 * MS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/adm/short_queues_are_joined",
			test_short_queues_are_joined);
	g_test_add_func("/adm/queue_does_not_outgrow_the_objective",
			test_queue_does_not_outgrow_the_objective);
	g_test_add_func("/adm/parked_request_takes_a_free_slot",
			test_parked_request_takes_a_free_slot);
	g_test_add_func("/adm/full_targets_refuse_in_time",
			test_full_targets_refuse_in_time);
	g_test_add_func("/adm/turned_away_request_waits_longer",
			test_turned_away_request_waits_longer);
	g_test_add_func("/adm/retry_after_follows_the_queue",
			test_retry_after_follows_the_queue);
	return g_test_run();
}
