/**
 * @file flr.h
 * @brief The record of a service's ejections, and the floor it keeps.
 *
 * One record per service and region lives in the platform's key-value service
 * under "eject/REGION/SERVICE" and is changed by compare-and-swap only, so
 * that the floor is checked on one value.
 *
 * The entries that are out or returning stand in the order of their
 * ejections; each has one place of the room, which is the number of servers
 * that may be out. A returning server may be used again, but keeps its place
 * until a writer has observed that state for FS_RECORD_HOLD_US on its own
 * monotonic clock. A node enforces a record only until FS_RECORD_LAPSE_US
 * after the start of the read that confirmed it, which is shorter, and only
 * the entries whose place lies within the room of its own configuration.
 *
 * Why this keeps the floor: a server out in any record that may still be
 * enforced has a place in every newer record, and that place never grows. All
 * nodes together therefore enforce a part of the first places of the newest
 * record, as many as there is room. While nodes work with different
 * configurations, the largest of their rooms bounds the union.
 *
 * Limits: a pause or a lost platform lapses what is enforced; a platform that
 * loses a record is noticed by its epoch (flr_watch_observe()). All functions are
 * pure apart from the objects they are given.
 */
#ifndef FLR_H
#define FLR_H

#include "aud.h"
#include "cfg.h"
#include "fs_err.h"

enum flr_state {
	FLR_OUT,       /* takes no work but trials; has a place */
	FLR_RETURNING, /* may be used; has a place */
	FLR_PAST,      /* kept only for its number of ejections; no place */
};

/** One server of a record. */
struct flr_entry {
	char server[FS_NAME_MAX];
	enum flr_state state;
	uint64_t epoch;	    /* of the change that set this state */
	uint32_t ejections; /* how often it was ejected of late: hysteresis */
	char rule[FS_NAME_MAX];
	char node[FS_NAME_MAX]; /* that asked */
};

/** The ejections of one service in one region. */
struct flr_record {
	uint64_t epoch;		 /* grows by one with every change */
	uint64_t config_version; /* of the last change */
	GArray *entries;	 /* struct flr_entry */
};

/** Whose room is meant: a service in a region, by one configuration. */
struct flr_scope {
	const struct cfg *cfg;
	handle service;
	const char *region;
};

/** Durations of the protocol; flr_times_default unless a test says else. */
struct flr_times {
	int64_t expiry_us;    /* a record is enforced so long after its read */
	int64_t hold_us;      /* a returning entry keeps its place so long */
	int64_t retention_us; /* the number of ejections is kept so long */
};

extern const struct flr_times flr_times_default;

/** When this process first saw each entry in its present state. */
struct flr_watch;

struct flr_record *flr_record_new(void);
struct flr_record *flr_record_copy(const struct flr_record *record);
void flr_record_free(struct flr_record *record);

/** Appends the record as JSON. */
void flr_record_json(const struct flr_record *record, GString *out);

/** Parses JSON. @return 0 or FS_E_PROTOCOL */
int flr_record_parse(const char *json, struct flr_record **out);

/** Returns the entry of @p server, or NULL. */
const struct flr_entry *flr_find(const struct flr_record *record,
				 const char *server);

/** The arithmetic of the floor; the audit calls it again.
 *  @return whether one more of @p count servers may be out */
bool flr_has_headroom(int64_t count, int64_t out, int64_t floor);

/** Returns the servers of the scope that are not leaving. */
int64_t flr_count(const struct flr_scope *scope);

/** Returns how many of them must stay in use. */
int64_t flr_floor(const struct flr_scope *scope);

/** Returns how many entries have a place. */
int64_t flr_positions(const struct flr_record *record);

/** Returns how many places stand before that of @p server; all of them if it
 *  has none. Entries that have left the text keep theirs, so that all nodes
 *  count alike whichever text they have. */
int64_t flr_position(const struct flr_record *record, const char *server);

/**
 * Ejects @p server: takes the next place, or its old one if it is returning.
 * @return 0; FS_E_NOT_FOUND if the text has no such server that is not
 *         leaving; FS_E_CONFLICT if it is out already; FS_E_FLOOR if there is
 *         no room; the record is unchanged on error
 */
int flr_grant(struct flr_record *record, const struct flr_scope *scope,
	      const char *server, enum aud_rule rule, const char *node);

/** Makes @p server returning. @return 0 or FS_E_NOT_FOUND if it is not out */
int flr_return(struct flr_record *record, const struct flr_scope *scope,
	       const char *server);

/**
 * Makes entries returning that are no longer in the text, or whose place lies
 * beyond the room.
 * @return how many were changed
 */
uint32_t flr_trim(struct flr_record *record, const struct flr_scope *scope);

/** Takes the places of entries that were seen returning for the hold, and
 *  drops those that are long past. @return how many were changed */
uint32_t flr_expire(struct flr_record *record, const struct flr_scope *scope,
		    const struct flr_watch *watch,
		    const struct flr_times *times, int64_t now_us);

/** Returns whether a record read from @p confirmed_us on still holds. */
bool flr_confirmed(const struct flr_times *times, int64_t confirmed_us,
		   int64_t now_us);

/**
 * Returns whether @p server is to be left out by @p record, which holds.
 * @param record  NULL: nothing is
 */
bool flr_enforced(const struct flr_record *record,
		  const struct flr_scope *scope, const char *server);

struct flr_watch *flr_watch_new(void);
void flr_watch_free(struct flr_watch *watch);

/**
 * Notes a record that was read.
 * @param seen_us  when the read had ended
 * @return 0, or FS_E_STALE if its epoch is lower than one noted before: the
 *         platform has lost a record, and nothing may be granted until
 *         flr_watch_may_grant()
 */
int flr_watch_observe(struct flr_watch *watch, const struct flr_record *record,
		      int64_t seen_us);

/** Returns whether grants are safe again after a lost record. */
bool flr_watch_may_grant(const struct flr_watch *watch,
			 const struct flr_times *times, int64_t now_us);

#endif
