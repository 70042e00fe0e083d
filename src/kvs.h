/**
 * @file kvs.h
 * @brief Interface to the platform's key-value service.
 *
 * Revisions of items come from one counter of the service. A service that is
 * restored from a copy begins a new era: revisions go back to those of the copy
 * and are given out again, and what was written since is lost, leases included.
 *
 * An adapter for a particular service provides the table of functions. Every call
 * has its own deadline and invokes its callback exactly once, unless it is
 * cancelled.
 *
 * Errors: FS_E_NOT_FOUND, FS_E_STALE (the requested history was compacted),
 * FS_E_UNAVAILABLE (refused or no answer; a write may have taken effect),
 * FS_E_PROTOCOL.
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

#define KVS_NO_ERA UINT64_MAX /* the answer does not state it */

/** Result of a read or a watch; valid during the callback only. After an error
 * only the era is set, if the answer stated it. */
struct kvs_page {
	const struct kvs_item *items;
	uint32_t count;
	bool more;	 /* the range continues after its last key */
	uint64_t at_rev; /* revision of the service */
	uint64_t era;	 /* of the service at this answer, or KVS_NO_ERA */
};

typedef void (*kvs_page_fn)(void *arg, int err, const struct kvs_page *page);

/** Result of a write. */
struct kvs_result {
	uint64_t lease; /* the one granted, or 0 */
	uint64_t era;	/* as in struct kvs_page */
};

typedef void (*kvs_write_fn)(void *arg, int err,
			     const struct kvs_result *result);

struct kvs_ops {
	void (*get)(void *store, const char *key, kvs_page_fn done, void *arg);
	/** Reads the keys that begin with @p prefix, after @p after or from the
	 *  first one if it is NULL. Pages are not one snapshot. */
	void (*range)(void *store, const char *prefix, const char *after,
		      kvs_page_fn done, void *arg);
	/** Waits up to @p wait_us for changes after revision @p after. */
	void (*watch)(void *store, const char *prefix, uint64_t after,
		      int64_t wait_us, kvs_page_fn done, void *arg);
	/** Grants a lease of @p ttl_us. */
	void (*lease)(void *store, int64_t ttl_us, kvs_write_fn done,
		      void *arg);
	/** Renews a lease; FS_E_NOT_FOUND if it has expired. */
	void (*renew)(void *store, uint64_t lease, kvs_write_fn done,
		      void *arg);
	/** Writes a key that is deleted when the lease expires. */
	void (*put)(void *store, const char *key, const char *value,
		    uint64_t lease, kvs_write_fn done, void *arg);
	/** Cancels all calls with the argument @p arg. */
	void (*cancel)(void *store, void *arg);
	/** Returns the number of calls made. */
	uint64_t (*calls)(const void *store);
};

/** A store and its functions. */
struct kvs {
	const struct kvs_ops *ops;
	void *store;
};

#endif
