/* The gateway task before targets that write answers again, or end in the middle of
 * one: what callers are told of their requests. */
#include <stdlib.h>
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define HEAD \
	"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\nContent-Length: 5\r\n\r\n"
#define AGAIN_US (20 * FS_US_PER_MS) /* after the first copy */

static struct yard y;

/* Refuses the request "r1", and writes that once more, late. Answers others. */
static void serve_refusal_again(void *arg, struct fake_conn *conn,
				const struct fake_request *request)
{
	static const char refusal[] = "HTTP/1.1 503 Full\r\nX-Id: r1\r\n"
				      "X-Not-Run: 1\r\n"
				      "Content-Length: 0\r\n\r\n";
	g_autofree char *id = yard_field(request, "X-Id");

	(void)arg;
	if (g_strcmp0(id, "r1") != 0) {
		yard_ok(conn, request, "hello");
		return;
	}
	fake_send_text(conn, refusal);
	fake_send_later(conn, refusal, AGAIN_US);
}

/* Returns the status of the answer to a request. */
static int call_once(const char *method, const char *path, const char *id)
{
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: 3000\r\n"
		"Content-Length: 0\r\n\r\n",
		method, path, id);
	struct yard_caller c;
	int status;

	yard_call(&y, &c, request);
	yard_until(&y, (yard_read(&c), strstr(c.got->str, "\r\n\r\n")));
	status = atoi(c.got->str + strlen("HTTP/1.1 "));
	yard_hang_up(&c);
	return status;
}

static void check_refusal_again(const char *service, const char *method,
				int64_t pause_us)
{
	g_autofree char *path = g_strdup_printf("/%s/1", service);

	yard_begin(&y);
	yard_target(&y, service, serve_refusal_again, NULL);
	for (int i = 0; i < 5; i++) {
		g_assert_cmpint(call_once(method, path, "r1"), ==, 503);
		yard_run(&y, pause_us);
		g_assert_cmpint(call_once(method, path, "r2"), !=, 503);
	}
	yard_end(&y);
}

/* Guards against a late copy of a refusal that is taken for the answer to the next
 * request: its caller would be told that it has not run. */
static void test_refusal_written_again(void)
{
	check_refusal_again("list", "GET", 0);
	check_refusal_again("list", "GET", AGAIN_US);
	check_refusal_again("list", "GET", 2 * AGAIN_US);
	check_refusal_again("pay", "POST", 0);
	check_refusal_again("pay", "POST", 2 * AGAIN_US);
}

/* Fails the request "r1", and writes that once more, late, before the next answer. */
static void serve_failure_again(void *arg, struct fake_conn *conn,
				const struct fake_request *request)
{
	g_autofree char *id = yard_field(request, "X-Id");

	if (!g_strcmp0(id, "r1") || request->nth > 1)
		fake_send_text(conn, arg);
	if (g_strcmp0(id, "r1") != 0)
		yard_ok(conn, request, "hello");
}

/* Guards against a late copy of a failure that names no request: the next caller on the
 * connection got it for an answer to its own. */
static void test_failure_without_id_written_again(void)
{
	static const char *const failures[] = {
		"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 404 No\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\none\r\n0\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(failures); i++) {
		yard_begin(&y);
		yard_target(&y, "list", serve_failure_again,
			    (char *)failures[i]);
		g_assert_cmpint(call_once("GET", "/list/1", "r1"), >=, 400);
		yard_run(&y, AGAIN_US);
		g_assert_cmpint(call_once("GET", "/list/1", "r2"), ==, 200);
		yard_end(&y);
	}
}

/* Writes the first *arg bytes of an answer's head, and closes. */
static void serve_part_of_head(void *arg, struct fake_conn *conn,
			       const struct fake_request *request)
{
	(void)request;
	fake_send(conn, HEAD, *(size_t *)arg);
	fake_close_after(conn);
}

/* Guards against a head without its end that is taken for an answer with an empty
 * body: a caller got a 200, framed as whole. */
static void test_end_in_the_middle_of_a_head(void)
{
	size_t bytes;

	yard_begin(&y);
	yard_target(&y, "pay", serve_part_of_head, &bytes);
	for (bytes = 0; bytes < strlen(HEAD); bytes++)
		g_assert_cmpint(call_once("POST", "/pay/1", "r1"), ==, 502);
	yard_end(&y);
}

#define REFUSAL "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\n"
#define ENDLESS_BYTES (8 * 1024 * 1024)

/** How one target answers the first request of all; the next ones are served. */
struct first_answer {
	const char *head;
	size_t more; /* bytes of "x" behind it */
	bool close;
	bool served;
};

static void serve_first(void *arg, struct fake_conn *conn,
			const struct fake_request *request)
{
	struct first_answer *first = arg;
	g_autofree char *more = g_strnfill(first->more, 'x');

	if (first->served) {
		yard_ok(conn, request, "hello");
		return;
	}
	first->served = true;
	fake_send_text(conn, first->head);
	fake_send(conn, more, first->more);
	if (first->close)
		fake_close_after(conn);
}

/* Two targets share the answers. The caller gets a status, and long before the
 * deadline. */
static void expect_soon(struct first_answer first, const char *method,
			const char *path, int expected)
{
	int64_t start_us;
	int64_t took_us;
	int status;

	yard_begin(&y);
	for (int i = 0; i < 2; i++) {
		yard_target(&y, "list", serve_first, &first);
		yard_target(&y, "pay", serve_first, &first);
	}
	start_us = fs_now_us();
	status = call_once(method, path, "r1");
	took_us = fs_now_us() - start_us;
	yard_end(&y);
	g_assert_cmpint(status, ==, expected);
	g_assert_cmpint(took_us, <, YARD_TIMEOUT_MS / 3 * FS_US_PER_MS);
}

/* Guards against a refusal whose body does not come to its end: callers got a piece of
 * it, or an answer at the deadline that said nothing, though the head has told that the
 * request has not run. */
static void test_refusal_without_an_end(void)
{
	const struct first_answer cases[] = {
		{.head = REFUSAL "Content-Length: 9000000000000\r\n\r\n",
		 .more = ENDLESS_BYTES},
		{.head = REFUSAL "Transfer-Encoding: chunked\r\n\r\n800000\r\n",
		 .more = ENDLESS_BYTES},
		{.head = REFUSAL "\r\n", .more = ENDLESS_BYTES},
		{.head = REFUSAL "Content-Length: 10\r\n\r\n"},
		{.head = REFUSAL "Content-Length: 10\r\n\r\nx", .close = true},
		{.head = REFUSAL "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{.head = REFUSAL "Transfer-Encoding: chunked\r\n\r\n5x"},
		{.head = "HTTP/1.1 421 No\r\nContent-Length: 10\r\n\r\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		expect_soon(cases[i], "GET", "/list/1", 200);
		expect_soon(cases[i], "POST", "/pay/1", 200);
	}
}

/* Guards against framing without end, which libcurl drops without a word: it was read
 * as fast as it came until the deadline, and the other callers waited. */
static void test_framing_without_an_end(void)
{
	const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
		"Transfer-Encoding: chunked\r\n\r\n5;",
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n5;",
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
		"Transfer-Encoding: chunked\r\n\r\n5x",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		struct first_answer first = {.head = heads[i],
					     .more = ENDLESS_BYTES};

		expect_soon(first, "POST", "/pay/1", 502);
		expect_soon(first, "GET", "/list/1", 200);
	}
}

/* Guards against a size of a chunk that is none: its request waited until the deadline, as
 * libcurl waits for the end of the line. */
static void test_malformed_size_without_an_end(void)
{
	struct first_answer first = {
		.head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
			"Transfer-Encoding: chunked\r\n\r\n5x",
	};

	expect_soon(first, "POST", "/pay/1", 502);
	expect_soon(first, "GET", "/list/1", 200);
}

/* Runs each request, and resets the connection in place of an answer. */
static void serve_reset(void *arg, struct fake_conn *conn,
			const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_close(conn, true);
}

static void configure_pay_below_list(const char *path)
{
	const struct yard_config config = {
		.version = 2,
		.idle_us = 5 * FS_US_PER_S,
		.timeout_us = YARD_TIMEOUT_MS * FS_US_PER_MS,
		.pay_path = path,
	};

	yard_configure(&y, &config);
}

/* Guards against a path that is matched in another spelling than it is sent in: below
 * a route whose requests may be repeated, payments of an encoded prefix ran twice. */
static void test_encoded_prefix(void)
{
	static const char *const prefixes[] = {
		"/list/pr%C3%A9/", "/list/a%2Fb/", "/list/a;b/",
		"/list/a//b/",	   "/list/./",	   "/list/%41/",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(prefixes); i++) {
		g_autofree char *path = g_strconcat(prefixes[i], "1", NULL);

		yard_begin(&y);
		configure_pay_below_list(prefixes[i]);
		yard_target(&y, "pay", serve_reset, NULL);
		yard_target(&y, "pay", serve_reset, NULL);
		yard_target(&y, "list", serve_reset, NULL);
		yard_target(&y, "list", serve_reset, NULL);
		g_assert_cmpint(call_once("POST", path, "r1"), ==, 502);
		g_assert_cmpuint(yard_arrivals(&y), ==, 1);
		yard_end(&y);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_faulty/refusal_written_again",
			test_refusal_written_again);
	g_test_add_func("/gwy_faulty/failure_without_id_written_again",
			test_failure_without_id_written_again);
	g_test_add_func("/gwy_faulty/end_in_the_middle_of_a_head",
			test_end_in_the_middle_of_a_head);
	g_test_add_func("/gwy_faulty/refusal_without_an_end",
			test_refusal_without_an_end);
	g_test_add_func("/gwy_faulty/framing_without_an_end",
			test_framing_without_an_end);
	g_test_add_func("/gwy_faulty/malformed_size_without_an_end",
			test_malformed_size_without_an_end);
	g_test_add_func("/gwy_faulty/encoded_prefix", test_encoded_prefix);
	return g_test_run();
}
