#include "ent_pick.h"

#include <string.h>
#include <xxhash.h>

int64_t ent_load_capacity(const struct ent_load *load, int64_t now_us)
{
	int64_t capacity = -(int64_t)load->sent;

	if (load->reported_us &&
	    now_us - load->reported_us < ENT_LOAD_MAX_AGE_US)
		capacity += (int64_t)load->reported.free_slots -
			    load->reported.waiting;
	return capacity;
}

/* Rendezvous hashing: a key changes its shard only if that shard is removed or
 * a new one has a higher hash. */
static handle pick_by_key(const struct shd_map *map, handle first, handle end,
			  const char *key)
{
	handle best = FS_NONE;
	uint64_t best_hash = 0;

	for (handle i = first; i < end; i++) {
		uint64_t hash = XXH64(key, strlen(key), map->shards[i].hash);

		if (best == FS_NONE || hash > best_hash) {
			best = i;
			best_hash = hash;
		}
	}
	return best;
}

/* Counts the shards in a region, without the one to avoid; @p nth is set to
 * the n-th of them. */
static uint32_t count_in_region(const struct shd_map *map, handle first,
				handle end, const char *region, handle avoid,
				uint32_t n, handle *nth)
{
	uint32_t count = 0;

	for (handle i = first; i < end; i++) {
		if (i == avoid ||
		    (region && strcmp(map->shards[i].region, region) != 0))
			continue;
		if (count++ == n)
			*nth = i;
	}
	return count;
}

static handle with_more_capacity(const struct ent_load *loads, handle a,
				 handle b, int64_t now_us)
{
	return ent_load_capacity(&loads[b], now_us) >
			       ent_load_capacity(&loads[a], now_us) ?
		       b :
		       a;
}

handle ent_pick_shard(const struct shd_map *map, const struct ent_load *loads,
		      const struct ent_query *query, int64_t now_us)
{
	handle first = map->first[query->service];
	handle end = map->first[query->service + 1];
	const char *region = query->region;
	handle a = FS_NONE;
	handle b = FS_NONE;
	uint32_t count;
	uint32_t i;

	if (query->key)
		return pick_by_key(map, first, end, query->key);
	if (!count_in_region(map, first, end, region, FS_NONE, 0, &a))
		region = NULL;
	count = count_in_region(map, first, end, region, query->avoid, 0, &a);
	if (!count)
		return FS_NONE;
	i = query->random[0] % count;
	count_in_region(map, first, end, region, query->avoid, i, &a);
	if (count == 1)
		return a;
	i = (i + 1 + query->random[1] % (count - 1)) % count;
	count_in_region(map, first, end, region, query->avoid, i, &b);
	return with_more_capacity(loads, a, b, now_us);
}

static bool already_tried(const struct ent_query *query, node_id node)
{
	for (uint32_t i = 0; i < query->tried_nodes_count; i++) {
		if (query->tried_nodes[i] == node)
			return true;
	}
	return false;
}

node_id ent_pick_node(const struct shd_shard *shard,
		      const struct mem_view *view,
		      const struct ent_query *query, ent_link_down_fn link_down,
		      const void *arg, int64_t now_us, uint32_t *rank)
{
	uint32_t ranks = query->key ? 1 : ENT_NODES_MAX;
	node_id fallback = 0;

	for (uint32_t r = 0; r < ranks; r++) {
		node_id node = shd_owner(shard, view, r);
		const struct mem_member *member = mem_view_find(view, node);
		int64_t down_us = link_down(arg, node);

		if (!node || already_tried(query, node))
			continue;
		if (node == view->self ||
		    (member && member->direct &&
		     (!down_us || now_us - down_us > ENT_LINK_DOWN_AVOID_US))) {
			*rank = r;
			return node;
		}
		if (!fallback) {
			fallback = node;
			*rank = r;
		}
	}
	return fallback;
}
