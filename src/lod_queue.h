/**
 * @file lod_queue.h
 * @brief Outcomes that wait to be told, the most telling first. Pure.
 *
 * Failures go before good answers, in the order in which they came. Good
 * answers of one target become one row; those of a target that is in doubt go
 * before the others, which only say that nothing has changed: what of them
 * finds no room in a datagram is dropped, so that the bytes of good news do
 * not grow with the requests.
 */
#ifndef LOD_QUEUE_H
#define LOD_QUEUE_H

#include "lod_wire.h"

/** Failures that wait; more than this are dropped and counted. */
#define LOD_QUEUE_FAILURES_MAX 512

struct lod_queue {
	GArray *failures; /* struct lod_evidence, oldest first */
	GArray *doubtful; /* the same: good answers of targets in doubt */
	GArray *good;	  /* the same: all other good answers */
	uint64_t dropped; /* failures that found no room */
};

void lod_queue_init(struct lod_queue *queue);
void lod_queue_clear(struct lod_queue *queue);

/** Adds an outcome. @param in_doubt  the target is suspected, or was */
void lod_queue_add(struct lod_queue *queue, const struct lod_evidence *e,
		   bool in_doubt);

/** Moves up to @p max rows to @p out, and drops what waits only as good news
 *  that changes nothing. */
void lod_queue_dequeue(struct lod_queue *queue, GArray *out, guint max);

/** Drops all. */
void lod_queue_discard(struct lod_queue *queue);

/** Returns how many rows wait that have to be told. */
guint lod_queue_pending(const struct lod_queue *queue);

#endif
