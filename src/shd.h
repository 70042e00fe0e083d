/**
 * @file shd.h
 * @brief Shards of a service's servers, and their dispatcher nodes.
 *
 * The servers of a service in one region, in the order of the configuration,
 * are split into shards of nearly equal size, at most FS_SHARD_SERVERS_MAX each.
 * Rendezvous hashing over the live members of the region, or of all regions if
 * it has none, assigns each shard's dispatcher. Its standby is in another
 * failure domain if any such member is. All functions are pure.
 */
#ifndef SHD_H
#define SHD_H

#include "cfg.h"
#include "mem.h"

#define SHD_RANKS_MAX 8 /* bound of shd_owner()'s rank */

/** One shard of a configuration. */
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
	handle *first; /* shard index by service; first[service_count] is count */
};

/** Splits the servers of @p cfg; free with shd_map_free(). */
struct shd_map *shd_map_new(const struct cfg *cfg);
void shd_map_free(struct shd_map *map);

/**
 * Returns the node that dispatches a shard.
 * @param shard  the shard
 * @param view   members; leaving, dead and suspected ones are skipped
 * @param rank   0 for the dispatcher, 1 for its standby, and so on, below
 *               SHD_RANKS_MAX
 * @return the node, or 0 if there are too few eligible members
 */
node_id shd_owner(const struct shd_shard *shard, const struct mem_view *view,
		  uint32_t rank);

/** Returns the rendezvous weight of a node for a key; the highest has rank 0. */
uint64_t shd_weight(uint64_t key, node_id node);

/** Returns the handle of a shard by service name, region and index. */
handle shd_find(const struct shd_map *map, const struct cfg *cfg,
		const char *service, const char *region, uint32_t index);

#endif
