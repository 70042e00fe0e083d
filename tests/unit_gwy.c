/* The gateway task: forwarded answers, retries, deadlines and cancellation. */
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 3000\r\n"
#define PAY_REQUEST \
	"POST /pay/1 HTTP/1.1\r\n" FIELDS "Content-Length: 3\r\n\r\na=1"
#define LONG_BODY (300 * 1024) /* bytes; streamed, not buffered */
#define MEMORY (60 * 1024)     /* bytes; of both heads of a request, about */
#define LONG_QUEUE 30	       /* requests: a wait of over two seconds */
#define LIST_REQUEST "GET /list/1?q=1 HTTP/1.1\r\n" FIELDS "\r\n"

static struct yard y;
static struct yard_caller c;

static void begin(void)
{
	yard_begin(&y);
}

static void end(void)
{
	yard_hang_up(&c);
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

static void serve_ok(void *arg, struct fake_conn *conn,
		     const struct fake_request *request)
{
	(void)arg;
	yard_ok(conn, request, "hello");
}

/* Fails the first request of all targets together, then answers. */
static void serve_error_once(void *arg, struct fake_conn *conn,
			     const struct fake_request *request)
{
	int *failed = arg;

	if ((*failed)++)
		yard_ok(conn, request, "second");
	else
		fake_send_text(conn, "HTTP/1.1 500 No\r\nX-Id: r1\r\n"
				     "Content-Length: 1\r\n\r\nx");
}

static void serve_shed_once(void *arg, struct fake_conn *conn,
			    const struct fake_request *request)
{
	int *shed = arg;

	if ((*shed)++)
		yard_ok(conn, request, "second");
	else
		fake_send_text(conn, "HTTP/1.1 503 Full\r\nX-Id: r1\r\n"
				     "X-Not-Run: 1\r\n"
				     "Content-Length: 0\r\n\r\n");
}

static void serve_reset(void *arg, struct fake_conn *conn,
			const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_close(conn, true);
}

/* A body that ends with its connection. */
static void serve_unframed(void *arg, struct fake_conn *conn,
			   const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_text(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
			     "X-Seal: z\r\n\r\nunframed");
	fake_close_after(conn);
}

static void serve_wrong_request_id(void *arg, struct fake_conn *conn,
				   const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_text(conn, "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
			     "Content-Length: 1\r\n\r\nx");
}

/* A success that names the request, without the target's seal. */
static void serve_without_seal(void *arg, struct fake_conn *conn,
			       const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_text(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
			     "Content-Length: 5\r\n\r\nhello");
}

static void test_buffered_answer(void)
{
	const struct fake_request *r;
	g_autofree char *left_ms = NULL;
	g_autofree char *instance = NULL;
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	g_assert_true(g_str_has_suffix(c.got->str, "\r\n\r\nhello"));
	g_assert_nonnull(strstr(c.got->str, "X-Seal: z\r\n"));
	r = g_ptr_array_index(fake_requests(target), 0);
	g_assert_true(g_str_has_prefix(r->head, "POST /pay/1 HTTP/1.1\r\n"));
	g_assert_cmpuint(r->body_size, ==, 3);
	instance = yard_field(r, "X-For");
	g_assert_cmpstr(instance, ==, "s0");
	left_ms = yard_field(r, "X-Left");
	g_assert_cmpint(atoi(left_ms), <=, YARD_TIMEOUT_MS);
	g_assert_cmpint(atoi(left_ms), >, YARD_TIMEOUT_MS - 300);
	end();
}

/* A waiting request uses no CPU: the loop sleeps until the answer. */
static void test_waiting_does_not_spin(void)
{
	unsigned int before;

	begin();
	yard_target(&y, "list", serve_nothing, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	before = ev_iteration(y.loop);
	yard_run(&y, FS_US_PER_S / 2);
	g_assert_cmpuint(ev_iteration(y.loop) - before, <, 50);
	end();
}

static void test_failure_is_retried_if_safe(void)
{
	int failed = 0;

	begin();
	yard_target(&y, "list", serve_error_once, &failed);
	yard_target(&y, "list", serve_error_once, &failed);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	g_assert_true(g_str_has_suffix(c.got->str, "second"));
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

static void serve_error_then_shed(void *arg, struct fake_conn *conn,
				  const struct fake_request *request)
{
	int *served = arg;

	(void)request;
	fake_send_text(conn,
		       (*served)++ ?
			       "HTTP/1.1 503 Full\r\nX-Id: r1\r\n"
			       "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" :
			       "HTTP/1.1 500 No\r\nX-Id: r1\r\n"
			       "Content-Length: 3\r\n\r\nown");
}

/* Guards against a target's failure that is replaced by one of the gateway's, as
 * the target of the retry refuses it. */
static void test_failure_is_forwarded_if_retry_is_refused(void)
{
	int served = 0;

	begin();
	yard_target(&y, "list", serve_error_then_shed, &served);
	yard_target(&y, "list", serve_error_then_shed, &served);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 500);
	g_assert_true(g_str_has_suffix(c.got->str, "own"));
	end();
}

static void test_failure_is_forwarded_if_unsafe(void)
{
	int failed = 0;

	begin();
	yard_target(&y, "pay", serve_error_once, &failed);
	yard_target(&y, "pay", serve_error_once, &failed);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 500);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* Puts so many requests of other nodes at a target that its queue outlasts the
 * deadline, or marks it as failing. */
static void put_load(const char *id, uint32_t others)
{
	struct bal_target *state =
		bal_target_get(dir_target_find(y.dir, id), fs_now_us());

	state->others = others;
	state->sent_us = fs_now_us();
	if (!others)
		for (int i = 0; i < 3; i++)
			gry_record_outcome(&state->gry, GRY_FAILED, 1.0,
					   fs_now_us());
}

/* A healthy target with a long queue, and a free one that is suspected. */
static void begin_saturated(const char *service)
{
	begin();
	yard_target(&y, service, serve_ok, NULL);
	yard_target(&y, service, serve_ok, NULL);
	put_load("s0", LONG_QUEUE);
	put_load("s1", 0);
}

/* Saturated service: guards against a refusal of a safe request while a
 * suspected target is free, and against an unsafe one that is sent there. */
static void test_last_resort_is_for_safe_requests(void)
{
	begin_saturated("list");
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	end();
	begin_saturated("pay");
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 503);
	g_assert_cmpuint(yard_arrivals(&y), ==, 0);
	end();
}

static void test_not_run_is_retried(void)
{
	int shed = 0;

	begin();
	yard_target(&y, "pay", serve_shed_once, &shed);
	yard_target(&y, "pay", serve_shed_once, &shed);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

/* After a reset an unsafe request may have run: no retry, and no answer that
 * states that it has not run. */
static void test_reset_may_have_run(void)
{
	begin();
	yard_target(&y, "pay", serve_reset, NULL);
	yard_target(&y, "pay", serve_reset, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 502);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

static void test_unreachable_is_not_run(void)
{
	begin();
	fake_refuse(yard_target(&y, "pay", serve_ok, NULL));
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 503);
	g_assert_nonnull(strstr(c.got->str, "Retry-After: 0."));
	end();
}

static void test_unframed_answer_is_whole(void)
{
	begin();
	yard_target(&y, "pay", serve_unframed, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	g_assert_true(g_str_has_suffix(c.got->str, "unframed"));
	end();
}

static void test_wrong_request_id_is_rejected(void)
{
	begin();
	yard_target(&y, "pay", serve_wrong_request_id, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 502);
	end();
}

static void test_success_without_seal_is_rejected(void)
{
	begin();
	yard_target(&y, "pay", serve_without_seal, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 502);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* The request is refused when the route's time limit expires, not later. */
static void test_route_deadline(void)
{
	int64_t started_us;

	begin();
	yard_target(&y, "pay", serve_nothing, NULL);
	started_us = fs_now_us();
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 504);
	g_assert_cmpint(fs_now_us() - started_us, <,
			(YARD_TIMEOUT_MS + 250) * FS_US_PER_MS);
	end();
}

/* A caller that disconnects cancels its request: the connection to the target
 * is closed well within half a second. */
static void test_disconnect_cancels_attempts(void)
{
	struct fake *target;
	struct yard_caller other;

	begin();
	target = yard_target(&y, "list", serve_nothing, NULL);
	yard_call(&y, &other, LIST_REQUEST);
	yard_until(&y, fake_open(target) == 1);
	yard_hang_up(&other);
	yard_run(&y, 200 * FS_US_PER_MS);
	g_assert_cmpuint(fake_open(target), ==, 0);
	yard_call(&y, &c, LIST_REQUEST);
	end();
}

/* Hangs on the first request of all targets together, then sends a body that
 * is too long to be buffered. */
static void serve_long_second(void *arg, struct fake_conn *conn,
			      const struct fake_request *request)
{
	int *served = arg;
	g_autofree char *body = NULL;

	if (!(*served)++)
		return;
	body = g_strnfill(LONG_BODY, 'x');
	yard_ok(conn, request, body);
}

/* A hedge beside an attempt that hangs: the first is cancelled when the answer
 * of the second starts to stream. */
static void test_stream_cancels_other_attempts(void)
{
	int served = 0;

	begin();
	yard_target(&y, "list", serve_long_second, &served);
	yard_target(&y, "list", serve_long_second, &served);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	yard_until(&y, (yard_read(&c), c.got->len > LONG_BODY));
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	g_assert_cmpuint(fake_open(y.targets[0]) + fake_open(y.targets[1]), <=,
			 1);
	end();
}

/* A hedge beside an attempt in flight finds no capacity: the request is not
 * parked, so that the pending answer stays the only one. */
static void test_no_parking_with_attempt_in_flight(void)
{
	struct dir_target *full;
	GHashTableIter iter;
	void *req;

	begin();
	yard_target(&y, "list", serve_nothing, NULL);
	yard_target(&y, "list", serve_ok, NULL);
	full = dir_target_find(y.dir, "s1");
	bal_target_get(full, fs_now_us())->others = 20;
	gry_record_outcome(&bal_target_get(full, 0)->gry, GRY_FULL, 1.0,
			   fs_now_us());
	bal_note_full(full, fs_now_us());
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	g_hash_table_iter_init(&iter, y.gwy->requests);
	g_assert_true(g_hash_table_iter_next(&iter, &req, NULL));
	g_assert_cmpuint(((struct gwy_request *)req)->attempts_in_flight, ==,
			 1);
	g_assert_false(gwy_send_retry(req, fs_now_us()));
	g_assert_false(((struct gwy_request *)req)->parked);
	yard_run(&y, 200 * FS_US_PER_MS);
	g_assert_cmpuint(((struct gwy_request *)req)->attempts_in_flight, ==,
			 1);
	end();
}

/* Answers with a head of about the size that the argument points to. */
static void serve_long_head(void *arg, struct fake_conn *conn,
			    const struct fake_request *request)
{
	g_autofree char *value = g_strnfill(*(size_t *)arg, 'v');
	g_autofree char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
				"Content-Length: 1\r\nX-Long: %s\r\n\r\nx",
				value);

	(void)request;
	fake_send_text(conn, answer);
}

static void call_with_long_heads(size_t request_bytes, size_t answer_bytes)
{
	g_autofree char *value = g_strnfill(request_bytes, 'v');
	g_autofree char *request =
		g_strdup_printf("POST /pay/1 HTTP/1.1\r\n" FIELDS
				"X-Long: %s\r\nContent-Length: 1\r\n\r\na",
				value);

	begin();
	yard_target(&y, "pay", serve_long_head, &answer_bytes);
	yard_call(&y, &c, request);
	yard_expect(&y, &c, request_bytes + answer_bytes < MEMORY ? 200 : 502);
	end();
}

/* Guards against a connection that closes without an answer, as the head of its
 * answer does not fit in its memory. */
static void test_long_heads_are_answered(void)
{
	for (size_t i = 1 << 10; i < 16 << 10; i += 8 << 10)
		for (size_t j = 8 << 10; j < 96 << 10; j += 8 << 10)
			call_with_long_heads(i, j);
}

static void test_no_route(void)
{
	begin();
	yard_call(&y, &c, "GET /none/ HTTP/1.1\r\n" FIELDS "\r\n");
	yard_expect(&y, &c, 404);
	end();
}

/* The log line of a request that is refused before its route is known: guards
 * against a time given that was never set. */
static void test_refusal_logs_the_time_given(void)
{
	g_autofree char *text = NULL;
	int stderr_fd;

	begin();
	stderr_fd = yard_log_begin();
	yard_call(&y, &c, "GET /none/ HTTP/1.1\r\n" FIELDS "\r\n");
	yard_expect(&y, &c, 404);
	text = yard_log_end(stderr_fd);
	if (!strstr(text, "\"given_ms\":2975,"))
		g_error("logged: %s", text);
	end();
}

/* A node without a configuration can't report a missing route. */
static void test_not_ready_refuses(void)
{
	begin();
	y.node.ready = false;
	yard_call(&y, &c, "GET /none/ HTTP/1.1\r\n" FIELDS "\r\n");
	yard_expect(&y, &c, 503);
	end();
}

static void test_pipelined_answers_keep_their_order(void)
{
	const char *first, *second;

	begin();
	yard_target(&y, "list", serve_ok, NULL);
	yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, LIST_REQUEST "GET /none/ HTTP/1.1\r\n" FIELDS "\r\n");
	yard_until(&y, (yard_read(&c), strstr(c.got->str, "404")));
	first = strstr(c.got->str, "200 OK");
	second = strstr(c.got->str, "404");
	g_assert_nonnull(first);
	g_assert_true(first < second);
	end();
}

/* A planned stop completes requests in flight and ends. */
static void test_stop_finishes_the_request(void)
{
	begin();
	yard_target(&y, "pay", serve_ok, NULL);
	bus_send_all(y.node.bus, MSG_STOP, NULL);
	yard_run(&y, 5000);
	yard_call(&y, &c, PAY_REQUEST);
	yard_expect(&y, &c, 200);
	g_assert_nonnull(strstr(c.got->str, "Connection: close"));
	yard_until(&y, y.stopped);
	end();
}

static struct fake_conn *flooded_conn;

/* Starts an answer that the test continues. */
static void serve_partial(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)request;
	flooded_conn = conn;
	fake_send_text(conn, arg);
}

/* Sends a piece repeatedly until the gateway closes the connection. */
static void flood(const struct fake *target, const char *piece,
		  int64_t limit_us)
{
	int64_t until_us = fs_now_us() + limit_us;

	yard_until(&y, yard_arrivals(&y) == 1);
	while (fake_open(target)) {
		g_assert_cmpint(fs_now_us(), <, until_us);
		fake_send_text(flooded_conn, piece);
		yard_run(&y, FS_US_PER_MS);
	}
}

/* Endless header fields are rejected at the limit, long before the deadline. */
static void test_endless_headers_are_rejected(void)
{
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_partial, "HTTP/1.1 200 OK\r\n");
	yard_call(&y, &c, PAY_REQUEST);
	flood(target, "X-Filler: 0123456789012345678901234567890123456789\r\n",
	      YARD_TIMEOUT_MS * FS_US_PER_MS / 2);
	yard_expect(&y, &c, 502);
	end();
}

/* The same limit applies to a single endless header line. */
static void test_endless_header_line_is_rejected(void)
{
	g_autofree char *piece = g_strnfill(16 * 1024, 'x');
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_partial, "HTTP/1.1 200 OK\r\nX-");
	yard_call(&y, &c, PAY_REQUEST);
	flood(target, piece, YARD_TIMEOUT_MS * FS_US_PER_MS / 2);
	yard_expect(&y, &c, 502);
	end();
}

static struct fake *begin_endless_body(void)
{
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_partial,
			     "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, yard_arrivals(&y) == 1);
	return target;
}

static char *body_piece(void)
{
	g_autofree char *filler = g_strnfill(16 * 1024, 'x');

	return g_strdup_printf("4000\r\n%s\r\n", filler);
}

/* An endless chunked body ends at the route's deadline, and the caller can see
 * that it was cut. */
static void test_endless_body_ends_in_time(void)
{
	g_autofree char *piece = body_piece();
	struct fake *target = begin_endless_body();

	flood(target, piece, (YARD_TIMEOUT_MS + 500) * FS_US_PER_MS);
	for (int i = 0; i < 1000 && !c.closed; i++) {
		yard_read(&c);
		yard_run(&y, FS_US_PER_MS);
	}
	g_assert_true(c.closed);
	g_assert_false(g_str_has_suffix(c.got->str, "\r\n0\r\n\r\n"));
	end();
}

/* An endless body: the caller disconnects, which closes the connection to the
 * target immediately. */
static void test_endless_body_ends_with_its_caller(void)
{
	g_autofree char *piece = body_piece();
	struct fake *target = begin_endless_body();

	for (int i = 0; i < 50; i++) {
		fake_send_text(flooded_conn, piece);
		yard_run(&y, FS_US_PER_MS);
	}
	shutdown(c.fd, SHUT_RDWR);
	flood(target, piece, FS_US_PER_S / 2);
	end();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy/buffered_answer", test_buffered_answer);
	g_test_add_func("/gwy/waiting_does_not_spin",
			test_waiting_does_not_spin);
	g_test_add_func("/gwy/failure_is_retried_if_safe",
			test_failure_is_retried_if_safe);
	g_test_add_func("/gwy/failure_is_forwarded_if_unsafe",
			test_failure_is_forwarded_if_unsafe);
	g_test_add_func("/gwy/failure_is_forwarded_if_retry_is_refused",
			test_failure_is_forwarded_if_retry_is_refused);
	g_test_add_func("/gwy/last_resort_is_for_safe_requests",
			test_last_resort_is_for_safe_requests);
	g_test_add_func("/gwy/not_run_is_retried", test_not_run_is_retried);
	g_test_add_func("/gwy/reset_may_have_run", test_reset_may_have_run);
	g_test_add_func("/gwy/unreachable_is_not_run",
			test_unreachable_is_not_run);
	g_test_add_func("/gwy/unframed_answer_is_whole",
			test_unframed_answer_is_whole);
	g_test_add_func("/gwy/wrong_request_id_is_rejected",
			test_wrong_request_id_is_rejected);
	g_test_add_func("/gwy/route_deadline", test_route_deadline);
	g_test_add_func("/gwy/disconnect_cancels_attempts",
			test_disconnect_cancels_attempts);
	g_test_add_func("/gwy/stream_cancels_other_attempts",
			test_stream_cancels_other_attempts);
	g_test_add_func("/gwy/success_without_seal_is_rejected",
			test_success_without_seal_is_rejected);
	g_test_add_func("/gwy/no_parking_with_attempt_in_flight",
			test_no_parking_with_attempt_in_flight);
	g_test_add_func("/gwy/long_heads_are_answered",
			test_long_heads_are_answered);
	g_test_add_func("/gwy/no_route", test_no_route);
	g_test_add_func("/gwy/refusal_logs_the_time_given",
			test_refusal_logs_the_time_given);
	g_test_add_func("/gwy/not_ready_refuses", test_not_ready_refuses);
	g_test_add_func("/gwy/pipelined_answers_keep_their_order",
			test_pipelined_answers_keep_their_order);
	g_test_add_func("/gwy/stop_finishes_the_request",
			test_stop_finishes_the_request);
	g_test_add_func("/gwy/endless_headers_are_rejected",
			test_endless_headers_are_rejected);
	g_test_add_func("/gwy/endless_header_line_is_rejected",
			test_endless_header_line_is_rejected);
	g_test_add_func("/gwy/endless_body_ends_in_time",
			test_endless_body_ends_in_time);
	g_test_add_func("/gwy/endless_body_ends_with_its_caller",
			test_endless_body_ends_with_its_caller);
	return g_test_run();
}
