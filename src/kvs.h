/**
 * @file kvs.h
 * @brief The platform's key-value service as the fleet uses it.
 *
 * Items have a revision from one counter of the whole service. A table of
 * functions hides which service it is; an adapter makes the table. Every call
 * has a deadline of its own and ends with exactly one call of its function,
 * unless it is forgotten first.
 *
 * Errors: FS_E_NOT_FOUND, FS_E_STALE (the history asked for is gone),
 * FS_E_UNAVAILABLE (refused, or no answer: nothing is known), FS_E_PROTOCOL.
 */
#ifndef KVS_H
#define KVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One key as it was written, or its removal. */
struct kvs_item {
	const char *key;
	const char *value; /* NUL-terminated as well */
	size_t size;
	uint64_t rev; /* of its last change */
	bool removed; /* removed at that revision; no value */
};

/** What a read or a watch gives; valid during the call of its function. */
struct kvs_page {
	const struct kvs_item *items;
	uint32_t count;
	bool more;	 /* a range goes on after its last key */
	uint64_t at_rev; /* revision of the whole service */
};

typedef void (*kvs_page_fn)(void *arg, int err, const struct kvs_page *page);

/** End of a write: the lease that was made, or 0. */
typedef void (*kvs_write_fn)(void *arg, int err, uint64_t lease);

struct kvs_ops {
	void (*get)(void *store, const char *key, kvs_page_fn done, void *arg);
	/** Reads the keys that begin with @p prefix, behind @p after or from
	 *  the first one if it is NULL. Pages are not one snapshot. */
	void (*range)(void *store, const char *prefix, const char *after,
		      kvs_page_fn done, void *arg);
	/** Waits up to @p wait_us for changes after revision @p after. */
	void (*watch)(void *store, const char *prefix, uint64_t after,
		      int64_t wait_us, kvs_page_fn done, void *arg);
	/** Makes a lease of @p ttl_us. */
	void (*lease)(void *store, int64_t ttl_us, kvs_write_fn done,
		      void *arg);
	/** Renews a lease; FS_E_NOT_FOUND if it has ended. */
	void (*renew)(void *store, uint64_t lease, kvs_write_fn done,
		      void *arg);
	/** Writes a key that goes with the lease. */
	void (*put)(void *store, const char *key, const char *value,
		    uint64_t lease, kvs_write_fn done, void *arg);
	/** Drops all calls with the argument @p arg. */
	void (*cancel)(void *store, void *arg);
	/** Returns how many calls were made. */
	uint64_t (*calls)(const void *store);
};

/** A store: an object with its functions. */
struct kvs {
	const struct kvs_ops *ops;
	void *store;
};

#endif
