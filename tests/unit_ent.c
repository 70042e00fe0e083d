/* The entry task: buffered and streamed answers, matching of replies to
 * requests, and correct outcomes. */
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>

#include "fleet_ent.h"
#include "fs_log.h"

#define PAY                                                                    \
	"POST /pay HTTP/1.1\r\nHost: h\r\nConnection: X-Drop\r\nX-Drop: 1\r\n" \
	"X-Keep: 1\r\nContent-Length: 3\r\n\r\na=1"
#define LONG_BYTES 120000
#define RECEIVE_BUFFER (32 * 1024)
#define LIST "GET /list?q=1 HTTP/1.1\r\nHost: h\r\n\r\n"

static struct gate g;
static struct gate_caller c;

/* Sends a request and returns the message to its dispatcher. */
static const struct msg *call(const char *bytes)
{
	guint n = 0;

	while (gate_sent(&g, MSG_REQUEST, n))
		n++;
	gate_call(&g, &c, bytes);
	gate_until(&g, gate_sent(&g, MSG_REQUEST, n));
	return gate_sent(&g, MSG_REQUEST, n);
}

static guint requests(void)
{
	guint n = 0;

	while (gate_sent(&g, MSG_REQUEST, n))
		n++;
	return n;
}

static void begin(void)
{
	gate_begin(&g);
}

static void end(void)
{
	gate_hang_up(&c);
	gate_run(&g, 5000);
	gate_end(&g);
}

static void test_buffered_answer(void)
{
	const struct msg *m;

	begin();
	m = call(PAY);
	g_assert_cmpstr(m->request.target, ==, "/pay");
	g_assert_cmpstr(m->request.route, ==, "pay");
	g_assert_cmpuint(g_bytes_get_size(m->request.body), ==, 3);
	g_assert_nonnull(msg_headers_get(m->request.headers, "X-Keep"));
	g_assert_null(msg_headers_get(m->request.headers, "X-Drop"));
	g_assert_null(msg_headers_get(m->request.headers, "Connection"));
	gate_answer(&g, m, "hello", 5, true);
	gate_expect(&g, &c, 200, "answered");
	g_assert_true(g_str_has_suffix(c.got->str, "\r\n\r\nhello"));
	g_assert_nonnull(strstr(c.got->str, "X-Kept: 1\r\n"));
	g_assert_null(strstr(c.got->str, "X-Hop"));
	end();
}

/* Replies of another node, incarnation or request, and duplicate replies, are
 * not forwarded to the caller. */
static void test_foreign_replies_are_dropped(void)
{
	const struct msg *m;
	struct msg other;

	begin();
	m = call(PAY);
	other = *m;
	other.to = 12345;
	gate_answer(&g, &other, "foreign", 7, true);
	other = *m;
	other.request.id.incarnation++;
	gate_answer(&g, &other, "earlier", 7, true);
	other.request.id = m->request.id;
	other.request.id.counter++;
	gate_answer(&g, &other, "unknown", 7, true);
	gate_read(&c);
	g_assert_cmpuint(c.got->len, ==, 0);
	gate_answer(&g, m, "own", 3, true);
	gate_answer(&g, m, "again", 5, true);
	gate_expect(&g, &c, 200, "answered");
	gate_run(&g, 10000);
	gate_read(&c);
	g_assert_true(g_str_has_suffix(c.got->str, "\r\n\r\nown"));
	g_assert_cmpuint(ctr_get(g.node.ctr,
				 ctr_counter(g.node.ctr, "ent_late_replies")),
			 ==, 4);
	end();
}

static void test_truncated_answer_is_refused(void)
{
	begin();
	gate_answer(&g, call(PAY), "shor", 5, true);
	gate_expect(&g, &c, 502, "unknown");
	end();
}

/* A dispatcher that does not respond: the request is cancelled and its outcome
 * is unknown. */
static void test_no_response_is_unknown(void)
{
	const struct msg *m;

	begin();
	m = call(PAY);
	gate_until(&g, gate_sent(&g, MSG_CANCEL, 0));
	gate_read(&c);
	g_assert_cmpuint(c.got->len, ==, 0);
	g_assert_cmpuint(gate_sent(&g, MSG_CANCEL, 0)->to, ==, m->to);
	gate_expect(&g, &c, 504, "unknown");
	g_assert_cmpuint(requests(), ==, 1);
	end();
}

static void test_confirmed_cancel_is_not_run(void)
{
	const struct msg *m;

	begin();
	m = call(PAY);
	gate_until(&g, gate_sent(&g, MSG_CANCEL, 0));
	gate_refuse(&g, m, FS_E_CANCELLED, FS_NOT_RUN);
	gate_expect(&g, &c, 503, "not-run");
	end();
}

/* Link loss: a request that is not repeatable is never retried, and an answer
 * that still arrives is forwarded. */
static void test_lost_link_not_repeatable(void)
{
	const struct msg *m;

	begin();
	m = call(PAY);
	gate_break(&g, m);
	gate_run(&g, 50000);
	g_assert_cmpuint(requests(), ==, 1);
	gate_answer(&g, m, "late", 4, true);
	gate_expect(&g, &c, 200, "answered");
	gate_hang_up(&c);
	m = call(PAY);
	gate_break(&g, m);
	gate_expect(&g, &c, 504, "unknown");
	g_assert_cmpuint(requests(), ==, 2);
	end();
}

/* A repeatable request is retried at the other node. When that node refuses it,
 * the outcome is unknown, since the first node may have run it. */
static void test_lost_link_repeatable(void)
{
	const struct msg *first;
	const struct msg *second;

	begin();
	first = call(LIST);
	gate_break(&g, first);
	second = gate_sent(&g, MSG_REQUEST, 1);
	g_assert_nonnull(second);
	g_assert_cmpuint(second->to, !=, first->to);
	g_assert_true(second->request.forced);
	gate_answer(&g, first, "old", 3, true);
	gate_read(&c);
	g_assert_cmpuint(c.got->len, ==, 0);
	gate_refuse(&g, second, FS_E_QUEUE_FULL, FS_NOT_RUN);
	gate_expect(&g, &c, 503, "unknown");
	end();
}

/* A request that was refused for ownership and not run is sent to the next
 * owner even if it is not repeatable, and to each node at most once. */
static void test_moves_when_not_run(void)
{
	const struct msg *first;
	const struct msg *second;

	begin();
	first = call(PAY);
	gate_refuse(&g, first, FS_E_NOT_OWNER, FS_NOT_RUN);
	second = gate_sent(&g, MSG_REQUEST, 1);
	g_assert_nonnull(second);
	g_assert_cmpuint(second->to, !=, first->to);
	gate_refuse(&g, second, FS_E_NOT_OWNER, FS_NOT_RUN);
	gate_expect(&g, &c, 503, "not-run");
	gate_hang_up(&c);
	first = call(PAY);
	gate_refuse(&g, first, FS_E_TARGET_RESET, FS_UNKNOWN);
	gate_expect(&g, &c, 502, "unknown");
	g_assert_cmpuint(requests(), ==, 3);
	end();
}

static void test_disconnect_cancels(void)
{
	begin();
	call(PAY);
	gate_hang_up(&c);
	gate_until(&g, gate_sent(&g, MSG_CANCEL, 0));
	gate_call(&g, &c, LIST);
	end();
}

/* Streamed answers: one of announced length, by which a caller detects a
 * truncation, and one of unknown length. */
static void test_stream(void)
{
	const struct msg *m;

	begin();
	m = call(LIST);
	gate_answer(&g, m, "abc", 9, false);
	gate_piece(&g, m, 3, "def", false);
	gate_piece(&g, m, 6, "ghi", true);
	gate_until(&g, (gate_read(&c), strstr(c.got->str, "abcdefghi")));
	g_assert_nonnull(strstr(c.got->str, "Content-Length: 9\r\n"));
	g_assert_false(c.closed);
	gate_hang_up(&c);
	m = call(LIST);
	gate_answer(&g, m, "abc", -1, false);
	gate_piece(&g, m, 3, "def", true);
	gate_until(&g, (gate_read(&c), strstr(c.got->str, "0\r\n\r\n")));
	end();
}

/* Guards against a stream that looks complete to a caller of HTTP/1.0 though it is cut:
 * without a length, and without chunks, only its connection would tell. */
static void test_stream_to_a_caller_without_chunks(void)
{
	static const char request[] =
		"GET /list?q=1 HTTP/1.0\r\nHost: h\r\n\r\n";

	begin();
	gate_answer(&g, call(request), "abc", -1, false);
	gate_until(&g, (gate_read(&c), c.closed));
	g_assert_nonnull(strstr(c.got->str, " 502 "));
	gate_hang_up(&c);
	gate_answer(&g, call(request), "abc", 9, false);
	gate_until(&g, (gate_read(&c), strstr(c.got->str, "abc")));
	g_assert_nonnull(strstr(c.got->str, "Content-Length: 9\r\n"));
	end();
}

/* Each invalid piece aborts the stream: the connection closes before the
 * announced length or the last chunk, and the dispatcher receives a cancel. */
static void test_invalid_pieces_abort(void)
{
	static const struct {
		int64_t length;
		uint64_t offset;
		const char *data;
		bool last;
	} rows[] = {
		{9, 4, "def", false},	   /* gap */
		{9, 2, "def", false},	   /* overlap */
		{9, 3, "defghijkl", true}, /* longer than announced */
		{9, 3, "def", true},	   /* shorter than announced */
		{-1, 4, "def", true},	   /* gap, length unknown */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct msg *m;

		begin();
		m = call(LIST);
		gate_answer(&g, m, "abc", rows[i].length, false);
		gate_piece(&g, m, rows[i].offset, rows[i].data, rows[i].last);
		gate_until(&g, (gate_read(&c), c.closed));
		g_assert_null(strstr(c.got->str, "def"));
		g_assert_null(strstr(c.got->str, "\r\n0\r\n\r\n"));
		g_assert_nonnull(gate_sent(&g, MSG_CANCEL, 0));
		end();
	}
}

/* A stream is aborted on link loss or timeout, never ended as if complete. */
static void test_lost_stream_is_aborted(void)
{
	const struct msg *m;

	begin();
	m = call(LIST);
	gate_answer(&g, m, "abc", -1, false);
	gate_break(&g, m);
	gate_until(&g, (gate_read(&c), c.closed));
	g_assert_null(strstr(c.got->str, "\r\n0\r\n\r\n"));
	gate_hang_up(&c);
	m = call(LIST);
	gate_answer(&g, m, "abc", 9, false);
	gate_until(&g, (gate_read(&c), c.closed));
	g_assert_null(strstr(c.got->str, "abcd"));
	end();
}

/* Two requests answered in reverse order: each caller receives its own
 * answer. */
static void test_answers_out_of_order(void)
{
	struct gate_caller other;
	const struct msg *first;
	const struct msg *second;

	begin();
	first = call(LIST);
	other = c;
	second = call(LIST);
	gate_answer(&g, second, "second", 6, true);
	gate_answer(&g, first, "first", 5, true);
	gate_until(&g, (gate_read(&c), strstr(c.got->str, "second")));
	gate_until(&g, (gate_read(&other), strstr(other.got->str, "first")));
	gate_hang_up(&other);
	end();
}

static void test_planned_stop(void)
{
	const struct msg *m;
	struct msg *stop;
	struct gate_caller ready;

	begin();
	g.node.set.answer_ttl_us =
		-ENT_LEAVE_PROPAGATION_US; /* no delay before the stop */
	m = call(PAY);
	stop = msg_new(MSG_STOP, g.node.self, MSG_TASK_ENTRY);
	bus_send(g.node.bus, stop);
	gate_call(&g, &ready,
		  "GET /.fescuesaddle/ready HTTP/1.1\r\nHost: h\r\n\r\n");
	gate_expect(&g, &ready, 503, "answered");
	g_assert_nonnull(strstr(ready.got->str, "Connection: close\r\n"));
	gate_hang_up(&ready);
	gate_run(&g, 200000);
	g_assert_false(g.stopped);
	gate_answer(&g, m, "whole", 5, true);
	gate_expect(&g, &c, 200, "answered");
	gate_until(&g, g.stopped);
	end();
}

/* Guards against a request that is begun between the end of the entry's stop and
 * the exit, which waits for the dispatch task: a peer has it, and its caller
 * gets nothing. */
static void test_request_after_the_stop_is_refused(void)
{
	const struct msg *m;

	begin();
	g.node.set.answer_ttl_us = -ENT_LEAVE_PROPAGATION_US;
	m = call(LIST);
	gate_answer(&g, m, "whole", 5, true);
	gate_expect(&g, &c, 200, "answered");
	bus_send(g.node.bus, msg_new(MSG_STOP, g.node.self, MSG_TASK_ENTRY));
	gate_until(&g, g.stopped);
	g_string_truncate(c.got, 0);
	g_assert_cmpint(send(c.fd, LIST, strlen(LIST), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(LIST));
	gate_expect(&g, &c, 503, "not-run");
	g_assert_null(gate_sent(&g, MSG_REQUEST, 1));
	end();
}

/* Answers more than the caller's socket holds, and begins a stop. */
static void stop_with_unread_answer(int64_t grace_us)
{
	g_autofree char *body = g_strnfill(LONG_BYTES, 'x');
	const int size = RECEIVE_BUFFER;
	const struct msg *m;

	begin();
	g.node.set.answer_ttl_us = -ENT_LEAVE_PROPAGATION_US;
	g.node.set.stop_grace_us = grace_us;
	m = call(LIST);
	setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	gate_answer(&g, m, body, LONG_BYTES, true);
	gate_until(&g, !g.ent->open_requests);
	bus_send(g.node.bus, msg_new(MSG_STOP, g.node.self, MSG_TASK_ENTRY));
}

/* Guards against a planned stop that exits while a caller still reads: its next request
 * resets the connection, and the kernel drops the rest of the answer. */
static void test_stop_waits_for_slow_reader(void)
{
	stop_with_unread_answer(0);
	gate_run(&g, 3 * ENT_IDLE_BEFORE_STOP_US);
	g_assert_false(g.stopped);
	gate_until(&g, (gate_read(&c), c.got->len > LONG_BYTES));
	gate_until(&g, g.stopped);
	end();
}

/* Guards against a caller that never reads and keeps a node from ending in time. */
static void test_stop_ends_beside_caller_that_never_reads(void)
{
	stop_with_unread_answer(FS_US_PER_S);
	gate_run(&g, FS_US_PER_S);
	g_assert_true(g.stopped);
	end();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	fs_log_init("test", open("/dev/null", O_WRONLY));
	g_test_add_func("/ent/buffered_answer", test_buffered_answer);
	g_test_add_func("/ent/foreign_replies_are_dropped",
			test_foreign_replies_are_dropped);
	g_test_add_func("/ent/truncated_answer_is_refused",
			test_truncated_answer_is_refused);
	g_test_add_func("/ent/no_response_is_unknown",
			test_no_response_is_unknown);
	g_test_add_func("/ent/confirmed_cancel_is_not_run",
			test_confirmed_cancel_is_not_run);
	g_test_add_func("/ent/lost_link_not_repeatable",
			test_lost_link_not_repeatable);
	g_test_add_func("/ent/lost_link_repeatable", test_lost_link_repeatable);
	g_test_add_func("/ent/moves_when_not_run", test_moves_when_not_run);
	g_test_add_func("/ent/disconnect_cancels", test_disconnect_cancels);
	g_test_add_func("/ent/stream", test_stream);
	g_test_add_func("/ent/stream_to_a_caller_without_chunks",
			test_stream_to_a_caller_without_chunks);
	g_test_add_func("/ent/invalid_pieces_abort", test_invalid_pieces_abort);
	g_test_add_func("/ent/lost_stream_is_aborted",
			test_lost_stream_is_aborted);
	g_test_add_func("/ent/answers_out_of_order", test_answers_out_of_order);
	g_test_add_func("/ent/planned_stop", test_planned_stop);
	g_test_add_func("/ent/request_after_the_stop_is_refused",
			test_request_after_the_stop_is_refused);
	g_test_add_func("/ent/stop_waits_for_slow_reader",
			test_stop_waits_for_slow_reader);
	g_test_add_func("/ent/stop_ends_beside_caller_that_never_reads",
			test_stop_ends_beside_caller_that_never_reads);
	return g_test_run();
}
