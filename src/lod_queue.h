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

/** Rows of pending failures; more are dropped and counted. */
#define LOD_QUEUE_FAILURES_MAX 512

struct lod_queue {
	GArray *failures;	    /* struct lod_evidence, oldest first */
	GArray *degraded_successes; /* the same, of degraded targets */
	GArray *successes;	    /* the same, of other targets */
	uint64_t dropped;	    /* failures above LOD_QUEUE_FAILURES_MAX */
};

void lod_queue_init(struct lod_queue *queue);
void lod_queue_clear(struct lod_queue *queue);

/** Adds an outcome. @param degraded  the target has a raised probability of
 *  failure (lod_judge.c) */
void lod_queue_add(struct lod_queue *queue, const struct lod_evidence *e,
		   bool degraded);

/** Moves rows to @p out until it has @p max, and drops the successes of other
 *  than degraded targets that do not fit. */
void lod_queue_dequeue(struct lod_queue *queue, GArray *out, guint max);

/** Drops all rows. */
void lod_queue_discard(struct lod_queue *queue);

/** Returns how many rows of failures and of degraded targets wait. */
guint lod_queue_pending(const struct lod_queue *queue);

#endif
