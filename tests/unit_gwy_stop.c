/* The gateway task during a planned stop: every request that was read ends with
 * an answer before the process exits. */
#include <string.h>
#include <sys/socket.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 3000\r\n"
#define PAY_HEAD "POST /pay/1 HTTP/1.1\r\n" FIELDS "Content-Length: 3\r\n\r\n"
#define PAY_REQUEST PAY_HEAD "a=1"
#define LIST_REQUEST "GET /list/1?q=1 HTTP/1.1\r\n" FIELDS "\r\n"
/* Ends before the routes' time-outs do. */
#define GRACE_US (1200 * FS_US_PER_MS)
#define LAST_ANSWER_US (850 * FS_US_PER_MS) /* from the start of the stop */
/* No connection is accepted and none is waited for any more. */
#define DRAINED_US (2500 * FS_US_PER_MS)
#define WORK_US (200 * FS_US_PER_MS)
#define STREAM_BYTES (200 * 1024)     /* too many to be buffered */
#define ERROR_US (300 * FS_US_PER_MS) /* before the answer is overdue */

static struct yard y;
static struct yard_caller c;

static void begin(void)
{
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

/* Never answers. */
static void serve_nothing(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	(void)conn;
	(void)request;
}

static void serve_at_once(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	yard_ok(conn, request, "x");
}

/* Answers after WORK_US. */
static void serve_slowly(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_later(conn,
			"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
			"Content-Length: 5\r\n\r\nhello",
			WORK_US);
}

/* Streams; the end comes between the last answer and the exit. */
static void serve_stream(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	g_autofree char *part = g_strnfill(STREAM_BYTES, 'x');
	g_autofree char *head =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
				"Content-Length: %d\r\n\r\n",
				STREAM_BYTES + 7);

	(void)arg;
	(void)request;
	fake_send_text(conn, head);
	fake_send_text(conn, part);
	fake_send_later(conn, "the end", LAST_ANSWER_US + 100 * FS_US_PER_MS);
}

/* Answers the first request of all targets together after WORK_US; the others
 * fail after ERROR_US. */
static void serve_late_error(void *arg, struct fake_conn *conn,
			     const struct fake_request *request)
{
	int *answered = arg;

	if (!(*answered)++)
		serve_slowly(NULL, conn, request);
	else
		fake_send_later(conn,
				"HTTP/1.1 500 No\r\nX-Id: r1\r\n"
				"Content-Length: 1\r\n\r\nx",
				ERROR_US);
}

/* Sends another request on the connection. */
static void send_again(const char *request)
{
	g_string_truncate(c.got, 0);
	g_assert_cmpint(send(c.fd, request, strlen(request), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(request));
}

/* The gateway learns the mean service time. */
static void serve_one(const char *request)
{
	yard_call(&y, &c, request);
	yard_expect(&y, &c, 200);
	yard_hang_up(&c);
}

/* Checks for a complete answer with that status. */
static void expect_whole(int status, const char *error)
{
	g_autofree char *line = g_strdup_printf("HTTP/1.1 %d ", status);

	yard_read(&c);
	g_assert_true(g_str_has_prefix(c.got->str, line));
	g_assert_nonnull(strstr(c.got->str, "Connection: close"));
	g_assert_nonnull(strstr(c.got->str, error));
	g_assert_true(g_str_has_suffix(c.got->str, "}\n"));
}

static void expect_retry_after(double min_s, double max_s)
{
	const char *field = strstr(c.got->str, "Retry-After: ");
	double s;

	g_assert_nonnull(field);
	s = g_ascii_strtod(field + strlen("Retry-After: "), NULL);
	g_assert_cmpfloat(s, >=, min_s);
	g_assert_cmpfloat(s, <=, max_s);
}

/* Guards against a connection that ends without an answer: the target still
 * works on the request when the process exits. */
static void test_unfinished_work_is_answered(void)
{
	begin();
	yard_target(&y, "pay", serve_nothing, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	yard_stop(&y);
	yard_exit(&y);
	expect_whole(504, "\"stopped\"");
	end();
}

/* Guards against a request without an answer whose body was still being sent
 * when the stop began. */
static void test_slow_body_is_answered(void)
{
	begin();
	yard_target(&y, "pay", serve_nothing, NULL);
	yard_call(&y, &c, PAY_HEAD);
	yard_run(&y, 20 * FS_US_PER_MS);
	yard_stop(&y);
	g_assert_cmpint(send(c.fd, "a=1", 3, MSG_NOSIGNAL), ==, 3);
	yard_exit(&y);
	expect_whole(504, "\"stopped\"");
	end();
}

/* Guards against work that begins late in a stop and is cut: a request that
 * can't end before the exit is refused at once, truly as not run. */
static void test_late_request_is_refused_as_not_run(void)
{
	int64_t sent_us;

	begin();
	yard_target(&y, "pay", serve_slowly, NULL);
	serve_one(PAY_REQUEST);
	yard_stop(&y);
	yard_run(&y, LAST_ANSWER_US - 2 * WORK_US);
	sent_us = fs_now_us();
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 503);
	g_assert_cmpint(fs_now_us() - sent_us, <, WORK_US / 2);
	g_assert_nonnull(strstr(c.got->str, "Retry-After: "));
	expect_whole(503, "\"stopping\"");
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

static void serve_long_at_once(void *arg, struct fake_conn *conn,
			       const struct fake_request *request)
{
	g_autofree char *body = g_strnfill(STREAM_BYTES, 'x');

	(void)arg;
	yard_ok(conn, request, body);
}

/* Guards against a long answer that is begun in a stop and whose caller reads past the
 * exit: another node has time for it. */
static void test_long_answer_is_left_to_another_node(void)
{
	begin();
	yard_target(&y, "list", serve_long_at_once, NULL);
	serve_one(LIST_REQUEST);
	yard_stop(&y);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 503);
	g_assert_nonnull(strstr(c.got->str, "Retry-After: "));
	expect_whole(503, "\"stopping\"");
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* Answers only the first request of all, after WORK_US. */
static void serve_first_only(void *arg, struct fake_conn *conn,
			     const struct fake_request *request)
{
	int *served = arg;

	if (!(*served)++)
		serve_slowly(NULL, conn, request);
}

/* Guards against a request that arrives late in a stop and is broken off at its
 * target, which counts as lost: the mean service time allows it to begin, but
 * this one takes longer. */
static void test_late_request_that_takes_long_is_not_begun(void)
{
	struct yard_caller slow;
	int served = 0;

	begin();
	y.node.set.stop_grace_us = 6 * FS_US_PER_S;
	yard_target(&y, "pay", serve_first_only, &served);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	yard_stop(&y);
	/* A body that does not end keeps the gateway running. */
	yard_call(&y, &slow, PAY_HEAD);
	yard_run(&y, 4800 * FS_US_PER_MS);
	send_again(PAY_REQUEST);
	yard_expect(&y, &c, 503);
	yard_exit(&y);
	expect_whole(503, "\"stopping\"");
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	yard_hang_up(&slow);
	end();
}

/* Guards against work that is begun late in a stop and broken off, because the
 * head of its request came early: its body ended after callers were to use other
 * nodes. */
static void test_late_body_is_not_begun(void)
{
	int served = 0;

	begin();
	y.node.set.stop_grace_us = 3500 * FS_US_PER_MS;
	yard_target(&y, "pay", serve_first_only, &served);
	serve_one(PAY_REQUEST);
	yard_stop(&y);
	yard_run(&y, 1900 * FS_US_PER_MS);
	yard_call(&y, &c, PAY_HEAD);
	yard_run(&y, 400 * FS_US_PER_MS);
	/* Four times the mean service time is left. */
	yard_send(&c, "a=1");
	yard_expect(&y, &c, 503);
	expect_whole(503, "\"stopping\"");
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* A stop with time to spare serves what arrives. */
static void test_early_request_is_served(void)
{
	begin();
	yard_target(&y, "pay", serve_slowly, NULL);
	serve_one(PAY_REQUEST);
	yard_stop(&y);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	end();
}

/* Guards against a retry that begins shortly before the exit and is cut: the
 * failure of the first attempt is the answer. */
static void test_late_retry_is_not_begun(void)
{
	int answered = 0;

	begin();
	yard_target(&y, "list", serve_late_error, &answered);
	yard_target(&y, "list", serve_late_error, &answered);
	serve_one(LIST_REQUEST);
	/* A retry would have half the mean service time. */
	y.node.set.stop_grace_us =
		GRACE_US - LAST_ANSWER_US + ERROR_US + WORK_US / 2;
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 2);
	yard_stop(&y);
	yard_expect(&y, &c, 500);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

/* Fails the first request of all targets at once, and never answers the others. */
static void serve_failure_first(void *arg, struct fake_conn *conn,
				const struct fake_request *request)
{
	int *served = arg;

	(void)request;
	if (!(*served)++)
		fake_send_text(conn, "HTTP/1.1 500 No\r\nX-Id: r1\r\n"
				     "Content-Length: 8\r\n\r\nits own\n");
}

/* Guards against a target's answer that is replaced by "stopped": it is a failure,
 * and its retry does not end before the exit. */
static void test_failure_outlasts_its_retry(void)
{
	int served = 0;

	begin();
	yard_target(&y, "list", serve_failure_first, &served);
	yard_target(&y, "list", serve_failure_first, &served);
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 2);
	yard_stop(&y);
	yard_exit(&y);
	yard_expect(&y, &c, 500);
	g_assert_true(g_str_has_suffix(c.got->str, "its own\n"));
	end();
}

/* Answers the first request of all targets together after WORK_US. The others
 * are refused as not run, too late in a stop of GRACE_US for a second attempt. */
static void serve_late_refusal(void *arg, struct fake_conn *conn,
			       const struct fake_request *request)
{
	int *answered = arg;

	if (!(*answered)++)
		serve_slowly(NULL, conn, request);
	else
		fake_send_later(conn,
				"HTTP/1.1 503 Full\r\nX-Id: r1\r\n"
				"X-Not-Run: 1\r\nContent-Length: 1\r\n\r\nx",
				LAST_ANSWER_US - WORK_US);
}

static void expect_refusal_of(uint32_t targets, const char *error,
			      double retry_after_min_s,
			      double retry_after_max_s)
{
	int answered = 0;

	begin();
	for (uint32_t i = 0; i < targets; i++)
		yard_target(&y, "pay", serve_late_refusal, &answered);
	serve_one(PAY_REQUEST);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 2);
	yard_stop(&y);
	yard_expect(&y, &c, 503);
	expect_whole(503, error);
	expect_retry_after(retry_after_min_s, retry_after_max_s);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

/* Guards against a caller that waits although any other node would serve it at
 * once: only the stop keeps its request from a second target. */
static void test_refused_attempt_sends_its_caller_on(void)
{
	expect_refusal_of(2, "\"stopping\"", 0.01, 0.01);
}

/* A service whose only target is full is full for other nodes, too. */
static void test_full_service_is_not_the_stop(void)
{
	expect_refusal_of(1, "\"target_refused\"", 0.2, 0.6);
}

/* Guards against a caller that waits for memory, or for a configuration, of a
 * node that is about to exit. */
static void test_lack_of_the_node_sends_its_caller_on(void)
{
	size_t bound;

	begin();
	bound = y.gwy->hld.bound;
	y.node.set.stop_grace_us = 800 * FS_US_PER_MS;
	yard_stop(&y);
	y.gwy->hld.bound = 1;
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 503);
	expect_whole(503, "\"entry_full\"");
	expect_retry_after(0.01, 0.01);
	yard_hang_up(&c);
	y.gwy->hld.bound = bound;
	y.node.ready = false;
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 503);
	expect_whole(503, "\"not_ready\"");
	expect_retry_after(0.01, 0.01);
	end();
}

/* Guards against a request that waits unsent until the exit: no target is
 * there, and its caller is told in time to try another node. */
static void test_unsent_request_is_refused(void)
{
	begin();
	yard_stop(&y);
	yard_call(&y, &c, LIST_REQUEST);
	yard_exit(&y);
	expect_whole(503, "\"no_target\"");
	end();
}

/* Guards against a route's time-out that is reported as the end of a stop, because
 * the caller allows more time than the stop leaves. */
static void test_time_out_is_not_the_stop(void)
{
	begin();
	y.node.set.stop_grace_us = 6 * FS_US_PER_S;
	yard_target(&y, "pay", serve_nothing, NULL);
	yard_stop(&y);
	yard_call(&y, &c,
		  "POST /pay/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
		  "X-Left: 9000\r\nContent-Length: 3\r\n\r\na=1");
	yard_expect(&y, &c, 504);
	expect_whole(504, "\"deadline\"");
	end();
}

/* Guards against an exit in the turn that queues the last answers: the process
 * was paused over the end of its stop. */
static void test_pause_over_the_end_still_answers(void)
{
	begin();
	yard_target(&y, "pay", serve_nothing, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	yard_stop(&y);
	g_usleep(GRACE_US);
	yard_exit(&y);
	expect_whole(504, "\"stopped\"");
	end();
}

/* Guards against a request that is read after the decision to exit, passed on,
 * and cut: in the turn of that decision and in the next one, in which the
 * process leaves its loop, connections are still served. */
static void test_request_that_crosses_the_exit_is_not_passed_on(void)
{
	begin();
	y.node.set.stop_grace_us = 6 * FS_US_PER_S;
	yard_target(&y, "list", serve_at_once, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	yard_stop(&y);
	yard_run(&y, DRAINED_US - 20 * FS_US_PER_MS);
	g_assert_false(y.stopped);
	g_assert_cmpint(
		send(c.fd, LIST_REQUEST, strlen(LIST_REQUEST), MSG_NOSIGNAL), >,
		0);
	g_usleep(60 * FS_US_PER_MS);
	yard_exit(&y);
	yard_run(&y, 20 * FS_US_PER_MS);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* Guards against a stream that is cut though it ends before the exit: unlike an
 * answer of the gateway's own, it needs no time to be sent after its end. */
static void test_stream_is_forwarded_until_the_exit(void)
{
	begin();
	yard_target(&y, "list", serve_stream, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	yard_stop(&y);
	while (!y.stopped) {
		yard_run(&y, 2000);
		yard_read(&c);
	}
	yard_exit(&y);
	yard_read(&c);
	g_assert_true(g_str_has_suffix(c.got->str, "the end"));
	end();
}

/* Guards against a deferred request that outlasts a short stop: the node has no
 * configuration yet. */
static void test_deferred_request_is_answered(void)
{
	begin();
	y.node.ready = false;
	y.node.set.stop_grace_us = 800 * FS_US_PER_MS;
	yard_call(&y, &c, PAY_REQUEST);
	yard_run(&y, 20 * FS_US_PER_MS);
	yard_stop(&y);
	yard_exit(&y);
	expect_whole(503, "\"not_ready\"");
	end();
}

/* Guards against requests that become whole after the last answer: they are not
 * passed on, and told so. */
static void test_request_after_the_last_answer_is_refused(void)
{
	struct yard_caller slow;

	begin();
	yard_target(&y, "pay", serve_at_once, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	yard_stop(&y);
	yard_call(&y, &slow, PAY_HEAD);
	yard_run(&y, LAST_ANSWER_US + 100 * FS_US_PER_MS);
	send_again(PAY_REQUEST);
	g_assert_cmpint(send(slow.fd, "a=1", 3, MSG_NOSIGNAL), ==, 3);
	yard_exit(&y);
	expect_whole(503, "\"stopping\"");
	yard_hang_up(&c);
	c = slow;
	expect_whole(503, "\"stopping\"");
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* A body in chunks that ends during the stop. */
static void test_chunked_body_is_answered(void)
{
	begin();
	yard_target(&y, "pay", serve_nothing, NULL);
	yard_call(&y, &c,
		  "POST /pay/1 HTTP/1.1\r\n" FIELDS
		  "Transfer-Encoding: chunked\r\n\r\n3\r\na=1\r\n");
	yard_run(&y, 20 * FS_US_PER_MS);
	yard_stop(&y);
	yard_run(&y, 20 * FS_US_PER_MS);
	g_assert_cmpint(send(c.fd, "0\r\n\r\n", 5, MSG_NOSIGNAL), ==, 5);
	yard_exit(&y);
	expect_whole(504, "\"stopped\"");
	end();
}

/* Guards against a log that claims an answer which was never sent: its caller
 * reads none of it until the exit. */
static void test_unsent_answer_is_logged(void)
{
	g_autofree char *log = NULL;
	GHashTableIter iter;
	void *request;
	int log_fd;

	begin();
	yard_target(&y, "list", serve_stream, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	g_hash_table_iter_init(&iter, y.gwy->requests);
	g_assert_true(g_hash_table_iter_next(&iter, &request, NULL));
	yard_shrink_sockets(&c, request);
	log_fd = yard_log_begin();
	yard_stop(&y);
	yard_exit(&y);
	log = yard_log_end(log_fd);
	g_assert_nonnull(strstr(log, "\"event\":\"answer_cut\""));
	g_assert_nonnull(strstr(log, "\"reason\":\"stopped\""));
	end();
}

static guint count(const char *text, const char *part)
{
	guint n = 0;

	while ((text = strstr(text, part))) {
		text += strlen(part);
		n++;
	}
	return n;
}

/* Sends two requests on one connection, the second one after some time. The
 * first one's answer says "close", upon which a second must not be handled. */
static void expect_first_only(int64_t pause_us)
{
	g_autofree char *log = NULL;
	int log_fd;

	begin();
	yard_target(&y, "pay", serve_slowly, NULL);
	yard_stop(&y);
	log_fd = yard_log_begin();
	if (pause_us) {
		yard_call(&y, &c, PAY_REQUEST);
		yard_run(&y, pause_us);
		yard_send(&c, PAY_REQUEST);
	} else {
		yard_call(&y, &c, PAY_REQUEST PAY_REQUEST);
	}
	yard_until(&y, (yard_read(&c), c.closed));
	yard_run(&y, WORK_US);
	log = yard_log_end(log_fd);
	g_assert_cmpuint(count(c.got->str, "HTTP/1.1 200 "), ==, 1);
	g_assert_cmpuint(count(c.got->str, "HTTP/1.1 "), ==, 1);
	g_assert_nonnull(strstr(c.got->str, "Connection: close"));
	g_assert_true(g_str_has_suffix(c.got->str, "hello"));
	g_assert_cmpuint(count(log, "\"event\":\"request\""), ==, 1);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* Guards against a request that is passed on, but not answered, behind one whose
 * answer closes the connection: both in one write, and apart. */
static void test_request_behind_a_close_is_not_passed_on(void)
{
	expect_first_only(0);
	expect_first_only(WORK_US / 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_stop/unfinished_work_is_answered",
			test_unfinished_work_is_answered);
	g_test_add_func("/gwy_stop/slow_body_is_answered",
			test_slow_body_is_answered);
	g_test_add_func("/gwy_stop/late_request_is_refused_as_not_run",
			test_late_request_is_refused_as_not_run);
	g_test_add_func("/gwy_stop/long_answer_is_left_to_another_node",
			test_long_answer_is_left_to_another_node);
	g_test_add_func("/gwy_stop/early_request_is_served",
			test_early_request_is_served);
	g_test_add_func("/gwy_stop/late_retry_is_not_begun",
			test_late_retry_is_not_begun);
	g_test_add_func("/gwy_stop/failure_outlasts_its_retry",
			test_failure_outlasts_its_retry);
	g_test_add_func("/gwy_stop/refused_attempt_sends_its_caller_on",
			test_refused_attempt_sends_its_caller_on);
	g_test_add_func("/gwy_stop/full_service_is_not_the_stop",
			test_full_service_is_not_the_stop);
	g_test_add_func("/gwy_stop/lack_of_the_node_sends_its_caller_on",
			test_lack_of_the_node_sends_its_caller_on);
	g_test_add_func("/gwy_stop/unsent_request_is_refused",
			test_unsent_request_is_refused);
	g_test_add_func("/gwy_stop/time_out_is_not_the_stop",
			test_time_out_is_not_the_stop);
	g_test_add_func("/gwy_stop/pause_over_the_end_still_answers",
			test_pause_over_the_end_still_answers);
	g_test_add_func(
		"/gwy_stop/request_that_crosses_the_exit_is_not_passed_on",
		test_request_that_crosses_the_exit_is_not_passed_on);
	g_test_add_func("/gwy_stop/late_request_that_takes_long_is_not_begun",
			test_late_request_that_takes_long_is_not_begun);
	g_test_add_func("/gwy_stop/late_body_is_not_begun",
			test_late_body_is_not_begun);
	g_test_add_func("/gwy_stop/stream_is_forwarded_until_the_exit",
			test_stream_is_forwarded_until_the_exit);
	g_test_add_func("/gwy_stop/deferred_request_is_answered",
			test_deferred_request_is_answered);
	g_test_add_func("/gwy_stop/request_after_the_last_answer_is_refused",
			test_request_after_the_last_answer_is_refused);
	g_test_add_func("/gwy_stop/chunked_body_is_answered",
			test_chunked_body_is_answered);
	g_test_add_func("/gwy_stop/request_behind_a_close_is_not_passed_on",
			test_request_behind_a_close_is_not_passed_on);
	g_test_add_func("/gwy_stop/unsent_answer_is_logged",
			test_unsent_answer_is_logged);
	return g_test_run();
}
