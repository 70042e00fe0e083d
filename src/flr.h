/**
 * @file flr.h
 * @brief The record of a service's ejections, and the floor it keeps.
 *
 * One record per service and region lives in the platform's key-value service
 * under "eject/REGION/SERVICE" and is changed by compare-and-swap only, so
 * that the floor is checked on one value. A server in it is out, or returning:
 * a returning server may be used again, but keeps its room under the floor for
 * FS_RECORD_HOLD_US, since a node with an older record may still leave it out.
 * A node enforces a record only for FS_RECORD_LAPSE_US after the platform last
 * confirmed it, which is shorter. Two nodes with different records therefore
 * never leave out more servers together than one record has room for.
 *
 * All functions are pure.
 */
#ifndef FLR_H
#define FLR_H

#include "aud.h"
#include "cfg.h"
#include "fs_err.h"

enum flr_state {
	FLR_OUT,
	FLR_RETURNING,
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

/** The arithmetic of the floor; the audit calls it again. */
bool flr_room(int64_t count, int64_t out, int64_t floor);

#endif
