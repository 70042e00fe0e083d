/**
 * @file htd_gone.h
 * @brief Notices that a caller has closed a suspended connection.
 *
 * libmicrohttpd does not look at the socket of a suspended connection. An end or an
 * error there means that the caller is gone, also behind bytes of requests that it has
 * sent ahead, which stay unread.
 */
#ifndef HTD_GONE_H
#define HTD_GONE_H

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>

/** Called once when the caller is gone; the watch has ended then. */
typedef void (*htd_gone_fn)(void *arg);

/** The watches of one interface. */
struct htd_gone_set;

/** A watch on one connection. */
struct htd_gone {
	ev_io io;
	struct htd_gone_set *set;
	bool has_bytes; /* requests sent ahead wait: the set watches for the end */
	htd_gone_fn fn;
	void *arg;
};

struct htd_gone_set *htd_gone_set_new(struct ev_loop *loop);
/** Frees a set without watches. */
void htd_gone_set_free(struct htd_gone_set *set);

/** Prepares a watch; it does not run yet. */
void htd_gone_init(struct htd_gone *gone, htd_gone_fn fn, void *arg);

/** Starts the watch of a connection that was just suspended. */
void htd_gone_start(struct htd_gone *gone, struct htd_gone_set *set,
		    struct MHD_Connection *connection);

/** Stops the watch; it may have ended. */
void htd_gone_stop(struct htd_gone *gone);

#endif
