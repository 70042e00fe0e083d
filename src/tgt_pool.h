/**
 * @file tgt_pool.h
 * @brief The connections to targets, and which socket each of them has.
 *
 * libcurl keeps idle connections and takes one again without a look at what
 * arrived on it meanwhile: bytes behind the last answer would be read as the
 * next one. It also does not tell the socket of a kept connection. The pool
 * remembers the socket of each connection by its two ends, so that an exchange
 * can look before it writes.
 */
#ifndef TGT_POOL_H
#define TGT_POOL_H

#include "crl.h"

struct tgt_pool;

/** The two ends of a connection, as CURLOPT_PREREQFUNCTION tells them. */
struct tgt_endpoints {
	const char *ip;
	const char *local_ip;
	int port;
	int local_port;
};

/** Makes a pool. @param connections  kept idle at most */
struct tgt_pool *tgt_pool_new(struct ev_loop *loop, long connections);
void tgt_pool_free(struct tgt_pool *pool);

/** Returns the object that runs the pool's transfers. */
struct crl *tgt_pool_crl(const struct tgt_pool *pool);

/** Makes an easy handle open and close its sockets by the pool.
 *  @param fd  out: set when a socket is opened; lives as long as the handle */
void tgt_pool_attach(struct tgt_pool *pool, CURL *easy, curl_socket_t *fd);

/** Remembers the socket of a new connection. */
void tgt_pool_register(struct tgt_pool *pool, const struct tgt_endpoints *ends,
		       curl_socket_t fd);

/** Returns whether a kept connection is open and has nothing to be read. */
bool tgt_pool_is_idle(const struct tgt_pool *pool,
		      const struct tgt_endpoints *ends);

#endif
