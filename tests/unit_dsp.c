/* The dispatch task: answers, reported outcomes and cancels. */
#include <string.h>

#include "fleet_dsp.h"

static void serve_nothing(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	(void)conn;
	(void)request;
}

static void test_answers_complete(void)
{
	struct scene s;
	const struct msg *m;

	scene_begin(&s, &(struct scene_setup){0});
	scene_send(&s, 1, "pay");
	scene_send(&s, 2, "list");
	scene_wait(&s, 2);
	scene_answered(&s, 1, 200);
	scene_answered(&s, 2, 200);
	m = scene_reply(&s, 1);
	g_assert_cmpint(m->answer.outcome, ==, FS_ANSWERED);
	g_assert_cmpuint(g_bytes_get_size(m->answer.data), ==, 2);
	g_assert_cmpint(m->answer.length, ==, 2);
	g_assert_cmpuint(m->answer.tries, ==, 1);
	g_assert_cmpuint(scene_received(&s), ==, 2);
	g_assert_cmpuint(scene_in_flight(&s), ==, 0);
	scene_end(&s);
}

static void test_unknown_names_not_run(void)
{
	struct scene s;
	struct msg *m;

	scene_begin(&s, &(struct scene_setup){0});
	m = scene_request(&s, 1, "pay");
	m->request.shard = 7;
	bus_send(s.node.bus, m);
	scene_send(&s, 2, "elsewhere");
	scene_wait(&s, 2);
	scene_refused(&s, 1, FS_E_NOT_OWNER, FS_NOT_RUN);
	scene_refused(&s, 2, FS_E_NOT_OWNER, FS_NOT_RUN);
	scene_end(&s);
}

static void test_cancel_waiting_is_not_run(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 1,
					      .slots = 1,
					      .serve = serve_nothing});
	scene_send(&s, 1, "pay");
	scene_send(&s, 2, "pay");
	scene_wait_target(&s, 1);
	scene_cancel(&s, 2);
	scene_wait(&s, 1);
	scene_refused(&s, 2, FS_E_CANCELLED, FS_NOT_RUN);
	/* The running request was written: unknown outcome, and its slot is freed. */
	scene_cancel(&s, 1);
	scene_wait(&s, 2);
	scene_refused(&s, 1, FS_E_CANCELLED, FS_UNKNOWN);
	g_assert_cmpuint(scene_in_flight(&s), ==, 0);
	scene_run(&s, 50 * FS_US_PER_MS);
	g_assert_cmpuint(fake_open(s.fakes[0]), ==, 0);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dsp/answers_complete", test_answers_complete);
	g_test_add_func("/dsp/unknown_names_not_run",
			test_unknown_names_not_run);
	g_test_add_func("/dsp/cancel_waiting_is_not_run",
			test_cancel_waiting_is_not_run);
	return g_test_run();
}
