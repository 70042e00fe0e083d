/**
 * @file ent_check.h
 * @brief Strict validation of a caller's request. Pure.
 *
 * What two HTTP implementations may parse differently is refused, not
 * repaired, against request smuggling: two lengths, a length beside a transfer
 * coding, header names or values with forbidden bytes, and paths with empty,
 * "." or ".." segments, path parameters, backslashes or encoded separators.
 */
#ifndef ENT_CHECK_H
#define ENT_CHECK_H

#include "msg.h"

#define ENT_TARGET_MAX 4096 /* bytes of path and query */

/** Results of the header checks. */
struct ent_head {
	const char *host;    /* points into the header fields */
	const char *key;     /* Idempotency-Key, or NULL */
	int64_t body_length; /* -1: chunked, 0: no body */
	/* The caller knows no chunks (HTTP/1.0): an answer without a length would end
	 * with its connection, cut or not. */
	bool no_chunks;
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
 * @param path  out: decoded path for route matching, owned by the caller
 * @return 0 or FS_E_BAD_REQUEST
 */
int ent_check_target(const char *target, char **path);

/**
 * Checks a request target for a platform that compares paths as they are sent: bytes
 * that an HTTP request line can hold, after a slash. Servers read the same bytes.
 * @param path  out: path without its query, owned by the caller
 * @return 0 or FS_E_BAD_REQUEST
 */
int ent_check_raw_target(const char *target, char **path);

/**
 * Copies the end-to-end header fields: no hop-by-hop fields, none named by
 * Connection, and none that this fleet or HTTP framing sets.
 */
GArray *ent_check_copy_end_to_end(const GArray *headers);

#endif
