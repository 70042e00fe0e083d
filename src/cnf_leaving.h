/**
 * @file cnf_leaving.h
 * @brief Leaving targets, as reported by the pollers of the VM list.
 *
 * A poller sends each dispatcher the leaving servers of its shards. Pollers may
 * lag behind each other, so a dispatcher's node keeps one list per poller and
 * uses their union. A list expires once it is older than the newest list of any
 * poller by more than CNF_LIST_EXPIRY_US: during an outage of the platform the
 * last lists stay valid.
 */
#ifndef CNF_LEAVING_H
#define CNF_LEAVING_H

#include "plt.h"
#include "shd.h"

#define CNF_LIST_EXPIRY_US (10 * FS_US_PER_S)

struct cnf_leaving;

struct cnf_leaving *cnf_leaving_new(void);
void cnf_leaving_free(struct cnf_leaving *leaving);

/** Replaces the list of one poller; @p servers contains names. */
void cnf_leaving_update(struct cnf_leaving *leaving, node_id poller,
			const GPtrArray *servers, int64_t now_us);

/** Returns the sorted names of all servers reported as leaving. */
GPtrArray *cnf_leaving_union(struct cnf_leaving *leaving, int64_t now_us);

/**
 * Returns the sorted names of the servers in @p cfg that are leaving in the VM
 * list, matched by name or else by address.
 */
GPtrArray *cnf_leaving_servers(const struct cfg *cfg, const struct plt_vm *vms,
			       uint32_t count);

/**
 * Groups names by receiver: the dispatcher of each shard and its standby.
 * @return node_id * to GPtrArray of names, both owned
 */
GHashTable *cnf_leaving_receivers(const struct cfg *cfg,
				  const struct shd_map *map,
				  const struct mem_view *view,
				  const GPtrArray *servers);

#endif
