/**
 * @file ent_pick.h
 * @brief Selects the shard and the dispatcher of a request. Pure.
 *
 * Power of two choices: of two random shards, the one with the higher capacity
 * by its last reported load is selected. A request with an Idempotency-Key is
 * always sent to the same shard of its service, over all regions, as long as
 * the shards stay the same.
 */
#ifndef ENT_PICK_H
#define ENT_PICK_H

#include "msg.h"
#include "shd.h"

#define ENT_NODES_MAX 4 /* dispatchers a request is sent to at most */
#define ENT_LOAD_MAX_AGE_US (2 * FS_US_PER_S) /* of a reported load */

/* After a link loss, other nodes are preferred for this time. */
#define ENT_LINK_DOWN_AVOID_US (3 * FS_US_PER_S)

/** Last reported load of one shard. */
struct ent_load {
	struct msg_load reported;
	int64_t reported_us; /* 0: never */
	uint32_t sent;	     /* requests sent since the report */
};

/** Returns the free slots of a shard less the requests that wait or were sent
 * since the report; a missing or stale report counts as no free slots. */
int64_t ent_load_capacity(const struct ent_load *load, int64_t now_us);

/** Parameters of a selection. */
struct ent_query {
	handle service;
	const char *region;
	const char *key;	    /* or NULL */
	const node_id *tried_nodes; /* nodes that the request was sent to */
	uint32_t tried_nodes_count;
	handle avoid; /* shard that refused it, or FS_NONE */
	uint32_t random[2];
};

/** Selects a shard; FS_NONE if the service has none left. */
handle ent_pick_shard(const struct shd_map *map, const struct ent_load *loads,
		      const struct ent_query *query, int64_t now_us);

/** Returns the time of the last link loss of a node, or 0. */
typedef int64_t (*ent_link_down_fn)(const void *arg, node_id node);

/**
 * Selects a dispatcher of a shard that the request was not sent to yet. This
 * node, and nodes that are directly reachable without a recent link loss, are
 * preferred. A request with a key is sent to the owner only, since the owner
 * has the keys of the shard.
 * @param rank  out: 0 for the owner
 * @return the node, or 0
 */
node_id ent_pick_node(const struct shd_shard *shard,
		      const struct mem_view *view,
		      const struct ent_query *query, ent_link_down_fn link_down,
		      const void *arg, int64_t now_us, uint32_t *rank);

#endif
