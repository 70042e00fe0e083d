/**
 * @file prb_call.h
 * @brief One probe of a target: can it be reached on a new connection?
 *
 * With a path, a GET whose any HTTP answer counts; without one, a connection
 * is enough. Limits: PRB_TIMEOUT_US for the whole probe; the body is dropped.
 */
#ifndef PRB_CALL_H
#define PRB_CALL_H

#include "crl.h"

#define PRB_TIMEOUT_US (1 * FS_US_PER_S)

struct prb_call;

/** What a probe found. */
struct prb_result {
	bool reachable;
	bool draining; /* the answer's header field "Draining: 1" */
	int64_t took_us;
};

typedef void (*prb_done_fn)(void *arg, const struct prb_result *result);

/**
 * Starts a probe; @p done is called once and the call is freed then.
 * @param path  NULL: connect only
 * @return NULL if it could not be started
 */
struct prb_call *prb_call_new(struct crl *crl, const char *address,
			      const char *path, prb_done_fn done, void *arg);

/** Stops a probe that has not ended; its function is not called. */
void prb_call_free(struct prb_call *call);

#endif
