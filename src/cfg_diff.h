/**
 * @file cfg_diff.h
 * @brief Difference of two configurations, object by object.
 *
 * Objects are the deployment, failure domains, services, servers, routes and
 * organisations, matched by name; their order in the text does not matter.
 */
#ifndef CFG_DIFF_H
#define CFG_DIFF_H

#include "cfg.h"

/** One difference. */
struct cfg_change {
	const char *kind;    /* "service", "server", "route", ... */
	char *name;	     /* of the object */
	const char *setting; /* NULL: the whole object came or went */
	char *before;	     /* NULL: the object is new */
	char *after;	     /* NULL: the object is gone */
};

/**
 * Compares two configurations.
 * @param before  NULL: nothing is in force
 * @return array of struct cfg_change, to be freed with g_ptr_array_unref()
 */
GPtrArray *cfg_diff(const struct cfg *before, const struct cfg *after);

/** Appends one line per change, such as "service checkout: floor 75% -> 60%",
 *  or "no difference". */
void cfg_diff_text(const GPtrArray *changes, GString *out);

/** Appends the changes as a JSON array. */
void cfg_diff_json(const GPtrArray *changes, GString *out);

/** Writes a route's methods such as "GET, POST". */
void cfg_methods_text(uint32_t methods, GString *out);

#endif
