#include "htd_delivery.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "dlv.h"
#include "fs_log.h"
#include "htd_idle.h"
#include "net.h"

#define CHECK_US (100 * FS_US_PER_MS) /* of all deliveries */
#define DISCARD_BYTES (16 * 1024)     /* at a time */
#define END_OF_STREAM 1		      /* counts as one unconfirmed byte */

struct htd_delivery_set {
	struct ev_loop *loop;
	struct hld *hld;
	struct ctr *ctr;
	int64_t stall_us;
	GHashTable *open;   /* struct MHD_Connection to struct delivery */
	GHashTable *closed; /* struct delivery */
	ev_timer timer;	    /* runs while there are any */
};

/* What was written to one connection. */
struct delivery {
	struct htd_delivery_set *set;
	struct MHD_Connection *connection; /* NULL: the library has closed it */
	int fd;	  /* the library's, or our own of a closed connection */
	ev_io io; /* of a closed connection */
	struct dlv dlv;
	struct hld_item held;
};

static int fd_of(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

/* Returns how many bytes of answers the caller has not confirmed; 0 if unknown. */
static size_t unconfirmed_bytes(int fd, bool closed)
{
	int bytes = net_unconfirmed_bytes(fd);

	return (size_t)MAX(bytes - (closed ? END_OF_STREAM : 0), 0);
}

static void set_held(struct delivery *d, size_t bytes)
{
	if (d->set->hld)
		hld_set(d->set->hld, &d->held, bytes);
}

/* Reads what has arrived, which would reset the connection at its close. */
static void discard_and_close(int fd)
{
	char discarded[DISCARD_BYTES];
	ssize_t n = 1;

	for (int left = net_unread_bytes(fd); left > 0 && n > 0; left -= (int)n)
		n = recv(fd, discarded, sizeof(discarded), MSG_DONTWAIT);
	close(fd);
}

static void free_delivery(void *data)
{
	struct delivery *d = data;

	set_held(d, 0);
	if (!d->connection) {
		ev_io_stop(d->set->loop, &d->io);
		discard_and_close(d->fd);
	}
	g_free(d);
}

static void log_given_up(struct htd_delivery_set *set, const char *reason,
			 struct htd_undelivered left)
{
	g_autofree char *name =
		g_strdup_printf("htd_answers_given_up{reason=%s}", reason);

	ctr_count(set->ctr, name, left.connections);
	fs_log_eventf("htd", G_LOG_LEVEL_WARNING, "answers_given_up",
		      "\"reason\":\"%s\",\"connections\":%u,\"bytes\":%zu",
		      reason, left.connections, left.bytes);
}

/* Returns whether a delivery is over. The library itself closes an open connection
 * whose idle time is up. */
static bool check_open(struct delivery *d, int64_t now_us)
{
	enum dlv_state state = dlv_update(&d->dlv,
					  unconfirmed_bytes(d->fd, false),
					  d->set->stall_us, now_us);

	set_held(d, d->dlv.unconfirmed);
	if (state == DLV_MOVING || state == DLV_CONFIRMED)
		htd_idle_restart(d->connection);
	return state == DLV_CONFIRMED;
}

static bool check_closed(struct delivery *d, int64_t now_us)
{
	enum dlv_state state = dlv_update(&d->dlv,
					  unconfirmed_bytes(d->fd, true),
					  d->set->stall_us, now_us);

	set_held(d, d->dlv.unconfirmed);
	if (state == DLV_STALLED)
		log_given_up(d->set, "stalled",
			     (struct htd_undelivered){1, d->dlv.unconfirmed});
	return state == DLV_STALLED ||
	       (state == DLV_CONFIRMED &&
		now_us - d->dlv.progress_us >= HTD_DELIVERY_CLOSE_US);
}

static void check_all(struct htd_delivery_set *set, int64_t now_us)
{
	GHashTableIter iter;
	void *d;

	g_hash_table_iter_init(&iter, set->open);
	while (g_hash_table_iter_next(&iter, NULL, &d)) {
		if (check_open(d, now_us))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, set->closed);
	while (g_hash_table_iter_next(&iter, &d, NULL)) {
		if (check_closed(d, now_us))
			g_hash_table_iter_remove(&iter);
	}
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct htd_delivery_set *set = timer->data;

	(void)events;
	check_all(set, fs_now_us());
	if (!g_hash_table_size(set->open) && !g_hash_table_size(set->closed))
		ev_timer_stop(loop, timer);
}

/* The caller sends what is not read any more, or has closed its side: then nothing can
 * arrive that resets the connection, and the kernel delivers the rest. */
static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct delivery *d = io->data;
	char discarded[DISCARD_BYTES];
	ssize_t n = recv(io->fd, discarded, sizeof(discarded), MSG_DONTWAIT);

	(void)loop;
	(void)events;
	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		g_hash_table_remove(d->set->closed, d);
}

struct htd_delivery_set *htd_delivery_set_new(struct ev_loop *loop,
					      struct hld *hld, struct ctr *ctr)
{
	struct htd_delivery_set *set = g_new0(struct htd_delivery_set, 1);

	set->loop = loop;
	set->hld = hld;
	set->ctr = ctr;
	set->open = g_hash_table_new_full(NULL, NULL, NULL, free_delivery);
	set->closed = g_hash_table_new_full(NULL, NULL, free_delivery, NULL);
	ev_timer_init(&set->timer, on_timer, (double)CHECK_US / FS_US_PER_S,
		      (double)CHECK_US / FS_US_PER_S);
	set->timer.data = set;
	return set;
}

static struct htd_undelivered sum(const struct htd_delivery_set *set)
{
	struct htd_undelivered left = {0};
	GHashTableIter iter;
	struct delivery *d;

	g_hash_table_iter_init(&iter, set->open);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&d)) {
		left.connections += d->dlv.unconfirmed > 0;
		left.bytes += d->dlv.unconfirmed;
	}
	g_hash_table_iter_init(&iter, set->closed);
	while (g_hash_table_iter_next(&iter, (void **)&d, NULL)) {
		left.connections += d->dlv.unconfirmed > 0;
		left.bytes += d->dlv.unconfirmed;
	}
	return left;
}

void htd_delivery_set_free(struct htd_delivery_set *set)
{
	struct htd_undelivered left = sum(set);

	if (left.connections)
		log_given_up(set, "exit", left);
	ev_timer_stop(set->loop, &set->timer);
	g_hash_table_unref(set->open);
	g_hash_table_unref(set->closed);
	g_free(set);
}

void htd_delivery_set_idle(struct htd_delivery_set *set, unsigned int idle_s)
{
	set->stall_us = idle_s * FS_US_PER_S;
}

static struct delivery *new_delivery(struct htd_delivery_set *set, int fd,
				     size_t unconfirmed, int64_t now_us)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->set = set;
	d->fd = fd;
	dlv_begin(&d->dlv, unconfirmed, now_us);
	set_held(d, unconfirmed);
	if (!ev_is_active(&set->timer))
		ev_timer_again(set->loop, &set->timer);
	return d;
}

void htd_delivery_written(struct htd_delivery_set *set,
			  struct MHD_Connection *connection, int64_t now_us)
{
	int fd = fd_of(connection);
	size_t unconfirmed;
	struct delivery *d;

	if (g_hash_table_contains(set->open, connection))
		return;
	unconfirmed = unconfirmed_bytes(fd, false);
	if (!unconfirmed)
		return;
	d = new_delivery(set, fd, unconfirmed, now_us);
	d->connection = connection;
	g_hash_table_insert(set->open, connection, d);
}

/* @param before  the delivery while the connection was open, or NULL */
static void keep_socket(struct htd_delivery_set *set, int fd,
			size_t unconfirmed, const struct delivery *before,
			int64_t now_us)
{
	int kept = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	struct delivery *d;

	if (kept < 0) {
		log_given_up(set, "no_descriptor",
			     (struct htd_undelivered){1, unconfirmed});
		return;
	}
	shutdown(kept, SHUT_WR);
	d = new_delivery(set, kept, unconfirmed, now_us);
	if (before) {
		d->dlv = before->dlv;
		dlv_update(&d->dlv, unconfirmed, set->stall_us, now_us);
	}
	ev_io_init(&d->io, on_readable, kept, EV_READ);
	d->io.data = d;
	ev_io_start(set->loop, &d->io);
	g_hash_table_add(set->closed, d);
}

void htd_delivery_closed(struct htd_delivery_set *set,
			 struct MHD_Connection *connection, int64_t now_us)
{
	int fd = fd_of(connection);
	size_t unconfirmed = unconfirmed_bytes(fd, true);

	if (unconfirmed || net_unread_bytes(fd) > 0)
		keep_socket(set, fd, unconfirmed,
			    g_hash_table_lookup(set->open, connection), now_us);
	g_hash_table_remove(set->open, connection);
}

struct htd_undelivered htd_delivery_left(struct htd_delivery_set *set,
					 int64_t now_us)
{
	check_all(set, now_us);
	return sum(set);
}

unsigned int htd_delivery_kept(const struct htd_delivery_set *set)
{
	return g_hash_table_size(set->closed);
}
