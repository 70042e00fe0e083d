/* Retries of repeatable requests: limits of attempts, budget and deadline. */
#include <string.h>

#include "fleet_dsp.h"

/** Number of first requests that fail, over all targets. */
struct plan {
	uint32_t failures;
	uint32_t requests;
};

static void serve_reset(void *arg, struct fake_conn *conn,
			const struct fake_request *request)
{
	struct plan *plan = arg;

	(void)request;
	if (plan->requests++ < plan->failures)
		fake_close(conn, true);
	else
		fake_ok(conn, "ok");
}

static void serve_truncated(void *arg, struct fake_conn *conn,
			    const struct fake_request *request)
{
	struct plan *plan = arg;

	(void)request;
	if (plan->requests++ < plan->failures) {
		fake_send_text(conn,
			       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\no");
		fake_close_after(conn);
	} else {
		fake_ok(conn, "ok");
	}
}

static void serve_error(void *arg, struct fake_conn *conn,
			const struct fake_request *request)
{
	struct plan *plan = arg;

	(void)request;
	if (plan->requests++ < plan->failures)
		fake_send_text(conn, "HTTP/1.1 500 Error\r\n"
				     "Content-Length: 0\r\n\r\n");
	else
		fake_ok(conn, "ok");
}

static void test_retry_on_other_server(gconstpointer data)
{
	struct plan plan = {.failures = 1};
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.serve = (fake_serve_fn)data,
					      .arg = &plan});
	scene_send(&s, 1, "list");
	scene_wait(&s, 1);
	scene_answered(&s, 1, 200);
	g_assert_cmpuint(scene_reply(&s, 1)->answer.tries, ==, 2);
	g_assert_cmpuint(fake_requests(s.fakes[0])->len, ==, 1);
	g_assert_cmpuint(fake_requests(s.fakes[1])->len, ==, 1);
	scene_end(&s);
}

static void test_attempts_are_bounded(void)
{
	struct plan plan = {.failures = 1000};
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 4,
					      .serve = serve_reset,
					      .arg = &plan});
	scene_send(&s, 1, "list");
	scene_send(&s, 2, "export");
	scene_wait(&s, 2);
	scene_refused(&s, 1, FS_E_TARGET_RESET, FS_UNKNOWN);
	scene_refused(&s, 2, FS_E_TARGET_RESET, FS_UNKNOWN);
	g_assert_cmpuint(scene_received(&s), ==, 3 + 2);
	scene_end(&s);
}

static void test_budget_bounds_retry_storm(void)
{
	struct plan plan = {.failures = 1000};
	struct scene s;
	uint32_t n = 60;
	int64_t began_us = fs_now_us();
	int64_t elapsed_s;

	scene_begin(&s, &(struct scene_setup){.targets = 4,
					      .slots = 6,
					      .queue = 64,
					      .serve = serve_reset,
					      .arg = &plan});
	for (uint64_t i = 1; i <= n; i++)
		scene_send(&s, i, "list");
	scene_wait(&s, n);
	elapsed_s = (fs_now_us() - began_us) / FS_US_PER_S + 1;
	g_assert_cmpint(scene_received(&s), <=, n + 10 + n / 10 + elapsed_s);
	scene_end(&s);
}

/* Reused connections give no answer; new ones work. */
static void serve_first_only(void *arg, struct fake_conn *conn,
			     const struct fake_request *request)
{
	(void)arg;
	if (request->nth == 1)
		fake_ok(conn, "ok");
}

static void test_stalled_connection(void)
{
	struct scene s;
	int64_t began_us;

	scene_begin(&s, &(struct scene_setup){.targets = 1,
					      .serve = serve_first_only});
	scene_send(&s, 1, "list");
	scene_wait(&s, 1);
	scene_answered(&s, 1, 200);
	began_us = fs_now_us();
	scene_send(&s, 2, "list");
	scene_wait(&s, 2);
	scene_answered(&s, 2, 200);
	g_assert_cmpuint(scene_reply(&s, 2)->answer.tries, ==, 2);
	g_assert_cmpint(fs_now_us() - began_us, <, FS_US_PER_S);
	g_assert_cmpuint(fake_accepted(s.fakes[0]), ==, 2);
	scene_end(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/dsp/retry_on_other_server/reset", serve_reset,
			     test_retry_on_other_server);
	g_test_add_data_func("/dsp/retry_on_other_server/truncated",
			     serve_truncated, test_retry_on_other_server);
	g_test_add_data_func("/dsp/retry_on_other_server/error", serve_error,
			     test_retry_on_other_server);
	g_test_add_func("/dsp/attempts_are_bounded", test_attempts_are_bounded);
	g_test_add_func("/dsp/budget_bounds_retry_storm",
			test_budget_bounds_retry_storm);
	g_test_add_func("/dsp/stalled_connection", test_stalled_connection);
	return g_test_run();
}
