/**
 * @file plt_json.h
 * @brief Parses the platform's JSON bodies. All functions are pure.
 */
#ifndef PLT_JSON_H
#define PLT_JSON_H

#include "plt.h"

/**
 * Parses {"revision":n,"value":"..."}.
 * @param with_value  the value must be there
 * @param data        out: what value->data points to, owned by the caller
 * @return 0 or FS_E_PROTOCOL
 */
int plt_parse_value(const char *json, struct plt_value *value, char **data,
		    bool with_value);

/**
 * Parses {"vms":[...]} into an array of struct plt_vm. Entries of an unknown
 * kind or state are passed over, so that the platform may add some.
 * @return 0 or FS_E_PROTOCOL
 */
int plt_parse_vms(const char *json, GArray *vms);

#endif
