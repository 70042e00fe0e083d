/**
 * @file fs_json.h
 * @brief Parses JSON texts that other writers may have made.
 *
 * A streaming parser builds the tree, so its own events count what is limited.
 * The time is linear in the size of the text. Limits: FS_JSON_DEPTH_MAX levels,
 * FS_JSON_MEMBERS_MAX members an object, none of them twice.
 */
#ifndef FS_JSON_H
#define FS_JSON_H

#include <json-glib/json-glib.h>

/* The fleet's own texts have a few; trees are freed recursively. */
#define FS_JSON_DEPTH_MAX 32

/* Of one object. Colliding names make a look-up walk through all of them. */
#define FS_JSON_MEMBERS_MAX 64
/* Of an object in a report of the fleet's own nodes, keyed by service. */
#define FS_JSON_REPORT_MEMBERS_MAX 1024

/**
 * Parses a text.
 * @param size  bytes, or -1 if it ends with a NUL
 * @return its root, to be freed with json_node_unref(), or NULL if the text is
 *         malformed or exceeds a limit
 */
JsonNode *fs_json_parse(const char *text, gssize size);

/** Parses a report of one of the fleet's own nodes; see FS_JSON_REPORT_MEMBERS_MAX. */
JsonNode *fs_json_parse_report(const char *text, gssize size);

/**
 * Parses a text whose root is an object.
 * @return the object, to be freed with json_object_unref(), or NULL
 */
JsonObject *fs_json_parse_object(const char *text, gssize size);

#endif
