/**
 * @file flr.h
 * @brief Ejection record of a service, and enforcement of its floor.
 *
 * One record per service and region is stored in the platform's key-value
 * service under "eject/REGION/SERVICE". It is changed by compare-and-swap only,
 * so that the floor is checked against one value.
 *
 * The entries that are ejected or returning are in the order of their
 * ejections; the index of an entry among them is its position. The headroom is
 * the number of servers that may be ejected. A returning server may be used
 * again, but keeps its position until a writer has observed that state for
 * FS_RECORD_HOLD_US (the hold-down time) on its own monotonic clock. A node
 * enforces a record only until FS_RECORD_LAPSE_US after the start of the read
 * that confirmed it, which is shorter than the hold-down time, and only the
 * entries whose position lies within the headroom of its own configuration.
 *
 * Invariant behind the floor: a server that is ejected in any record that may
 * still be enforced has a position in every newer record, and that position
 * never grows. All nodes together therefore enforce a subset of the first
 * positions of the newest record, limited by the headroom. While nodes use
 * different configurations, the largest headroom among them bounds the union.
 *
 * Limits: enforcement expires during a process pause or a platform outage. A
 * platform that loses a record is detected by its epoch (flr_watch_observe()).
 * All functions are pure apart from the objects passed to them.
 */
#ifndef FLR_H
#define FLR_H

#include "aud.h"
#include "cfg.h"
#include "fs_err.h"

enum flr_state {
	FLR_OUT,       /* gets trial requests only; has a position */
	FLR_RETURNING, /* may be used; has a position */
	FLR_PAST,      /* retained for its ejection count; no position */
};

/** One server of a record. */
struct flr_entry {
	char server[FS_NAME_MAX];
	enum flr_state state;
	uint64_t epoch;	    /* of the change that set this state */
	uint32_t ejections; /* recent ejections, for hysteresis */
	char rule[FS_NAME_MAX];
	char node[FS_NAME_MAX]; /* that requested the ejection */
};

/** The ejections of one service in one region. */
struct flr_record {
	uint64_t epoch;		 /* grows by one with every change */
	uint64_t config_version; /* of the last change */
	GArray *entries;	 /* struct flr_entry */
};

/** Scope of a floor: a service in a region, under one configuration. */
struct flr_scope {
	const struct cfg *cfg;
	handle service;
	const char *region;
};

/** Durations of the protocol; tests may override flr_times_default. */
struct flr_times {
	int64_t expiry_us;    /* a record is enforced from its read's start */
	int64_t hold_down_us; /* a returning entry keeps its position */
	int64_t retention_us; /* a past entry keeps its ejection count */
};

extern const struct flr_times flr_times_default;

/** When this process first observed each entry in its current state. */
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

/** Checks the floor; the audit replays it with the recorded values.
 *  @return whether one more of @p count servers may be ejected */
bool flr_has_headroom(int64_t count, int64_t out, int64_t floor);

/** Returns the number of servers of the scope that are not leaving. */
int64_t flr_count(const struct flr_scope *scope);

/** Returns the minimum number of servers that must stay in use. */
int64_t flr_floor(const struct flr_scope *scope);

/** Returns how many entries have a position. */
int64_t flr_positions(const struct flr_record *record);

/** Returns how many positions precede that of @p server; all of them if it has
 *  none. Entries removed from the configuration keep their position, so that
 *  all nodes count alike whichever configuration version they have. */
int64_t flr_position(const struct flr_record *record, const char *server);

/**
 * Ejects @p server: assigns the next position, or keeps the position of a
 * returning server.
 * @return 0; FS_E_NOT_FOUND if the configuration has no such server, or it is
 *         leaving; FS_E_CONFLICT if it is ejected already; FS_E_FLOOR if there
 *         is no headroom; the record is unchanged on error
 */
int flr_grant(struct flr_record *record, const struct flr_scope *scope,
	      const char *server, enum aud_rule rule, const char *node);

/** Sets @p server to returning.
 *  @return 0 or FS_E_NOT_FOUND if it is not ejected */
int flr_return(struct flr_record *record, const struct flr_scope *scope,
	       const char *server);

/**
 * Sets ejected entries to returning if they are no longer in the configuration,
 * or their position lies beyond the headroom.
 * @return how many were changed
 */
uint32_t flr_trim(struct flr_record *record, const struct flr_scope *scope);

/** Sets entries to past that were observed returning for the hold-down time,
 *  and deletes past entries after the retention time.
 *  @return how many were changed */
uint32_t flr_expire(struct flr_record *record, const struct flr_scope *scope,
		    const struct flr_watch *watch,
		    const struct flr_times *times, int64_t now_us);

/** Returns whether a record is still valid whose read began at
 *  @p confirmed_us. */
bool flr_confirmed(const struct flr_times *times, int64_t confirmed_us,
		   int64_t now_us);

/**
 * Returns whether @p server is ejected under @p record.
 * @param record  a record that has not expired; NULL: no server is ejected
 */
bool flr_enforced(const struct flr_record *record,
		  const struct flr_scope *scope, const char *server);

struct flr_watch *flr_watch_new(void);
void flr_watch_free(struct flr_watch *watch);

/**
 * Observes a record that was read.
 * @param seen_us  when the read ended
 * @return 0, or FS_E_STALE if its epoch is lower than one observed before: the
 *         platform has lost a record, and no ejection may be granted until
 *         flr_watch_may_grant()
 */
int flr_watch_observe(struct flr_watch *watch, const struct flr_record *record,
		      int64_t seen_us);

/** Returns whether ejections may be granted: no record was lost, or the
 *  hold-down time has passed since. */
bool flr_watch_may_grant(const struct flr_watch *watch,
			 const struct flr_times *times, int64_t now_us);

#endif
