/**
 * @file tgt_pool.h
 * @brief Connection pool for targets, with the socket of each connection.
 *
 * libcurl reuses an idle connection without checking for bytes that arrived
 * meanwhile: bytes behind the last answer would be read as the next one. It
 * also does not expose the socket of a reused connection. The pool maps the
 * endpoints of each connection to its socket, so that an exchange can check
 * it before it writes.
 */
#ifndef TGT_POOL_H
#define TGT_POOL_H

#include "crl.h"

struct tgt_pool;

/** The endpoints of a connection, as CURLOPT_PREREQFUNCTION reports them. */
struct tgt_endpoints {
	const char *ip;
	const char *local_ip;
	int port;
	int local_port;
};

/** Creates a pool. @param connections  idle ones at most */
struct tgt_pool *tgt_pool_new(struct ev_loop *loop, long connections);
void tgt_pool_free(struct tgt_pool *pool);

/** Returns the object that runs the pool's transfers. */
struct crl *tgt_pool_crl(const struct tgt_pool *pool);

/**
 * Makes the pool open and close the sockets of an easy handle.
 * @param fd  out: set when a socket is opened; lives as long as the handle
 */
void tgt_pool_attach(struct tgt_pool *pool, CURL *easy, curl_socket_t *fd);

/** Records the socket of a new connection. */
void tgt_pool_register(struct tgt_pool *pool, const struct tgt_endpoints *ends,
		       curl_socket_t fd);

/**
 * Returns whether a pooled connection is open and has nothing to be read.
 * @param fd  out: its socket, if it is known
 */
bool tgt_pool_is_idle(const struct tgt_pool *pool,
		      const struct tgt_endpoints *ends, curl_socket_t *fd);

/** Returns how many bytes were read from a connection, or -1 if unknown. */
int64_t tgt_pool_bytes_read(curl_socket_t fd);

#endif
