/**
 * @file que.h
 * @brief Waiting requests of one shard, by priority, first come first served.
 *
 * Items are embedded in the objects that wait, so that nothing is allocated.
 * The bound on the number of waiting items is the caller's (slt.h): the queue
 * only counts. Pure apart from the object itself.
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

/** Returns whether an item may be taken now. */
typedef bool (*que_match_fn)(void *arg, const struct que_item *item);

/** Appends @p item behind all others of its priority. */
void que_push(struct que *que, struct que_item *item,
	      enum cfg_priority priority);

/** Puts @p item before all others of its priority. */
void que_push_front(struct que *que, struct que_item *item,
		    enum cfg_priority priority);

/** Takes @p item out; nothing happens if it does not wait. */
void que_remove(struct que *que, struct que_item *item);

/**
 * Returns the first item, in order of priority and age, for which @p match
 * holds, or NULL. The item stays in the queue.
 */
struct que_item *que_first(const struct que *que, que_match_fn match,
			   void *arg);

/**
 * Returns the item to give up for an arrival of @p priority: the youngest of
 * the lowest priority below it, or NULL if nothing lower waits.
 */
struct que_item *que_find_evictable(const struct que *que,
				    enum cfg_priority priority);

/** Returns how many items wait that run before an arrival of @p priority. */
uint32_t que_count_ahead(const struct que *que, enum cfg_priority priority);

#endif
