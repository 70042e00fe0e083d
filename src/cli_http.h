/**
 * @file cli_http.h
 * @brief One HTTP exchange at a time, for the command-line tool.
 *
 * Limits: answers of at most CLI_ANSWER_MAX bytes.
 */
#ifndef CLI_HTTP_H
#define CLI_HTTP_H

#include <json-glib/json-glib.h>

#include "cli_put.h"

#define CLI_ANSWER_MAX (16 << 20)

/**
 * Runs one exchange on a connection of its own.
 * @param body        bytes to send, or NULL
 * @param timeout_ms  for the whole exchange
 * @param status      out: HTTP status
 * @param out         bytes of the answer are appended
 * @return 0, FS_E_UNAVAILABLE if nothing was sent, else FS_E_AMBIGUOUS
 */
int cli_http(const char *method, const char *address, const char *path,
	     const char *body, size_t size, long timeout_ms, long *status,
	     GString *out);

/** Gets JSON from a node's operator interface or the platform.
 *  @return the root, to be freed with json_node_unref(), or NULL */
JsonNode *cli_get_json(const char *address, const char *path);

/** The platform's key "config", for cli_put.h. */
struct cli_platform {
	const char *address; /* "ip:port" */
	int64_t end_us;	     /* waits no longer */
	int64_t pause_us;    /* before the next repetition; grows */
};

extern const struct cli_put_ops cli_platform_ops;

/** Returns whether @p text is "ip:port"; says so if not. */
bool cli_check_address(const char *text);

#endif
