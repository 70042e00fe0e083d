/**
 * @file opi.c
 * @brief Operator interface of a node: HTTP with JSON.
 *
 * GET /status, /counters, /audit?after=N, /config, /burn; POST /drain. Every
 * answer is one JSON object or array; an error is {"error","text"}. The
 * interface answers at once and holds no state but the configuration in force,
 * whose keys it does not show.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cfg_show.h"
#include "fs_log.h"
#include "htd.h"
#include "node.h"

#define CONNECTIONS_MAX 64
#define IDLE_S 10
#define CONNECTION_MEMORY (16 * 1024)

struct opi {
	struct node *node;
	struct htd *http;
	struct cfg *cfg;
};

/** One path of the interface. */
struct opi_page {
	const char *method;
	const char *path;
	void (*write)(struct opi *opi, uint64_t after, GString *out);
};

static void write_text(GString *out, const char *member, const char *value)
{
	g_string_append_printf(out, "\"%s\":", member);
	fs_json_string(out, value);
	g_string_append_c(out, ',');
}

static void write_status(struct opi *opi, uint64_t after, GString *out)
{
	const struct node *node = opi->node;
	int64_t now_us = fs_now_us();

	(void)after;
	g_string_append_c(out, '{');
	write_text(out, "name", node->set.name);
	write_text(out, "region", node->set.region);
	write_text(out, "failure_domain", node->set.domain);
	g_string_append_printf(out,
			       "\"incarnation\":%" PRIu64
			       ",\"ready\":%s,\"stopping\":%s,"
			       "\"config_version\":%" PRIu64,
			       node->incarnation, opi->cfg ? "true" : "false",
			       node->stopping ? "true" : "false",
			       opi->cfg ? opi->cfg->version : 0);
	for (uint32_t i = 0; i < node->status_count; i++) {
		const struct node_status *part = &node->status[i];

		g_string_append_printf(out, ",\"%s\":", part->name);
		part->write(part->task, out, now_us);
	}
	g_string_append_c(out, '}');
}

static void write_counters(struct opi *opi, uint64_t after, GString *out)
{
	(void)after;
	ctr_json(opi->node->ctr, out);
}

/* One line a figure, for collectors that read text. */
static void write_metrics(struct opi *opi, uint64_t after, GString *out)
{
	(void)after;
	ctr_text(opi->node->ctr, out);
	g_string_append_printf(out, "log_lines_dropped %" G_GUINT64_FORMAT "\n",
			       fs_log_dropped());
}

static void write_audit(struct opi *opi, uint64_t after, GString *out)
{
	aud_ring_json(opi->node->aud, after, out);
}

static void write_config(struct opi *opi, uint64_t after, GString *out)
{
	g_autofree char *text = opi->cfg ? cfg_show_text(opi->cfg) : NULL;

	(void)after;
	g_string_append_printf(out, "{\"version\":%" PRIu64 ",\"text\":",
			       opi->cfg ? opi->cfg->version : 0);
	fs_json_string(out, text ? text : "");
	g_string_append_c(out, '}');
}

static void write_burn(struct opi *opi, uint64_t after, GString *out)
{
	(void)after;
	brn_json(opi->node->brn, out, fs_now_us());
}

static void write_drain(struct opi *opi, uint64_t after, GString *out)
{
	(void)after;
	node_begin_stop(opi->node);
	g_string_append(out, "{\"stopping\":true}");
}

static const struct opi_page pages[] = {
	{"GET", "/status", write_status},
	{"GET", "/counters", write_counters},
	{"GET", "/audit", write_audit},
	{"GET", "/config", write_config},
	{"GET", "/metrics", write_metrics},
	{"GET", "/burn", write_burn},
	{"POST", "/drain", write_drain},
};

static enum MHD_Result reply(struct MHD_Connection *connection,
			     unsigned int status, GString *body)
{
	size_t size = body->len;
	struct MHD_Response *response = MHD_create_response_from_buffer(
		size, g_string_free(body, FALSE), MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, "Cache-Control", "no-store");
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_error(struct MHD_Connection *connection,
				   unsigned int status, const char *error,
				   const char *text)
{
	GString *body = g_string_new("{");

	write_text(body, "error", error);
	g_string_append(body, "\"text\":");
	fs_json_string(body, text);
	g_string_append_c(body, '}');
	return reply(connection, status, body);
}

static bool read_after(struct MHD_Connection *connection, uint64_t *after)
{
	const char *text = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "after");
	guint64 value = 0;

	if (text &&
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &value, NULL))
		return false;
	*after = value;
	return true;
}

static enum MHD_Result answer(struct opi *opi,
			      struct MHD_Connection *connection,
			      const char *path, const char *method)
{
	bool known = false;
	uint64_t after;
	GString *body;

	if (!read_after(connection, &after))
		return reply_error(connection, MHD_HTTP_BAD_REQUEST,
				   "bad_request",
				   "after is not a whole number");
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		if (strcmp(pages[i].path, path) != 0)
			continue;
		known = true;
		if (strcmp(pages[i].method, method) != 0)
			continue;
		body = g_string_new(NULL);
		pages[i].write(opi, after, body);
		return reply(connection, MHD_HTTP_OK, body);
	}
	if (known)
		return reply_error(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
				   "method",
				   "only /drain takes POST, all else GET");
	return reply_error(connection, MHD_HTTP_NOT_FOUND, "not_found",
			   "the paths are /status, /counters, /audit, "
			   "/config, /metrics, /burn and /drain");
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *upload_data,
				 size_t *upload_size, void **request)
{
	static const char started;

	(void)version;
	(void)upload_data;
	if (!*request) {
		*request = (void *)&started;
		return MHD_YES;
	}
	if (*upload_size) {
		*upload_size = 0; /* bodies are not used */
		return MHD_YES;
	}
	return answer(cls, connection, url, method);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct opi *opi = task;

	(void)now_us;
	if (m->type != MSG_CONFIG)
		return;
	cfg_unref(opi->cfg);
	opi->cfg = cfg_ref(m->config.cfg);
}

static const struct bus_task_ops task_ops = {
	.name = "opi",
	.receive = receive,
};

struct opi *opi_new(struct node *node)
{
	static const struct htd_limits limits = {
		.connections = CONNECTIONS_MAX,
		.idle_s = IDLE_S,
		.connection_memory = CONNECTION_MEMORY,
	};
	static const struct htd_ops http_ops = {.access = on_access};
	const struct htd_accounts accounts = {.ctr = node->ctr};
	struct opi *opi = g_new0(struct opi, 1);

	opi->node = node;
	opi->http = htd_start(node->loop, &node->set.operator_listen, &limits,
			      &accounts, &http_ops, opi, &node->operator);
	if (!opi->http) {
		fs_log_event("opi", G_LOG_LEVEL_CRITICAL, "bind_failed", "");
		g_free(opi);
		return NULL;
	}
	bus_attach(node->bus, MSG_TASK_OPERATOR, &task_ops, opi);
	return opi;
}

void opi_free(struct opi *opi)
{
	if (!opi)
		return;
	htd_stop(opi->http);
	cfg_unref(opi->cfg);
	g_free(opi);
}
