#include "plt.h"

#include <string.h>

#include "plt_json.h"

#define CALL_DEADLINE_US (2 * FS_US_PER_S)
#define CONNECT_DEADLINE_MS 1000L
#define CONNECTIONS_MAX 8L
#define RESPONSE_MAX (4 * 1024 * 1024) /* a value of 1 MB, escaped */

enum call_kind {
	CALL_GET,
	CALL_WATCH,
	CALL_PUT,
	CALL_VMS
};

/** One call in progress. */
struct plt_call {
	struct plt *plt;
	enum call_kind kind;
	CURL *easy;
	struct curl_slist *headers;
	GString *response;
	GBytes *request;
	uint64_t after; /* of a watch */
	plt_value_fn value_done;
	plt_vms_fn vms_done;
	void *arg;
};

struct plt {
	struct crl *crl;
	char *base;	   /* "http://ip:port" */
	GHashTable *calls; /* struct plt_call */
	uint64_t count;
};

struct plt *plt_new(struct ev_loop *loop, const char *address)
{
	struct plt *plt = g_new0(struct plt, 1);

	plt->crl = crl_new(loop, CONNECTIONS_MAX);
	plt->base = g_strdup_printf("http://%s", address);
	plt->calls = g_hash_table_new(NULL, NULL);
	return plt;
}

static void call_free(struct plt_call *call)
{
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_string_free(call->response, TRUE);
	g_clear_pointer(&call->request, g_bytes_unref);
	g_free(call);
}

static void call_drop(struct plt_call *call)
{
	crl_stop(call->plt->crl, call->easy);
	g_hash_table_remove(call->plt->calls, call);
	call_free(call);
}

void plt_free(struct plt *plt)
{
	g_autoptr(GList) calls = NULL;

	if (!plt)
		return;
	calls = g_hash_table_get_keys(plt->calls);
	for (GList *l = calls; l; l = l->next)
		call_drop(l->data);
	crl_free(plt->crl);
	g_hash_table_unref(plt->calls);
	g_free(plt->base);
	g_free(plt);
}

void plt_cancel(struct plt *plt, void *arg)
{
	g_autoptr(GList) calls = g_hash_table_get_keys(plt->calls);

	for (GList *l = calls; l; l = l->next) {
		struct plt_call *call = l->data;

		if (call->arg == arg)
			call_drop(call);
	}
}

uint64_t plt_call_count(const struct plt *plt)
{
	return plt->count;
}

static size_t on_data(char *data, size_t size, size_t n, void *arg)
{
	struct plt_call *call = arg;

	if (call->response->len + size * n > RESPONSE_MAX)
		return 0;
	g_string_append_len(call->response, data, (gssize)(size * n));
	return size * n;
}

/* Returns whether a call ended before any byte of it can have been sent. */
static bool never_sent(CURL *easy, CURLcode code)
{
	curl_off_t connected_us = 0;

	if (code == CURLE_COULDNT_CONNECT)
		return true;
	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected_us);
	return code == CURLE_OPERATION_TIMEDOUT && connected_us == 0;
}

static int err_of_status(const struct plt_call *call, long status)
{
	if (status == 200 || (status == 304 && call->kind == CALL_WATCH))
		return 0;
	if (status >= 500)
		return call->kind == CALL_PUT ? FS_E_AMBIGUOUS :
						FS_E_UNAVAILABLE;
	if (status == 404 && call->kind != CALL_PUT)
		return FS_E_NOT_FOUND;
	if (status == 409 && call->kind == CALL_PUT)
		return FS_E_CONFLICT;
	return FS_E_PROTOCOL;
}

static int err_of_call(const struct plt_call *call, CURLcode code, long *status)
{
	*status = 0;
	if (code == CURLE_OK) {
		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, status);
		return err_of_status(call, *status);
	}
	if (call->kind == CALL_PUT && !never_sent(call->easy, code))
		return FS_E_AMBIGUOUS;
	return code == CURLE_WRITE_ERROR ? FS_E_PROTOCOL : FS_E_UNAVAILABLE;
}

static void finish_value(struct plt_call *call, int err, long status)
{
	struct plt_value value = {0};
	g_autofree char *data = NULL;

	if (!err && status == 304) {
		value.revision = call->after;
	} else if (!err || err == FS_E_CONFLICT) {
		int parsed = plt_parse_value(call->response->str, &value, &data,
					     call->kind != CALL_PUT);

		/* A put whose answer is unreadable may have been done. */
		if (parsed && !err)
			err = call->kind == CALL_PUT ? FS_E_AMBIGUOUS : parsed;
	}
	call->value_done(call->arg, err, &value);
}

static void finish_vms(struct plt_call *call, int err)
{
	g_autoptr(GArray) vms = g_array_new(FALSE, TRUE, sizeof(struct plt_vm));

	if (!err)
		err = plt_parse_vms(call->response->str, vms);
	call->vms_done(call->arg, err, (const struct plt_vm *)(void *)vms->data,
		       err ? 0 : vms->len);
}

static void on_done(void *arg, CURL *easy, CURLcode code)
{
	struct plt_call *call = arg;
	long status;
	int err = err_of_call(call, code, &status);

	(void)easy;
	g_hash_table_remove(call->plt->calls, call);
	if (call->kind == CALL_VMS)
		finish_vms(call, err);
	else
		finish_value(call, err, status);
	call_free(call);
}

static struct plt_call *call_new(struct plt *plt, enum call_kind kind,
				 const char *url, int64_t deadline_us)
{
	struct plt_call *call = g_new0(struct plt_call, 1);

	call->plt = plt;
	call->kind = kind;
	call->response = g_string_new(NULL);
	call->easy = curl_easy_init();
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 CONNECT_DEADLINE_MS);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
			 (long)(deadline_us / FS_US_PER_MS));
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	return call;
}

static void call_start(struct plt_call *call)
{
	struct plt *plt = call->plt;

	plt->count++;
	g_hash_table_add(plt->calls, call);
	if (crl_start(plt->crl, call->easy, on_done, call))
		on_done(call, call->easy, CURLE_COULDNT_CONNECT);
}

static char *key_url(const struct plt *plt, const char *key)
{
	g_autofree char *escaped = g_uri_escape_string(key, "/", FALSE);

	return g_strdup_printf("%s/kv/%s", plt->base, escaped);
}

void plt_get(struct plt *plt, const char *key, plt_value_fn done, void *arg)
{
	g_autofree char *url = key_url(plt, key);
	struct plt_call *call = call_new(plt, CALL_GET, url, CALL_DEADLINE_US);

	call->value_done = done;
	call->arg = arg;
	call_start(call);
}

void plt_watch(struct plt *plt, const char *key, uint64_t after,
	       int64_t wait_us, plt_value_fn done, void *arg)
{
	g_autofree char *base = key_url(plt, key);
	g_autofree char *url = g_strdup_printf(
		"%s?after=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT,
		base, after, (int64_t)(wait_us / FS_US_PER_MS));
	struct plt_call *call =
		call_new(plt, CALL_WATCH, url, wait_us + CALL_DEADLINE_US);

	call->after = after;
	call->value_done = done;
	call->arg = arg;
	call_start(call);
}

/* libcurl repeats a request by itself when a kept connection turns out to be
 * closed; a put must not be, so that it gets a connection of its own. */
void plt_put(struct plt *plt, const char *key, uint64_t prev, const char *data,
	     size_t size, plt_value_fn done, void *arg)
{
	g_autofree char *base = key_url(plt, key);
	g_autofree char *url =
		g_strdup_printf("%s?prev=%" G_GUINT64_FORMAT, base, prev);
	struct plt_call *call = call_new(plt, CALL_PUT, url, CALL_DEADLINE_US);

	call->value_done = done;
	call->arg = arg;
	call->request = g_bytes_new(data, size);
	call->headers = curl_slist_append(NULL, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "PUT");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)size);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS,
			 g_bytes_get_data(call->request, NULL));
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	call_start(call);
}

void plt_vms(struct plt *plt, plt_vms_fn done, void *arg)
{
	g_autofree char *url = g_strdup_printf("%s/vms", plt->base);
	struct plt_call *call = call_new(plt, CALL_VMS, url, CALL_DEADLINE_US);

	call->vms_done = done;
	call->arg = arg;
	call_start(call);
}
