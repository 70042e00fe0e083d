/* The gateway task: whose answer a caller gets, what is sent again, and when
 * a request is given up. */
#include <string.h>
#include <sys/socket.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 3000\r\n"
#define PAY "POST /pay/1 HTTP/1.1\r\n" FIELDS "Content-Length: 3\r\n\r\na=1"
#define LONG_BODY (300 * 1024) /* bytes; streamed, not held */
#define LIST "GET /list/1?q=1 HTTP/1.1\r\n" FIELDS "\r\n"

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

static void serve_foreign(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_text(conn, "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
			     "Content-Length: 1\r\n\r\nx");
}

/* A success that names the request, without the target's proof. */
static void serve_unproved(void *arg, struct fake_conn *conn,
			   const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_text(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
			     "Content-Length: 5\r\n\r\nhello");
}

static void test_whole_answer(void)
{
	const struct fake_request *r;
	g_autofree char *left = NULL;
	g_autofree char *instance = NULL;
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 200);
	g_assert_true(g_str_has_suffix(c.got->str, "\r\n\r\nhello"));
	g_assert_nonnull(strstr(c.got->str, "X-Seal: z\r\n"));
	r = g_ptr_array_index(fake_requests(target), 0);
	g_assert_true(g_str_has_prefix(r->head, "POST /pay/1 HTTP/1.1\r\n"));
	g_assert_cmpuint(r->body_size, ==, 3);
	instance = yard_field(r, "X-For");
	g_assert_cmpstr(instance, ==, "s0");
	left = yard_field(r, "X-Left");
	g_assert_cmpint(atoi(left), <=, YARD_TIMEOUT_MS);
	g_assert_cmpint(atoi(left), >, YARD_TIMEOUT_MS - 300);
	end();
}

/* A request that waits costs nothing: the loop sleeps until the answer. */
static void test_waiting_does_not_spin(void)
{
	unsigned int before;

	begin();
	yard_target(&y, "list", serve_nothing, NULL);
	yard_call(&y, &c, LIST);
	yard_until(&y, yard_arrivals(&y) == 1);
	before = ev_iteration(y.loop);
	yard_run(&y, FS_US_PER_S / 2);
	g_assert_cmpuint(ev_iteration(y.loop) - before, <, 50);
	end();
}

static void test_failure_is_repeated_if_safe(void)
{
	int failed = 0;

	begin();
	yard_target(&y, "list", serve_error_once, &failed);
	yard_target(&y, "list", serve_error_once, &failed);
	yard_call(&y, &c, LIST);
	yard_expect(&y, &c, 200);
	g_assert_true(g_str_has_suffix(c.got->str, "second"));
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

static void test_failure_is_passed_on_if_unsafe(void)
{
	int failed = 0;

	begin();
	yard_target(&y, "pay", serve_error_once, &failed);
	yard_target(&y, "pay", serve_error_once, &failed);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 500);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

static void test_not_run_is_sent_again(void)
{
	int shed = 0;

	begin();
	yard_target(&y, "pay", serve_shed_once, &shed);
	yard_target(&y, "pay", serve_shed_once, &shed);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 200);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

/* After a reset an unsafe request may have run: no second send, and no answer
 * that promises that it has not run. */
static void test_reset_promises_nothing(void)
{
	begin();
	yard_target(&y, "pay", serve_reset, NULL);
	yard_target(&y, "pay", serve_reset, NULL);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 502);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

static void test_unreachable_is_not_run(void)
{
	begin();
	fake_refuse(yard_target(&y, "pay", serve_ok, NULL));
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 503);
	g_assert_nonnull(strstr(c.got->str, "Retry-After: 0."));
	end();
}

static void test_unframed_answer_is_whole(void)
{
	begin();
	yard_target(&y, "pay", serve_unframed, NULL);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 200);
	g_assert_true(g_str_has_suffix(c.got->str, "unframed"));
	end();
}

static void test_foreign_answer_is_not_given(void)
{
	begin();
	yard_target(&y, "pay", serve_foreign, NULL);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 502);
	end();
}

/* The answer comes when the route's time is over, not later. */
static void test_success_without_proof_is_not_given(void)
{
	begin();
	yard_target(&y, "pay", serve_unproved, NULL);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 502);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

static void test_time_of_the_route(void)
{
	int64_t start_us;

	begin();
	yard_target(&y, "pay", serve_nothing, NULL);
	start_us = fs_now_us();
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 504);
	g_assert_cmpint(fs_now_us() - start_us, <,
			(YARD_TIMEOUT_MS + 250) * FS_US_PER_MS);
	end();
}

/* A caller that leaves takes its work with it: the connection to the target
 * is closed well within half a second. */
static void test_caller_gone_ends_the_work(void)
{
	struct fake *target;
	struct yard_caller other;

	begin();
	target = yard_target(&y, "list", serve_nothing, NULL);
	yard_call(&y, &other, LIST);
	yard_until(&y, fake_open(target) == 1);
	yard_hang_up(&other);
	yard_run(&y, 200 * FS_US_PER_MS);
	g_assert_cmpuint(fake_open(target), ==, 0);
	yard_call(&y, &c, LIST);
	end();
}

/* Hangs on the first request of all targets together, then sends a body that
 * is too long to be held. */
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

/* A second send beside one that hangs: the first is ended when the answer of
 * the second begins to stream. */
static void test_stream_ends_other_sends(void)
{
	int served = 0;

	begin();
	yard_target(&y, "list", serve_long_second, &served);
	yard_target(&y, "list", serve_long_second, &served);
	yard_call(&y, &c, LIST);
	yard_expect(&y, &c, 200);
	yard_until(&y, (yard_read(&c), c.got->len > LONG_BODY));
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	g_assert_cmpuint(fake_open(y.targets[0]) + fake_open(y.targets[1]), <=,
			 1);
	end();
}

/* A second send beside one that runs finds no room: the request is not parked, so
 * that the answer which is under way stays the only one. */
static void test_no_parking_beside_a_running_send(void)
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
	yard_call(&y, &c, LIST);
	yard_until(&y, yard_arrivals(&y) == 1);
	g_hash_table_iter_init(&iter, y.gwy->requests);
	g_assert_true(g_hash_table_iter_next(&iter, &req, NULL));
	g_assert_cmpuint(((struct gwy_request *)req)->running, ==, 1);
	g_assert_false(gwy_send_retry(req, fs_now_us()));
	g_assert_false(((struct gwy_request *)req)->parked);
	yard_run(&y, 200 * FS_US_PER_MS);
	g_assert_cmpuint(((struct gwy_request *)req)->running, ==, 1);
	end();
}

static void test_no_route(void)
{
	begin();
	yard_call(&y, &c, "GET /none/ HTTP/1.1\r\n" FIELDS "\r\n");
	yard_expect(&y, &c, 404);
	end();
}

/* A node that knows no configuration can't tell a missing route. */
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
	yard_call(&y, &c, LIST "GET /none/ HTTP/1.1\r\n" FIELDS "\r\n");
	yard_until(&y, (yard_read(&c), strstr(c.got->str, "404")));
	first = strstr(c.got->str, "200 OK");
	second = strstr(c.got->str, "404");
	g_assert_nonnull(first);
	g_assert_true(first < second);
	end();
}

/* A planned stop finishes what is under way and ends. */
static void test_stop_finishes_the_request(void)
{
	begin();
	yard_target(&y, "pay", serve_ok, NULL);
	bus_send_all(y.node.bus, MSG_STOP, NULL);
	yard_run(&y, 5000);
	yard_call(&y, &c, PAY);
	yard_expect(&y, &c, 200);
	g_assert_nonnull(strstr(c.got->str, "Connection: close"));
	yard_until(&y, y.stopped);
	end();
}

static struct fake_conn *flooded;

/* Begins an answer that the test goes on with. */
static void serve_beginning(void *arg, struct fake_conn *conn,
			    const struct fake_request *request)
{
	(void)request;
	flooded = conn;
	fake_send_text(conn, arg);
}

/* Sends a piece again and again until the gateway closes the connection. */
static void flood(const struct fake *target, const char *piece,
		  int64_t limit_us)
{
	int64_t until_us = fs_now_us() + limit_us;

	yard_until(&y, yard_arrivals(&y) == 1);
	while (fake_open(target)) {
		g_assert_cmpint(fs_now_us(), <, until_us);
		fake_send_text(flooded, piece);
		yard_run(&y, FS_US_PER_MS);
	}
}

/* Header fields without end: given up at the limit, long before the deadline. */
static void test_endless_head_is_given_up(void)
{
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_beginning, "HTTP/1.1 200 OK\r\n");
	yard_call(&y, &c, PAY);
	flood(target, "X-Filler: 0123456789012345678901234567890123456789\r\n",
	      YARD_TIMEOUT_MS * FS_US_PER_MS / 2);
	yard_expect(&y, &c, 502);
	end();
}

/* One header line without end. */
static void test_endless_line_is_given_up(void)
{
	g_autofree char *piece = g_strnfill(16 * 1024, 'x');
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_beginning,
			     "HTTP/1.1 200 OK\r\nX-");
	yard_call(&y, &c, PAY);
	flood(target, piece, YARD_TIMEOUT_MS * FS_US_PER_MS / 2);
	yard_expect(&y, &c, 502);
	end();
}

static struct fake *begin_endless_body(void)
{
	struct fake *target;

	begin();
	target = yard_target(&y, "pay", serve_beginning,
			     "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
	yard_call(&y, &c, PAY);
	yard_until(&y, yard_arrivals(&y) == 1);
	return target;
}

static char *body_piece(void)
{
	g_autofree char *filler = g_strnfill(16 * 1024, 'x');

	return g_strdup_printf("4000\r\n%s\r\n", filler);
}

/* A body without end, in chunks: it ends with the route's time, and the caller
 * sees that it is cut. */
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

/* The same, and the caller leaves: the target's connection is closed at once. */
static void test_endless_body_ends_with_its_caller(void)
{
	g_autofree char *piece = body_piece();
	struct fake *target = begin_endless_body();

	for (int i = 0; i < 50; i++) {
		fake_send_text(flooded, piece);
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
	g_test_add_func("/gwy/whole_answer", test_whole_answer);
	g_test_add_func("/gwy/waiting_does_not_spin",
			test_waiting_does_not_spin);
	g_test_add_func("/gwy/failure_is_repeated_if_safe",
			test_failure_is_repeated_if_safe);
	g_test_add_func("/gwy/failure_is_passed_on_if_unsafe",
			test_failure_is_passed_on_if_unsafe);
	g_test_add_func("/gwy/not_run_is_sent_again",
			test_not_run_is_sent_again);
	g_test_add_func("/gwy/reset_promises_nothing",
			test_reset_promises_nothing);
	g_test_add_func("/gwy/unreachable_is_not_run",
			test_unreachable_is_not_run);
	g_test_add_func("/gwy/unframed_answer_is_whole",
			test_unframed_answer_is_whole);
	g_test_add_func("/gwy/foreign_answer_is_not_given",
			test_foreign_answer_is_not_given);
	g_test_add_func("/gwy/time_of_the_route", test_time_of_the_route);
	g_test_add_func("/gwy/caller_gone_ends_the_work",
			test_caller_gone_ends_the_work);
	g_test_add_func("/gwy/stream_ends_other_sends",
			test_stream_ends_other_sends);
	g_test_add_func("/gwy/success_without_proof_is_not_given",
			test_success_without_proof_is_not_given);
	g_test_add_func("/gwy/no_parking_beside_a_running_send",
			test_no_parking_beside_a_running_send);
	g_test_add_func("/gwy/no_route", test_no_route);
	g_test_add_func("/gwy/not_ready_refuses", test_not_ready_refuses);
	g_test_add_func("/gwy/pipelined_answers_keep_their_order",
			test_pipelined_answers_keep_their_order);
	g_test_add_func("/gwy/stop_finishes_the_request",
			test_stop_finishes_the_request);
	g_test_add_func("/gwy/endless_head_is_given_up",
			test_endless_head_is_given_up);
	g_test_add_func("/gwy/endless_line_is_given_up",
			test_endless_line_is_given_up);
	g_test_add_func("/gwy/endless_body_ends_in_time",
			test_endless_body_ends_in_time);
	g_test_add_func("/gwy/endless_body_ends_with_its_caller",
			test_endless_body_ends_with_its_caller);
	return g_test_run();
}
