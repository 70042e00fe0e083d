/**
 * @file htd.h
 * @brief Runs libmicrohttpd inside a libev loop, without threads.
 */
#ifndef HTD_H
#define HTD_H

#include <ev.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>

#include <glib.h>

#include "fs_limits.h"
#include "htd_delivery.h"

/* The kernel takes this much for a caller beyond what the caller has room for, in bytes:
 * an answer that is not streamed. */
#define HTD_UNSENT_MAX FS_ANSWER_WHOLE_MAX

struct htd;
struct htd_gone_set;

/** What an interface does with requests; see MHD_AccessHandlerCallback. */
struct htd_ops {
	MHD_AccessHandlerCallback access;
	MHD_RequestCompletedCallback completed; /* may be NULL */
	/** Sees the request target as received, before all else, and makes the
	 *  first value of the request's context; may be NULL. */
	void *(*target)(void *arg, const char *target,
			struct MHD_Connection *connection);
};

/** Limits of one interface. */
struct htd_limits {
	unsigned int connections; /* open, or kept until their answers arrive */
	unsigned int idle_s;	  /* idle and slow connections are closed */
	size_t connection_memory; /* bytes, bounds the header fields */
};

/** What an interface counts in; outlives it. */
struct htd_accounts {
	struct ctr *ctr;
	struct hld *hld; /* of answers that callers have not confirmed, or NULL */
};

/**
 * Starts an HTTP server.
 * @param bind   address; port 0 lets the kernel choose
 * @param bound  out: the address in use
 * @return NULL if the address cannot be bound
 */
struct htd *htd_start(struct ev_loop *loop, const struct sockaddr_in *bind,
		      const struct htd_limits *limits,
		      const struct htd_accounts *accounts,
		      const struct htd_ops *ops, void *arg,
		      struct sockaddr_in *bound);

/**
 * Reads the header fields of a request.
 * @param headers  array of struct msg_header, to which they are appended
 * @return false if a field has a NUL inside
 */
bool htd_read_headers(struct MHD_Connection *connection, GArray *headers);

/**
 * Sets the idle limit of connections. One with a longer limit keeps it until
 * htd_renew_idle(), as its caller may still go by that one.
 * @param idle_s  in seconds
 */
void htd_set_idle(struct htd *htd, unsigned int idle_s);

/**
 * Returns how many bytes of an answer's header fields fit in the memory of a
 * connection, beside those of its request; 0 before these are read. The library
 * closes the connection without an answer if an answer's head does not fit.
 */
size_t htd_answer_head_max(const struct htd *htd,
			   struct MHD_Connection *connection);

/** Gives a connection, at its next request, the limit that is in force. */
void htd_renew_idle(struct htd *htd, struct MHD_Connection *connection);

/** Accepts no more connections; those that are open, or wait to be accepted, go
 *  on. */
void htd_quiesce(struct htd *htd);

/** Stops at once. */
void htd_stop(struct htd *htd);

/** Looks at suspended connections again after MHD_resume_connection(). */
void htd_kick(struct htd *htd);

/** Returns the set in which suspended connections are watched. */
struct htd_gone_set *htd_gone_set_of(const struct htd *htd);

/** A part of an answer is written: from now on its caller's reading counts as activity
 *  of the connection. */
void htd_watch_delivery(struct htd *htd, struct MHD_Connection *connection,
			int64_t now_us);

/** Returns what callers have not confirmed of their answers. An answer counts as
 *  delivered then, not when it was written. */
struct htd_undelivered htd_undelivered(struct htd *htd, int64_t now_us);

/** Returns how many connections are open. */
unsigned int htd_connections(struct htd *htd);

#endif
