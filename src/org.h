/**
 * @file org.h
 * @brief Which organisation a request is of, by the key in its header fields. Pure.
 *
 * A configuration that lists organisations needs a key on each route that is not
 * anonymous. Keys are compared whole; neither they nor parts of them are given out.
 */
#ifndef ORG_H
#define ORG_H

#include "cfg.h"

/** What the header fields say of the caller. */
struct org_caller {
	handle organisation; /* FS_NONE: of none, or no key is needed */
	const char *fault; /* why there is none, a stable word; NULL: no fault */
};

/**
 * Finds the organisation of a request.
 * @param headers  struct msg_header, as the caller sent them
 * @return 0, or FS_E_UNAUTHORIZED if the route needs a key of an organisation and
 *         the request has none
 */
int org_find(const struct cfg *cfg, handle route, const GArray *headers,
	     struct org_caller *out);

/**
 * Returns whether a caller's header field is kept from targets: a key, or what the
 * fleet tells of the organisation itself.
 * @param field  name of the field that tells a target the organisation
 */
bool org_is_withheld(const struct cfg *cfg, const char *field,
		     const char *name);

#endif
