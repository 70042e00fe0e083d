/**
 * @file key.h
 * @brief Idempotency keys that a dispatcher has admitted, per service.
 *
 * A key is recorded when its request is admitted and stays in flight until the
 * request ends. If it ended "not run" the key is free again; otherwise it is
 * spent for FS_KEY_WINDOW_US from its admission. A second request with a key
 * that is in flight or spent is refused without being run.
 *
 * Guarantee: of two requests with the same key that reach the same dispatcher
 * within the window at most one runs, also across a configuration change, and
 * across a planned stop or a change of owner if the old owner survives to send
 * MSG_HANDOVER. Entries send all requests of one key to one shard.
 *
 * Not guaranteed yet: the table is in memory. When a dispatcher is lost
 * without a planned stop, its keys are lost, and a second request with one of
 * them may run at the next owner. The same holds between a change of owner and
 * the arrival of the hand-over, while two nodes believe that they own the
 * shard, and after a change of a service's servers that changes the number of
 * its shards. A key that was handed over in flight and then ended "not run"
 * stays refused until the window has passed.
 *
 * Limits: FS_KEYS_MAX keys. When the table is full, requests with a new key
 * are refused; a key is never evicted before its window has passed.
 */
#ifndef KEY_H
#define KEY_H

#include "fs_err.h"
#include "fs_types.h"

struct key_table;

/** One key, as passed by key_each(). */
struct key_entry {
	const char *service;
	const char *key;
	uint32_t shard;
	bool in_flight;
	bool local; /* its request runs at this node, which calls key_end() */
	int64_t admitted_us;
};

typedef void (*key_each_fn)(void *arg, const struct key_entry *entry);

/** Creates a table. @param max  keys at most */
struct key_table *key_table_new(uint32_t max);
void key_table_free(struct key_table *table);

/**
 * Returns whether a request with this key may run.
 * @return 0, FS_E_KEY_IN_FLIGHT, FS_E_KEY_SPENT, or FS_E_NO_MEMORY if the
 *         table is full
 */
int key_check(struct key_table *table, const char *service, const char *key,
	      int64_t now_us);

/** Records a key as in flight. @return as key_check() */
int key_begin(struct key_table *table, const char *service, const char *key,
	      uint32_t shard, int64_t now_us);

/** Ends the request of a key. @param not_run  the key is free again */
void key_end(struct key_table *table, const char *service, const char *key,
	     bool not_run);

/**
 * Merges a key from the former dispatcher of its shard. An existing entry has
 * precedence, except that a key in flight that is not local becomes spent if
 * the new entry is spent.
 * @return 0 or FS_E_NO_MEMORY
 */
int key_merge(struct key_table *table, const struct key_entry *entry,
	      int64_t now_us);

/** Calls @p fn for each recorded key. */
void key_each(const struct key_table *table, key_each_fn fn, void *arg);

/** Removes keys whose window has passed. */
void key_expire(struct key_table *table, int64_t now_us);

/** Returns the number of recorded keys. */
uint32_t key_count(const struct key_table *table);

#endif
