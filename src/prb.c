/* Active health checks: probes the servers of the shards that this node
 * dispatches, and servers that nodes of other failure domains query. */
#include <string.h>

#include "node.h"
#include "prb_call.h"
#include "shd.h"

#define TICK_US (100 * FS_US_PER_MS)
#define REMOTE_PROBES_MAX 64 /* concurrent probes for other nodes */

/** A server that this node probes. */
struct prb_target {
	struct prb *prb;
	char *name;
	char *address;
	char *path; /* NULL: connect only */
	int64_t interval_us;
	int64_t next_us;
	struct prb_call *call;
};

/** A probe on behalf of another node. */
struct prb_remote {
	struct prb *prb;
	node_id from;
	uint64_t serial;
	char *server;
	struct prb_call *call;
};

struct prb {
	struct node *node;
	struct crl *crl;
	struct cfg *cfg;
	struct mem_view *view;
	GHashTable *targets; /* name to struct prb_target */
	GHashTable *remote;  /* struct prb_remote */
	ev_timer tick;
	uint64_t probes;
};

static void target_free(void *data)
{
	struct prb_target *target = data;

	prb_call_free(target->call);
	g_free(target->name);
	g_free(target->address);
	g_free(target->path);
	g_free(target);
}

static void remote_free(void *data)
{
	struct prb_remote *remote = data;

	prb_call_free(remote->call);
	g_free(remote->server);
	g_free(remote);
}

static void send_result(struct prb *prb, node_id to, enum msg_task task,
			uint64_t serial, const char *server,
			const struct prb_result *result)
{
	struct msg *m = msg_new(MSG_PROBE_RESULT, to, task);

	m->probe_result.serial = serial;
	m->probe_result.server = g_strdup(server);
	m->probe_result.reachable = result->reachable;
	m->probe_result.took_us = result->took_us;
	m->probe_result.draining = result->draining;
	bus_send(prb->node->bus, m);
}

static void on_probed(void *arg, const struct prb_result *result)
{
	struct prb_target *target = arg;
	struct prb *prb = target->prb;

	target->call = NULL;
	send_result(prb, prb->node->self, MSG_TASK_DISPATCH, 0, target->name,
		    result);
}

static void on_remote_probed(void *arg, const struct prb_result *result)
{
	struct prb_remote *remote = arg;
	struct prb *prb = remote->prb;

	remote->call = NULL;
	send_result(prb, remote->from, MSG_TASK_EJECT, remote->serial,
		    remote->server, result);
	g_hash_table_remove(prb->remote, remote);
}

static void probe(struct prb_target *target, int64_t now_us)
{
	struct prb *prb = target->prb;

	target->next_us = now_us + target->interval_us;
	if (target->call)
		return;
	prb->probes++;
	target->call = prb_call_new(prb->crl, target->address, target->path,
				    on_probed, target);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct prb *prb = timer->data;
	int64_t now_us = fs_now_us();
	GHashTableIter iter;
	void *value;

	(void)loop;
	(void)events;
	g_hash_table_iter_init(&iter, prb->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct prb_target *target = value;

		if (now_us >= target->next_us)
			probe(target, now_us);
	}
}

static bool same_string(const char *a, const char *b)
{
	return a == b || (a && b && !strcmp(a, b));
}

/* Reuses the target of the old table if its settings are unchanged. */
static void add_target(struct prb *prb, GHashTable *targets, handle h,
		       int64_t now_us)
{
	const struct cfg_server *server = &prb->cfg->servers[h];
	const struct cfg_service *service =
		&prb->cfg->services[server->service];
	struct prb_target *target =
		g_hash_table_lookup(prb->targets, server->name);

	if (target && !strcmp(target->address, server->address) &&
	    same_string(target->path, service->probe_path) &&
	    target->interval_us == service->probe_interval_us) {
		g_hash_table_steal(prb->targets, server->name);
	} else {
		target = g_new0(struct prb_target, 1);
		target->prb = prb;
		target->name = g_strdup(server->name);
		target->address = g_strdup(server->address);
		target->path = g_strdup(service->probe_path);
		target->interval_us = service->probe_interval_us;
		/* A phase offset per server keeps probes from bunching. */
		target->next_us =
			now_us +
			(int64_t)(fs_node_id(server->name) %
				  (uint64_t)MAX(target->interval_us, 1));
	}
	g_hash_table_insert(targets, target->name, target);
}

static void update_targets(struct prb *prb, int64_t now_us)
{
	GHashTable *targets = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, target_free);
	struct shd_map *map;

	if (!prb->cfg || !prb->view) {
		g_hash_table_unref(targets);
		return;
	}
	map = shd_map_new(prb->cfg);
	for (uint32_t i = 0; i < map->count; i++) {
		const struct shd_shard *shard = &map->shards[i];

		if (strcmp(shard->region, prb->node->set.region) != 0 ||
		    shd_owner(shard, prb->view, 0) != prb->node->self)
			continue;
		for (uint32_t s = 0; s < shard->server_count; s++)
			add_target(prb, targets, shard->servers[s], now_us);
	}
	shd_map_free(map);
	g_hash_table_unref(prb->targets);
	prb->targets = targets;
}

static void accept_probe_request(struct prb *prb, const struct msg *m)
{
	handle h = prb->cfg ?
			   cfg_find_server(prb->cfg, m->probe_request.server) :
			   FS_NONE;
	const struct cfg_server *server;
	struct prb_remote *remote;

	if (h == FS_NONE || g_hash_table_size(prb->remote) >= REMOTE_PROBES_MAX)
		return;
	server = &prb->cfg->servers[h];
	remote = g_new0(struct prb_remote, 1);
	remote->prb = prb;
	remote->from = m->from;
	remote->serial = m->probe_request.serial;
	remote->server = g_strdup(m->probe_request.server);
	g_hash_table_add(prb->remote, remote);
	remote->call =
		prb_call_new(prb->crl, server->address,
			     prb->cfg->services[server->service].probe_path,
			     on_remote_probed, remote);
	if (!remote->call)
		g_hash_table_remove(prb->remote, remote);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct prb *prb = task;

	switch (m->type) {
	case MSG_CONFIG:
		cfg_unref(prb->cfg);
		prb->cfg = cfg_ref(m->config.cfg);
		update_targets(prb, now_us);
		break;
	case MSG_VIEW:
		mem_view_unref(prb->view);
		prb->view = mem_view_ref(m->view.view);
		update_targets(prb, now_us);
		break;
	case MSG_PROBE_REQUEST:
		accept_probe_request(prb, m);
		break;
	default:
		break;
	}
}

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct prb *prb = task;

	(void)now_us;
	g_string_append_printf(
		out, "{\"targets\":%u,\"probes\":%" G_GUINT64_FORMAT "}",
		g_hash_table_size(prb->targets), (guint64)prb->probes);
}

static const struct bus_task_ops prb_ops = {"probe", receive};

struct prb *prb_new(struct node *node)
{
	struct prb *prb = g_new0(struct prb, 1);

	prb->node = node;
	prb->crl = crl_new(node->loop, 1);
	prb->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     target_free);
	prb->remote = g_hash_table_new_full(NULL, NULL, remote_free, NULL);
	ev_timer_init(&prb->tick, on_tick, 0.0, TICK_US / 1e6);
	prb->tick.data = prb;
	ev_timer_start(node->loop, &prb->tick);
	bus_attach(node->bus, MSG_TASK_PROBE, &prb_ops, prb);
	node_add_status(node, "probe", write_status, prb);
	return prb;
}

void prb_free(struct prb *prb)
{
	if (!prb)
		return;
	ev_timer_stop(prb->node->loop, &prb->tick);
	g_hash_table_unref(prb->targets);
	g_hash_table_unref(prb->remote);
	crl_free(prb->crl);
	cfg_unref(prb->cfg);
	mem_view_unref(prb->view);
	g_free(prb);
}
