/**
 * @file cnf_leaving.h
 * @brief Which targets are leaving, as told by the pollers of the VM list.
 *
 * A poller tells each dispatcher the leaving servers of its shards. Pollers
 * may lag behind each other, so that a dispatcher's node keeps one list per
 * poller and goes by their union. The list of a poller that fell silent is
 * dropped only once another poller has been heard for CNF_LIST_EXPIRY_US: with
 * the platform away the last lists stand.
 */
#ifndef CNF_LEAVING_H
#define CNF_LEAVING_H

#include "plt.h"
#include "shd.h"

#define CNF_LIST_EXPIRY_US (10 * FS_US_PER_S)

struct cnf_leaving;

struct cnf_leaving *cnf_leaving_new(void);
void cnf_leaving_free(struct cnf_leaving *leaving);

/** Takes the complete list of one poller; @p servers holds names. */
void cnf_leaving_update(struct cnf_leaving *leaving, node_id poller,
			const GPtrArray *servers, int64_t now_us);

/** Returns the names of all servers told as leaving, sorted. */
GPtrArray *cnf_leaving_union(struct cnf_leaving *leaving, int64_t now_us);

/**
 * Returns the names of the servers in @p cfg that the VM list calls leaving,
 * found by name or by address.
 */
GPtrArray *cnf_leaving_servers(const struct cfg *cfg, const struct plt_vm *vms,
			       uint32_t count);

/**
 * Splits names by the nodes to be told: the first two choices of each shard.
 * @return node_id * to GPtrArray of names, both owned
 */
GHashTable *cnf_leaving_receivers(const struct cfg *cfg,
				  const struct shd_map *map,
				  const struct mem_view *view,
				  const GPtrArray *servers);

#endif
