/* The gateway task before targets whose answers have no length and end with their
 * connection: one that is cut must not look complete to the caller. */
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define LIST_REQUEST                          \
	"GET /list/1 HTTP/1.1\r\nHost: h\r\n" \
	"X-Id: r1\r\nX-Left: 9000\r\n\r\n"
#define HEAD_WITHOUT_LENGTH \
	"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: z\r\nConnection: close\r\n\r\n"
#define STREAMED_BYTES (160 * 1024) /* more than is buffered */
#define LAST_CHUNK "\r\n0\r\n\r\n"
#define BEFORE_OVERDUE_US (300 * FS_US_PER_MS)
#define READ_US (20 * FS_US_PER_MS) /* until what was sent is read */
#define OVER_OVERDUE_US (600 * FS_US_PER_MS)
#define QUIET_US (200 * FS_US_PER_MS)

static struct yard y;
static struct yard_caller c;
static struct fake_conn *held; /* whose request the test answers */

static void hold(void *arg, struct fake_conn *conn,
		 const struct fake_request *request)
{
	(void)arg;
	(void)request;
	held = conn;
}

static void begin(void)
{
	held = NULL;
	yard_begin(&y);
	yard_target(&y, "list", hold, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_until(&y, held);
}

static void end(void)
{
	yard_hang_up(&c);
	yard_run(&y, 5000);
	yard_end(&y);
}

/* Guards against a reset that is taken for the end of the answer: the time at which it
 * was overdue passed while the process was paused, and the gateway looked at the socket
 * before libcurl read it. Callers got a part of the body, framed as whole. */
static void test_reset_during_a_pause(void)
{
	begin();
	yard_run(&y, BEFORE_OVERDUE_US);
	fake_send_text(held, HEAD_WITHOUT_LENGTH "a part");
	yard_run(&y, READ_US);
	fake_close(held, true);
	g_usleep(OVER_OVERDUE_US);
	yard_expect(&y, &c, 502);
	end();
}

/* The same with an answer that is streamed, for longer than the usual time of an
 * answer: its last chunk came behind a part of the body. */
static void test_reset_of_a_stream(void)
{
	g_autofree char *part = g_strnfill(STREAMED_BYTES, 'x');

	begin();
	fake_send_text(held, HEAD_WITHOUT_LENGTH);
	fake_send_text(held, part);
	yard_expect(&y, &c, 200);
	yard_run(&y, BEFORE_OVERDUE_US + OVER_OVERDUE_US);
	fake_close(held, true);
	yard_until(&y, (yard_read(&c),
			c.closed || g_str_has_suffix(c.got->str, LAST_CHUNK)));
	g_assert_false(g_str_has_suffix(c.got->str, LAST_CHUNK));
	g_assert_true(c.closed);
	end();
}

/* Guards against a stream that looks complete to a caller of HTTP/1.0 though its target
 * cut it: without a length, and without chunks, only its connection would tell. */
static void test_stream_to_a_caller_without_chunks(void)
{
	g_autofree char *part = g_strnfill(STREAMED_BYTES, 'x');
	const struct fake *target;

	held = NULL;
	yard_begin(&y);
	target = yard_target(&y, "list", hold, NULL);
	yard_call(&y, &c,
		  "GET /list/1 HTTP/1.0\r\nHost: h\r\nX-Id: r1\r\n"
		  "X-Left: 9000\r\n\r\n");
	yard_until(&y, held);
	fake_send_text(held, HEAD_WITHOUT_LENGTH);
	fake_send_text(held, part);
	yard_run(&y, READ_US);
	if (fake_open(target))
		fake_close(held, true);
	yard_until(&y, (yard_read(&c), c.closed));
	if (!g_str_has_prefix(c.got->str, "HTTP/1.1 502 ") &&
	    !g_str_has_prefix(c.got->str, "HTTP/1.0 502 "))
		g_error("expected 502, got: %.20s", c.got->str);
	end();
}

/* Guards against a timer that is due at once, again and again, while an answer is streamed
 * for longer than the usual time of one: it took all of a small processor. */
static void test_stream_without_news_does_not_wake(void)
{
	g_autofree char *part = g_strnfill(STREAMED_BYTES, 'x');
	unsigned int turns;

	begin();
	fake_send_text(held, HEAD_WITHOUT_LENGTH);
	fake_send_text(held, part);
	yard_expect(&y, &c, 200);
	yard_run(&y, BEFORE_OVERDUE_US + OVER_OVERDUE_US);
	turns = ev_iteration(y.loop);
	yard_run(&y, QUIET_US);
	turns = ev_iteration(y.loop) - turns;
	g_assert_cmpuint(turns, <=, QUIET_US / FS_US_PER_MS);
	end();
}

/* An answer that ends with its connection in order is complete. */
static void test_end_in_order(void)
{
	begin();
	fake_send_text(held, HEAD_WITHOUT_LENGTH "hello");
	fake_close_after(held);
	yard_expect(&y, &c, 200);
	yard_until(&y, (yard_read(&c), g_str_has_suffix(c.got->str, "hello")));
	end();
}

#define ADD(name) g_test_add_func("/gwy_cut/" #name, test_##name)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	ADD(reset_during_a_pause);
	ADD(reset_of_a_stream);
	ADD(stream_to_a_caller_without_chunks);
	ADD(stream_without_news_does_not_wake);
	ADD(end_in_order);
	return g_test_run();
}
