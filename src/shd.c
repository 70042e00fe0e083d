#include "shd.h"

#include <string.h>
#include <xxhash.h>

/** A member with its rendezvous weight for one shard. */
struct candidate {
	uint64_t weight;
	const struct mem_member *member;
};

static uint64_t shard_hash(const char *service, const char *region,
			   uint32_t index)
{
	g_autofree char *text =
		g_strdup_printf("%s\n%s\n%u", service, region, index);

	return XXH64(text, strlen(text), 0);
}

uint64_t shd_weight(uint64_t key, node_id node)
{
	return XXH64(&node, sizeof(node), key);
}

/* Returns handles in the order of the configuration. */
static GArray *servers_in_region(const struct cfg *cfg, handle service,
				 const char *region)
{
	const struct cfg_service *s = &cfg->services[service];
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(handle));

	for (handle i = s->first_server; i < s->first_server + s->server_count;
	     i++) {
		handle domain = cfg->servers[i].domain;

		if (!strcmp(cfg->domains[domain].region, region))
			g_array_append_val(servers, i);
	}
	return servers;
}

static void append_shards(const struct cfg *cfg, handle service,
			  const char *region, GArray *shards)
{
	g_autoptr(GArray) servers = servers_in_region(cfg, service, region);
	uint32_t n = servers->len;
	uint32_t parts = (n + FS_SHARD_SERVERS_MAX - 1) / FS_SHARD_SERVERS_MAX;
	uint32_t next = 0;

	for (uint32_t index = 0; index < parts; index++) {
		struct shd_shard shard = {
			.service = service,
			.index = index,
			.region = region,
			.server_count = n / parts + (index < n % parts),
		};

		for (uint32_t i = 0; i < shard.server_count; i++)
			shard.servers[i] =
				g_array_index(servers, handle, next++);
		shard.hash =
			shard_hash(cfg->services[service].name, region, index);
		g_array_append_val(shards, shard);
	}
}

/* Returns whether an earlier domain of the table is in the same region. */
static bool region_seen(const struct cfg *cfg, uint32_t domain)
{
	for (uint32_t i = 0; i < domain; i++)
		if (!strcmp(cfg->domains[i].region,
			    cfg->domains[domain].region))
			return true;
	return false;
}

struct shd_map *shd_map_new(const struct cfg *cfg)
{
	struct shd_map *map = g_new0(struct shd_map, 1);
	GArray *shards = g_array_new(FALSE, TRUE, sizeof(struct shd_shard));

	map->first = g_new(handle, cfg->service_count + 1);
	for (handle service = 0; service < cfg->service_count; service++) {
		map->first[service] = shards->len;
		for (uint32_t d = 0; d < cfg->domain_count; d++)
			if (!region_seen(cfg, d))
				append_shards(cfg, service,
					      cfg->domains[d].region, shards);
	}
	map->count = shards->len;
	map->first[cfg->service_count] = map->count;
	map->shards = (struct shd_shard *)(void *)g_array_free(shards, FALSE);
	return map;
}

void shd_map_free(struct shd_map *map)
{
	if (!map)
		return;
	g_free(map->shards);
	g_free(map->first);
	g_free(map);
}

/* A node's own entry is skipped only when it is leaving: it does not suspect
 * itself. */
static bool eligible(const struct mem_view *view, const struct mem_member *m)
{
	if (m->id == view->self)
		return m->state != MEM_LEAVING;
	return m->state == MEM_ALIVE;
}

static bool any_in_region(const struct mem_view *view, const char *region)
{
	for (uint32_t i = 0; i < view->count; i++)
		if (eligible(view, &view->members[i]) &&
		    !strcmp(view->members[i].region, region))
			return true;
	return false;
}

static bool heavier(const struct candidate *a, const struct candidate *b)
{
	if (!b->member)
		return true;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->member->id > b->member->id;
}

/* Returns the eligible member of highest weight that is not in @p chosen. */
static const struct mem_member *
heaviest_member(const struct shd_shard *shard, const struct mem_view *view,
		const char *region, const struct mem_member *const *chosen,
		uint32_t chosen_count, const char *other_than_domain)
{
	struct candidate best = {0};

	for (uint32_t i = 0; i < view->count; i++) {
		const struct mem_member *m = &view->members[i];
		struct candidate candidate = {shd_weight(shard->hash, m->id),
					      m};
		bool used = false;

		if (!eligible(view, m) || (region && strcmp(m->region, region)))
			continue;
		if (other_than_domain && !strcmp(m->domain, other_than_domain))
			continue;
		for (uint32_t t = 0; t < chosen_count; t++)
			used = used || chosen[t] == m;
		if (!used && heavier(&candidate, &best))
			best = candidate;
	}
	return best.member;
}

node_id shd_owner(const struct shd_shard *shard, const struct mem_view *view,
		  uint32_t rank)
{
	const char *region =
		any_in_region(view, shard->region) ? shard->region : NULL;
	const struct mem_member *chosen[SHD_RANKS_MAX];

	for (uint32_t r = 0; r <= rank && r < SHD_RANKS_MAX; r++) {
		const struct mem_member *m = NULL;

		if (r == 1)
			m = heaviest_member(shard, view, region, chosen, r,
					    chosen[0]->domain);
		if (!m)
			m = heaviest_member(shard, view, region, chosen, r,
					    NULL);
		if (!m)
			return 0;
		if (r == rank)
			return m->id;
		chosen[r] = m;
	}
	return 0;
}

handle shd_find(const struct shd_map *map, const struct cfg *cfg,
		const char *service, const char *region, uint32_t index)
{
	handle s = cfg_find_service(cfg, service);

	if (s == FS_NONE)
		return FS_NONE;
	for (handle i = map->first[s]; i < map->first[s + 1]; i++) {
		const struct shd_shard *shard = &map->shards[i];

		if (shard->index == index && !strcmp(shard->region, region))
			return i;
	}
	return FS_NONE;
}
