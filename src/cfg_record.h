/**
 * @file cfg_record.h
 * @brief The value under the platform's key "config".
 *
 * JSON: {"version","change_id","by","text","history"}. The version grows by
 * one with every put. The change id names one put, so that an operator whose
 * reply was lost can tell whether it was done; history lists the last puts
 * before it, so that this can also be told after further puts.
 *
 * Limits: CFG_HISTORY_MAX entries of history.
 */
#ifndef CFG_RECORD_H
#define CFG_RECORD_H

#include "fs_err.h"
#include "fs_types.h"

#define CFG_HISTORY_MAX 32
#define CFG_CHANGE_ID_MAX 40 /* bytes with NUL */
#define CFG_BY_MAX 64	     /* bytes of an operator's name with NUL */

/** One put. */
struct cfg_put {
	uint64_t version;
	char change_id[CFG_CHANGE_ID_MAX];
	char by[CFG_BY_MAX];
};

/** The value. */
struct cfg_record {
	struct cfg_put put;
	char *text;
	struct cfg_put history[CFG_HISTORY_MAX]; /* newest first */
	uint32_t history_count;
};

/** Parses a value. @return 0 or FS_E_PROTOCOL */
int cfg_record_parse(const char *json, struct cfg_record *out);

/** Appends the value as JSON. */
void cfg_record_json(const struct cfg_record *record, GString *out);

/** Frees what the record holds. */
void cfg_record_clear(struct cfg_record *record);

/** Fills in the record that follows @p before (NULL: the first one). */
void cfg_record_next(struct cfg_record *out, const struct cfg_record *before,
		     const char *change_id, const char *by, const char *text);

/** What a record tells of one put. */
enum cfg_put_state {
	CFG_PUT_DONE,	 /* it is the record or in its history */
	CFG_PUT_NOT,	 /* its version was put by another */
	CFG_PUT_WAITING, /* the record is older */
	CFG_PUT_UNKNOWN, /* the history does not reach back to it */
};

/** Tells what became of @p put by a record read later. */
enum cfg_put_state cfg_record_tells(const struct cfg_record *record,
				    const struct cfg_put *put);

#endif
