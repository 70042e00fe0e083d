/**
 * @file plt_json.h
 * @brief Parsers for the JSON response bodies of the platform, free of I/O.
 */
#ifndef PLT_JSON_H
#define PLT_JSON_H

#include "plt.h"

/**
 * Parses {"revision":n,"value":"..."}.
 * @param with_value  "value" is required; else only the revision is read
 * @param data        out: memory behind value->data, set with @p with_value
 *                    only; the caller frees it with g_free()
 * @return 0 or FS_E_PROTOCOL
 */
int plt_parse_value(const char *json, struct plt_value *value, char **data,
		    bool with_value);

/**
 * Parses {"vms":[...]} into an array of struct plt_vm. Invalid entries and
 * those of an unknown kind or state are skipped, so that the platform may
 * introduce new ones.
 * @return 0 or FS_E_PROTOCOL
 */
int plt_parse_vms(const char *json, GArray *vms);

#endif
