/* The gateway task before targets that state something of themselves: that they
 * leave, how many requests a second they take, and when to come back. */
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define LIST_REQUEST                                      \
	"GET /list/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" \
	"X-Left: 3000\r\n\r\n"
#define PAUSE_US (25 * FS_US_PER_MS) /* between two requests */
/* A limit holds from then on, over any such time, one and a half times and five
 * requests more. */
#define SETTLE_US (3 * FS_US_PER_S)
#define WINDOW_US (4 * FS_US_PER_S)
#define ALLOWED(per_s) (3 * (per_s)*WINDOW_US / FS_US_PER_S / 2 + 5)

static struct yard y;

/** What a target answers. */
struct script {
	const char *status; /* and its reason */
	const char *fields; /* header fields, each with its line end */
};

static const struct script plain = {"200 OK", ""};

static void serve_script(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	const struct script *script = arg;
	g_autofree char *out =
		g_strdup_printf("HTTP/1.1 %s\r\nX-Id: r1\r\nX-Seal: z\r\n%s"
				"Content-Length: 2\r\n\r\nok",
				script->status, script->fields);

	(void)request;
	fake_send_text(conn, out);
}

static struct fake *add_target(struct script *script)
{
	return yard_target(&y, "list", serve_script, script);
}

/* Calls one after the other for some time. @return how many got a 200 */
static guint call_for(int64_t us)
{
	guint answered = 0;

	for (int64_t end_us = fs_now_us() + us; fs_now_us() < end_us;) {
		struct yard_caller c;

		yard_call(&y, &c, LIST_REQUEST);
		yard_run(&y, PAUSE_US);
		yard_read(&c);
		answered += g_str_has_prefix(c.got->str, "HTTP/1.1 200");
		yard_hang_up(&c);
	}
	return answered;
}

static guint arrivals_in(struct fake *target, int64_t us)
{
	guint before = fake_requests(target)->len;

	call_for(us);
	return fake_requests(target)->len - before;
}

/* Guards against a target that gets the usual share of the work whatever it says:
 * one that had named 1 a second got 23 requests in 4 s. The limit ends with the
 * first success that does not name it, and with no failure. */
static void test_target_names_its_limit(void)
{
	struct script script = {"200 OK", "Server-Limit: 1\r\n"};
	struct script other = plain;
	struct fake *limited;

	yard_begin(&y);
	limited = add_target(&script);
	add_target(&other);
	call_for(SETTLE_US);
	g_assert_cmpuint(arrivals_in(limited, WINDOW_US), <=, ALLOWED(1));
	script = (struct script){"500 No", ""};
	g_assert_cmpuint(arrivals_in(limited, WINDOW_US), <=, ALLOWED(1));
	script = plain;
	call_for(SETTLE_US);
	g_assert_cmpuint(arrivals_in(limited, WINDOW_US), >, ALLOWED(1));
	yard_end(&y);
}

/* Guards against work for a target that has said that it leaves, while the store
 * does not tell: whatever it says later, and as long as there is any other. */
static void test_target_says_that_it_leaves(void)
{
	struct script script = {"200 OK", "Server-Leaving: 1\r\n"};
	struct script other = plain;
	struct fake *leaving;
	guint arrivals;

	yard_begin(&y);
	leaving = add_target(&script);
	while (!fake_requests(leaving)->len)
		call_for(PAUSE_US);
	add_target(&other);
	script = plain;
	arrivals = fake_requests(leaving)->len;
	g_assert_cmpuint(call_for(SETTLE_US), >, 0);
	g_assert_cmpuint(fake_requests(leaving)->len, ==, arrivals);
	yard_end(&y);
}

static const char refusal[] = "503 Full";
static const char come_back[] = "X-Not-Run: 1\r\nRetry-After: 2\r\n";

/* Guards against a target that is asked again and again while it wants nothing; it
 * is used again after that time. */
static void test_target_says_when_to_come_back(void)
{
	struct script script = {refusal, come_back};
	struct script other = plain;
	struct fake *target;
	guint arrivals;

	yard_begin(&y);
	target = add_target(&script);
	add_target(&other);
	while (!fake_requests(target)->len)
		call_for(PAUSE_US);
	script = plain;
	arrivals = fake_requests(target)->len;
	g_assert_cmpuint(call_for(1800 * FS_US_PER_MS), >, 0);
	g_assert_cmpuint(fake_requests(target)->len, ==, arrivals);
	call_for(FS_US_PER_S);
	g_assert_cmpuint(fake_requests(target)->len, >, arrivals);
	yard_end(&y);
}

/* All targets want nothing for two seconds: guards against callers that wait for
 * that, and against ones that are told to return before it. */
static void test_all_say_when_to_come_back(void)
{
	struct script script = {refusal, come_back};
	struct yard_caller c;
	const char *after;
	int64_t from_us;

	yard_begin(&y);
	add_target(&script);
	add_target(&script);
	for (int i = 0; i < 3; i++) {
		yard_call(&y, &c, LIST_REQUEST);
		yard_expect(&y, &c, 503);
		yard_hang_up(&c);
	}
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	from_us = fs_now_us();
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 503);
	g_assert_cmpint(fs_now_us() - from_us, <, 200 * FS_US_PER_MS);
	after = strstr(c.got->str, "Retry-After: ");
	g_assert_nonnull(after);
	g_assert_cmpfloat(g_ascii_strtod(after + strlen("Retry-After: "), NULL),
			  >, 1.0);
	g_assert_cmpuint(yard_arrivals(&y), ==, 2);
	yard_hang_up(&c);
	yard_end(&y);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_statement/target_names_its_limit",
			test_target_names_its_limit);
	g_test_add_func("/gwy_statement/target_says_that_it_leaves",
			test_target_says_that_it_leaves);
	g_test_add_func("/gwy_statement/target_says_when_to_come_back",
			test_target_says_when_to_come_back);
	g_test_add_func("/gwy_statement/all_say_when_to_come_back",
			test_all_say_when_to_come_back);
	return g_test_run();
}
