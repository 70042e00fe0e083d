/* One exchange with a target: written once, answered whole or not at all. */
#include <string.h>

#include "fleet_fake.h"
#include "tgt.h"

#define LIMIT_US (3 * FS_US_PER_S) /* for a test to end */

/** One exchange under test. */
struct probe {
	struct ev_loop *loop;
	struct crl *crl;
	struct fake *fake;
	struct msg *m;
	struct tgt *tgt;
	struct tgt_end end;
	bool done;
	bool begun;
	bool silent;
	bool give_up;
	GByteArray *body;
};

static void on_begun(void *arg, struct tgt *tgt)
{
	struct probe *p = arg;

	(void)tgt;
	p->begun = true;
}

static void on_more(void *arg, struct tgt *tgt)
{
	(void)arg;
	(void)tgt;
}

static bool on_silent(void *arg, struct tgt *tgt)
{
	struct probe *p = arg;

	(void)tgt;
	p->silent = true;
	return p->give_up;
}

static void on_done(void *arg, struct tgt *tgt, const struct tgt_end *end)
{
	struct probe *p = arg;
	g_autoptr(GBytes) body = tgt_take(tgt, SIZE_MAX);
	gsize size;
	const guint8 *data = g_bytes_get_data(body, &size);

	g_assert_false(p->done);
	p->end = *end;
	p->done = true;
	g_byte_array_append(p->body, data, (guint)size);
}

static const struct tgt_ops ops = {on_begun, on_more, on_silent, on_done};

static void probe_begin(struct probe *p, fake_serve_fn serve, void *arg)
{
	struct msg_request *r;

	memset(p, 0, sizeof(*p));
	p->loop = ev_loop_new(EVFLAG_AUTO);
	p->crl = crl_new(p->loop, 16);
	p->fake = fake_new(p->loop, serve, arg);
	p->m = msg_new(MSG_REQUEST, 1, MSG_TASK_DISPATCH);
	p->body = g_byte_array_new();
	r = &p->m->request;
	r->method = g_strdup("POST");
	r->host = g_strdup("shop.example");
	r->target = g_strdup("/pay?x=%20a");
	r->headers = msg_headers_new();
	r->body = g_bytes_new("12345", 5);
}

static void probe_end(struct probe *p)
{
	if (p->tgt)
		tgt_free(p->tgt);
	msg_free(p->m);
	g_byte_array_unref(p->body);
	crl_free(p->crl);
	fake_free(p->fake);
	ev_loop_destroy(p->loop);
}

static bool is_done(void *arg)
{
	return ((struct probe *)arg)->done;
}

static void start(struct probe *p, bool repeatable, int64_t deadline_us,
		  int64_t head_us)
{
	int64_t now_us = fs_now_us();
	struct tgt_request request = {
		.address = fake_address(p->fake),
		.m = &p->m->request,
		.id = "1-2-3",
		.repeatable = repeatable,
		.deadline_us = now_us + deadline_us,
		.head_us = now_us + head_us,
	};

	if (p->tgt)
		tgt_free(p->tgt);
	p->done = false;
	g_byte_array_set_size(p->body, 0);
	p->tgt = tgt_start(p->crl, &request, &ops, p, now_us);
	g_assert_nonnull(p->tgt);
}

static void exchange(struct probe *p, bool repeatable)
{
	start(p, repeatable, LIMIT_US, LIMIT_US);
	g_assert_true(fake_run(p->loop, is_done, p, LIMIT_US));
}

static const struct fake_request *nth(const struct probe *p, guint i)
{
	const GPtrArray *all = fake_requests(p->fake);

	g_assert_cmpuint(i, <, all->len);
	return all->pdata[i];
}

static void test_request_as_written(void)
{
	struct probe p;
	const char *head;

	probe_begin(&p, NULL, NULL);
	msg_headers_add(p.m->request.headers, "X-Bib", "17");
	msg_headers_add(p.m->request.headers, "X-Empty", "");
	msg_headers_add(p.m->request.headers, "Connection", "X-Bib");
	msg_headers_add(p.m->request.headers, "Transfer-Encoding", "chunked");
	msg_headers_add(p.m->request.headers, "Content-Length", "3");
	msg_headers_add(p.m->request.headers, "Fescuesaddle-Request", "9-9-9");
	exchange(&p, false);
	g_assert_cmpint(p.end.err, ==, 0);
	g_assert_cmpuint(tgt_status(p.tgt), ==, 200);
	g_assert_cmpuint(p.body->len, ==, 2);
	head = nth(&p, 0)->head;
	g_assert_true(g_str_has_prefix(head, "POST /pay?x=%20a HTTP/1.1\r\n"));
	g_assert_nonnull(strstr(head, "\r\nHost: shop.example\r\n"));
	g_assert_nonnull(strstr(head, "\r\nX-Bib: 17\r\n"));
	g_assert_nonnull(strstr(head, "\r\nX-Empty:"));
	g_assert_nonnull(strstr(head, "\r\nContent-Length: 5\r\n"));
	g_assert_nonnull(strstr(head, "\r\nFescuesaddle-Request: 1-2-3\r\n"));
	g_assert_nonnull(strstr(head, "\r\nFescuesaddle-Deadline-Ms: "));
	g_assert_null(strstr(head, "9-9-9"));
	g_assert_null(strcasestr(head, "transfer-encoding"));
	g_assert_null(strcasestr(head, "\r\nconnection:"));
	g_assert_null(strcasestr(head, "expect"));
	g_assert_null(strcasestr(head, "x-www-form"));
	g_assert_cmpstr(nth(&p, 0)->body, ==, "12345");
	probe_end(&p);
}

/* Answers the first request of a connection and closes after reading the
 * second, as a target does whose keep-alive ends at the wrong moment. */
static void close_second(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	(void)arg;
	if (request->nth == 1)
		fake_ok(conn, "ok");
	else
		fake_close(conn, false);
}

static size_t raw_write(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static void raw_done(void *arg, CURL *easy, CURLcode code)
{
	struct probe *p = arg;

	(void)easy;
	g_assert_cmpint(code, ==, CURLE_OK);
	p->done = true;
}

/* The fault is real: libcurl alone sends the second POST twice and says that
 * all went well. */
static void test_libcurl_repeats_by_itself(void)
{
	struct probe p;
	CURL *easy = curl_easy_init();
	g_autofree char *url = NULL;

	probe_begin(&p, close_second, NULL);
	url = g_strdup_printf("http://%s/pay", fake_address(p.fake));
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "x");
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, raw_write);
	for (int i = 0; i < 2; i++) {
		p.done = false;
		crl_start(p.crl, easy, raw_done, &p);
		g_assert_true(fake_run(p.loop, is_done, &p, LIMIT_US));
	}
	g_assert_cmpuint(fake_requests(p.fake)->len, ==, 3);
	curl_easy_cleanup(easy);
	probe_end(&p);
}

static void test_never_written_twice(void)
{
	struct probe p;

	probe_begin(&p, close_second, NULL);
	/* Leaves a connection in the pool. */
	exchange(&p, true);
	g_assert_cmpint(p.end.err, ==, 0);
	/* Not repeatable: its own connection, whatever the pool has. */
	exchange(&p, false);
	g_assert_cmpint(p.end.err, ==, 0);
	g_assert_false(p.end.reused);
	g_assert_cmpuint(fake_requests(p.fake)->len, ==, 2);
	g_assert_cmpuint(nth(&p, 1)->connection, ==, 2);
	/* Repeatable: the pooled one, which closes; not sent again. */
	exchange(&p, true);
	g_assert_cmpint(p.end.err, ==, FS_E_TARGET_RESET);
	g_assert_true(p.end.written);
	g_assert_true(p.end.reused);
	g_assert_cmpuint(fake_requests(p.fake)->len, ==, 3);
	probe_end(&p);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tgt/request_as_written", test_request_as_written);
	g_test_add_func("/tgt/libcurl_repeats_by_itself",
			test_libcurl_repeats_by_itself);
	g_test_add_func("/tgt/never_written_twice", test_never_written_twice);
	return g_test_run();
}
