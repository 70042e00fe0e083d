/* The gateway task before a target that writes an answer twice on a connection that is
 * used again: the caller gets the whole answer to its own request, or an error. */
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define HEAD(id) "HTTP/1.1 200 OK\r\nX-Id: " id "\r\nX-Seal: z\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_CHUNKS "5\r\nfirst\r\n0\r\n\r\n"
#define SECOND_CHUNKS "a\r\nthe second\r\n0\r\n\r\n"
#define GAP_US (20 * FS_US_PER_MS) /* until what was sent is read */

static struct yard y;

/** How the target answers. */
struct script {
	const char *method;
	const char *first; /* to the request "r1" */
	int first_status;
	const char *head; /* to "r2" on the same connection, in three pieces */
	const char *copy;
	const char *rest;
};

static void serve(void *arg, struct fake_conn *conn,
		  const struct fake_request *request)
{
	const struct script *script = arg;
	g_autofree char *id = yard_field(request, "X-Id");

	if (!strcmp(id, "r1")) {
		fake_send_text(conn, script->first);
		return;
	}
	if (request->connection != 1) {
		fake_send_text(conn, HEAD("r2") CHUNKED SECOND_CHUNKS);
		return;
	}
	fake_send_text(conn, script->head);
	fake_send_text(conn, script->copy);
	fake_send_later(conn, script->rest, GAP_US);
}

static void call(struct yard_caller *c, const char *method, const char *id)
{
	g_autofree char *request =
		g_strdup_printf("%s /list/1 HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n"
				"X-Left: 3000\r\n\r\n",
				method, id);

	yard_call(&y, c, request);
}

/* Returns the second caller's answer, whose head and body are there. */
static char *play(struct script *script)
{
	struct yard_caller first;
	struct yard_caller second;
	char *answer;

	yard_begin(&y);
	yard_target(&y, "list", serve, script);
	call(&first, script->method, "r1");
	yard_expect(&y, &first, script->first_status);
	yard_hang_up(&first);
	call(&second, "GET", "r2");
	yard_until(&y, (yard_read(&second),
			second.closed || strstr(second.got->str, "\r\n\r\n")));
	yard_run(&y, 2 * GAP_US);
	yard_read(&second);
	answer = g_strdup(second.got->str);
	yard_hang_up(&second);
	yard_run(&y, 5000);
	yard_end(&y);
	return answer;
}

/* Guards against the rest of a late second copy that is taken for the body of the next
 * answer: its head was read with the end of the first copy, dropped without a word, and
 * the connection was used again. */
static void test_head_of_a_copy_behind_an_answer(void)
{
	struct script scripts[] = {
		{"GET", HEAD("r1") CHUNKED FIRST_CHUNKS HEAD("r1") CHUNKED, 200,
		 HEAD("r2") CHUNKED, FIRST_CHUNKS, SECOND_CHUNKS},
		{"GET",
		 HEAD("r1") CHUNKED FIRST_CHUNKS HEAD(
			 "r1") "Content-Length: 10\r\n\r\n",
		 200, HEAD("r2") "Content-Length: 10\r\n\r\n", "the first.",
		 "the second"},
		{"GET",
		 HEAD("r1") "Content-Length: 0\r\n\r\n" HEAD("r1") CHUNKED, 200,
		 HEAD("r2") CHUNKED, FIRST_CHUNKS, SECOND_CHUNKS},
		{"HEAD", HEAD("r1") CHUNKED HEAD("r1") CHUNKED, 200,
		 HEAD("r2") CHUNKED, FIRST_CHUNKS, SECOND_CHUNKS},
		{"GET",
		 "HTTP/1.1 204 No Content\r\nX-Id: r1\r\nX-Seal: z\r\n\r\n"
		 "HTTP/1.1 2",
		 204, HEAD("r2") CHUNKED, FIRST_CHUNKS, SECOND_CHUNKS},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		g_autofree char *answer = play(&scripts[i]);

		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
		g_assert_true(g_str_has_suffix(answer, "\r\n\r\nthe second"));
	}
}

/* Guards against the same where the first copy is cut inside a trailer field: the head of
 * the second one went on there, as trailer fields. */
static void test_head_of_a_copy_inside_a_trailer(void)
{
	struct script script = {
		"GET",
		HEAD("r1") CHUNKED "5\r\nfirst\r\n0\r\nX-T: 1" HEAD("r1") CHUNKED,
		200,
		HEAD("r2") CHUNKED,
		FIRST_CHUNKS,
		SECOND_CHUNKS,
	};
	g_autofree char *answer = play(&script);

	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 200 "));
	g_assert_true(g_str_has_suffix(answer, "\r\n\r\nthe second"));
}

/* Guards against a cut size of a chunk that ends an answer: the whole copy went on
 * behind its first digits, which libcurl takes for an extension. */
static void test_copy_behind_the_digits_of_a_size(void)
{
	struct script script = {
		.method = "GET",
		.first = HEAD("r1") CHUNKED FIRST_CHUNKS,
		.first_status = 200,
		.head = HEAD("r2") CHUNKED "00",
		.copy = HEAD("r2") CHUNKED SECOND_CHUNKS,
		.rest = "0a\r\nthe second\r\n0\r\n\r\n",
	};
	g_autofree char *answer = play(&script);

	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
}

/* Guards against an empty line that is none, and a line that is no status line, which
 * end and begin an answer at another place than the target did. */
static void test_lines_that_libcurl_takes_for_others(void)
{
	struct script scripts[] = {
		{"GET", HEAD("r1") CHUNKED FIRST_CHUNKS, 200,
		 HEAD("r2") "Content-Length: 10\r\n\r",
		 "\r\nContent-Length: 10\r\n\r\n", "the second"},
		{"GET", HEAD("r1") CHUNKED FIRST_CHUNKS, 200, "HTTP/",
		 HEAD("r2") "Content-Length: 10\r\n\r\n",
		 "1.1 200 OK\r\nX-Id: r2\r\nX-Seal: z\r\n\r\n"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		g_autofree char *answer = play(&scripts[i]);

		g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 502 "));
	}
}

/* Connections stay in the pool behind answers with nothing behind them. */
static void test_connection_is_used_again(void)
{
	struct script scripts[] = {
		{"GET", HEAD("r1") CHUNKED FIRST_CHUNKS, 200, "", "", ""},
		{"GET", HEAD("r1") "Content-Length: 2\r\n\r\nok", 200, "", "",
		 ""},
		{"GET", HEAD("r1") "Content-Length: 0\r\n\r\n", 200, "", "",
		 ""},
		{"HEAD", HEAD("r1") CHUNKED, 200, "", "", ""},
		{"GET",
		 "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 204 No Content\r\n"
		 "X-Id: r1\r\nX-Seal: z\r\n\r\n",
		 204, "", "", ""},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		g_autofree char *answer = NULL;

		scripts[i].head = HEAD("r2") CHUNKED;
		scripts[i].copy = "8\r\nthe same\r\n0\r\n\r\n";
		answer = play(&scripts[i]);
		g_assert_true(g_str_has_suffix(answer, "\r\n\r\nthe same"));
	}
}

#define ADD(name) g_test_add_func("/gwy_copies/" #name, test_##name)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	ADD(head_of_a_copy_behind_an_answer);
	ADD(head_of_a_copy_inside_a_trailer);
	ADD(copy_behind_the_digits_of_a_size);
	ADD(lines_that_libcurl_takes_for_others);
	ADD(connection_is_used_again);
	return g_test_run();
}
