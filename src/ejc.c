/* Maintains the ejection records of the services that this node dispatches, and
 * handles the dispatcher's requests to eject and reinstate servers. */
#include <string.h>

#include "ejc_impl.h"

#define TICK_US (200 * FS_US_PER_MS)

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct ejc *ejc = timer->data;
	int64_t now_us = fs_now_us();
	GHashTableIter iter;
	void *service;

	(void)loop;
	(void)events;
	g_hash_table_iter_init(&iter, ejc->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		ejc_service_tick(service, now_us);
}

static bool is_dispatched(const struct ejc *ejc, const struct shd_shard *shard)
{
	return !strcmp(shard->region, ejc->node->set.region) &&
	       shd_owner(shard, ejc->view, 0) == ejc->node->self;
}

/* Updates the set of services to those of the shards that this node
 * dispatches. */
static void update_services(struct ejc *ejc)
{
	GHashTable *services;
	struct shd_map *map;

	if (!ejc->cfg || !ejc->view)
		return;
	services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 ejc_service_free);
	map = shd_map_new(ejc->cfg);
	for (uint32_t i = 0; i < map->count; i++) {
		const char *name =
			ejc->cfg->services[map->shards[i].service].name;
		struct ejc_service *service;

		if (!is_dispatched(ejc, &map->shards[i]) ||
		    g_hash_table_contains(services, name))
			continue;
		service = g_hash_table_lookup(ejc->services, name);
		if (service)
			g_hash_table_steal(ejc->services, name);
		else
			service = ejc_service_new(ejc, name);
		g_hash_table_insert(services, service->name, service);
	}
	shd_map_free(map);
	g_hash_table_unref(ejc->services);
	ejc->services = services;
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct ejc *ejc = task;
	struct ejc_service *service;

	switch (m->type) {
	case MSG_CONFIG:
		cfg_unref(ejc->cfg);
		ejc->cfg = cfg_ref(m->config.cfg);
		update_services(ejc);
		break;
	case MSG_VIEW:
		mem_view_unref(ejc->view);
		ejc->view = mem_view_ref(m->view.view);
		update_services(ejc);
		break;
	case MSG_EJECT_REQUEST:
		service = g_hash_table_lookup(ejc->services,
					      m->eject_request.service);
		if (service)
			ejc_service_request(service, &m->eject_request, now_us);
		break;
	case MSG_PROBE_RESULT:
		ejc_path_receive(ejc, &m->probe_result, now_us);
		break;
	default:
		break;
	}
}

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct ejc *ejc = task;
	const char *separator = "";
	GHashTableIter iter;
	struct ejc_service *service;

	g_string_append_c(out, '{');
	g_hash_table_iter_init(&iter, ejc->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&service)) {
		const struct flr_record *record =
			flr_sync_record(service->sync, now_us);

		g_string_append_printf(out, "%s\"%s\":", separator,
				       service->name);
		if (record)
			flr_record_json(record, out);
		else
			g_string_append(out, "null");
		separator = ",";
	}
	g_string_append_c(out, '}');
}

static const struct bus_task_ops ejc_ops = {"eject", receive};

struct ejc *ejc_new(struct node *node)
{
	struct ejc *ejc = g_new0(struct ejc, 1);

	ejc->node = node;
	ejc->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      ejc_service_free);
	ev_timer_init(&ejc->tick, on_tick, 0.0, TICK_US / 1e6);
	ejc->tick.data = ejc;
	ev_timer_start(node->loop, &ejc->tick);
	bus_attach(node->bus, MSG_TASK_EJECT, &ejc_ops, ejc);
	node_add_status(node, "eject", write_status, ejc);
	return ejc;
}

void ejc_free(struct ejc *ejc)
{
	if (!ejc)
		return;
	ev_timer_stop(ejc->node->loop, &ejc->tick);
	g_hash_table_unref(ejc->services);
	cfg_unref(ejc->cfg);
	mem_view_unref(ejc->view);
	g_free(ejc);
}
