/* The gateway task when it acts late: it was paused or busy over a deadline or over
 * the end of a planned stop, and what came in time lies unread in its sockets. */
#include <string.h>
#include <sys/resource.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 9000\r\n"
#define PAY_HEAD "POST /pay/1 HTTP/1.1\r\n" FIELDS "Content-Length: 3\r\n\r\n"
#define PAY_REQUEST PAY_HEAD "a=1"
#define LIST_REQUEST "GET /list/1?q=1 HTTP/1.1\r\n" FIELDS "\r\n"
/* Ends before the routes' time-outs do. */
#define GRACE_US (1200 * FS_US_PER_MS)
#define BEFORE_END_US (700 * FS_US_PER_MS)
#define PAUSE_US (300 * FS_US_PER_MS)
#define BUFFERED_BODY (126 * 1024)
#define CROWD 300 /* requests in flight at once */

static struct yard y;
static struct yard_caller c;
static struct fake_conn *held; /* whose request the test answers */
static const struct fake_request *held_request;

static void begin(void)
{
	held = NULL;
	yard_begin(&y);
	y.node.set.stop_grace_us = GRACE_US;
}

static void end(void)
{
	yard_hang_up(&c);
	if (y.gwy)
		yard_run(&y, 5000);
	yard_end(&y);
}

static void hold(void *arg, struct fake_conn *conn,
		 const struct fake_request *request)
{
	(void)arg;
	held = conn;
	held_request = request;
}

static void serve_ok(void *arg, struct fake_conn *conn,
		     const struct fake_request *request)
{
	(void)arg;
	yard_ok(conn, request, "hello");
}

/* Answers the first request of a connection, and holds the others. */
static void hold_later(void *arg, struct fake_conn *conn,
		       const struct fake_request *request)
{
	if (request->nth == 1)
		yard_ok(conn, request, "first");
	else
		hold(arg, conn, request);
}

/* One turn of the loop, in which the target writes; the gateway reads in the next
 * one. */
static void answer_unread(const char *body)
{
	yard_ok(held, held_request, body);
	ev_run(y.loop, EVRUN_NOWAIT);
}

static void expect_body(const char *body)
{
	yard_expect(&y, &c, 200);
	yard_until(&y, (yard_read(&c), g_str_has_suffix(c.got->str, body)));
}

/* The target's answer comes before the end of the stop, the process wakes up
 * after it. */
static void pause_over_the_end(const char *body, int64_t pause_us)
{
	begin();
	yard_target(&y, "pay", hold, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, held);
	yard_stop(&y);
	yard_run(&y, BEFORE_END_US);
	answer_unread(body);
	g_usleep(pause_us);
	yard_exit(&y);
	expect_body(body);
	end();
}

/* Guards against an answer of a target that is replaced by "stopped" though it
 * came in time. */
static void test_answer_before_the_end_is_passed_on(void)
{
	pause_over_the_end("hello", PAUSE_US);
}

/* The same with one that takes several reads. */
static void test_long_answer_before_the_end_is_passed_on(void)
{
	g_autofree char *body = g_strnfill(BUFFERED_BODY, 'x');

	pause_over_the_end(body, PAUSE_US);
}

/* The same with a pause over the exit as well. */
static void test_long_answer_before_the_exit_is_passed_on(void)
{
	g_autofree char *body = g_strnfill(BUFFERED_BODY, 'x');

	pause_over_the_end(body, GRACE_US);
}

/* The same at the time-out of a route. */
static void test_long_answer_before_the_time_out_is_passed_on(void)
{
	g_autofree char *body = g_strnfill(BUFFERED_BODY, 'x');

	begin();
	yard_target(&y, "pay", hold, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, held);
	yard_run(&y, YARD_TIMEOUT_MS * FS_US_PER_MS - PAUSE_US / 2);
	answer_unread(body);
	g_usleep(PAUSE_US);
	expect_body(body);
	end();
}

static void hold_one_more(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)request;
	g_ptr_array_add(arg, conn);
}

/* Guards against answers that are given up because a turn of the loop does not reach all
 * sockets, though all came in time. */
static void test_answers_of_many_before_the_time_out_are_passed_on(void)
{
	g_autoptr(GPtrArray) conns = g_ptr_array_new();
	struct yard_caller callers[CROWD];
	struct rlimit files;
	struct fake *fake;
	int64_t start_us;

	getrlimit(RLIMIT_NOFILE, &files);
	files.rlim_cur = files.rlim_max;
	setrlimit(RLIMIT_NOFILE, &files);
	begin();
	fake = yard_target(&y, "list", hold_one_more, conns);
	dir_target_find(y.dir, "s0")->entry.slots = 10 * CROWD;
	start_us = fs_now_us();
	for (guint i = 0; i < CROWD; i++) {
		yard_call(&y, &callers[i], LIST_REQUEST);
		if (i % 4 == 0)
			yard_run(&y, FS_US_PER_MS);
	}
	yard_until(&y, conns->len == CROWD);
	g_assert_cmpuint(fake_open(fake), ==, CROWD);
	yard_run(&y, start_us + (YARD_TIMEOUT_MS - 150) * FS_US_PER_MS -
			     fs_now_us());
	for (guint i = 0; i < CROWD; i++) {
		fake_send_text(conns->pdata[i],
			       "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
			       "Content-Length: 5\r\n\r\nhello");
		fake_flush(conns->pdata[i]);
	}
	g_usleep(YARD_TIMEOUT_MS * FS_US_PER_MS);
	for (guint i = 0; i < CROWD; i++) {
		yard_expect(&y, &callers[i], 200);
		yard_hang_up(&callers[i]);
	}
	yard_call(&y, &c, "");
	end();
}

/* The same on a connection from the pool, whose socket is found otherwise. */
static void test_answer_on_a_pooled_connection_is_passed_on(void)
{
	begin();
	yard_target(&y, "list", hold_later, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	expect_body("first");
	yard_send(&c, LIST_REQUEST);
	yard_until(&y, held);
	yard_run(&y, YARD_TIMEOUT_MS * FS_US_PER_MS - PAUSE_US / 2);
	answer_unread("second");
	g_usleep(PAUSE_US);
	expect_body("second");
	end();
}

static double failure_probability(const char *id)
{
	struct dir_target *target = dir_target_find(y.dir, id);

	return gry_failure_probability(
		&bal_target_get(target, fs_now_us())->gry, fs_now_us());
}

/* Guards against evidence against a target, and a hedge, for an answer that came
 * in time and was read late. */
static void test_pause_is_no_evidence_against_a_target(void)
{
	double before;

	begin();
	yard_target(&y, "list", hold, NULL);
	yard_target(&y, "list", hold, NULL);
	before = failure_probability("s0") + failure_probability("s1");
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, held);
	yard_run(&y, PAUSE_US);
	answer_unread("hello");
	g_usleep(YARD_TIMEOUT_MS / 2 * FS_US_PER_MS);
	expect_body("hello");
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	g_assert_cmpfloat(failure_probability("s0") + failure_probability("s1"),
			  <=, before);
	end();
}

/* Guards against a request that is passed on though its caller has hung up: it
 * waited for a target with capacity, and both came during the pause. */
static void test_caller_that_left_in_a_pause_is_not_served(void)
{
	struct bal_target *state;

	begin();
	yard_target(&y, "pay", serve_ok, NULL);
	state = bal_target_get(dir_target_find(y.dir, "s0"), fs_now_us());
	state->others = 30;
	state->sent_us = fs_now_us();
	yard_call(&y, &c, PAY_REQUEST);
	yard_run(&y, 20 * FS_US_PER_MS);
	g_assert_cmpuint(g_hash_table_size(y.gwy->requests), ==, 1);
	state->others = 0;
	yard_hang_up(&c);
	g_usleep(100 * FS_US_PER_MS);
	yard_until(&y, !g_hash_table_size(y.gwy->requests));
	yard_run(&y, 20 * FS_US_PER_MS);
	g_assert_cmpuint(yard_arrivals(&y), ==, 0);
	yard_call(&y, &c, "");
	end();
}

/* Guards against a connection that is closed with a request in it, because its idle
 * limit passed while the process was paused; the same with the end of a body. */
static void test_request_before_a_long_pause_is_served(void)
{
	const struct yard_config config = {
		.version = 2,
		.idle_us = FS_US_PER_S / 2,
		.timeout_us = 8 * FS_US_PER_S,
	};
	struct yard_caller slow;

	begin();
	yard_configure(&y, &config);
	yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	expect_body("hello");
	yard_call(&y, &slow, PAY_HEAD);
	yard_run(&y, 20 * FS_US_PER_MS);
	yard_send(&c, PAY_REQUEST);
	yard_send(&slow, "a=1");
	g_usleep(3500 * FS_US_PER_MS);
	expect_body("hello");
	yard_hang_up(&c);
	c = slow;
	expect_body("hello");
	end();
}

/* An answer that is still on its way ends in time all the same. */
static void test_unfinished_answer_ends_at_the_time_out(void)
{
	begin();
	yard_target(&y, "pay", hold, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, held);
	fake_send_text(held, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n");
	ev_run(y.loop, EVRUN_NOWAIT);
	g_usleep(YARD_TIMEOUT_MS * FS_US_PER_MS);
	yard_expect(&y, &c, 504);
	end();
}

#define ADD(name) g_test_add_func("/gwy_late/" #name, test_##name)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	ADD(answer_before_the_end_is_passed_on);
	ADD(long_answer_before_the_end_is_passed_on);
	ADD(long_answer_before_the_exit_is_passed_on);
	ADD(long_answer_before_the_time_out_is_passed_on);
	ADD(answers_of_many_before_the_time_out_are_passed_on);
	ADD(answer_on_a_pooled_connection_is_passed_on);
	ADD(pause_is_no_evidence_against_a_target);
	ADD(caller_that_left_in_a_pause_is_not_served);
	ADD(request_before_a_long_pause_is_served);
	ADD(unfinished_answer_ends_at_the_time_out);
	return g_test_run();
}
