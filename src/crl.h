/**
 * @file crl.h
 * @brief Runs libcurl's multi interface on a libev loop.
 *
 * One object per task that makes HTTP calls. The task sets up an easy handle
 * and starts it with a callback that runs once when the transfer ends, unless
 * the transfer is stopped before.
 */
#ifndef CRL_H
#define CRL_H

#include <curl/curl.h>
#include <ev.h>

#include "fs_types.h"

struct crl;

/** Called when a transfer ends; the caller still owns the easy handle. */
typedef void (*crl_done_fn)(void *arg, CURL *easy, CURLcode code);

/**
 * Creates the object.
 * @param connections  maximum size of the connection pool
 */
struct crl *crl_new(struct ev_loop *loop, long connections);
void crl_free(struct crl *crl);

/** Returns the event loop. */
struct ev_loop *crl_loop(const struct crl *crl);

/** Starts a transfer. @return 0 or FS_E_NO_MEMORY */
int crl_start(struct crl *crl, CURL *easy, crl_done_fn done, void *arg);

/** Stops a transfer: its callback is not called. Safe inside callbacks of
 *  other transfers, not inside those of the same one. */
void crl_stop(struct crl *crl, CURL *easy);

/** Makes libcurl process transfers again after curl_easy_pause(). */
void crl_wake(struct crl *crl);

#endif
