/**
 * @file mem_report.h
 * @brief Log events and status page of membership.
 */
#ifndef MEM_REPORT_H
#define MEM_REPORT_H

#include "mem.h"

/** Returns the name of a state: "alive", "suspect", "leaving" or "dead". */
const char *mem_state_name(enum mem_state state);

/**
 * Logs a "member" event for each new or changed member.
 * @param before  may be NULL
 */
void mem_report_changes(const struct mem_view *before,
			const struct mem_view *after);

/** Appends the members as a JSON object. @param view  may be NULL */
void mem_report_json(const struct mem_view *view, GString *out);

#endif
