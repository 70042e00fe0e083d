/**
 * @file shd.h
 * @brief Shards of a service's servers, and the nodes that dispatch them.
 *
 * The servers of a service in one region, in the order of the text, are split
 * into shards of nearly equal size, at most FS_SHARD_SERVERS_MAX each.
 * Rendezvous hashing over the members of the region that live names each
 * shard's dispatcher; the second choice lies in another failure domain if any
 * member does. All functions are pure.
 */
#ifndef SHD_H
#define SHD_H

#include "cfg.h"
#include "mem.h"

#define SHD_RANKS_MAX 8 /* choices that shd_owner() knows */

/** One shard; the table of all of them belongs to a configuration. */
struct shd_shard {
	handle service;
	uint32_t index;	    /* within service and region, from 0 */
	const char *region; /* points into the configuration */
	handle servers[FS_SHARD_SERVERS_MAX];
	uint32_t server_count;
	uint64_t hash; /* of service name, region and index */
};

/** All shards of one configuration, grouped by service. */
struct shd_map {
	struct shd_shard *shards;
	uint32_t count;
	handle *first; /* of each service; first[service_count] is count */
};

/** Splits the servers of @p cfg; free with shd_map_free(). */
struct shd_map *shd_map_new(const struct cfg *cfg);
void shd_map_free(struct shd_map *map);

/**
 * Returns the node that dispatches a shard.
 * @param shard  the shard
 * @param view   members; leaving, dead and suspect ones are passed over
 * @param rank   0 for the dispatcher, 1 for the second choice, and so on,
 *               below SHD_RANKS_MAX
 * @return the node, or 0 if there are not so many
 */
node_id shd_owner(const struct shd_shard *shard, const struct mem_view *view,
		  uint32_t rank);

/** Returns the weight of a node for a key; the heaviest is the first choice. */
uint64_t shd_weight(uint64_t key, node_id node);

/** Returns the handle of a shard by service name, region and index. */
handle shd_find(const struct shd_map *map, const struct cfg *cfg,
		const char *service, const char *region, uint32_t index);

#endif
