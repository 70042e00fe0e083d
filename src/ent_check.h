/**
 * @file ent_check.h
 * @brief Strict checks of a caller's request before anything else. Pure.
 *
 * Whatever two HTTP implementations may read differently is refused, not
 * repaired: two lengths, a length beside a transfer coding, header names or
 * values with forbidden bytes, and paths with empty, "." or ".." segments,
 * path parameters, backslashes or encoded separators.
 */
#ifndef ENT_CHECK_H
#define ENT_CHECK_H

#include "msg.h"

#define ENT_TARGET_MAX 4096 /* bytes of path and query */

/** What the checks give. */
struct ent_head {
	const char *host;    /* into the header fields */
	const char *key;     /* Idempotency-Key, or NULL */
	int64_t body_length; /* -1: not known before, 0: no body */
};

/**
 * Checks the header fields of a request.
 * @param version  "HTTP/1.1" or "HTTP/1.0"
 * @param headers  struct msg_header
 * @return 0, FS_E_BAD_REQUEST or FS_E_HEADERS_TOO_LARGE
 */
int ent_check_headers(const char *version, const GArray *headers,
		      struct ent_head *out);

/**
 * Checks a request target and decodes its path.
 * @param path  out: what routes are matched with, owned by the caller
 * @return 0 or FS_E_BAD_REQUEST
 */
int ent_check_target(const char *target, char **path);

/**
 * Copies the fields that may be passed on: neither hop-by-hop ones, nor those
 * that Connection names, nor those that this fleet or HTTP framing sets.
 */
GArray *ent_check_copy_end_to_end(const GArray *headers);

#endif
