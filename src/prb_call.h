/**
 * @file prb_call.h
 * @brief One probe of a target on a new connection.
 *
 * With a path, sends a GET; any HTTP answer counts as reachable. Without one, a
 * TCP connection is enough. PRB_TIMEOUT_US limits the complete probe; the body
 * is discarded.
 */
#ifndef PRB_CALL_H
#define PRB_CALL_H

#include "crl.h"

#define PRB_TIMEOUT_US (1 * FS_US_PER_S)

struct prb_call;

/** Result of a probe. */
struct prb_result {
	bool reachable;
	bool draining; /* the answer has the header field "Draining: 1" */
	int64_t took_us;
};

typedef void (*prb_done_fn)(void *arg, const struct prb_result *result);

/**
 * Starts a probe; @p done is called once, after the call was freed.
 * @param path  NULL: connect only
 * @return NULL if it could not be started
 */
struct prb_call *prb_call_new(struct crl *crl, const char *address,
			      const char *path, prb_done_fn done, void *arg);

/** Cancels a probe; its callback is not called. */
void prb_call_free(struct prb_call *call);

#endif
