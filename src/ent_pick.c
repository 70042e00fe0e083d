#include "ent_pick.h"

#include <string.h>
#include <xxhash.h>

int64_t ent_load_capacity(const struct ent_load *load, int64_t now_us)
{
	int64_t room = -(int64_t)load->sent;

	if (load->told_us && now_us - load->told_us < ENT_LOAD_MAX_AGE_US)
		room += (int64_t)load->told.free_slots - load->told.waiting;
	return room;
}

/* The shard of a key is the one with the highest hash of both, so that it
 * changes only if that shard does. */
static handle shard_of_key(const struct shd_map *map, handle first, handle end,
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

/* Counts the shards in a region, or gives the n-th of them. */
static uint32_t count_in(const struct shd_map *map, handle first, handle end,
			 const char *region, handle avoid, uint32_t n,
			 handle *nth)
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

static handle better(const struct ent_load *loads, handle a, handle b,
		     int64_t now_us)
{
	return ent_load_capacity(&loads[b], now_us) >
			       ent_load_capacity(&loads[a], now_us) ?
		       b :
		       a;
}

handle ent_pick_shard(const struct shd_map *map, const struct ent_load *loads,
		      const struct ent_query *wish, int64_t now_us)
{
	handle first = map->first[wish->service];
	handle end = map->first[wish->service + 1];
	const char *region = wish->region;
	handle a = FS_NONE;
	handle b = FS_NONE;
	uint32_t count;
	uint32_t i;

	if (wish->key)
		return shard_of_key(map, first, end, wish->key);
	if (!count_in(map, first, end, region, FS_NONE, 0, &a))
		region = NULL;
	count = count_in(map, first, end, region, wish->avoid, 0, &a);
	if (!count)
		return FS_NONE;
	i = wish->random[0] % count;
	count_in(map, first, end, region, wish->avoid, i, &a);
	if (count == 1)
		return a;
	i = (i + 1 + wish->random[1] % (count - 1)) % count;
	count_in(map, first, end, region, wish->avoid, i, &b);
	return better(loads, a, b, now_us);
}

static bool was_used(const struct ent_query *wish, node_id node)
{
	for (uint32_t i = 0; i < wish->used_count; i++) {
		if (wish->used[i] == node)
			return true;
	}
	return false;
}

node_id ent_pick_node(const struct shd_shard *shard,
		      const struct mem_view *view, const struct ent_query *wish,
		      ent_link_down_fn down, const void *arg, int64_t now_us,
		      uint32_t *rank)
{
	uint32_t ranks = wish->key ? 1 : ENT_NODES_MAX;
	node_id fallback = 0;

	for (uint32_t r = 0; r < ranks; r++) {
		node_id node = shd_owner(shard, view, r);
		const struct mem_member *member = mem_view_find(view, node);
		int64_t down_us = down(arg, node);

		if (!node || was_used(wish, node))
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
