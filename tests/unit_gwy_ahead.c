/* The gateway task and callers that send requests ahead on one connection: through a
 * stop, a new configuration, a caller that leaves, and hundreds of them. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define AHEAD 4
#define WORK_US (300 * FS_US_PER_MS)
#define CALLERS 200
#define MANY 40
#define BEHIND 800 /* more than the buffer of a connection holds */
#define BODY_BYTES 120000
#define RECEIVE_BUFFER (16 * 1024)
#define READ_BYTES 700 /* at a time */
#define FIELDS "Host: h\r\nX-Left: 9000\r\n"

static struct yard y;
static struct yard_caller c;
static struct yard_caller callers[CALLERS];

/* Answers with the request's id, after WORK_US. */
static void serve_slowly(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	g_autofree char *id = yard_field(request, "X-Id");
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: z\r\n"
				"Content-Length: 2\r\n\r\n<>",
				id);

	(void)arg;
	fake_send_later(conn, text, WORK_US);
}

static void serve_at_once(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	yard_ok(conn, request, "<>");
}

static void serve_nothing(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	(void)arg;
	(void)conn;
	(void)request;
}

/* Returns requests with the ids r0, r1 and so on. */
static char *requests(const char *line, int n)
{
	GString *out = g_string_new(NULL);

	for (int i = 0; i < n; i++)
		g_string_append_printf(
			out, "%s HTTP/1.1\r\n" FIELDS "X-Id: r%d\r\n\r\n", line,
			i);
	return g_string_free(out, FALSE);
}

static void call_ahead(struct yard_caller *caller, int n)
{
	g_autofree char *all = requests("GET /list/1", n);

	yard_call(&y, caller, all);
}

/* Returns how many whole answers came, each of them 200 and in order. */
static int answers(struct yard_caller *caller)
{
	const char *at;
	int n = 0;

	yard_read(caller);
	for (at = caller->got->str; (at = strstr(at, "HTTP/1.1 ")); n++) {
		g_autofree char *id = g_strdup_printf("X-Id: r%d\r\n", n);
		const char *end = strstr(at, "\r\n\r\n<>");

		if (!end)
			break;
		g_assert_true(g_str_has_prefix(at, "HTTP/1.1 200 "));
		g_assert_nonnull(strstr(at, id));
		g_assert_true(strstr(at, id) < end);
		at = end;
	}
	return n;
}

/* Returns how many whole answers came, refusals too; those of targets in order. */
static int ends(struct yard_caller *caller)
{
	int n = 0;
	int last = -1;

	yard_read(caller);
	for (const char *at = caller->got->str;
	     (at = strstr(at, "\nX-Id: r"));) {
		at += strlen("\nX-Id: r");
		g_assert_cmpint(atoi(at), >, last);
		last = atoi(at);
	}
	for (const char *at = caller->got->str; (at = strstr(at, "<>")); at++)
		n++;
	for (const char *at = caller->got->str; (at = strstr(at, "}\n")); at++)
		n++;
	return n;
}

static void configure(uint64_t version, bool without_pay)
{
	const struct yard_config config = {
		.version = version,
		.idle_us = 20 * FS_US_PER_S,
		.timeout_us = 8 * FS_US_PER_S,
		.without_pay = without_pay,
	};

	yard_configure(&y, &config);
}

static void begin(fake_serve_fn serve)
{
	yard_begin(&y);
	configure(2, false);
	yard_target(&y, "list", serve, NULL);
}

static void end(void)
{
	yard_hang_up(&c);
	if (y.gwy)
		yard_run(&y, 5000);
	yard_end(&y);
}

/* Requests sent ahead are answered in order, one after the other. */
static void test_in_order(void)
{
	int64_t since_us;

	begin(serve_slowly);
	since_us = fs_now_us();
	call_ahead(&c, AHEAD);
	yard_until(&y, answers(&c) == AHEAD);
	g_test_message("%d requests of %lld ms: %lld ms", AHEAD,
		       WORK_US / FS_US_PER_MS,
		       (long long)(fs_now_us() - since_us) / FS_US_PER_MS);
	end();
}

/* Guards against a stop that leaves a caller in doubt about what it sent ahead: the
 * answer in work is the last one and says so, and no later request reaches a target. */
static void test_stop_answers_what_was_begun(void)
{
	begin(serve_slowly);
	call_ahead(&c, AHEAD);
	yard_until(&y, answers(&c) == 1);
	yard_run(&y, WORK_US / 2);
	yard_stop(&y);
	yard_until(&y, (yard_read(&c), c.closed));
	g_assert_cmpint(answers(&c), ==, 2);
	g_assert_nonnull(strstr(c.got->str, "Connection: close\r\n"));
	yard_run(&y, WORK_US);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

/* Guards against a caller that leaves unnoticed because bytes of its later requests
 * wait: the work is cancelled at the target, and none of the rest is begun. */
static void test_caller_leaves_midway(void)
{
	g_autofree char *more = requests("GET /list/2", 2);

	begin(serve_nothing);
	call_ahead(&c, AHEAD);
	yard_until(&y, yard_arrivals(&y) == 1);
	/* These wait at the socket. */
	yard_send(&c, more);
	yard_run(&y, 20000);
	shutdown(c.fd, SHUT_RDWR);
	yard_run(&y, 200 * FS_US_PER_MS);
	g_assert_cmpuint(fake_open(y.targets[0]), ==, 0);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	g_assert_cmpuint(g_hash_table_size(y.gwy->requests), ==, 0);
	end();
}

/* Answers with more bytes than the caller's socket holds. */
static void serve_much(void *arg, struct fake_conn *conn,
		       const struct fake_request *request)
{
	g_autofree char *body = g_strnfill(BODY_BYTES, 'x');
	const int size = RECEIVE_BUFFER;

	(void)arg;
	setsockopt(c.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	yard_ok(conn, request, body);
}

/* Reads slowly to the end of the connection. What is sent late reaches the gateway
 * after it has closed the connection. */
static void check_last_answer(int ahead, const char *late)
{
	char buffer[READ_BYTES];
	ssize_t n = 1;

	begin(serve_much);
	yard_stop(&y);
	call_ahead(&c, ahead);
	while (n) {
		yard_run(&y, FS_US_PER_MS);
		if (late && c.got->len && !htd_connections(y.gwy->htd)) {
			send(c.fd, late, strlen(late), MSG_NOSIGNAL);
			late = NULL;
		}
		n = recv(c.fd, buffer, sizeof(buffer), 0);
		if (n > 0)
			g_string_append_len(c.got, buffer, n);
		else if (n < 0)
			g_assert_cmpint(errno, ==, EAGAIN);
	}
	g_assert_null(late);
	g_assert_nonnull(strstr(c.got->str, "Connection: close\r\n"));
	g_assert_cmpuint(strlen(strstr(c.got->str, "\r\n\r\n")), ==,
			 BODY_BYTES + 4);
	end();
}

/* Guards against a last answer whose end is lost with its connection: the caller reads
 * slowly, and what it sent ahead waits unread when the connection closes. */
static void test_last_answer_survives_what_was_sent_behind(void)
{
	check_last_answer(BEHIND, NULL);
}

/* Guards against the same where a request arrives behind the close. */
static void test_last_answer_survives_what_is_sent_late(void)
{
	g_autofree char *late = requests("GET /list/2", 1);

	check_last_answer(1, late);
	check_last_answer(AHEAD, late);
}

/* A configuration that takes the route away: requests whose turn comes later go by the
 * new one, also if they were sent before. */
static void test_configuration_midway(void)
{
	g_autofree char *all = requests("GET /pay/1", AHEAD);

	begin(serve_slowly);
	yard_target(&y, "pay", serve_slowly, NULL);
	yard_call(&y, &c, all);
	yard_until(&y, answers(&c) == 2);
	yard_run(&y, WORK_US / 2);
	configure(3, true);
	yard_until(&y, (yard_read(&c), strstr(c.got->str, "HTTP/1.1 404 ")));
	g_assert_cmpuint(yard_arrivals(&y), ==, 3);
	end();
}

/* A safe request without a body behind one that must not run twice. */
static void test_safe_behind_unsafe(void)
{
	begin(serve_slowly);
	yard_target(&y, "pay", serve_slowly, NULL);
	yard_call(&y, &c,
		  "POST /pay/1 HTTP/1.1\r\n" FIELDS "X-Id: r0\r\n"
		  "Content-Length: 3\r\n\r\na=1"
		  "GET /list/1 HTTP/1.1\r\n" FIELDS "X-Id: r1\r\n\r\n");
	yard_until(&y, answers(&c) == 2);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	end();
}

/* Hundreds of callers with many requests ahead, more than targets have room for: all
 * are answered or refused in order, memory counts only those whose turn it is, and all
 * of it is released. */
static void test_hundreds_of_callers(void)
{
	int done = 0;

	begin(serve_at_once);
	for (int i = 0; i < CALLERS; i++)
		call_ahead(&callers[i], MANY);
	while (done < CALLERS) {
		yard_until(&y, ends(&callers[done]) == MANY);
		done++;
	}
	g_assert_cmpuint(y.gwy->hld.most, <=, CALLERS * 20 * 1024);
	yard_until(&y, !y.gwy->hld.held);
	for (int i = 0; i < CALLERS; i++)
		yard_hang_up(&callers[i]);
	yard_run(&y, 20000);
	g_assert_cmpuint(htd_connections(y.gwy->htd), ==, 0);
	yard_end(&y);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_ahead/in_order", test_in_order);
	g_test_add_func("/gwy_ahead/stop_answers_what_was_begun",
			test_stop_answers_what_was_begun);
	g_test_add_func("/gwy_ahead/caller_leaves_midway",
			test_caller_leaves_midway);
	g_test_add_func("/gwy_ahead/last_answer_survives_what_was_sent_behind",
			test_last_answer_survives_what_was_sent_behind);
	g_test_add_func("/gwy_ahead/last_answer_survives_what_is_sent_late",
			test_last_answer_survives_what_is_sent_late);
	g_test_add_func("/gwy_ahead/configuration_midway",
			test_configuration_midway);
	g_test_add_func("/gwy_ahead/safe_behind_unsafe",
			test_safe_behind_unsafe);
	g_test_add_func("/gwy_ahead/hundreds_of_callers",
			test_hundreds_of_callers);
	return g_test_run();
}
