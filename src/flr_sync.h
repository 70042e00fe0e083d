/**
 * @file flr_sync.h
 * @brief Local replica of a service's ejection record, and its updates.
 *
 * Decides when to read the record, what to write and how to recover from a lost
 * reply; the eject task only performs the calls. At most one call is in flight.
 * After a lost reply the record is read back before the next write. Does no I/O;
 * the time is an argument.
 */
#ifndef FLR_SYNC_H
#define FLR_SYNC_H

#include "flr.h"

#define FLR_REQUESTS_MAX 32 /* pending requests */

struct flr_sync;

/** The call to make next. */
enum flr_call {
	FLR_CALL_NONE,
	FLR_CALL_READ,
	FLR_CALL_WRITE,
};

/** Outcome of a request, with the values for its audit record. */
struct flr_decision {
	char server[FS_NAME_MAX];
	enum aud_rule trigger_rule; /* rule that found the server unhealthy */
	bool reinstate;
	int err; /* 0: done; FS_E_FLOOR; FS_E_UNAVAILABLE; FS_E_NOT_FOUND */
	uint64_t epoch;
	uint32_t ejections;
	int64_t count; /* servers that are not leaving */
	int64_t out;   /* positions before this one */
	int64_t floor;
};

/** Called once per completed request. */
typedef void (*flr_decided_fn)(void *arg, const struct flr_decision *decision);

struct flr_sync *flr_sync_new(const struct flr_times *times, const char *node,
			      flr_decided_fn decided, void *arg);
void flr_sync_free(struct flr_sync *sync);

/** Queues a request to eject or reinstate @p server. Replaces a pending request
 *  of the other kind; dropped if FLR_REQUESTS_MAX are pending. */
void flr_sync_request(struct flr_sync *sync, const char *server,
		      enum aud_rule trigger_rule, bool reinstate,
		      int64_t now_us);

/**
 * Starts the next call, if one is due.
 * @param value  out: the record to write, as JSON
 * @param prev   out: the revision that the write replaces
 */
enum flr_call flr_sync_next(struct flr_sync *sync,
			    const struct flr_scope *scope, int64_t now_us,
			    GString *value, uint64_t *prev);

/** Completes a read. @param err  0, FS_E_NOT_FOUND, or another error */
void flr_sync_read_done(struct flr_sync *sync, const struct flr_scope *scope,
			int err, uint64_t revision, const char *value,
			int64_t now_us);

/** Completes a write. @param err  0, FS_E_CONFLICT, FS_E_AMBIGUOUS, ... */
void flr_sync_write_done(struct flr_sync *sync, const struct flr_scope *scope,
			 int err, uint64_t revision, int64_t now_us);

/** Returns the record if it is confirmed and has not expired, or NULL. */
const struct flr_record *flr_sync_record(const struct flr_sync *sync,
					 int64_t now_us);

/** Returns when the read that confirmed the record began. */
int64_t flr_sync_confirmed(const struct flr_sync *sync);

#endif
