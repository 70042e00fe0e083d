/**
 * @file fs_log.h
 * @brief JSON-lines logging through GLib.
 *
 * Each line is one JSON object: "time" (UTC, ISO 8601), "level", "node",
 * "module" (first word for people and filters), "event" (a stable name) and
 * the fields of the event. Lines go to standard error unless a file descriptor
 * is given.
 *
 * The volume can be bounded: lines of level info beyond a rate are then left
 * out, and so is what the file descriptor does not take at once. The next line
 * says how many in "dropped".
 */
#ifndef FS_LOG_H
#define FS_LOG_H

#include <glib.h>
#include <stdint.h>

/** Sets the node name and the file descriptor of all later lines. */
void fs_log_init(const char *node, int fd);

/**
 * Writes one event.
 * @param module  prefix of the module, such as "dsp"
 * @param level   G_LOG_LEVEL_INFO, _MESSAGE, _WARNING or _CRITICAL
 * @param event   stable name, lower case with underscores
 * @param fields  JSON members without braces, such as "\"port\":80"; or ""
 */
void fs_log_event(const char *module, GLogLevelFlags level, const char *event,
		  const char *fields);

/** Like fs_log_event(), with a format for the fields. */
void fs_log_eventf(const char *module, GLogLevelFlags level, const char *event,
		   const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Bounds the volume from now on, and never waits for a reader. */
void fs_log_bound(void);

/** Returns how many lines were left out since the start. */
uint64_t fs_log_dropped(void);

/** Appends @p text to @p out as a quoted JSON string, escaped. */
void fs_json_string(GString *out, const char *text);

#endif
