/**
 * @file fs_types.h
 * @brief Handles and identifiers that all modules share.
 */
#ifndef FS_TYPES_H
#define FS_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fs_limits.h"

/** Hash of a node's name; stable across restarts. Zero means no node. */
typedef uint64_t node_id;

/** Index into a table of the configuration; FS_NONE means no entry. */
typedef uint32_t handle;
#define FS_NONE UINT32_MAX

#define FS_US_PER_MS 1000LL
#define FS_US_PER_S 1000000LL

/** Names one request: never used again, also after a restart of the node. */
struct req_id {
	node_id node;	      /* the entry node that took the request */
	uint64_t incarnation; /* start of that node, wall clock in us */
	uint64_t counter;     /* counts up from 1 within the incarnation */
};

/** What is known of whether a request was run by a target. */
enum fs_outcome {
	FS_ANSWERED, /* the target's whole answer is passed on */
	FS_NOT_RUN,  /* no byte of it reached a target, now or later */
	FS_UNKNOWN,  /* it may have run */
};

/** Returns the identifier of the node called @p name. */
node_id fs_node_id(const char *name);

/** Returns the next number of a sequence (splitmix64); not for secrets. */
uint64_t fs_random(uint64_t *state);

/** Returns whether two requests are the same one. */
static inline bool req_id_equal(const struct req_id *a, const struct req_id *b)
{
	return a->node == b->node && a->incarnation == b->incarnation &&
	       a->counter == b->counter;
}

/** Returns the monotonic time in us. Only task code reads the clock. */
int64_t fs_now_us(void);

/** Returns the wall clock in us since 1970. Only for logs and incarnations. */
int64_t fs_wall_us(void);

#endif
