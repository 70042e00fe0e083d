/* The gateway task and heads within the limits that fill a connection's memory: what runs
 * is answered, and what can't be answered does not run. */
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define FIELDS "Host: h\r\nX-Id: r1\r\nX-Left: 3000\r\n"
#define PAYMENT "Content-Length: 3\r\n\r\na=1"
#define PLAIN_PAYMENT "POST /pay/1 HTTP/1.1\r\n" FIELDS PAYMENT
#define COOKIES 150
#define COOKIE_BYTES 90
#define COOKIES_SET 36 /* by an answer */
#define PARAMETERS 400
#define TOO_MANY_PARAMETERS 650

static struct yard y;
static struct yard_caller c;

static void serve(void *arg, struct fake_conn *conn,
		  const struct fake_request *request)
{
	g_autofree char *value = g_strnfill(COOKIE_BYTES, 'v');
	g_autoptr(GString) text = g_string_new("HTTP/1.1 200 OK\r\n");

	(void)arg;
	(void)request;
	for (int i = 0; i < COOKIES_SET; i++)
		g_string_append_printf(text, "Set-Cookie: n%d=%s\r\n", i,
				       value);
	g_string_append(text, "X-Id: r1\r\nX-Seal: z\r\n"
			      "Content-Length: 2\r\n\r\n<>");
	fake_send_text(conn, text->str);
}

static void begin(void)
{
	yard_begin(&y);
	yard_target(&y, "pay", serve, NULL);
}

static void end(void)
{
	yard_hang_up(&c);
	yard_run(&y, 5000);
	yard_end(&y);
}

/* On a connection that has served a request before. */
static void call_kept(const char *request)
{
	yard_call(&y, &c, PLAIN_PAYMENT);
	yard_expect(&y, &c, 200);
	yard_run(&y, 5000);
	yard_send(&c, request);
}

static char *payment_with_parameters(int n)
{
	g_autoptr(GString) target = g_string_new("/pay/1?");

	for (int i = 0; i < n; i++)
		g_string_append_printf(target, "a%d=%d&", i, i);
	return g_strdup_printf("POST %s HTTP/1.1\r\n" FIELDS PAYMENT,
			       target->str);
}

/* Guards against a payment that runs and whose connection is closed without an answer:
 * the library keeps a copy of the cookies, and a record for each. */
static void test_many_cookies(void)
{
	g_autofree char *value = g_strnfill(COOKIE_BYTES, 'v');
	g_autoptr(GString) text =
		g_string_new("POST /pay/1 HTTP/1.1\r\n" FIELDS "Cookie: ");

	for (int i = 0; i < COOKIES; i++)
		g_string_append_printf(text, "n%d=%s; ", i, value);
	g_string_append(text, "last=1\r\n" PAYMENT);
	begin();
	call_kept(text->str);
	yard_expect(&y, &c, 200);
	end();
}

/* Guards against a payment with a long query that runs and is answered with 502. */
static void test_many_parameters(void)
{
	g_autofree char *text = payment_with_parameters(PARAMETERS);

	begin();
	call_kept(text);
	yard_expect(&y, &c, 200);
	end();
}

/* Guards against a run whose answer is known to find no room. */
static void test_no_room_for_an_answer(void)
{
	g_autofree char *text = payment_with_parameters(TOO_MANY_PARAMETERS);

	begin();
	call_kept(text);
	yard_expect(&y, &c, 431);
	g_assert_cmpuint(yard_arrivals(&y), ==, 1);
	end();
}

/* Guards against a request that is smuggled inside the body of another one, whose length
 * stands on a folded line. */
static void check_folded(const char *folded)
{
	g_autofree char *text =
		g_strdup_printf("POST /pay/1 HTTP/1.1\r\n" FIELDS "%s\r\n\r\n"
				"3f\r\n" PLAIN_PAYMENT "0\r\n\r\n",
				folded);

	begin();
	yard_call(&y, &c, text);
	yard_expect(&y, &c, 400);
	yard_until(&y, (yard_read(&c), c.closed));
	g_assert_cmpuint(yard_arrivals(&y), ==, 0);
	end();
}

static void test_folded_framing(void)
{
	check_folded("Content-Length:\r\n 63");
	check_folded("Content-Length: \r\n\t63");
	check_folded("Content-Length: 6\r\n 3");
	check_folded("Transfer-Encoding:\r\n chunked");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_heads/many_cookies", test_many_cookies);
	g_test_add_func("/gwy_heads/many_parameters", test_many_parameters);
	g_test_add_func("/gwy_heads/no_room_for_an_answer",
			test_no_room_for_an_answer);
	g_test_add_func("/gwy_heads/folded_framing", test_folded_framing);
	return g_test_run();
}
