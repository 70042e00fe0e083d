/**
 * @file flr_sync.h
 * @brief One node's copy of a service's record, and its next call.
 *
 * Decides when to read the record, what to write, and what a lost reply means;
 * the eject task only carries the calls out. At most one call is in flight.
 * After a lost reply the record is read back before anything else is written.
 * Pure apart from its object: no input or output, the time is an argument.
 */
#ifndef FLR_SYNC_H
#define FLR_SYNC_H

#include "flr.h"

#define FLR_REQUESTS_MAX 32 /* wishes that wait for a write */

struct flr_sync;

/** The call to make next. */
enum flr_call {
	FLR_CALL_NONE,
	FLR_CALL_READ,
	FLR_CALL_WRITE,
};

/** A wish that was settled, with the numbers for its audit record. */
struct flr_decision {
	char server[FS_NAME_MAX];
	enum aud_rule judged; /* rule that judged the server sick */
	bool give_back;
	int err; /* 0: done; FS_E_FLOOR; FS_E_UNAVAILABLE; FS_E_NOT_FOUND */
	uint64_t epoch;
	uint32_t ejections;
	int64_t count; /* servers that are not leaving */
	int64_t out;   /* places taken before this one */
	int64_t floor;
};

/** Called for each settled wish. */
typedef void (*flr_decided_fn)(void *arg, const struct flr_decision *decision);

struct flr_sync *flr_sync_new(const struct flr_times *times, const char *node,
			      flr_decided_fn decided, void *arg);
void flr_sync_free(struct flr_sync *sync);

/** Adds a wish; a wish for the same server is replaced. */
void flr_sync_request(struct flr_sync *sync, const char *server,
		      enum aud_rule judged, bool give_back, int64_t now_us);

/**
 * Begins the next call, if one is due.
 * @param value  out: what to write
 * @param prev   out: the revision to write over
 */
enum flr_call flr_sync_next(struct flr_sync *sync,
			    const struct flr_scope *scope, int64_t now_us,
			    GString *value, uint64_t *prev);

/** A read has ended. @param err  0, FS_E_NOT_FOUND, or another error */
void flr_sync_read_done(struct flr_sync *sync, const struct flr_scope *scope,
			int err, uint64_t revision, const char *value,
			int64_t now_us);

/** A write has ended. @param err  0, FS_E_CONFLICT, FS_E_AMBIGUOUS, ... */
void flr_sync_write_done(struct flr_sync *sync, const struct flr_scope *scope,
			 int err, uint64_t revision, int64_t now_us);

/** Returns the record if it is confirmed and has not lapsed, or NULL. */
const struct flr_record *flr_sync_record(const struct flr_sync *sync,
					 int64_t now_us);

/** Returns when the read that confirmed the record began. */
int64_t flr_sync_confirmed(const struct flr_sync *sync);

#endif
