#include "dsp_impl.h"

static char *shard_key(const char *service, const char *region, uint32_t index)
{
	return g_strdup_printf("%s/%s/%u", region, service, index);
}

const struct cfg_service *dsp_shard_service(const struct dsp_shard *shard)
{
	return &shard->cfg->services[shard->shard->service];
}

static struct dsp_server *server_ref(struct dsp *dsp, const char *name)
{
	struct dsp_server *server = g_hash_table_lookup(dsp->servers, name);

	if (!server) {
		server = g_new0(struct dsp_server, 1);
		server->name = g_strdup(name);
		server->told = g_hash_table_contains(dsp->told, name);
		g_hash_table_insert(dsp->servers, server->name, server);
	}
	server->refs++;
	return server;
}

void dsp_server_unref(struct dsp *dsp, struct dsp_server *server)
{
	if (--server->refs > 0)
		return;
	g_hash_table_remove(dsp->servers, server->name);
	dsp_drain_free(server->drain);
	g_free(server->name);
	g_free(server);
}

static struct dsp_shard *shard_new(struct dsp *dsp, handle h, int64_t now_us)
{
	struct dsp_shard *shard = g_new0(struct dsp_shard, 1);
	const struct shd_shard *s = &dsp->map->shards[h];

	shard->dsp = dsp;
	shard->cfg = cfg_ref(dsp->cfg);
	shard->shard = s;
	shard->count = s->server_count;
	shard->key = shard_key(dsp->cfg->services[s->service].name, s->region,
			       s->index);
	for (uint32_t i = 0; i < s->server_count; i++)
		shard->servers[i] =
			server_ref(dsp, dsp->cfg->servers[s->servers[i]].name);
	shard->hlt = hlt_shard_new(dsp->cfg, s->service, s->servers,
				   s->server_count, now_us);
	return shard;
}

void dsp_shard_free(struct dsp_shard *shard)
{
	for (uint32_t i = 0; i < shard->count; i++)
		dsp_server_unref(shard->dsp, shard->servers[i]);
	hlt_shard_free(shard->hlt);
	cfg_unref(shard->cfg);
	g_free(shard->key);
	g_free(shard);
}

struct dsp_shard *dsp_shard_get(struct dsp *dsp, const char *service,
				const char *region, uint32_t index,
				int64_t now_us)
{
	g_autofree char *key = shard_key(service, region, index);
	struct dsp_shard *shard = g_hash_table_lookup(dsp->shards, key);
	handle h;

	if (!shard) {
		h = shd_find(dsp->map, dsp->cfg, service, region, index);
		if (h == FS_NONE)
			return NULL;
		shard = shard_new(dsp, h, now_us);
		g_hash_table_insert(dsp->shards, shard->key, shard);
		dsp_health_apply_record(shard, now_us);
	}
	return shard;
}

/* Exchanges in progress report to the new object from now on. */
static void move_runs(struct dsp *dsp, struct dsp_shard *from,
		      struct dsp_shard *to, GPtrArray *orphans)
{
	GHashTableIter iter;
	struct dsp_run *run;

	g_hash_table_iter_init(&iter, dsp->runs);
	while (g_hash_table_iter_next(&iter, (void **)&run, NULL)) {
		if (run->shard != from)
			continue;
		if (!to && run->item.queued)
			g_ptr_array_add(orphans, run);
		run->shard = to;
	}
}

static void move_queue(struct dsp_shard *from, struct dsp_shard *to)
{
	for (int p = 0; p < CFG_PRIORITY_COUNT; p++) {
		GList *link;

		while ((link = from->que.waiting[p].head)) {
			struct que_item *item = link->data;

			que_remove(&from->que, item);
			if (to)
				que_push(&to->que, item, item->priority);
		}
	}
}

static void rebuild_one(struct dsp *dsp, struct dsp_shard *old,
			GPtrArray *orphans, int64_t now_us)
{
	handle h = shd_find(dsp->map, dsp->cfg, dsp_shard_service(old)->name,
			    old->shard->region, old->shard->index);
	struct dsp_shard *shard = NULL;

	if (h != FS_NONE) {
		shard = shard_new(dsp, h, now_us);
		shard->hold = old->hold;
		shard->rotate = old->rotate;
		hlt_shard_copy_state(shard->hlt, dsp->cfg, old->hlt, old->cfg);
		g_hash_table_insert(dsp->shards, shard->key, shard);
		dsp_health_apply_record(shard, now_us);
	}
	move_runs(dsp, old, shard, orphans);
	move_queue(old, shard);
}

static gboolean route_is_gone(void *key, void *value, void *arg)
{
	(void)value;
	return cfg_find_route(arg, key) == FS_NONE;
}

static gboolean service_is_gone(void *key, void *value, void *arg)
{
	(void)value;
	return cfg_find_service(arg, key) == FS_NONE;
}

void dsp_shard_rebuild(struct dsp *dsp, struct cfg *cfg, int64_t now_us)
{
	GHashTable *old = dsp->shards;
	struct shd_map *old_map = dsp->map;
	g_autoptr(GPtrArray) orphans = g_ptr_array_new();
	GHashTableIter iter;
	struct dsp_shard *shard;

	cfg_unref(dsp->cfg);
	dsp->cfg = cfg_ref(cfg);
	dsp->map = shd_map_new(cfg);
	dsp->shards = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_iter_init(&iter, old);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		rebuild_one(dsp, shard, orphans, now_us);
	for (guint i = 0; i < orphans->len; i++)
		dsp_run_refuse_queued(orphans->pdata[i], FS_E_NOT_OWNER,
				      now_us);
	g_hash_table_iter_init(&iter, old);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		dsp_shard_free(shard);
	g_hash_table_unref(old);
	shd_map_free(old_map);
	g_hash_table_foreach_remove(dsp->routes, route_is_gone, cfg);
	g_hash_table_foreach_remove(dsp->budgets, service_is_gone, cfg);
	g_hash_table_foreach_remove(dsp->records, service_is_gone, cfg);
}

uint32_t dsp_shard_index(const struct dsp_shard *shard,
			 const struct dsp_server *server)
{
	for (uint32_t i = 0; shard && i < shard->count; i++) {
		if (shard->servers[i] == server)
			return i;
	}
	return FS_NONE;
}

bool dsp_server_leaving(const struct dsp_shard *shard, uint32_t i)
{
	return shard->cfg->servers[shard->shard->servers[i]].leaving ||
	       shard->servers[i]->told || shard->servers[i]->drained;
}

void dsp_shard_slots(const struct dsp_shard *shard, bool repeatable,
		     int64_t now_us, struct slt_server *out)
{
	uint32_t slots = dsp_shard_service(shard)->slots;

	for (uint32_t i = 0; i < shard->count; i++) {
		uint32_t allowed = hlt_concurrency_limit(shard->hlt, i,
							 repeatable, now_us);

		out[i].in_flight = shard->servers[i]->in_flight;
		out[i].allowed = MIN(allowed, slots);
		out[i].leaving = dsp_server_leaving(shard, i);
		out[i].last_resort = hlt_retained_for_floor(shard->hlt, i);
	}
}

struct msg_load dsp_shard_load(const struct dsp_shard *shard, int64_t now_us)
{
	struct slt_server slots[FS_SHARD_SERVERS_MAX];
	struct msg_load load = {0};

	if (!shard)
		return load;
	dsp_shard_slots(shard, true, now_us, slots);
	for (uint32_t i = 0; i < shard->count; i++) {
		if (slt_has_capacity(&slots[i]))
			load.free_slots +=
				slots[i].allowed - slots[i].in_flight;
	}
	load.waiting = shard->que.count;
	return load;
}
