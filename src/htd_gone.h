/**
 * @file htd_gone.h
 * @brief Notices that a caller has closed a suspended connection.
 *
 * libmicrohttpd does not look at the socket of a suspended connection. Bytes
 * that arrive there are a next request and end the watch; an end or an error
 * means that the caller is gone.
 */
#ifndef HTD_GONE_H
#define HTD_GONE_H

#include <ev.h>
#include <microhttpd.h>

/** Called once when the caller is gone; the watch has ended then. */
typedef void (*htd_gone_fn)(void *arg);

/** A watch on one connection. */
struct htd_gone {
	ev_io io;
	htd_gone_fn fn;
	void *arg;
};

/** Prepares a watch; it does not run yet. */
void htd_gone_init(struct htd_gone *gone, htd_gone_fn fn, void *arg);

/** Starts the watch of a connection that was just suspended. */
void htd_gone_start(struct htd_gone *gone, struct ev_loop *loop,
		    struct MHD_Connection *connection);

/** Stops the watch; it may have ended. */
void htd_gone_stop(struct htd_gone *gone, struct ev_loop *loop);

#endif
