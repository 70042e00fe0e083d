/* Bad input at every interface: the daemon keeps running, refuses what is
 * ambiguous, and serves the next good request. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_deploy.h"
#include "fleet_http.h"
#include "set.h"

#define RANDOM_INPUTS 150
#define RANDOM_SIZE 600

static const char *build = "build";
static struct fleet *f;

static void check_serving(void)
{
	const char *headers[] = {"X-Token: after", "X-Bytes: 10", NULL};
	g_autoptr(FleetAnswer) a = fleet_http("GET", f->nodes[0].caller,
					      "/courses", headers, NULL, 5.0);

	g_assert_cmpint(a->status, ==, 200);
	g_assert_cmpuint(a->body->len, ==, 10);
}

static unsigned int all_runs(void)
{
	unsigned int runs = 0;

	for (unsigned int i = 0; i < f->target_count; i++)
		runs += fleet_target_stat(&f->targets[i], "runs");
	return runs;
}

/* Requests that two readers could take apart in two ways: none may reach a
 * target. */
static const char *const ambiguous[] = {
	("POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
	 "Content-Length: 5\r\n\r\nabcde"),
	("POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
	"POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
	"POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\nabc",
	"POST /pay HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: x\r\n\r\nabc",
	("POST /pay HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
	 "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n"),
	"GET /courses HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
	"GET /courses HTTP/1.1\r\n\r\n",
	"GET /courses HTTP/1.1\r\nHost: x\r\nX : y\r\n\r\n",
	"GET /courses/../pay HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /courses/%2e%2e/pay HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /courses%2f..%2fpay HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /courses/%00 HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET \\courses HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET http://x/courses HTTP/1.1\r\nHost: x\r\n\r\n",
};

/* Requests that RFC 9112 lets a server take in one reading: a folded header
 * field (5.2: replaced by spaces) and lines that end in a bare line feed (2.2).
 * The library does; the target gets them in strict form. */
static const char *const lenient[] = {
	"GET /courses HTTP/1.1\r\nHost: x\r\nA: b\r\n folded\r\n\r\n",
	"POST /pay HTTP/1.1\nHost: x\nContent-Length: 3\n\nabc",
};

static bool is_refused(const char *request)
{
	GString *out =
		fleet_raw(f->nodes[0].caller, request, strlen(request), 1.0);
	bool refused = !out->len || strstr(out->str, " 400 ") ||
		       strstr(out->str, " 404 ") || strstr(out->str, " 501 ");

	g_string_free(out, TRUE);
	return refused;
}

static void test_ambiguous(void)
{
	unsigned int before = all_runs();
	unsigned int accepted = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(ambiguous); i++) {
		if (is_refused(ambiguous[i]))
			continue;
		printf("# not refused: %s\n", ambiguous[i]);
		accepted++;
	}
	g_assert_cmpuint(accepted, ==, 0);
	g_assert_cmpuint(all_runs(), ==, before);
	check_serving();
}

static void test_lenient(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lenient); i++) {
		unsigned int before = all_runs();
		GString *out = fleet_raw(f->nodes[0].caller, lenient[i],
					 strlen(lenient[i]), 1.0);
		const char *second = strstr(out->str + 1, "HTTP/1.1 ");

		g_assert_true(g_str_has_prefix(out->str, "HTTP/1.1 200"));
		g_assert_null(second);
		g_assert_cmpuint(all_runs(), ==, before + 1);
		g_string_free(out, TRUE);
	}
}

static void fill(GRand *rand, uint8_t *data, size_t size)
{
	for (size_t i = 0; i < size; i++)
		data[i] = (uint8_t)g_rand_int_range(rand, 0, 256);
}

static void test_random_bytes(void)
{
	const char *addresses[] = {f->nodes[0].caller, f->nodes[0].peer,
				   f->nodes[0].operator};
	g_autoptr(GRand) rand = g_rand_new_with_seed(5);

	for (unsigned int i = 0; i < RANDOM_INPUTS; i++) {
		uint8_t data[RANDOM_SIZE];
		size_t size = (size_t)g_rand_int_range(rand, 1, RANDOM_SIZE);

		fill(rand, data, size);
		g_string_free(fleet_raw(addresses[i % 3], data, size, 0.02),
			      TRUE);
	}
	check_serving();
}

static void test_random_datagrams(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(6);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct sockaddr_in to;

	g_assert_cmpint(set_parse_address(f->nodes[0].peer, &to), ==, 0);
	for (unsigned int i = 0; i < RANDOM_INPUTS; i++) {
		uint8_t data[RANDOM_SIZE];
		size_t size = (size_t)g_rand_int_range(rand, 1, RANDOM_SIZE);

		fill(rand, data, size);
		g_assert_cmpint(sendto(fd, data, size, 0,
				       (struct sockaddr *)&to, sizeof(to)),
				>, 0);
	}
	close(fd);
	check_serving();
}

/* A frame that claims to be longer than any may be. */
static void test_oversized_frame(void)
{
	const uint8_t frame[] = {0x7f, 0xff, 0xff, 0xff, 0x93, 1, 2, 3};
	GString *out = fleet_raw(f->nodes[0].peer, frame, sizeof(frame), 2.0);

	g_string_free(out, TRUE);
	check_serving();
}

static void test_bad_operator_requests(void)
{
	static const char *const paths[] = {"/nothing", "/audit?after=x",
					    "/audit?after=-1", "//", "/drain"};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		g_autoptr(FleetAnswer) a = fleet_http(
			"GET", f->nodes[0].operator, paths[i], NULL, NULL, 5.0);

		g_assert_cmpint(a->status, >=, 400);
	}
	check_serving();
}

/* An empty field value passes links and targets like any other. */
static void test_empty_field(void)
{
	for (unsigned int i = 0; i < 8; i++) {
		const char *headers[] = {"X-Token: empty", "X-Nothing;", NULL};
		g_autoptr(FleetAnswer)
			a = fleet_http("GET", f->nodes[i % 2].caller,
				       "/courses", headers, NULL, 5.0);

		g_assert_cmpint(a->status, ==, 200);
	}
}

/* Slow senders are closed; meanwhile others are served. */
static void test_slow_senders(void)
{
	const char start[] = "POST /pay HTTP/1.1\r\nHost: x\r\nContent-";
	int fds[64];
	struct sockaddr_in to;

	g_assert_cmpint(set_parse_address(f->nodes[0].caller, &to), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		g_assert_cmpint(
			connect(fds[i], (struct sockaddr *)&to, sizeof(to)), ==,
			0);
		g_assert_cmpint(
			send(fds[i], start, sizeof(start) - 1, MSG_NOSIGNAL), >,
			0);
	}
	check_serving();
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	check_serving();
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	f = fleet_start(build, &fleet_cascade, 1, 2, false);
	g_test_add_func("/input/ambiguous", test_ambiguous);
	g_test_add_func("/input/lenient", test_lenient);
	g_test_add_func("/input/random_bytes", test_random_bytes);
	g_test_add_func("/input/random_datagrams", test_random_datagrams);
	g_test_add_func("/input/oversized_frame", test_oversized_frame);
	g_test_add_func("/input/bad_operator_requests",
			test_bad_operator_requests);
	g_test_add_func("/input/empty_field", test_empty_field);
	g_test_add_func("/input/slow_senders", test_slow_senders);
	status = g_test_run();
	g_assert_cmpint(fleet_stop(&f->nodes[0].process, 20.0), ==, 0);
	fleet_free(f);
	return status;
}
