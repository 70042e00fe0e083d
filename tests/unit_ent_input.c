/* Requests that two HTTP implementations may parse differently are refused, no
 * part of them is forwarded, and the entry continues to serve. */
#include <fcntl.h>
#include <string.h>

#include "fleet_ent.h"
#include "fs_log.h"

#define SMUGGLED "GET /list?smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

static struct gate g;
static struct gate_caller c;

/* Neither the request nor a request in its body reaches a dispatcher, and the
 * connection is closed. */
static void check_refused(const char *bytes)
{
	gate_begin(&g);
	gate_call(&g, &c, bytes);
	gate_until(&g, (gate_read(&c), c.closed));
	if (!g_str_has_prefix(c.got->str, "HTTP/1.1 4"))
		g_error("not refused: %s\n%s", bytes, c.got->str);
	g_assert_null(gate_sent(&g, MSG_REQUEST, 0));
	gate_hang_up(&c);
	gate_end(&g);
}

static void test_smuggling(void)
{
	static const char *const fields[] = {
		"Content-Length: 3\r\nContent-Length: 4\r\n",
		"Content-Length: 3\r\nContent-Length: 3\r\n",
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: xchunked\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Content-Length: +3\r\n",
		"Content-Length: 3, 3\r\n",
		"Content-Length: 0x3\r\n",
		"Content-Length : 3\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Host: other\r\n",
		"X-Bad\x01: 1\r\n",
		"X Bad: 1\r\n",
		"X-Bad: a\x01z\r\n",
		"Expect: 200-ok\r\n",
		"Idempotency-Key: a\r\nIdempotency-Key: b\r\n",
		"Idempotency-Key: \r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		g_autofree char *bytes =
			g_strconcat("POST /pay HTTP/1.1\r\nHost: h\r\n",
				    fields[i], "\r\n0\r\n\r\n", SMUGGLED, NULL);

		check_refused(bytes);
	}
}

static void test_targets(void)
{
	static const char *const targets[] = {
		"/list/../pay",	 "/list/%2e%2e/pay",
		"//pay",	 "/list/./x",
		"/list%2fx",	 "/list%5cx",
		"/list\\x",	 "/list%00",
		"/list;x=1",	 "/list%3bx",
		"/list%zz",	 "/list%2",
		"http://h/list", "list",
		"/list/..",	 "/%70ay%252f",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		g_autofree char *bytes = g_strdup_printf(
			"GET %s HTTP/1.1\r\nHost: h\r\n\r\n", targets[i]);

		check_refused(bytes);
	}
}

/* Routes are matched with the decoded path, as the target decodes it. */
static void test_encoded_letters_match_their_route(void)
{
	const struct msg *m;

	gate_begin(&g);
	gate_call(&g, &c, "GET /l%69st HTTP/1.1\r\nHost: h\r\n\r\n");
	gate_until(&g, gate_sent(&g, MSG_REQUEST, 0));
	m = gate_sent(&g, MSG_REQUEST, 0);
	g_assert_cmpstr(m->request.route, ==, "list");
	g_assert_cmpstr(m->request.target, ==, "/l%69st");
	gate_hang_up(&c);
	gate_run(&g, 5000);
	gate_end(&g);
}

static void test_limits(void)
{
	GString *many = g_string_new("GET /list HTTP/1.1\r\nHost: h\r\n");
	g_autofree char *long_target = g_strnfill(5000, 'a');
	g_autofree char *bytes = g_strdup_printf(
		"GET /list/%s HTTP/1.1\r\nHost: h\r\n\r\n", long_target);

	for (int i = 0; i < FS_HEADERS_MAX + 1; i++)
		g_string_append_printf(many, "X-%d: 1\r\n", i);
	g_string_append(many, "\r\n");
	check_refused(many->str);
	check_refused(bytes);
	check_refused("POST /pay HTTP/1.1\r\nHost: h\r\n"
		      "Content-Length: 99999999\r\n\r\n");
	g_string_free(many, TRUE);
}

/* Random mutations of a valid request do not crash the entry, and a valid
 * request is served afterwards. */
static void test_mutated_bytes(void)
{
	static const char valid[] =
		"POST /pay?a=%41 HTTP/1.1\r\nHost: h:80\r\n"
		"Idempotency-Key: k\r\nContent-Length: 3\r\n"
		"\r\na=1";
	g_autoptr(GRand) random = g_rand_new_with_seed(20261204);

	gate_begin(&g);
	for (int i = 0; i < 300; i++) {
		char bytes[sizeof(valid)];

		memcpy(bytes, valid, sizeof(valid));
		for (int n = g_rand_int_range(random, 1, 5); n > 0; n--)
			bytes[g_rand_int_range(random, 0, sizeof(valid) - 1)] =
				(char)g_rand_int_range(random, 1, 256);
		gate_call(&g, &c, bytes);
		gate_run(&g, 500);
		gate_hang_up(&c);
	}
	gate_run(&g, 20000);
	g_ptr_array_set_size(g.sent, 0);
	gate_call(&g, &c, valid);
	gate_until(&g, gate_sent(&g, MSG_REQUEST, 0));
	gate_answer(&g, gate_sent(&g, MSG_REQUEST, 0), "ok", 2, true);
	gate_expect(&g, &c, 200, "answered");
	gate_hang_up(&c);
	gate_run(&g, 5000);
	gate_end(&g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	fs_log_init("test", open("/dev/null", O_WRONLY));
	g_test_add_func("/ent_input/smuggling", test_smuggling);
	g_test_add_func("/ent_input/targets", test_targets);
	g_test_add_func("/ent_input/encoded_letters_match_their_route",
			test_encoded_letters_match_their_route);
	g_test_add_func("/ent_input/limits", test_limits);
	g_test_add_func("/ent_input/mutated_bytes", test_mutated_bytes);
	return g_test_run();
}
