/**
 * @file plt.h
 * @brief Client of the platform: key-value service and list of VMs.
 *
 * HTTP with JSON, through libcurl:
 *
 *   GET  /kv/KEY                    200 {"revision":n,"value":"..."}, 404
 *   GET  /kv/KEY?after=N&wait_ms=W  as above once the revision passes N, else
 *                                   304 after W ms; counts as a call
 *   PUT  /kv/KEY?prev=N             200 {"revision":n}; 409 {"revision":n} if
 *                                   the key is not at revision N; 0: absent
 *   GET  /vms                       200 {"vms":[{"name":"...","kind":"entry"
 *                                   or "target","address":"ip:port","state":
 *                                   "live" or "leaving"}]}
 *
 * A PUT's body is the value. Revisions grow by one with every change of a key.
 * Every call has a deadline. A put whose reply is lost gives FS_E_AMBIGUOUS;
 * the caller settles it by reading the value back.
 */
#ifndef PLT_H
#define PLT_H

#include "crl.h"
#include "fs_err.h"
#include "fs_types.h"

struct plt;

/** A key's value. */
struct plt_value {
	uint64_t revision; /* 0: the key does not exist */
	const char *data;  /* NUL-terminated as well */
	size_t size;
};

/** One VM of the platform's list. */
struct plt_vm {
	char name[FS_NAME_MAX];
	char address[FS_ADDRESS_MAX];
	bool entry; /* false: a target */
	bool leaving;
};

/**
 * End of a get, watch or put.
 * @param err    0, FS_E_NOT_FOUND, FS_E_CONFLICT, FS_E_UNAVAILABLE,
 *               FS_E_AMBIGUOUS (puts only), FS_E_PROTOCOL
 * @param value  what was read, or the revision after a put; valid in the call
 */
typedef void (*plt_value_fn)(void *arg, int err, const struct plt_value *value);

/** End of a read of the VM list. */
typedef void (*plt_vms_fn)(void *arg, int err, const struct plt_vm *vms,
			   uint32_t count);

/** Makes a client. @param address  "ip:port" */
struct plt *plt_new(struct ev_loop *loop, const char *address);
void plt_free(struct plt *plt);

void plt_get(struct plt *plt, const char *key, plt_value_fn done, void *arg);

/** Waits up to @p wait_us for a revision after @p after; err FS_E_NOT_FOUND
 *  or value->revision == after means that nothing came. */
void plt_watch(struct plt *plt, const char *key, uint64_t after,
	       int64_t wait_us, plt_value_fn done, void *arg);

/** Writes if the key is at revision @p prev; 0 for a new key. */
void plt_put(struct plt *plt, const char *key, uint64_t prev, const char *data,
	     size_t size, plt_value_fn done, void *arg);

void plt_vms(struct plt *plt, plt_vms_fn done, void *arg);

/** Drops all calls whose functions have the argument @p arg. */
void plt_cancel(struct plt *plt, void *arg);

/** Returns how many calls were made since the start. */
uint64_t plt_call_count(const struct plt *plt);

#endif
