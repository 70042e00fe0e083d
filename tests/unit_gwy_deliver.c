/* The gateway task and callers that read slowly and send further requests meanwhile:
 * nothing that ends a connection takes an answer away that is on its way to them. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 30000\r\n"
#define REQUEST "GET /list/1 HTTP/1.1\r\n" FIELDS "\r\n"
#define LAST_REQUEST \
	"GET /list/1 HTTP/1.1\r\nConnection: close\r\n" FIELDS "\r\n"
#define ANSWER_BYTES (120 * 1024) /* more than a caller's socket holds */
#define LONG_ANSWER_BYTES (8 << 20)
#define STEP_US (20 * FS_US_PER_MS)
#define SEND_EVERY_US (300 * FS_US_PER_MS)
/* The stop lasts at least 2.5 s, and sockets were kept for 3 s once. */
#define READ_US (4500 * FS_US_PER_MS)
#define LATE_US (3 * FS_US_PER_S)
#define NEVER_US G_MAXINT64
#define GRACE_US (6 * FS_US_PER_S)
#define SHORT_GRACE_US (3500 * FS_US_PER_MS)
#define WIDE_BOUND (64 << 20) /* bytes held for all callers */
#define HELD_CALLERS 10
#define CHECK_US \
	(250 * FS_US_PER_MS) /* more than one check of all deliveries */
#define CALLERS 100	     /* more than sockets were kept once */
#define LIMIT_CALLERS 64 /* connections that the least of descriptors allows */

static struct yard y;
static struct yard_caller callers[CALLERS];
static struct yard_caller *const c = callers;

static size_t answer_bytes;

static void serve_long(void *arg, struct fake_conn *conn,
		       const struct fake_request *request)
{
	g_autofree char *body = g_strnfill(answer_bytes, 'x');

	(void)arg;
	yard_ok(conn, request, body);
}

static void begin(int64_t idle_us, uint32_t max_fds)
{
	const struct yard_config config = {
		.version = 2,
		.idle_us = idle_us,
		.timeout_us = 30 * FS_US_PER_S,
	};

	answer_bytes = ANSWER_BYTES;
	yard_begin_with_fds(&y, max_fds);
	yard_configure(&y, &config);
	yard_target(&y, "list", serve_long, NULL);
	y.node.set.stop_grace_us = GRACE_US;
}

static void end(int n)
{
	for (int i = 0; i < n; i++)
		yard_hang_up(&callers[i]);
	if (y.gwy) {
		yard_until(&y, !y.gwy->hld.held);
		g_assert_cmpuint(
			htd_undelivered(y.gwy->htd, fs_now_us()).connections,
			==, 0);
	}
	yard_end(&y);
}

static void begin_call(struct yard_caller *caller, const char *request)
{
	guint before = yard_arrivals(&y);

	yard_connect_narrow(&y, caller);
	yard_send(caller, request);
	yard_until(&y, yard_arrivals(&y) > before);
}

/* Calls, and waits until the gateway has written all of the answer. */
static void call(struct yard_caller *caller, const char *request)
{
	begin_call(caller, request);
	yard_until(&y, !g_hash_table_size(y.gwy->requests));
}

static size_t missing(const struct yard_caller *caller)
{
	const char *body = strstr(caller->got->str, "\r\n\r\n");
	size_t got = body ? caller->got->len -
				     (size_t)(body + 4 - caller->got->str) :
			    0;

	return got < answer_bytes ? answer_bytes - got : 0;
}

/* What the callers send may find a closed connection. */
static void send_ahead(struct yard_caller *caller)
{
	send(caller->fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL);
}

/* As the process does once its stop has ended. */
static void exit_if_stopped(void)
{
	if (!y.stopped || !y.gwy)
		return;
	gwy_free(y.gwy);
	y.gwy = NULL;
}

/* Reads the whole answer within READ_US, and sends a request every SEND_EVERY_US after
 * some time. */
static void read_slowly(struct yard_caller *caller, int64_t first_send_us)
{
	int64_t since_us = fs_now_us();
	int64_t send_us = first_send_us;
	char buffer[ANSWER_BYTES / 64];

	while (missing(caller)) {
		int64_t now_us = fs_now_us();
		size_t due = (size_t)((now_us - since_us) *
				      (ANSWER_BYTES / 1024) / READ_US) *
			     1024;
		ssize_t n = -1;

		if (caller->got->len < due) {
			n = recv(caller->fd, buffer, sizeof(buffer), 0);
			if (n < 0)
				g_assert_cmpint(errno, ==, EAGAIN);
			g_assert_cmpint(n, !=, 0);
		}
		if (n > 0)
			g_string_append_len(caller->got, buffer, n);
		if (now_us - since_us >= send_us) {
			send_ahead(caller);
			send_us += SEND_EVERY_US;
		}
		yard_run(&y, STEP_US);
		exit_if_stopped();
	}
}

static uint64_t given_up(const char *reason)
{
	g_autofree char *name =
		g_strdup_printf("htd_answers_given_up{reason=%s}", reason);

	return ctr_get(y.node.ctr, ctr_counter(y.node.ctr, name));
}

/* Guards against a planned stop that exits while callers still read: their next request
 * resets the connection, and the kernel drops an answer that has run. */
static void test_stop_waits_for_slow_reader(void)
{
	begin(20 * FS_US_PER_S, 1024);
	yard_stop(&y);
	call(c, REQUEST);
	read_slowly(c, 0);
	yard_until(&y, y.stopped);
	exit_if_stopped();
	g_assert_cmpuint(given_up("exit"), ==, 0);
	end(1);
}

/* Guards against the same where the answer was written before the stop, so that the
 * connection stays open. */
static void test_stop_waits_for_earlier_answer(void)
{
	begin(20 * FS_US_PER_S, 1024);
	call(c, REQUEST);
	yard_stop(&y);
	read_slowly(c, LATE_US);
	yard_until(&y, y.stopped);
	exit_if_stopped();
	end(1);
}

/* Guards against a caller that keeps a node from ending in time, and against answers
 * that are given up without a word. */
static void test_stop_ends_beside_caller_that_never_reads(void)
{
	int64_t since_us;
	g_autofree char *log = NULL;
	int fd;

	begin(20 * FS_US_PER_S, 1024);
	y.node.set.stop_grace_us = SHORT_GRACE_US;
	fd = yard_log_begin();
	since_us = fs_now_us();
	yard_stop(&y);
	call(c, REQUEST);
	yard_until(&y, y.stopped);
	g_assert_cmpint(fs_now_us() - since_us, <, SHORT_GRACE_US);
	exit_if_stopped();
	log = yard_log_end(fd);
	g_assert_nonnull(strstr(log, "\"event\":\"stop_waits\""));
	g_assert_nonnull(strstr(log, "\"event\":\"answers_given_up\""));
	g_assert_cmpuint(given_up("exit"), ==, 1);
	end(1);
}

/* Guards against a time limit on callers that go on reading: a request that arrives
 * after the socket is closed resets the connection. */
static void test_closed_connection_outlasts_slow_reader(void)
{
	begin(20 * FS_US_PER_S, 1024);
	call(c, LAST_REQUEST);
	read_slowly(c, 0);
	end(1);
}

/* Guards against a limit on the number of such callers. */
static void test_many_closed_connections(void)
{
	begin(20 * FS_US_PER_S, 1024);
	y.gwy->hld.bound = WIDE_BOUND;
	for (int i = 0; i < CALLERS; i++)
		call(&callers[i], LAST_REQUEST);
	for (int i = 0; i < CALLERS; i++) {
		send_ahead(&callers[i]);
		yard_until(&y, (yard_read(&callers[i]), !missing(&callers[i])));
	}
	end(CALLERS);
}

/* Guards against an idle time that runs while a caller still reads: its next request
 * finds the connection closed. */
static void test_idle_time_begins_when_answer_is_read(void)
{
	begin(2 * FS_US_PER_S, 1024);
	call(c, REQUEST);
	read_slowly(c, NEVER_US);
	yard_send(c, REQUEST);
	yard_expect(&y, c, 200);
	end(1);
}

/* Guards against an idle time that ends an answer of which the kernel holds much: the
 * library hears of room only after a third of that was read. */
static void test_idle_time_spares_long_answers(void)
{
	char buffer[ANSWER_BYTES / 64];
	int64_t since_us;

	begin(FS_US_PER_S, 1024);
	answer_bytes = LONG_ANSWER_BYTES;
	begin_call(c, REQUEST);
	since_us = fs_now_us();
	while (fs_now_us() - since_us < READ_US) {
		ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);

		if (n > 0)
			g_string_append_len(c->got, buffer, n);
		yard_run(&y, 2 * STEP_US);
	}
	yard_until(&y, (yard_read(c), !missing(c)));
	end(1);
}

/* Guards against sockets that are kept for good: a caller that reads nothing for the
 * idle limit is given up, and what it held is free again. */
static void test_stalled_caller_is_given_up(void)
{
	begin(FS_US_PER_S, 1024);
	call(c, LAST_REQUEST);
	yard_run(&y, 200 * FS_US_PER_MS);
	g_assert_cmpuint(y.gwy->hld.held, >, 0);
	yard_until(&y, given_up("stalled") == 1);
	g_assert_cmpuint(y.gwy->hld.held, ==, 0);
	end(1);
}

/* Guards against memory that nobody counts: what the kernel keeps for slow callers
 * leaves less room for new requests, and is never taken from them. */
static void test_unconfirmed_answers_are_held(void)
{
	struct yard_caller *next = &callers[HELD_CALLERS];

	begin(20 * FS_US_PER_S, 1024);
	for (int i = 0; i < HELD_CALLERS; i++)
		call(&callers[i], i % 2 ? REQUEST : LAST_REQUEST);
	yard_run(&y, CHECK_US);
	g_assert_cmpuint(y.gwy->hld.held, >=, HELD_CALLERS * ANSWER_BYTES / 2);
	y.gwy->hld.bound = y.gwy->hld.held;
	yard_call(&y, next, REQUEST);
	yard_expect(&y, next, 503);
	for (int i = 0; i < HELD_CALLERS; i++)
		yard_until(&y, (yard_read(&callers[i]), !missing(&callers[i])));
	yard_until(&y, !y.gwy->hld.held);
	yard_send(next, REQUEST);
	yard_expect(&y, next, 200);
	end(HELD_CALLERS + 1);
}

/* Guards against megabytes in the kernel for each caller that reads nothing: these fill
 * the bound at once, and new requests are refused. */
static void test_kernel_holds_little(void)
{
	begin(20 * FS_US_PER_S, 1024);
	answer_bytes = LONG_ANSWER_BYTES;
	begin_call(c, REQUEST);
	yard_run(&y, CHECK_US);
	g_assert_cmpuint(htd_undelivered(y.gwy->htd, fs_now_us()).bytes, <=,
			 FS_ANSWER_WHOLE_MAX * 3 / 2);
	end(1);
}

/* Guards against kept sockets that take the descriptors of targets and peers: they count
 * as connections, and only new ones are refused. */
static void test_kept_sockets_count_as_connections(void)
{
	struct yard_caller *next = &callers[LIMIT_CALLERS];

	begin(20 * FS_US_PER_S, 64);
	y.gwy->hld.bound = WIDE_BOUND;
	for (int i = 0; i < LIMIT_CALLERS; i++)
		call(&callers[i], LAST_REQUEST);
	yard_call(&y, next, REQUEST);
	yard_until(&y, (yard_read(next), next->closed));
	g_assert_cmpuint(next->got->len, ==, 0);
	yard_hang_up(next);
	yard_until(&y, (yard_read(c), c->closed));
	g_assert_cmpuint(missing(c), ==, 0);
	yard_hang_up(c);
	yard_run(&y, 20000);
	call(c, LAST_REQUEST);
	end(LIMIT_CALLERS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_deliver/stop_waits_for_slow_reader",
			test_stop_waits_for_slow_reader);
	g_test_add_func("/gwy_deliver/stop_waits_for_earlier_answer",
			test_stop_waits_for_earlier_answer);
	g_test_add_func("/gwy_deliver/stop_ends_beside_caller_that_never_reads",
			test_stop_ends_beside_caller_that_never_reads);
	g_test_add_func("/gwy_deliver/closed_connection_outlasts_slow_reader",
			test_closed_connection_outlasts_slow_reader);
	g_test_add_func("/gwy_deliver/many_closed_connections",
			test_many_closed_connections);
	g_test_add_func("/gwy_deliver/idle_time_begins_when_answer_is_read",
			test_idle_time_begins_when_answer_is_read);
	g_test_add_func("/gwy_deliver/idle_time_spares_long_answers",
			test_idle_time_spares_long_answers);
	g_test_add_func("/gwy_deliver/stalled_caller_is_given_up",
			test_stalled_caller_is_given_up);
	g_test_add_func("/gwy_deliver/unconfirmed_answers_are_held",
			test_unconfirmed_answers_are_held);
	g_test_add_func("/gwy_deliver/kernel_holds_little",
			test_kernel_holds_little);
	g_test_add_func("/gwy_deliver/kept_sockets_count_as_connections",
			test_kept_sockets_count_as_connections);
	return g_test_run();
}
