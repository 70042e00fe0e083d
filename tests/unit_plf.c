/* The platform's formats: decoding, rejection of malformed entries, and mapping
 * of responses. */
#include <curl/curl.h>
#include <string.h>

#include "fleet_fake.h"
#include "fleet_plf.h"
#include "fs_log.h"
#include "plf_decode.h"
#include "plf_statement.h"
#include "plf_store.h"

#define CONFIG                                                               \
	"{\"version\":7,\"new_member\":1,\"routes\":{\"columns\":[\"name\"," \
	"\"host\",\"prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\"," \
	"\"priority\",\"service\",\"max_attempts\",\"split\"],\"rows\":["    \
	"[\"r1\",\"h.example\",\"/pay/\",\"unsafe\",3000,1200,1,\"a\",2,"    \
	"null],[\"r2\",\"h.example\",\"/list/\",\"safe\",2500,1200,2,null,"  \
	"3,[{\"service\":\"a\",\"weight\":90},{\"service\":\"b\","           \
	"\"weight\":10}]],[\"r3\",\"h.example\",\"/new/\",\"keyed\",1,1,1,"  \
	"\"b\",1,null]]},\"services\":{\"columns\":[\"name\","               \
	"\"health_path\"],\"rows\":[[\"a\",\"/health\"],[\"b\",\"/h\"]]},"   \
	"\"limits\":{\"max_body_bytes\":1000,\"idle_timeout_ms\":15000}}"

#define ENTRY                                                    \
	"{\"service\":\"a\",\"address\":\"10.128.0.9:8080\","    \
	"\"zone\":\"z\",\"version\":\"v1\",\"capacity\":4,"      \
	"\"state\":\"%s\",\"cold_left_ms\":1500,\"call_seq\":4," \
	"\"born\":1700000000123}"

static void test_config(void)
{
	struct cfg *cfg CFG_AUTO = plf_decode_config(CONFIG, strlen(CONFIG));
	const struct cfg_route *r;

	g_assert_nonnull(cfg);
	g_assert_cmpuint(cfg->version, ==, 7);
	g_assert_cmpuint(cfg->service_count, ==, 2);
	g_assert_cmpuint(cfg->limits.body_bytes, ==, 1000);
	g_assert_cmpint(cfg->limits.idle_us, ==, 15 * FS_US_PER_S);
	r = &cfg->routes[cfg_find_route(cfg, "r1")];
	g_assert_false(r->repeatable);
	g_assert_cmpint(r->deadline_us, ==, 3 * FS_US_PER_S);
	g_assert_cmpuint(r->tries, ==, 2);
	r = &cfg->routes[cfg_find_route(cfg, "r2")];
	g_assert_true(r->repeatable);
	g_assert_cmpuint(r->share_count, ==, 2);
	g_assert_cmpfloat(r->shares[1].weight, ==, 10);
	/* Requests of an unknown kind are not repeatable. */
	g_assert_false(cfg->routes[cfg_find_route(cfg, "r3")].repeatable);
}

static void test_malformed_config(void)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"version\":\"7\"}",
		"{\"version\":7}",
		"{\"version\":7,\"services\":{\"columns\":[\"name\"],"
		"\"rows\":[[\"a\"],[\"a\"]]},\"routes\":{\"columns\":[],"
		"\"rows\":[]}}",
		"{\"version\":7,\"services\":{\"columns\":[\"name\"],"
		"\"rows\":[]},\"routes\":{\"columns\":[\"name\",\"host\","
		"\"prefix\",\"service\"],\"rows\":[[\"r\",\"h\",\"/\","
		"\"none\"]]}}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_null(plf_decode_config(texts[i], strlen(texts[i])));
}

static bool decode(const char *key, const char *text, struct dir_entry *out)
{
	return entry_decode(key, text, strlen(text), out);
}

static void test_target(void)
{
	g_autofree char *ready = g_strdup_printf(ENTRY, "ready");
	g_autofree char *leaving = g_strdup_printf(ENTRY, "draining");
	struct dir_entry e;

	g_assert_true(decode("servers/i-1", ready, &e));
	g_assert_cmpstr(e.id, ==, "i-1");
	g_assert_cmpstr(e.domain, ==, "z");
	g_assert_cmpuint(e.slots, ==, 4);
	g_assert_cmpuint(e.write.born, ==, 1700000000123);
	g_assert_cmpuint(e.write.count, ==, 5);
	g_assert_cmpint(e.cold_us, ==, 1500 * FS_US_PER_MS);
	g_assert_cmpuint(e.rev.number, ==, 9);
	g_assert_false(e.leaving);
	g_assert_true(decode("servers/i-1", leaving, &e));
	g_assert_true(e.leaving);
}

/* Entries of another writer are rejected. */
static void test_other_writers(void)
{
	static const char *const texts[] = {
		"\x01\xff not text",
		"{}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":\"4\",\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"name:80\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"odd\"}",
		"{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"ready\",\"born\":1.5}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:0\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:65536\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":2000000000,\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":9999999999999999999999,\"state\":\"ready\"}",
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":1e400,\"state\":\"ready\"}",
	};
	struct dir_entry e;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_false(decode("servers/i-1", texts[i], &e));
	g_assert_false(decode("servers/", "{}", &e));
}

/* Guards against one odd entry that ends each process which reads the list: nested so
 * deeply that the parser's stack is full, or so long that it takes seconds. */
static void test_deeply_nested_entry(void)
{
	static const char open[] = "[{";
	struct dir_entry e;

	for (size_t kind = 0; kind < 2; kind++) {
		g_autoptr(GString) text = g_string_new("{\"service\":");

		for (int i = 0; i < 400000; i++)
			g_string_append_printf(text, "%c%s", open[kind],
					       kind ? "\"a\":" : "");
		g_assert_false(decode("servers/i-1", text->str, &e));
		g_assert_null(plf_decode_config(text->str, text->len));
	}
}

/* Brackets inside a string are no nesting. */
static void test_brackets_in_a_string(void)
{
	g_autoptr(GString) text = g_string_new(
		"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
		"\"capacity\":4,\"state\":\"ready\",\"version\":\"\\\"");
	struct dir_entry e;

	for (int i = 0; i < 1000; i++)
		g_string_append_c(text, '[');
	g_string_append(text, "\"}");
	g_assert_true(decode("servers/i-1", text->str, &e));
}

/** An answer's field, and what is read from it. */
struct statement_case {
	uint32_t status;
	const char *name;
	const char *value;
	const char *again; /* the same field once more, or NULL */
	struct stm expected;
};

/* Guards against values that are malformed, or given twice, and taken for a
 * statement. */
static void test_statements(void)
{
	const struct stm none = {.limit = STM_LIMIT_NONE};
	const struct stm unknown = {.limit = STM_LIMIT_UNKNOWN};
	const struct stm leaving = {.leaving = true, .limit = STM_LIMIT_NONE};
	const struct stm one_and_a_half = {.limit = STM_LIMIT_NAMED,
					   .limit_per_s = 1.5};
	const struct stm no_work = {.limit = STM_LIMIT_NAMED};
	const struct stm soon = {.retry_after_us = 3 * FS_US_PER_S};
	const struct statement_case cases[] = {
		{200, "Other", "1", NULL, none},
		{500, "Other", "1", NULL, unknown},
		{200, "server-leaving", "1", NULL, leaving},
		{200, "Server-Leaving", "0", NULL, none},
		{200, "Server-Leaving", "yes", NULL, none},
		{200, "Server-Leaving", "1", "1", none},
		{200, "Server-Limit", "1.5", NULL, one_and_a_half},
		{503, "Server-Limit", "1.5", NULL, one_and_a_half},
		{200, "Server-Limit", "0", NULL, no_work},
		{200, "Server-Limit", "-1", NULL, unknown},
		{200, "Server-Limit", "1e3", NULL, unknown},
		{200, "Server-Limit", "1 2", NULL, unknown},
		{200, "Server-Limit", "", NULL, unknown},
		{200, "Server-Limit", "99999999999999", NULL, unknown},
		{200, "Server-Limit", "nan", NULL, unknown},
		{200, "Server-Limit", "1", "2", unknown},
		{503, "Retry-After", "3", NULL, soon},
		{200, "Retry-After", "3", NULL, none},
		{500, "Retry-After", "3", NULL, unknown},
		{503, "Retry-After", "-3", NULL, unknown},
		{503, "Retry-After", "0.5", NULL, unknown},
		{503, "Retry-After", "99999999999", NULL, unknown},
		{503, "Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT", NULL,
		 unknown},
		{503, "Retry-After", "3", "4", unknown},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct statement_case *one = &cases[i];
		g_autoptr(GArray) headers = msg_headers_new();
		struct stm stm;

		msg_headers_add(headers, one->name, one->value);
		if (one->again)
			msg_headers_add(headers, one->name, one->again);
		plf_statement_read(one->status, headers, &stm);
		g_test_message("%s: %s", one->name, one->value);
		g_assert_cmpint(stm.leaving, ==, one->expected.leaving);
		g_assert_cmpint(stm.limit, ==, one->expected.limit);
		g_assert_cmpfloat(stm.limit_per_s, ==,
				  one->expected.limit_per_s);
		g_assert_cmpint(stm.retry_after_us, ==,
				one->expected.retry_after_us);
	}
}

/** One call to a scripted store. */
struct call {
	struct ev_loop *loop;
	struct fake *fake;
	struct plf_store *store;
	struct kvs kvs;
	const char *answer;
	bool done;
	int err;
	uint32_t count;
	bool more;
	bool removed;
	uint64_t at_rev;
	uint64_t lease;
	uint64_t era;
	char *value;
};

static void serve(void *arg, struct fake_conn *conn,
		  const struct fake_request *request)
{
	const struct call *call = arg;

	(void)request;
	if (call->answer)
		fake_send_text(conn, call->answer);
}

static void on_page(void *arg, int err, const struct kvs_page *page)
{
	struct call *call = arg;

	call->done = true;
	call->err = err;
	call->count = page->count;
	call->more = page->more;
	call->at_rev = page->at_rev;
	call->era = page->era;
	if (page->count) {
		call->removed = page->items[page->count - 1].removed;
		call->value = g_strdup(page->items[0].value);
	}
}

static void on_write(void *arg, int err, const struct kvs_result *result)
{
	struct call *call = arg;

	call->done = true;
	call->err = err;
	call->lease = result->lease;
	call->era = result->era;
}

static bool is_done(void *arg)
{
	return ((struct call *)arg)->done;
}

static void call_begin_with(struct call *call, unsigned int status,
			    const char *header, const char *body)
{
	static char answer[1024];

	memset(call, 0, sizeof(*call));
	call->loop = ev_loop_new(EVFLAG_AUTO);
	call->fake = fake_new(call->loop, serve, call);
	call->store = plf_store_new(call->loop, fake_address(call->fake));
	call->kvs = plf_store_kvs(call->store);
	g_snprintf(answer, sizeof(answer),
		   "HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n%s", status,
		   header, strlen(body), body);
	call->answer = status ? answer : NULL;
}

static void call_begin(struct call *call, unsigned int status, const char *body)
{
	call_begin_with(call, status, "", body);
}

static void call_end(struct call *call)
{
	g_assert_true(fake_run(call->loop, is_done, call, 3 * FS_US_PER_S));
	plf_store_free(call->store);
	fake_free(call->fake);
	ev_loop_destroy(call->loop);
}

static const char *head_of(const struct call *call)
{
	const struct fake_request *r =
		g_ptr_array_index(fake_requests(call->fake), 0);

	return r->head;
}

static void test_range(void)
{
	struct call c;

	call_begin(&c, 200,
		   "{\"items\":[{\"key\":\"servers/a\",\"value\":\"aGk=\","
		   "\"rev\":5,\"created\":5,\"lease\":0}],\"has_more\":true,"
		   "\"at_rev\":12}");
	c.kvs.ops->range(c.kvs.store, "servers/", "servers/0", on_page, &c);
	g_assert_true(fake_run(c.loop, is_done, &c, 3 * FS_US_PER_S));
	g_assert_nonnull(strstr(head_of(&c),
				"GET /kv-range?prefix=servers/&after="
				"servers/0 "));
	g_assert_cmpint(c.err, ==, 0);
	g_assert_cmpuint(c.count, ==, 1);
	g_assert_cmpstr(c.value, ==, "hi");
	g_assert_true(c.more);
	g_assert_cmpuint(c.at_rev, ==, 12);
	g_free(c.value);
	call_end(&c);
}

static void test_watch(void)
{
	struct call c;

	call_begin(&c, 200,
		   "{\"events\":[{\"key\":\"op/x\",\"rev\":413,"
		   "\"is_gone\":true}],\"at_rev\":413}");
	c.kvs.ops->watch(c.kvs.store, "op/", 411, FS_US_PER_S, on_page, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, 0);
	g_assert_true(c.removed);
}

static void expect_err(unsigned int status, const char *body, int err)
{
	struct call c;

	call_begin(&c, status, body);
	c.kvs.ops->watch(c.kvs.store, "op/", 411, 0, on_page, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, err);
}

static void test_refusals(void)
{
	expect_err(410, "{}", FS_E_STALE);
	expect_err(429, "{}", FS_E_UNAVAILABLE);
	expect_err(503, "{}", FS_E_UNAVAILABLE);
	expect_err(200, "not json", FS_E_PROTOCOL);
	expect_err(200, "{\"events\":[{\"key\":1}],\"at_rev\":1}",
		   FS_E_PROTOCOL);
}

/* A store that accepts a call and never answers: the call times out. */
static void test_silence(void)
{
	expect_err(0, "", FS_E_UNAVAILABLE);
}

static void test_lease(void)
{
	struct call c;

	call_begin(&c, 200, "{\"lease\":77,\"ttl_ms\":3000}");
	c.kvs.ops->lease(c.kvs.store, 3 * FS_US_PER_S, on_write, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, 0);
	g_assert_cmpuint(c.lease, ==, 77);
}

static uint64_t era_of(unsigned int status, const char *header)
{
	struct call c;

	call_begin_with(&c, status, header, "{\"events\":[],\"at_rev\":1}");
	c.kvs.ops->watch(c.kvs.store, "op/", 411, 0, on_page, &c);
	call_end(&c);
	return c.era;
}

/* The store was restored: guards against an adapter that does not pass that on,
 * with answers that are errors as well. */
static void test_era_is_read(void)
{
	g_assert_cmpuint(era_of(200, "Store-Era: 3\r\n"), ==, 3);
	g_assert_cmpuint(era_of(200, "store-era:12 \r\n"), ==, 12);
	g_assert_cmpuint(era_of(410, "Store-Era: 4\r\n"), ==, 4);
	g_assert_cmpuint(era_of(503, "Store-Era: 4\r\n"), ==, 4);
	g_assert_cmpuint(era_of(404, "Store-Era: 4\r\n"), ==, 4);
	g_assert_cmpuint(era_of(200, "Store-Era: 0\r\n"), ==, 0);
	g_assert_cmpuint(era_of(200, ""), ==, KVS_NO_ERA);
}

/* Guards against a number that is made up from a malformed header: a node would
 * take all later answers as older ones. */
static void test_malformed_era_is_not_stated(void)
{
	static const char *const headers[] = {
		"Store-Era: \r\n",
		"Store-Era: x\r\n",
		"Store-Era: 3x\r\n",
		"Store-Era: -1\r\n",
		"Store-Era: +3\r\n",
		"Store-Era: 3.5\r\n",
		"Store-Era: 0x10\r\n",
		"Store-Era: 99999999999999999999999\r\n",
		"Store-Era: 3\r\nStore-Era: 4\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(headers); i++)
		g_assert_cmpuint(era_of(200, headers[i]), ==, KVS_NO_ERA);
}

/* Guards against a node that keeps renewing a lease which is lost. */
static void test_era_of_a_write(void)
{
	struct call c;

	call_begin_with(&c, 200, "Store-Era: 6\r\n", "{}");
	c.kvs.ops->renew(c.kvs.store, 9, on_write, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, 0);
	g_assert_cmpuint(c.era, ==, 6);
	call_begin_with(&c, 404, "Store-Era: 6\r\n", "{}");
	c.kvs.ops->renew(c.kvs.store, 9, on_write, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, FS_E_NOT_FOUND);
	g_assert_cmpuint(c.era, ==, 6);
}

/* Guards against calls that keep the address of a store that has moved. */
static void test_moved_store(void)
{
	struct fake *old;
	struct call c;

	call_begin(&c, 200, "{\"items\":[],\"has_more\":false,\"at_rev\":7}");
	old = c.fake;
	c.fake = fake_new(c.loop, serve, &c);
	plf_store_move(c.store, fake_address(c.fake));
	c.kvs.ops->range(c.kvs.store, "servers/", NULL, on_page, &c);
	g_assert_true(fake_run(c.loop, is_done, &c, 3 * FS_US_PER_S));
	g_assert_cmpint(c.err, ==, 0);
	g_assert_cmpuint(fake_requests(old)->len, ==, 0);
	g_assert_cmpuint(fake_requests(c.fake)->len, ==, 1);
	fake_free(old);
	call_end(&c);
}

/* Guards against a watch that is repeated for ever, as more events have come than an
 * answer may hold: a server's leaving is not heard of. */
static void test_watch_of_too_many_events(void)
{
	g_autofree char *filler = g_strnfill(5 << 20, 'x');
	g_autofree char *answer = g_strdup_printf(
		"HTTP/1.1 200 X\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(filler), filler);
	struct call c;

	call_begin(&c, 200, "");
	c.answer = answer;
	c.kvs.ops->watch(c.kvs.store, "servers/", 7, FS_US_PER_S, on_page, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, FS_E_STALE);
	call_begin(&c, 200, "");
	c.answer = answer;
	c.kvs.ops->range(c.kvs.store, "servers/", NULL, on_page, &c);
	call_end(&c);
	g_assert_cmpint(c.err, ==, FS_E_PROTOCOL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/plf/config", test_config);
	g_test_add_func("/plf/malformed_config", test_malformed_config);
	g_test_add_func("/plf/target", test_target);
	g_test_add_func("/plf/other_writers", test_other_writers);
	g_test_add_func("/plf/range", test_range);
	g_test_add_func("/plf/watch", test_watch);
	g_test_add_func("/plf/refusals", test_refusals);
	g_test_add_func("/plf/silence", test_silence);
	g_test_add_func("/plf/lease", test_lease);
	g_test_add_func("/plf/era_is_read", test_era_is_read);
	g_test_add_func("/plf/statements", test_statements);
	g_test_add_func("/plf/deeply_nested_entry", test_deeply_nested_entry);
	g_test_add_func("/plf/brackets_in_a_string", test_brackets_in_a_string);
	g_test_add_func("/plf/malformed_era_is_not_stated",
			test_malformed_era_is_not_stated);
	g_test_add_func("/plf/era_of_a_write", test_era_of_a_write);
	g_test_add_func("/plf/moved_store", test_moved_store);
	g_test_add_func("/plf/watch_of_too_many_events",
			test_watch_of_too_many_events);
	return g_test_run();
}
