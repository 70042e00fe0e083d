/**
 * @file cfg_scan.h
 * @brief Goes through a YAML text by its schema before libcyaml reads it.
 *
 * libcyaml stops at the first thing it does not take. The scan reads the same
 * schema and reports every unknown or repeated setting and every value of the
 * wrong shape, each with its line. It also bounds what a text may ask for:
 * nesting, list lengths, and no anchors, aliases or tags.
 *
 * A text that passes the scan is one that libcyaml reads. One with unknown
 * settings only can still be read without them, to find more.
 */
#ifndef CFG_SCAN_H
#define CFG_SCAN_H

#include <cyaml/cyaml.h>

#include "cfg_read.h"

#define CFG_SCAN_DEPTH 8 /* nested lists and mappings */

/**
 * Scans a text.
 * @param schema    mappings, lists and text only
 * @param problems  findings are appended, with their lines
 * @param lines     paths to look up, as keys; the value of each one found
 *                  becomes its line; NULL if none
 * @return 0; FS_E_CONFIG if all findings are unknown settings, which
 *         libcyaml can pass over; FS_E_PROTOCOL if it must not read the text
 */
int cfg_scan(const char *text, size_t size, const cyaml_schema_value_t *schema,
	     GPtrArray *problems, GHashTable *lines);

/** Finds the lines of problems that have a path only, and sorts by line. */
void cfg_scan_lines(const char *text, size_t size,
		    const cyaml_schema_value_t *schema, GPtrArray *problems);

#endif
