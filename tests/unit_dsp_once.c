/* At-most-once execution, and outcomes reported in refusals. */
#include <string.h>

#include "fleet_dsp.h"

static void serve_nothing(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	(void)conn;
	(void)request;
}

static void serve_reset(void *arg, struct fake_conn *conn,
			const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_close(conn, true);
}

static void serve_busy(void *arg, struct fake_conn *conn,
		       const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_text(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
}

static void test_unwritten_is_retried(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){0});
	fake_refuse(s.fakes[0]);
	for (uint64_t i = 1; i <= 4; i++) {
		scene_send(&s, i, "pay");
		scene_wait(&s, (uint32_t)i);
		scene_answered(&s, i, 200);
	}
	g_assert_cmpuint(scene_received(&s), ==, 4);
	fake_refuse(s.fakes[1]);
	scene_send(&s, 5, "pay");
	scene_wait(&s, 5);
	scene_refused(&s, 5, FS_E_CONNECT, FS_NOT_RUN);
	scene_end(&s);
}

static void test_written_is_never_retried(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.serve = serve_reset});
	scene_send(&s, 1, "pay");
	scene_wait(&s, 1);
	scene_refused(&s, 1, FS_E_TARGET_RESET, FS_UNKNOWN);
	scene_run(&s, 300 * FS_US_PER_MS);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

static void test_target_refusal(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){
				.serve = serve_busy,
				.service = "    not_run_status: [503]\n"});
	scene_send(&s, 1, "pay");
	scene_wait(&s, 1);
	scene_answered(&s, 1, 503);
	g_assert_cmpint(scene_reply(&s, 1)->answer.outcome, ==, FS_NOT_RUN);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_send(&s, 2, "list");
	scene_wait(&s, 2);
	g_assert_cmpint(scene_reply(&s, 2)->answer.outcome, ==, FS_NOT_RUN);
	g_assert_cmpuint(scene_reply(&s, 2)->answer.tries, >, 1);
	scene_end(&s);
}

static void test_duplicates_are_dropped(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){0});
	scene_send(&s, 1, "pay");
	scene_send(&s, 1, "pay");
	scene_wait(&s, 1);
	scene_send(&s, 1, "pay");
	scene_run(&s, 100 * FS_US_PER_MS);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	g_assert_cmpuint(s.replies->len, ==, 1);
	scene_end(&s);
}

/* A cancel that arrives before its request cancels it for good. The outcome of
 * an earlier execution is unknown. */
static void test_cancel_of_unknown(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){0});
	scene_cancel(&s, 1);
	scene_wait(&s, 1);
	scene_refused(&s, 1, FS_E_CANCELLED, FS_UNKNOWN);
	scene_send(&s, 1, "pay");
	scene_wait(&s, 2);
	scene_refused(&s, 1, FS_E_CANCELLED, FS_NOT_RUN);
	scene_send(&s, 2, "pay");
	scene_wait(&s, 3);
	scene_answered(&s, 2, 200);
	scene_cancel(&s, 2);
	scene_wait(&s, 4);
	scene_refused(&s, 2, FS_E_CANCELLED, FS_UNKNOWN);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

/* Guards against running an expired request: the process is paused past the
 * deadline of a queued request while the slot it waits for becomes free. */
static void test_process_pause_past_deadline(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 1,
					      .slots = 1,
					      .deadline_ms = 200,
					      .serve = serve_nothing});
	scene_send(&s, 1, "pay");
	scene_send(&s, 2, "pay");
	scene_wait_target(&s, 1);
	g_usleep(400 * FS_US_PER_MS);
	scene_wait(&s, 2);
	scene_refused(&s, 1, FS_E_DEADLINE, FS_UNKNOWN);
	scene_refused(&s, 2, FS_E_DEADLINE_QUEUED, FS_NOT_RUN);
	scene_run(&s, 100 * FS_US_PER_MS);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

/* Tracks the most connections open at once at any target; each non-repeatable
 * request has its own connection. */
static void serve_slowly(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	uint32_t *most = arg;

	(void)request;
	*most = MAX(*most, fake_open(fake_of(conn)));
	fake_send_later(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			10 * FS_US_PER_MS);
}

static void test_slot_limit(void)
{
	struct scene s;
	uint32_t most = 0;

	scene_begin(&s, &(struct scene_setup){.queue = 64,
					      .serve = serve_slowly,
					      .arg = &most});
	for (uint64_t i = 1; i <= 40; i++)
		scene_send(&s, i, "pay");
	scene_wait(&s, 40);
	for (uint64_t i = 1; i <= 40; i++)
		scene_answered(&s, i, 200);
	g_assert_cmpuint(most, ==, 2);
	g_assert_cmpuint(scene_in_flight(&s), ==, 0);
	scene_end(&s);
}

static void test_full_queue_sheds_lower_priority(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 1,
					      .slots = 1,
					      .queue = 2,
					      .serve = serve_nothing});
	scene_send(&s, 1, "pay");
	scene_wait_target(&s, 1);
	scene_send(&s, 2, "export");
	scene_send(&s, 3, "list");
	scene_send(&s, 4, "export");
	scene_wait(&s, 1);
	scene_refused(&s, 4, FS_E_QUEUE_FULL, FS_NOT_RUN);
	g_assert_cmpint(scene_reply(&s, 4)->refusal.retry_after_us, >=,
			SLT_RETRY_AFTER_MIN_US);
	scene_send(&s, 5, "pay");
	scene_wait(&s, 2);
	scene_refused(&s, 2, FS_E_SHED, FS_NOT_RUN);
	scene_send(&s, 6, "pay");
	scene_wait(&s, 3);
	scene_refused(&s, 3, FS_E_SHED, FS_NOT_RUN);
	scene_send(&s, 7, "pay");
	scene_wait(&s, 4);
	scene_refused(&s, 7, FS_E_QUEUE_FULL, FS_NOT_RUN);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dsp/unwritten_is_retried", test_unwritten_is_retried);
	g_test_add_func("/dsp/written_is_never_retried",
			test_written_is_never_retried);
	g_test_add_func("/dsp/target_refusal", test_target_refusal);
	g_test_add_func("/dsp/duplicates_are_dropped",
			test_duplicates_are_dropped);
	g_test_add_func("/dsp/cancel_of_unknown", test_cancel_of_unknown);
	g_test_add_func("/dsp/process_pause_past_deadline",
			test_process_pause_past_deadline);
	g_test_add_func("/dsp/slot_limit", test_slot_limit);
	g_test_add_func("/dsp/full_queue_sheds_lower_priority",
			test_full_queue_sheds_lower_priority);
	return g_test_run();
}
