/**
 * @file fs_json.h
 * @brief Parses JSON texts that other writers may have made.
 */
#ifndef FS_JSON_H
#define FS_JSON_H

#include <json-glib/json-glib.h>
#include <stdbool.h>

/* The parser uses the stack for each level; the fleet's texts have a few. */
#define FS_JSON_DEPTH_MAX 32

/**
 * Parses a text.
 * @param size  bytes, or -1 if it ends with a NUL
 * @return false if it is malformed or nested more than FS_JSON_DEPTH_MAX deep
 */
bool fs_json_load(JsonParser *parser, const char *text, gssize size);

#endif
