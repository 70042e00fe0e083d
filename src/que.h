/**
 * @file que.h
 * @brief Queue of one shard's waiting requests: by priority, FIFO within each.
 *
 * Items are embedded in the waiting objects, so that nothing is allocated.
 * The caller (slt.h) bounds the number of waiting items; the queue only
 * counts. Pure apart from the object itself.
 */
#ifndef QUE_H
#define QUE_H

#include "cfg.h"

/** An item; all zero before its first use. */
struct que_item {
	GList link;
	enum cfg_priority priority;
	bool queued;
};

/** A queue; all zero when empty. */
struct que {
	GQueue waiting[CFG_PRIORITY_COUNT]; /* struct que_item */
	uint32_t count;
};

/** Returns whether an item may be selected now. */
typedef bool (*que_match_fn)(void *arg, const struct que_item *item);

/** Appends @p item behind all others of its priority. */
void que_push(struct que *que, struct que_item *item,
	      enum cfg_priority priority);

/** Inserts @p item before all others of its priority. */
void que_push_front(struct que *que, struct que_item *item,
		    enum cfg_priority priority);

/** Removes @p item; does nothing if it is not queued. */
void que_remove(struct que *que, struct que_item *item);

/**
 * Returns the first item, in order of priority and age, for which @p match
 * holds, or NULL. The item stays in the queue.
 */
struct que_item *que_first(const struct que *que, que_match_fn match,
			   void *arg);

/**
 * Returns the item to evict for an arrival of @p priority: the youngest of the
 * lowest priority below it, or NULL if there is none.
 */
struct que_item *que_find_evictable(const struct que *que,
				    enum cfg_priority priority);

/** Returns how many items precede an arrival of @p priority. */
uint32_t que_count_ahead(const struct que *que, enum cfg_priority priority);

#endif
