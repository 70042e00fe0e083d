/**
 * @file ent_pick.h
 * @brief Chooses the shard and the dispatcher of a request. Pure.
 *
 * Of two random shards the one with more room by its last known load is taken;
 * a request with an Idempotency-Key always goes to the same shard of its
 * service, over all regions, for as long as the shards stay the same.
 */
#ifndef ENT_PICK_H
#define ENT_PICK_H

#include "msg.h"
#include "shd.h"

#define ENT_NODES_MAX 4 /* dispatchers a request is offered to at most */
#define ENT_LOAD_MAX_AGE_US (2 * FS_US_PER_S) /* a told load holds so long */
#define ENT_LINK_DOWN_AVOID_US \
	(3 * FS_US_PER_S) /* a broken link is avoided so long */

/** What is known of one shard's load. */
struct ent_load {
	struct msg_load told;
	int64_t told_us; /* 0: never */
	uint32_t sent;	 /* requests sent since it was told */
};

/** Returns the room of a shard; an unknown or old load counts as none. */
int64_t ent_load_capacity(const struct ent_load *load, int64_t now_us);

/** What one request is looking for. */
struct ent_query {
	handle service;
	const char *region;
	const char *key;     /* or NULL */
	const node_id *used; /* nodes that had the request */
	uint32_t used_count;
	handle avoid; /* shard that refused it, or FS_NONE */
	uint32_t random[2];
};

/** Chooses a shard; FS_NONE if the service has none. */
handle ent_pick_shard(const struct shd_map *map, const struct ent_load *loads,
		      const struct ent_query *wish, int64_t now_us);

/** Returns when the link to a node last broke, or 0. */
typedef int64_t (*ent_link_down_fn)(const void *arg, node_id node);

/**
 * Chooses the dispatcher of a shard that has not had the request yet. A node
 * that answers directly and whose link has not broken of late goes first.
 * Only the first choice is taken for a request with a key: the keys of a shard
 * are known to its owner.
 * @param rank  out: 0 for the owner
 * @return the node, or 0
 */
node_id ent_pick_node(const struct shd_shard *shard,
		      const struct mem_view *view, const struct ent_query *wish,
		      ent_link_down_fn down, const void *arg, int64_t now_us,
		      uint32_t *rank);

#endif
