#include "cnf_leaving.h"

#include <string.h>

#define RANKS_TOLD 2 /* the dispatcher and its second choice */

/** The list of one poller. */
struct poller {
	node_id id;
	int64_t last_rx_us;
	GPtrArray *servers;
};

struct cnf_leaving {
	GPtrArray *pollers; /* struct poller */
};

static void poller_free(void *data)
{
	struct poller *poller = data;

	g_ptr_array_unref(poller->servers);
	g_free(poller);
}

struct cnf_leaving *cnf_leaving_new(void)
{
	struct cnf_leaving *leaving = g_new0(struct cnf_leaving, 1);

	leaving->pollers = g_ptr_array_new_with_free_func(poller_free);
	return leaving;
}

void cnf_leaving_free(struct cnf_leaving *leaving)
{
	if (!leaving)
		return;
	g_ptr_array_unref(leaving->pollers);
	g_free(leaving);
}

static struct poller *find_poller(struct cnf_leaving *leaving, node_id id)
{
	struct poller *poller;

	for (guint i = 0; i < leaving->pollers->len; i++) {
		poller = g_ptr_array_index(leaving->pollers, i);
		if (poller->id == id)
			return poller;
	}
	poller = g_new0(struct poller, 1);
	poller->id = id;
	poller->servers = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(leaving->pollers, poller);
	return poller;
}

void cnf_leaving_update(struct cnf_leaving *leaving, node_id poller_id,
			const GPtrArray *servers, int64_t now_us)
{
	struct poller *poller = find_poller(leaving, poller_id);

	poller->last_rx_us = now_us;
	g_ptr_array_set_size(poller->servers, 0);
	for (guint i = 0; servers && i < servers->len; i++)
		g_ptr_array_add(poller->servers,
				g_strdup(g_ptr_array_index(servers, i)));
}

/* Drops lists that are older than the newest one by more than the lapse. */
static void drop_lapsed(struct cnf_leaving *leaving, int64_t now_us)
{
	int64_t newest_us = 0;

	for (guint i = 0; i < leaving->pollers->len; i++) {
		const struct poller *poller =
			g_ptr_array_index(leaving->pollers, i);

		newest_us = MAX(newest_us, poller->last_rx_us);
	}
	newest_us = MIN(newest_us, now_us);
	for (guint i = leaving->pollers->len; i > 0; i--) {
		const struct poller *poller =
			g_ptr_array_index(leaving->pollers, i - 1);

		if (newest_us - poller->last_rx_us > CNF_LIST_EXPIRY_US)
			g_ptr_array_remove_index(leaving->pollers, i - 1);
	}
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *cnf_leaving_union(struct cnf_leaving *leaving, int64_t now_us)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);

	drop_lapsed(leaving, now_us);
	for (guint i = 0; i < leaving->pollers->len; i++) {
		const struct poller *poller =
			g_ptr_array_index(leaving->pollers, i);

		for (guint k = 0; k < poller->servers->len; k++) {
			const char *name =
				g_ptr_array_index(poller->servers, k);

			if (!g_ptr_array_find_with_equal_func(
				    all, name, g_str_equal, NULL))
				g_ptr_array_add(all, g_strdup(name));
		}
	}
	g_ptr_array_sort(all, compare_names);
	return all;
}

static handle find_server(const struct cfg *cfg, const struct plt_vm *vm)
{
	handle server = cfg_find_server(cfg, vm->name);

	if (server != FS_NONE)
		return server;
	for (server = 0; server < cfg->server_count; server++)
		if (!strcmp(cfg->servers[server].address, vm->address))
			return server;
	return FS_NONE;
}

GPtrArray *cnf_leaving_servers(const struct cfg *cfg, const struct plt_vm *vms,
			       uint32_t count)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < count; i++) {
		handle server;

		if (vms[i].entry || !vms[i].leaving)
			continue;
		server = find_server(cfg, &vms[i]);
		if (server != FS_NONE)
			g_ptr_array_add(names,
					g_strdup(cfg->servers[server].name));
	}
	g_ptr_array_sort(names, compare_names);
	return names;
}

static const struct shd_shard *shard_of(const struct shd_map *map,
					const struct cfg *cfg, handle server)
{
	handle service = cfg->servers[server].service;

	for (handle i = map->first[service]; i < map->first[service + 1]; i++)
		for (uint32_t k = 0; k < map->shards[i].server_count; k++)
			if (map->shards[i].servers[k] == server)
				return &map->shards[i];
	return NULL;
}

static void add_receiver(GHashTable *receivers, node_id id, const char *name)
{
	GPtrArray *names = g_hash_table_lookup(receivers, &id);

	if (!names) {
		node_id *key = g_new(node_id, 1);

		*key = id;
		names = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(receivers, key, names);
	}
	g_ptr_array_add(names, g_strdup(name));
}

GHashTable *cnf_leaving_receivers(const struct cfg *cfg,
				  const struct shd_map *map,
				  const struct mem_view *view,
				  const GPtrArray *servers)
{
	GHashTable *receivers =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);

	for (guint i = 0; i < servers->len; i++) {
		const char *name = g_ptr_array_index(servers, i);
		handle server = cfg_find_server(cfg, name);
		const struct shd_shard *shard =
			server == FS_NONE ? NULL : shard_of(map, cfg, server);

		for (uint32_t rank = 0; shard && rank < RANKS_TOLD; rank++) {
			node_id id = shd_owner(shard, view, rank);

			if (id)
				add_receiver(receivers, id, name);
		}
	}
	return receivers;
}
