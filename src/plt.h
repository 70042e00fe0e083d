/**
 * @file plt.h
 * @brief Asynchronous client of the platform's key-value store and VM list.
 *
 * HTTP with JSON, through libcurl:
 *
 *   GET  /kv/KEY                    200 {"revision":n,"value":"..."}, 404
 *   GET  /kv/KEY?after=N&wait_ms=W  long poll: as above once the revision is
 *                                   greater than N, else 304 after W ms; counts
 *                                   as one call
 *   PUT  /kv/KEY?prev=N             200 {"revision":n}; 409 {"revision":n} if
 *                                   the key is not at revision N; N = 0: the
 *                                   key must not exist
 *   GET  /vms                       200 {"vms":[{"name":"...","kind":"entry"
 *                                   or "target","address":"ip:port","state":
 *                                   "live" or "leaving"}]}
 *
 * The body of a PUT is the value. Each change of a key increments its revision
 * by one. Every call has a timeout. A put that may have been sent but has no
 * usable reply ends with FS_E_AMBIGUOUS; the caller reads the value back to
 * find out whether it was applied.
 */
#ifndef PLT_H
#define PLT_H

#include "crl.h"
#include "fs_err.h"
#include "fs_types.h"

struct plt;

/** Value of a key. */
struct plt_value {
	uint64_t revision; /* 0: the key does not exist */
	const char *data;  /* followed by a NUL, not counted in size */
	size_t size;
};

/** Entry of the platform's VM list. */
struct plt_vm {
	char name[FS_NAME_MAX];
	char address[FS_ADDRESS_MAX];
	bool entry; /* false: a target */
	bool leaving;
};

/**
 * Completion callback of a get, watch or put.
 * @param err    0, FS_E_NOT_FOUND, FS_E_CONFLICT, FS_E_UNAVAILABLE,
 *               FS_E_AMBIGUOUS (puts only), FS_E_PROTOCOL
 * @param value  the value read, or the revision after a put; valid during the
 *               callback only
 */
typedef void (*plt_value_fn)(void *arg, int err, const struct plt_value *value);

/** Completion callback of plt_vms(); @p vms is valid during the callback. */
typedef void (*plt_vms_fn)(void *arg, int err, const struct plt_vm *vms,
			   uint32_t count);

/** Creates a client. @param address  "ip:port" */
struct plt *plt_new(struct ev_loop *loop, const char *address);
/** Cancels all calls without calling their callbacks and frees @p plt. */
void plt_free(struct plt *plt);

void plt_get(struct plt *plt, const char *key, plt_value_fn done, void *arg);

/** Waits up to @p wait_us for a revision greater than @p after; err
 *  FS_E_NOT_FOUND or value->revision == after means that there is none. */
void plt_watch(struct plt *plt, const char *key, uint64_t after,
	       int64_t wait_us, plt_value_fn done, void *arg);

/** Compare-and-swap: writes if the key is at revision @p prev; 0: a new key. */
void plt_put(struct plt *plt, const char *key, uint64_t prev, const char *data,
	     size_t size, plt_value_fn done, void *arg);

void plt_vms(struct plt *plt, plt_vms_fn done, void *arg);

/** Cancels all calls whose callback argument is @p arg; their callbacks are not
 *  called. */
void plt_cancel(struct plt *plt, void *arg);

/** Returns the number of calls made since plt_new(). */
uint64_t plt_call_count(const struct plt *plt);

#endif
