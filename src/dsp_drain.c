/* A target that says "Draining: 1" in an answer takes no new work from then
 * on. It is asked by its probe path whether that still holds. Such answers can
 * lag, so it is used again only if it has refused a connection in between,
 * which shows that it was replaced or started again under its name, or if it
 * has answered without that field for DRAIN_CLEAN_US. Without a probe path,
 * accepting a connection counts as an answer. */
#include <string.h>

#include "dsp_impl.h"

#define DRAIN_CHECK_US 2000000LL  /* between two checks */
#define DRAIN_CLEAN_US 30000000LL /* without the signal, and then used */
#define DRAIN_TIMEOUT_MS 1000L	  /* of one check */

struct dsp_drain {
	struct crl *crl;
	CURL *easy; /* NULL: no check runs */
	bool path;  /* by HTTP, not by a connection alone */
	bool headed;
	bool draining;
	bool gone; /* it has refused a connection since */
	int64_t checked_us;
	int64_t clean_us; /* answers without the signal since; 0: none */
};

static size_t on_header(char *data, size_t size, size_t n, void *arg)
{
	static const char field[] = "Draining:";
	struct dsp_drain *drain = arg;
	g_autofree char *line = g_strndup(data, size * n);

	if (!strncmp(line, "HTTP/", 5))
		drain->headed = true;
	else if (!g_ascii_strncasecmp(line, field, sizeof(field) - 1) &&
		 !strcmp(g_strstrip(line + sizeof(field) - 1), "1"))
		drain->draining = true;
	return size * n;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return size * n;
}

static void on_done(void *arg, CURL *easy, CURLcode code)
{
	struct dsp_drain *drain = arg;

	bool clean = drain->path ? drain->headed && !drain->draining :
				   code == CURLE_OK;

	if (code == CURLE_COULDNT_CONNECT)
		drain->gone = true;
	if (!clean)
		drain->clean_us = 0;
	else if (!drain->clean_us)
		drain->clean_us = fs_now_us();
	curl_easy_cleanup(easy);
	drain->easy = NULL;
}

static void check_begin(struct dsp_drain *drain, const char *address,
			const char *path)
{
	CURL *easy = curl_easy_init();
	g_autofree char *url =
		g_strdup_printf("http://%s%s", address, path ? path : "/");

	drain->path = path != NULL;
	drain->headed = false;
	drain->draining = false;
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, DRAIN_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, path ? 0L : 1L);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, drain);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	drain->easy = easy;
	if (crl_start(drain->crl, easy, on_done, drain)) {
		curl_easy_cleanup(easy);
		drain->easy = NULL;
	}
}

bool dsp_drain_has_ended(bool gone, int64_t clean_us)
{
	return gone || clean_us >= DRAIN_CLEAN_US;
}

void dsp_drain_free(struct dsp_drain *drain)
{
	if (!drain)
		return;
	if (drain->easy) {
		crl_stop(drain->crl, drain->easy);
		curl_easy_cleanup(drain->easy);
	}
	g_free(drain);
}

static void tick_server(struct dsp_shard *shard, uint32_t i, int64_t now_us)
{
	struct dsp_server *server = shard->servers[i];
	struct dsp_drain *drain = server->drain;
	const char *address =
		shard->cfg->servers[shard->shard->servers[i]].address;

	if (!server->drained)
		return;
	if (!drain) {
		drain = server->drain = g_new0(struct dsp_drain, 1);
		drain->crl = tgt_pool_crl(shard->dsp->pool);
		drain->checked_us = now_us;
	}
	if (drain->clean_us &&
	    dsp_drain_has_ended(drain->gone, now_us - drain->clean_us)) {
		dsp_drain_free(drain);
		server->drain = NULL;
		server->drained = false;
		dsp_audit_drain(shard->dsp, dsp_shard_service(shard)->name,
				server->name, "target_signal_over", now_us);
	} else if (!drain->easy &&
		   now_us - drain->checked_us >= DRAIN_CHECK_US) {
		drain->checked_us = now_us;
		check_begin(drain, address,
			    dsp_shard_service(shard)->probe_path);
	}
}

void dsp_drain_tick(struct dsp *dsp, int64_t now_us)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard)) {
		for (uint32_t i = 0; i < shard->count; i++)
			tick_server(shard, i, now_us);
	}
}
