/**
 * @file crl.h
 * @brief Runs libcurl's multi interface on a libev loop.
 *
 * One object per task that makes HTTP calls. The task fills in an easy handle
 * and starts it with a function that is called once when the transfer ends,
 * unless it was stopped before.
 */
#ifndef CRL_H
#define CRL_H

#include <curl/curl.h>
#include <ev.h>

#include "fs_types.h"

struct crl;

/** Called when a transfer ends; the easy handle is still the caller's. */
typedef void (*crl_done_fn)(void *arg, CURL *easy, CURLcode code);

/**
 * Makes the object.
 * @param connections  pooled connections kept at most
 */
struct crl *crl_new(struct ev_loop *loop, long connections);
void crl_free(struct crl *crl);

/** Returns the loop it runs on. */
struct ev_loop *crl_loop(const struct crl *crl);

/** Starts a transfer. @return 0 or FS_E_NO_MEMORY */
int crl_start(struct crl *crl, CURL *easy, crl_done_fn done, void *arg);

/** Stops a transfer: its function is not called. Safe inside callbacks of
 *  other transfers, not inside those of the same one. */
void crl_stop(struct crl *crl, CURL *easy);

/** Makes libcurl look at a transfer again after curl_easy_pause(). */
void crl_wake(struct crl *crl);

#endif
