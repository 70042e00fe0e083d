#include <string.h>

#include "gwy_impl.h"

#include "fs_log.h"

/* Holds the header fields of a request, with what the library makes of its cookies and
 * parameters, and those of its answer. An open connection takes all of it. */
#define CONNECTION_MEMORY (64 * 1024) /* bytes */
/* File descriptors reserved for targets, peers, the store and files. */
#define RESERVED_FDS 700
#define CONNECTIONS_MIN 64
/* Connections are closed this much after the configured limit. */
#define IDLE_MARGIN_S 1
#define US_PER_S_ROUND_UP (FS_US_PER_S - 1)

/* One time-out bounds idle callers and pauses in a head. */
static void set_idle_limit(struct gwy *gwy, const struct cfg_limits *limits)
{
	int64_t idle_us = MAX(limits->idle_us, limits->header_us);

	if (limits->idle_us > 0)
		htd_set_idle(gwy->htd,
			     (unsigned int)((idle_us + US_PER_S_ROUND_UP) /
					    FS_US_PER_S) +
				     IDLE_MARGIN_S);
}

static void apply_config(struct gwy *gwy, struct cfg *cfg)
{
	cfg_unref(gwy->cfg);
	gwy->cfg = cfg_ref(cfg);
	set_idle_limit(gwy, &cfg->limits);
}

static void apply_view(struct gwy *gwy, struct mem_view *view)
{
	uint32_t local = 0;
	uint32_t before = 0;

	mem_view_unref(gwy->view);
	gwy->view = mem_view_ref(view);
	gwy->members_alive = 0;
	for (uint32_t i = 0; i < view->count; i++) {
		const struct mem_member *m = &view->members[i];

		gwy->members_alive += m->state != MEM_DEAD;
		if (m->state == MEM_DEAD ||
		    strcmp(m->domain, gwy->node->set.domain) != 0)
			continue;
		local++;
		before += m->id < gwy->node->self;
	}
	gwy->place = (before + 0.5) / MAX(local, 1);
	gwy->domain_share = (double)local / MAX(gwy->members_alive, 1);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct gwy *gwy = task;

	switch (m->type) {
	case MSG_CONFIG:
		apply_config(gwy, m->config.cfg);
		break;
	case MSG_VIEW:
		apply_view(gwy, m->view.view);
		break;
	case MSG_STOP:
		gwy_stop_begin(gwy, now_us);
		break;
	default:
		break;
	}
}

static const struct bus_task_ops ops = {
	.name = "gateway",
	.receive = receive,
};

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct gwy *gwy = task;
	struct htd_undelivered left = htd_undelivered(gwy->htd, now_us);

	g_string_append_printf(out,
			       "{\"requests\":%u,\"connections\":%u,"
			       "\"undelivered\":{\"connections\":%u,"
			       "\"bytes\":%zu},\"stopping\":%s,\"held\":",
			       g_hash_table_size(gwy->requests),
			       htd_connections(gwy->htd), left.connections,
			       left.bytes, gwy->stopping ? "true" : "false");
	gwy_held_write_status(gwy, out);
	g_string_append(out, ",\"quotas\":");
	gwy_quota_status(gwy, out, now_us);
	g_string_append_c(out, '}');
}

static struct htd_limits connection_limits(const struct set *set)
{
	uint32_t fds =
		set->max_fds > RESERVED_FDS ? set->max_fds - RESERVED_FDS : 0;
	uint64_t memory = set->memory_bytes > HLD_PROCESS_BYTES ?
				  set->memory_bytes - HLD_PROCESS_BYTES :
				  0;
	uint64_t connections = MIN(fds, memory / CONNECTION_MEMORY);

	return (struct htd_limits){
		.connections = (unsigned int)CLAMP(connections, CONNECTIONS_MIN,
						   FS_CALLER_CONNECTIONS_MAX),
		.idle_s = FS_CALLER_IDLE_S,
		.connection_memory = CONNECTION_MEMORY,
	};
}

struct gwy *gwy_new(struct node *node, const struct gwy_fields *fields,
		    struct dir *dir)
{
	const struct htd_limits limits = connection_limits(&node->set);
	struct gwy *gwy = g_new0(struct gwy, 1);
	const struct htd_accounts accounts = {node->ctr, &gwy->hld};

	gwy->node = node;
	gwy->fields = *fields;
	gwy->dir = dir;
	gwy->random_state = (node->self ^ node->incarnation) | 1;
	gwy->members_alive = 1;
	gwy->domain_share = 1.0;
	gwy->place = 0.5;
	gwy->started_us = fs_now_us();
	hld_init(&gwy->hld, node->set.memory_bytes);
	gwy->budget_rule = (struct bud_rule){
		.ratio = node->set.retry_ratio,
		.slack = node->set.retry_slack,
		.window_us = node->set.retry_window_us,
	};
	gwy->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gwy->mean_answer_bytes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gwy->requests = g_hash_table_new(NULL, NULL);
	gwy->parked = g_ptr_array_new();
	gwy->pool = tgt_pool_new(node->loop, TGT_POOL_CONNECTIONS);
	gwy->lod = lod_new(node, dir);
	if (gwy->lod)
		gwy->htd = htd_start(node->loop, &node->set.caller_listen,
				     &limits, &accounts, &gwy_http_ops, gwy,
				     &node->caller);
	if (!gwy->htd) {
		fs_log_event("gwy", G_LOG_LEVEL_CRITICAL, "listen_failed", "");
		gwy_free(gwy);
		return NULL;
	}
	bus_attach(node->bus, MSG_TASK_ENTRY, &ops, gwy);
	node_add_status(node, "gateway", write_status, gwy);
	return gwy;
}

/* Resumes all connections: MHD must not be stopped while one is suspended. */
static void cut_requests(struct gwy *gwy)
{
	g_autoptr(GList) all = g_hash_table_get_keys(gwy->requests);
	int64_t now_us = fs_now_us();

	for (GList *l = all; l; l = l->next) {
		struct gwy_request *req = l->data;

		gwy_request_cancel_attempts(req);
		req->stream_failed = true;
		if (req->headers_received)
			gwy_request_log(req, "cut", now_us);
		gwy_request_resume(req);
	}
}

void gwy_free(struct gwy *gwy)
{
	if (!gwy)
		return;
	cut_requests(gwy);
	gwy_stop_end(gwy);
	htd_stop(gwy->htd);
	tgt_pool_free(gwy->pool);
	lod_free(gwy->lod);
	g_hash_table_unref(gwy->requests);
	g_ptr_array_unref(gwy->parked);
	g_hash_table_unref(gwy->budgets);
	g_hash_table_unref(gwy->mean_answer_bytes);
	cfg_unref(gwy->cfg);
	mem_view_unref(gwy->view);
	g_free(gwy);
}
