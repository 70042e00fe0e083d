#include "prb_call.h"

#include <string.h>

struct prb_call {
	struct crl *crl;
	CURL *easy;
	prb_done_fn done;
	void *arg;
	bool draining;
};

static size_t drop_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static size_t read_header(char *data, size_t size, size_t n, void *arg)
{
	struct prb_call *call = arg;
	g_autofree char *line = g_strndup(data, size * n);

	g_strstrip(line);
	if (!g_ascii_strncasecmp(line, "Draining:", 9))
		call->draining = !strcmp(g_strchug(line + 9), "1");
	return size * n;
}

static void on_done(void *arg, CURL *easy, CURLcode code)
{
	struct prb_call *call = arg;
	struct prb_result result = {.draining = call->draining};
	curl_off_t took_us = 0;
	prb_done_fn done = call->done;
	void *done_arg = call->arg;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &took_us);
	result.reachable = code == CURLE_OK || status > 0;
	result.took_us = took_us;
	prb_call_free(call);
	done(done_arg, &result);
}

static void set_options(struct prb_call *call, const char *address,
			const char *path)
{
	g_autofree char *url =
		g_strdup_printf("http://%s%s", address, path ? path : "/");
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(PRB_TIMEOUT_US / FS_US_PER_MS));
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
	if (!path)
		curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
}

struct prb_call *prb_call_new(struct crl *crl, const char *address,
			      const char *path, prb_done_fn done, void *arg)
{
	struct prb_call *call = g_new0(struct prb_call, 1);

	call->crl = crl;
	call->done = done;
	call->arg = arg;
	call->easy = curl_easy_init();
	set_options(call, address, path);
	if (crl_start(crl, call->easy, on_done, call) == 0)
		return call;
	prb_call_free(call);
	return NULL;
}

void prb_call_free(struct prb_call *call)
{
	if (!call)
		return;
	crl_stop(call->crl, call->easy);
	curl_easy_cleanup(call->easy);
	g_free(call);
}
