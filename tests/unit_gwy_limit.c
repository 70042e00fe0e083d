/* The gateway task beside a target that names how many requests a second it takes. */
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define LIST_REQUEST                                      \
	"GET /list/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" \
	"X-Left: 3000\r\n\r\n"
#define ANSWER "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\n"
#define PAUSE_US (25 * FS_US_PER_MS) /* between two requests */
/* A limit holds from then on, over any such time, one and a half times and five
 * requests more. */
#define SETTLE_US (3 * FS_US_PER_S)
#define WINDOW_US (4 * FS_US_PER_S)
#define ALLOWED(per_s) (3 * (per_s)*WINDOW_US / FS_US_PER_S / 2 + 5)

static struct yard y;

/* Names the limit that @p arg holds; 0: none. */
static void serve_limited(void *arg, struct fake_conn *conn,
			  const struct fake_request *request)
{
	const int *per_s = arg;
	g_autoptr(GString) out = g_string_new(ANSWER);

	(void)request;
	if (*per_s)
		g_string_append_printf(out, "Server-Limit: %d\r\n", *per_s);
	g_string_append(out, "Content-Length: 2\r\n\r\nok");
	fake_send_text(conn, out->str);
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
 * first answer that does not name it. */
static void test_target_names_its_limit(void)
{
	int per_s = 1;
	int none = 0;
	struct fake *limited;

	yard_begin(&y);
	limited = yard_target(&y, "list", serve_limited, &per_s);
	yard_target(&y, "list", serve_limited, &none);
	call_for(SETTLE_US);
	g_assert_cmpuint(arrivals_in(limited, WINDOW_US), <=, ALLOWED(1));
	per_s = 0;
	call_for(SETTLE_US);
	g_assert_cmpuint(arrivals_in(limited, WINDOW_US), >, ALLOWED(1));
	yard_end(&y);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_limit/target_names_its_limit",
			test_target_names_its_limit);
	return g_test_run();
}
