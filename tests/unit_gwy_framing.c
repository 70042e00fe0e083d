/* The gateway task before targets whose heads may be read in two ways: such an answer is
 * refused, not interpreted. */
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define LIST_REQUEST                          \
	"GET /list/1 HTTP/1.1\r\nHost: h\r\n" \
	"X-Id: r1\r\nX-Left: 9000\r\n\r\n"
#define FIELDS "X-Id: r1\r\nX-Seal: z\r\n"
#define START "HTTP/1.1 200 OK\r\n" FIELDS
#define IN_CHUNKS "5\r\nhello\r\n0\r\n\r\n"

static struct yard y;

/* Answers each request with the same bytes, and closes. */
static void serve_text(void *arg, struct fake_conn *conn,
		       const struct fake_request *request)
{
	(void)request;
	fake_send_text(conn, arg);
	fake_close_after(conn);
}

static void expect(const char *answer, int status)
{
	struct yard_caller c;

	yard_begin(&y);
	yard_target(&y, "list", serve_text, (char *)answer);
	yard_call(&y, &c, LIST_REQUEST);
	yard_expect(&y, &c, status);
	if (status == 200)
		yard_until(&y, (yard_read(&c),
				g_str_has_suffix(c.got->str, "hello")));
	yard_hang_up(&c);
	yard_run(&y, 5000);
	yard_end(&y);
}

/* Guards against a Transfer-Encoding that libcurl reads in another way than the gateway:
 * "identity" ended with the connection, and its caller got the framing as a body. */
static void test_other_transfer_coding(void)
{
	expect(START "Transfer-Encoding: identity\r\n\r\n" IN_CHUNKS, 502);
	expect(START "Transfer-Encoding: identity\r\n\r\nhel", 502);
	expect(START "Transfer-Encoding: x-chunked\r\n\r\n" IN_CHUNKS, 502);
	expect(START "Transfer-Encoding: gzip, chunked\r\n\r\n" IN_CHUNKS, 502);
	expect(START "Transfer-Encoding: chunked, identity\r\n\r\n" IN_CHUNKS,
	       502);
	expect(START "Transfer-Encoding: identity\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n" IN_CHUNKS,
	       502);
	expect(START "Transfer-Encoding:\r\n\r\nhel", 502);
	expect("HTTP/1.0 200 OK\r\n" FIELDS
	       "Transfer-Encoding: chunked\r\n\r\n" IN_CHUNKS,
	       502);
}

/* A head that is cut and goes on with another one is no answer: libcurl would keep the
 * length of the first, and end the body there. */
static void test_head_inside_a_head(void)
{
	expect(START "Content-Length: 2\r\n" START "\r\nhello", 502);
	expect("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" START "\r\nhello",
	       502);
	expect(START "Transfer-Encoding: chunked\r\n" START "\r\n" IN_CHUNKS,
	       502);
}

/* Guards against a line inside a head that libcurl takes for a field and the gateway for
 * another head: the length before it was forgotten, and a part came as whole. */
static void test_status_line_that_is_a_field(void)
{
	expect(START "Content-Length: 2\r\nHTTP/1.1 200 OK: x\r\n" FIELDS
		     "\r\nhello",
	       502);
	expect(START
	       "Transfer-Encoding: chunked\r\nHTTP/1.1 200 OK: x\r\n" FIELDS
	       "\r\n" IN_CHUNKS,
	       502);
	expect(START "HTTP/2: x\r\n\r\nhello", 502);
}

/* Guards against a copy's head that is cut in the middle of a field and goes on with the
 * next answer's: the length of the copy ended the body of the other. */
static void test_head_cut_inside_a_field(void)
{
	expect("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Seal: 60" START
	       "\r\nhello",
	       502);
	expect("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long:" START
	       "\r\nhello",
	       502);
}

/* Guards against the same inside the status line: a failure came as a success. */
static void test_head_cut_inside_its_status_line(void)
{
	expect("HTTP/1.1 200 XHTTP/1.1 500 X\r\n" FIELDS
	       "Content-Length: 5\r\n\r\nhello",
	       502);
	expect("HTTP/1.1 200 X\rHTTP/1.1 503 X\r\n" FIELDS
	       "Content-Length: 5\r\n\r\nhello",
	       502);
	expect("HTTP/1.1 200 HTTP/1.HTTP/1.1 500 X\r\n" FIELDS
	       "Content-Length: 5\r\n\r\nhello",
	       502);
}

/* Guards against a framing field that neither library reads as one, for the blank before
 * its colon: its caller got the chunks' framing as a body. */
static void test_field_name_with_a_blank(void)
{
	expect(START "Transfer-Encoding : chunked\r\n\r\n" IN_CHUNKS, 502);
	expect(START "Content-Length : 5\r\n\r\nhelloHTTP/1.1", 502);
	expect(START
	       "X-Long: 1\r\n Transfer-Encoding: chunked\r\n\r\n" IN_CHUNKS,
	       502);
}

/* The bytes behind a switch of protocols, which nobody asked for, are no answer. */
static void test_switch_of_protocols(void)
{
	expect("HTTP/1.1 101 Switching\r\n" FIELDS "\r\nhello", 502);
}

/* What can be read in one way only is passed on. */
static void test_usual_framings(void)
{
	expect(START "Content-Length: 5\r\n\r\nhello", 200);
	expect(START "Transfer-Encoding: chunked\r\n\r\n" IN_CHUNKS, 200);
	expect(START "transfer-encoding:  Chunked \r\n\r\n" IN_CHUNKS, 200);
	expect(START "\r\nhello", 200);
	expect(START
	       "Transfer-Encoding: chunked\r\n\r\n0000000000000005\r\nhello\r\n"
	       "0000000000000000\r\n\r\n",
	       200);
	expect(START "Via: HTTP/1.1 a\r\nContent-Length: 5\r\n\r\nhello", 200);
	expect("HTTP/1.0 200 OK\r\n" FIELDS "\r\nhello", 200);
	expect("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" START
	       "Content-Length: 5\r\n\r\nhello",
	       200);
}

#define ADD(name) g_test_add_func("/gwy_framing/" #name, test_##name)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	ADD(other_transfer_coding);
	ADD(head_inside_a_head);
	ADD(status_line_that_is_a_field);
	ADD(head_cut_inside_a_field);
	ADD(head_cut_inside_its_status_line);
	ADD(field_name_with_a_blank);
	ADD(switch_of_protocols);
	ADD(usual_framings);
	return g_test_run();
}
