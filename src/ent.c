#include "ent.h"

#include "fs_log.h"

/* For the header fields of a request and its response. */
#define CONNECTION_MEMORY_BYTES (64 * 1024)

/* Drops the retry budgets of services that the configuration lacks. */
static gboolean is_removed_service(void *name, void *budget, void *cfg)
{
	(void)budget;
	return cfg_find_service(cfg, name) == FS_NONE;
}

static void apply_config(struct ent *ent, struct cfg *cfg)
{
	shd_map_free(ent->map);
	g_free(ent->loads);
	cfg_unref(ent->cfg);
	ent->cfg = cfg_ref(cfg);
	ent->map = shd_map_new(cfg);
	ent->loads = g_new0(struct ent_load, ent->map->count + 1);
	g_hash_table_foreach_remove(ent->budgets, is_removed_service, cfg);
}

static void apply_view(struct ent *ent, struct mem_view *view)
{
	mem_view_unref(ent->view);
	ent->view = mem_view_ref(view);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct ent *ent = task;

	switch (m->type) {
	case MSG_ANSWER:
		ent_reply_answer(ent, m, now_us);
		break;
	case MSG_PIECE:
		ent_reply_piece(ent, m, now_us);
		break;
	case MSG_REFUSAL:
		ent_reply_refusal(ent, m, now_us);
		break;
	case MSG_LINK_DOWN:
		ent_lost_link(ent, m->link_down.node, now_us);
		break;
	case MSG_CONFIG:
		apply_config(ent, m->config.cfg);
		break;
	case MSG_VIEW:
		apply_view(ent, m->view.view);
		break;
	case MSG_STOP:
		ent_stop_begin(ent, now_us);
		break;
	default:
		break;
	}
}

static const struct bus_task_ops ops = {
	.name = "entry",
	.receive = receive,
};

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct ent *ent = task;

	(void)now_us;
	g_string_append_printf(
		out,
		"{\"requests\":%u,\"in_flight\":%u,\"connections\":%u,"
		"\"body_bytes\":%zu,\"leaving\":%s}",
		ent->open_requests, g_hash_table_size(ent->requests),
		htd_connections(ent->htd), ent->body_bytes,
		ent->stop_us ? "true" : "false");
}

struct ent *ent_new(struct node *node)
{
	const struct htd_limits limits = {
		.connections = FS_CALLER_CONNECTIONS_MAX,
		.idle_s = FS_CALLER_IDLE_S,
		.connection_memory = CONNECTION_MEMORY_BYTES,
	};
	const struct htd_accounts accounts = {.ctr = node->ctr};
	struct ent *ent = g_new0(struct ent, 1);

	ent->node = node;
	ent->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	ent->link_down_us = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	ent->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ent->random =
		g_rand_new_with_seed((guint32)(node->self ^ node->incarnation));
	ent->htd = htd_start(node->loop, &node->set.caller_listen, &limits,
			     &accounts, &ent_http_ops, ent, &node->caller);
	if (!ent->htd) {
		fs_log_event("ent", G_LOG_LEVEL_CRITICAL, "listen_failed", "");
		ent_free(ent);
		return NULL;
	}
	bus_attach(node->bus, MSG_TASK_ENTRY, &ops, ent);
	node_add_status(node, "entry", write_status, ent);
	return ent;
}

/* MHD must not be stopped while connections are suspended. */
static void end_requests(struct ent *ent)
{
	g_autoptr(GList) requests = g_hash_table_get_values(ent->requests);
	int64_t now_us = fs_now_us();

	for (GList *l = requests; l; l = l->next) {
		struct ent_request *req = l->data;

		if (req->state == ENT_STREAMING)
			ent_stream_abort(req, "stopped", now_us);
		else
			ent_answer_refuse(req, FS_E_DISPATCHER_LOST, FS_UNKNOWN,
					  0, now_us);
	}
}

void ent_free(struct ent *ent)
{
	if (!ent)
		return;
	end_requests(ent);
	if (ent->stop_us)
		ev_timer_stop(ent->node->loop, &ent->stop_timer);
	htd_stop(ent->htd);
	g_hash_table_unref(ent->requests);
	g_hash_table_unref(ent->link_down_us);
	g_hash_table_unref(ent->budgets);
	g_rand_free(ent->random);
	shd_map_free(ent->map);
	g_free(ent->loads);
	cfg_unref(ent->cfg);
	mem_view_unref(ent->view);
	g_free(ent);
}
