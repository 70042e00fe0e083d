/**
 * @file htd_delivery.h
 * @brief Answers of an HTTP interface that its callers have not confirmed yet.
 *
 * The library is done with an answer when its last byte is in the kernel's send buffer.
 * The kernel drops what it holds there if the connection is closed with unread bytes,
 * or if bytes of a request that was sent ahead arrive after the close. So a delivery
 * lasts until the caller's side has confirmed the answer:
 *
 * - On an open connection the caller's reading counts as activity: the idle time begins
 *   when the answer is confirmed.
 * - The socket of a connection that the library closes is kept, and what arrives there
 *   is discarded.
 *
 * A delivery is given up if the caller confirms nothing for the idle limit, or when the
 * set is freed; a log line and the counter htd_answers_given_up tell of it.
 */
#ifndef HTD_DELIVERY_H
#define HTD_DELIVERY_H

#include <ev.h>
#include <microhttpd.h>
#include <stddef.h>

#include "ctr.h"
#include "hld.h"

/* A caller may still be sending when its last answer is confirmed: its connection is
 * closed this much later, unless the caller closes it. */
#define HTD_DELIVERY_CLOSE_US (3 * FS_US_PER_S)

/** The deliveries of one interface. */
struct htd_delivery_set;

/** What callers have not confirmed. */
struct htd_undelivered {
	unsigned int connections;
	size_t bytes;
};

/**
 * @param hld  counts the unconfirmed bytes; may be NULL
 * @param ctr  counts the deliveries that are given up
 */
struct htd_delivery_set *htd_delivery_set_new(struct ev_loop *loop,
					      struct hld *hld, struct ctr *ctr);
/** Gives up the deliveries that are left. All connections are closed. */
void htd_delivery_set_free(struct htd_delivery_set *set);

/** Sets how long a caller may confirm nothing, in seconds. */
void htd_delivery_set_idle(struct htd_delivery_set *set, unsigned int idle_s);

/** An answer, or a part of it, was written to a connection. */
void htd_delivery_written(struct htd_delivery_set *set,
			  struct MHD_Connection *connection, int64_t now_us);

/** A connection is about to be closed by the library. */
void htd_delivery_closed(struct htd_delivery_set *set,
			 struct MHD_Connection *connection, int64_t now_us);

/** Returns what is unconfirmed now. */
struct htd_undelivered htd_delivery_left(struct htd_delivery_set *set,
					 int64_t now_us);

/** Returns how many sockets are kept of connections that the library has closed. */
unsigned int htd_delivery_kept(const struct htd_delivery_set *set);

#endif
