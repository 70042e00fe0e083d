/**
 * @file lod_queue.h
 * @brief Priority queue of outcomes to be sent. Pure.
 *
 * Failures come first, in order of arrival. Successes of one target are merged
 * into one row. Successes of degraded targets come before the others, which
 * only say that nothing has changed: those that do not fit in a datagram are
 * dropped, so that the bytes do not grow with the request rate.
 */
#ifndef LOD_QUEUE_H
#define LOD_QUEUE_H

#include "lod_wire.h"

/** Failures that wait; more than this are dropped and counted. */
#define LOD_QUEUE_FAILURES_MAX 512

struct lod_queue {
	GArray *failures;	    /* struct lod_evidence, oldest first */
	GArray *degraded_successes; /* the same: good answers of targets in doubt */
	GArray *successes;	    /* the same: all other good answers */
	uint64_t dropped;	    /* failures that found no room */
};

void lod_queue_init(struct lod_queue *queue);
void lod_queue_clear(struct lod_queue *queue);

/** Adds an outcome. @param in_doubt  the target is suspected, or was */
void lod_queue_add(struct lod_queue *queue, const struct lod_evidence *e,
		   bool degraded);

/** Moves up to @p max rows to @p out, and drops what waits only as good news
 *  that changes nothing. */
void lod_queue_dequeue(struct lod_queue *queue, GArray *out, guint max);

/** Drops all. */
void lod_queue_discard(struct lod_queue *queue);

/** Returns how many rows wait that have to be told. */
guint lod_queue_pending(const struct lod_queue *queue);

#endif
