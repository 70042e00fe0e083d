/* The gateway task while the configuration changes: requests that are read,
 * wait or are answered, and idle connections. */
#include <string.h>
#include <unistd.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 9000\r\n"
#define PAY_HEAD "POST /pay/1 HTTP/1.1\r\n" FIELDS
#define PAY_REQUEST PAY_HEAD "Content-Length: 3\r\n\r\na=1"
#define LIST_REQUEST "GET /list/1?q=1 HTTP/1.1\r\n" FIELDS "\r\n"
#define LONG_BODY (8 * 1024 * 1024) /* bytes; more than the sockets hold */

static struct yard y;
static struct yard_caller c;
static struct fake_conn *held; /* whose request the test answers */
static const struct fake_request *held_request;

static void begin(void)
{
	held = NULL;
	yard_begin(&y);
}

static void end(void)
{
	yard_hang_up(&c);
	yard_run(&y, 5000);
	yard_end(&y);
}

static void configure(uint64_t version, int64_t idle_us, bool without_pay)
{
	const struct yard_config config = {
		.version = version,
		.idle_us = idle_us,
		.timeout_us = 8 * FS_US_PER_S,
		.without_pay = without_pay,
	};

	yard_configure(&y, &config);
}

static void serve_ok(void *arg, struct fake_conn *conn,
		     const struct fake_request *request)
{
	(void)arg;
	yard_ok(conn, request, "hello");
}

static void hold(void *arg, struct fake_conn *conn,
		 const struct fake_request *request)
{
	(void)arg;
	held = conn;
	held_request = request;
}

static void serve_long(void *arg, struct fake_conn *conn,
		       const struct fake_request *request)
{
	g_autofree char *body = g_strnfill(LONG_BODY, 'x');

	(void)arg;
	yard_ok(conn, request, body);
}

/* An idle limit that is raised: guards against closing a connection after the
 * shorter limit, while its caller may reuse it. */
static void test_idle_limit_raised(void)
{
	begin();
	configure(2, FS_US_PER_S, false);
	yard_target(&y, "list", serve_ok, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	configure(3, 5 * FS_US_PER_S, false);
	yard_run(&y, 3500 * FS_US_PER_MS);
	yard_read(&c);
	g_assert_false(c.closed);
	yard_send(&c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	end();
}

/* An idle limit that is lowered: guards against closing a connection whose
 * caller goes by the longer limit. */
static void test_idle_limit_lowered(void)
{
	begin();
	configure(2, 4 * FS_US_PER_S, false);
	yard_target(&y, "list", serve_ok, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	configure(3, FS_US_PER_S / 2, false);
	yard_run(&y, 3200 * FS_US_PER_MS);
	yard_read(&c);
	g_assert_false(c.closed);
	yard_send(&c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	end();
}

/* Idle connections are closed, and a later configuration does not reach for
 * them. */
static void test_idle_connections_are_closed(void)
{
	struct yard_caller other;

	begin();
	configure(2, FS_US_PER_S / 2, false);
	yard_target(&y, "list", serve_ok, NULL);
	yard_call(&y, &other, LIST_REQUEST);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &other, 200);
	yard_expect(&y, &c, 200);
	yard_until(&y, (yard_read(&other), yard_read(&c),
			other.closed && c.closed));
	configure(3, 5 * FS_US_PER_S, false);
	yard_until(&y, !htd_connections(y.gwy->htd));
	yard_hang_up(&other);
	end();
}

/* Guards against an idle limit that cuts a request which waits for its target. */
static void test_wait_outlasts_idle_limit(void)
{
	begin();
	configure(2, FS_US_PER_S / 10, false);
	yard_target(&y, "pay", hold, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, held);
	yard_run(&y, 3 * FS_US_PER_S);
	yard_ok(held, held_request, "hello");
	yard_expect(&y, &c, 200);
	end();
}

/* Guards against an idle limit that counts from the start of a slow body. */
static void test_slow_body_outlasts_idle_limit(void)
{
	begin();
	configure(2, FS_US_PER_S, false);
	yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, PAY_HEAD "Content-Length: 5\r\n\r\n");
	for (int i = 0; i < 5; i++) {
		yard_run(&y, 700 * FS_US_PER_MS);
		yard_send(&c, "x");
	}
	yard_expect(&y, &c, 200);
	end();
}

/* Guards against a log that blames the caller for a connection which the gateway
 * closed: its caller waits in the middle of a body for too long. */
static void test_time_out_in_a_body_is_logged(void)
{
	g_autofree char *log = NULL;
	int log_fd;

	begin();
	configure(2, FS_US_PER_S / 2, false);
	yard_call(&y, &c, PAY_HEAD "Content-Length: 5\r\n\r\nx");
	log_fd = yard_log_begin();
	yard_until(&y, (yard_read(&c), c.closed));
	log = yard_log_end(log_fd);
	g_assert_nonnull(strstr(log, "\"outcome\":\"timeout\""));
	end();
}

/* A pause in a head, within the limit of heads: guards against the idle limit
 * of the connection that is shorter. */
static void test_pause_in_head_outlasts_idle_limit(void)
{
	const struct yard_config config = {
		.version = 2,
		.idle_us = FS_US_PER_S / 2,
		.header_us = 5 * FS_US_PER_S,
		.timeout_us = 8 * FS_US_PER_S,
	};

	begin();
	yard_configure(&y, &config);
	yard_target(&y, "list", serve_ok, NULL);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, 200);
	yard_send(&c, "GET /list/2 HTTP/1.1\r\nHost: h\r\n");
	yard_run(&y, 3500 * FS_US_PER_MS);
	yard_send(&c, "X-Id: r1\r\n\r\n");
	yard_expect(&y, &c, 200);
	end();
}

/* The route is dropped while the body is read: the request goes on under the
 * configuration that it began with. */
static void test_route_dropped_while_reading(void)
{
	begin();
	yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, PAY_HEAD "Content-Length: 3\r\n\r\na");
	yard_run(&y, 20000);
	configure(2, 5 * FS_US_PER_S, true);
	yard_send(&c, "=1");
	yard_expect(&y, &c, 200);
	end();
}

/* The same while a target works on it. */
static void test_route_dropped_while_waiting(void)
{
	begin();
	yard_target(&y, "pay", hold, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_until(&y, held);
	configure(2, 5 * FS_US_PER_S, true);
	yard_run(&y, 100000);
	yard_ok(held, held_request, "hello");
	yard_expect(&y, &c, 200);
	end();
}

/* The same while it waits for a target with capacity. */
static void test_route_dropped_while_parked(void)
{
	struct bal_target *state;

	begin();
	configure(2, 5 * FS_US_PER_S, false);
	yard_target(&y, "pay", serve_ok, NULL);
	state = bal_target_get(dir_target_find(y.dir, "s0"), fs_now_us());
	state->others = 30;
	state->sent_us = fs_now_us();
	yard_call(&y, &c, PAY_REQUEST);
	yard_run(&y, 100000);
	g_assert_cmpuint(yard_arrivals(&y), ==, 0);
	g_assert_cmpuint(g_hash_table_size(y.gwy->requests), ==, 1);
	configure(3, 5 * FS_US_PER_S, true);
	state->others = 0;
	yard_expect(&y, &c, 200);
	end();
}

/* The same while its answer is passed on. */
static void test_route_dropped_while_streaming(void)
{
	begin();
	configure(2, 5 * FS_US_PER_S, false);
	yard_target(&y, "pay", serve_long, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_run(&y, 200000);
	configure(3, 5 * FS_US_PER_S, true);
	yard_until(&y, (yard_read(&c), c.got->len > LONG_BODY));
	end();
}

/* Guards against the loss of a request that came before the configuration. */
static void test_deferred_until_configured(void)
{
	begin();
	y.node.ready = false;
	yard_target(&y, "pay", serve_ok, NULL);
	yard_call(&y, &c, PAY_REQUEST);
	yard_run(&y, 100000);
	g_assert_cmpuint(g_hash_table_size(y.gwy->requests), ==, 1);
	y.node.ready = true;
	configure(2, 5 * FS_US_PER_S, false);
	yard_expect(&y, &c, 200);
	end();
}

#define ADD(name) g_test_add_func("/gwy_reload/" #name, test_##name)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", STDERR_FILENO);
	ADD(idle_limit_raised);
	ADD(idle_limit_lowered);
	ADD(idle_connections_are_closed);
	ADD(wait_outlasts_idle_limit);
	ADD(slow_body_outlasts_idle_limit);
	ADD(time_out_in_a_body_is_logged);
	ADD(pause_in_head_outlasts_idle_limit);
	ADD(route_dropped_while_reading);
	ADD(route_dropped_while_waiting);
	ADD(route_dropped_while_parked);
	ADD(route_dropped_while_streaming);
	ADD(deferred_until_configured);
	return g_test_run();
}
