#include "htd.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "fs_log.h"
#include "htd_delivery.h"
#include "htd_gone.h"
#include "htd_idle.h"
#include "msg.h"
#include "net.h"

/* What the library takes from a connection's memory, in bytes: for a record of each
 * field, cookie and parameter of a request, and for its own part of an answer's head. */
#define FIELD_MEMORY 96
#define OWN_HEAD_MEMORY 1024

/* A process that runs this late was paused. Callers leave an idle connection
 * earlier than its limit by more than that. */
#define PAUSE_US FS_US_PER_S

struct htd {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	int listen_fd;
	bool listening;
	size_t connection_memory;
	unsigned int connections_max;
	unsigned int idle_s;	 /* in force; open connections may have more */
	GHashTable *connections; /* struct MHD_Connection, open */
	struct htd_gone_set *gone;
	struct htd_delivery_set *deliveries;
	struct ctr *ctr;
	MHD_RequestCompletedCallback completed; /* may be NULL */
	void *arg;				/* its own */
	ev_io io;
	ev_timer timer;
	int64_t due_us; /* when a connection's time is up; 0: none waits */
};

/* Lets the idle time of all connections begin anew. The library closes those
 * whose time is up before it reads what arrived during a pause. */
static void restart_idle(struct htd *htd)
{
	GHashTableIter iter;
	void *connection;

	g_hash_table_iter_init(&iter, htd->connections);
	while (g_hash_table_iter_next(&iter, &connection, NULL))
		htd_idle_restart(connection);
}

/* Runs the library, then waits as long as it says: without that timer idle
 * connections would never be closed. */
static void run(struct htd *htd)
{
	MHD_UNSIGNED_LONG_LONG wait_ms;

	if (htd->due_us && fs_now_us() - htd->due_us > PAUSE_US)
		restart_idle(htd);
	htd->due_us = 0;
	MHD_run(htd->daemon);
	ev_timer_stop(htd->loop, &htd->timer);
	if (MHD_get_timeout(htd->daemon, &wait_ms) == MHD_YES) {
		htd->due_us = fs_now_us() + (int64_t)wait_ms * FS_US_PER_MS;
		ev_timer_set(&htd->timer, (double)wait_ms / 1000.0, 0.0);
		ev_timer_start(htd->loop, &htd->timer);
	}
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	run(io->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	run(timer->data);
}

static enum MHD_Result add_value_memory(void *arg, enum MHD_ValueKind kind,
					const char *name, size_t name_size,
					const char *value, size_t value_size)
{
	size_t *bytes = arg;

	(void)name_size;
	(void)value;
	*bytes += FIELD_MEMORY;
	/* It is copied, and taken apart in the copy. */
	if (kind == MHD_HEADER_KIND && !g_ascii_strcasecmp(name, "Cookie"))
		*bytes += value_size + 1;
	return MHD_YES;
}

size_t htd_answer_head_max(const struct htd *htd,
			   struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	size_t used = OWN_HEAD_MEMORY;

	if (!info)
		return 0;
	used += info->header_size;
	MHD_get_connection_values_n(connection,
				    MHD_HEADER_KIND | MHD_COOKIE_KIND |
					    MHD_GET_ARGUMENT_KIND,
				    add_value_memory, &used);
	/* At least one byte, which no answer fits in: 0 says "not known". */
	return MAX(htd->connection_memory, used + 1) - used;
}

/* What a slow caller does not take stays with the process, which bounds it; without this
 * limit the kernel takes megabytes for each. */
static void limit_unsent(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!info || net_limit_unsent(info->connect_fd, HTD_UNSENT_MAX))
		fs_log_eventf("htd", G_LOG_LEVEL_WARNING, "unsent_not_limited",
			      "\"reason\":\"%s\"", g_strerror(errno));
}

/* The library tells of a closed connection before MHD_run() returns, so that
 * all in the set may be changed outside of it. */
static void on_connection(void *arg, struct MHD_Connection *connection,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct htd *htd = arg;

	(void)context;
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		g_hash_table_remove(htd->connections, connection);
		htd_delivery_closed(htd->deliveries, connection, fs_now_us());
		return;
	}
	g_hash_table_add(htd->connections, connection);
	limit_unsent(connection);
	htd_idle_extend(connection, htd->idle_s);
}

/* Sockets that are kept for their callers count as connections. The library knows of
 * its own alone. */
static enum MHD_Result on_accept(void *arg, const struct sockaddr *address,
				 socklen_t size)
{
	const struct htd *htd = arg;
	unsigned int kept = htd_delivery_kept(htd->deliveries);

	(void)address;
	(void)size;
	if (g_hash_table_size(htd->connections) + kept < htd->connections_max)
		return MHD_YES;
	ctr_count(htd->ctr, "htd_connections_refused", 1);
	fs_log_eventf("htd", G_LOG_LEVEL_WARNING, "connection_refused",
		      "\"kept\":%u,\"limit\":%u", kept, htd->connections_max);
	return MHD_NO;
}

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	struct htd *htd = arg;

	if (htd->completed)
		htd->completed(htd->arg, connection, context, code);
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		htd_delivery_written(htd->deliveries, connection, fs_now_us());
}

static void free_htd(struct htd *htd)
{
	g_hash_table_unref(htd->connections);
	htd_gone_set_free(htd->gone);
	htd_delivery_set_free(htd->deliveries);
	g_free(htd);
}

struct htd *htd_start(struct ev_loop *loop, const struct sockaddr_in *bind,
		      const struct htd_limits *limits,
		      const struct htd_accounts *accounts,
		      const struct htd_ops *ops, void *arg,
		      struct sockaddr_in *bound)
{
	struct htd *htd = g_new0(struct htd, 1);
	const union MHD_DaemonInfo *info;

	htd->loop = loop;
	htd->idle_s = limits->idle_s;
	htd->connection_memory = limits->connection_memory;
	htd->connections_max = limits->connections;
	htd->ctr = accounts->ctr;
	htd->completed = ops->completed;
	htd->arg = arg;
	htd->connections = g_hash_table_new(NULL, NULL);
	htd->gone = htd_gone_set_new(loop);
	htd->deliveries =
		htd_delivery_set_new(loop, accounts->hld, accounts->ctr);
	htd_delivery_set_idle(htd->deliveries, limits->idle_s);
	htd->listen_fd = net_listen(bind, bound);
	if (htd->listen_fd < 0) {
		free_htd(htd);
		return NULL;
	}
	htd->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, on_accept, htd,
		ops->access, arg, MHD_OPTION_LISTEN_SOCKET, htd->listen_fd,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, htd,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, htd,
		MHD_OPTION_URI_LOG_CALLBACK, ops->target, arg,
		MHD_OPTION_CONNECTION_LIMIT, limits->connections,
		MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits->connection_memory,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	if (!htd->daemon) {
		close(htd->listen_fd);
		free_htd(htd);
		return NULL;
	}
	htd->listening = true;
	info = MHD_get_daemon_info(htd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&htd->io, on_io, info->epoll_fd, EV_READ);
	htd->io.data = htd;
	ev_io_start(loop, &htd->io);
	ev_init(&htd->timer, on_timer);
	htd->timer.data = htd;
	run(htd);
	return htd;
}

/** What a walk over the header fields fills in. */
struct fields {
	GArray *headers;
	bool whole;
};

static enum MHD_Result add_header(void *arg, enum MHD_ValueKind kind,
				  const char *name, size_t name_size,
				  const char *value, size_t value_size)
{
	struct fields *fields = arg;

	(void)kind;
	if (!value)
		value = "";
	if (strlen(name) != name_size || strlen(value) != value_size)
		fields->whole = false;
	msg_headers_add(fields->headers, name, value);
	return MHD_YES;
}

bool htd_read_headers(struct MHD_Connection *connection, GArray *headers)
{
	struct fields fields = {headers, true};

	MHD_get_connection_values_n(connection, MHD_HEADER_KIND, add_header,
				    &fields);
	return fields.whole;
}

void htd_set_idle(struct htd *htd, unsigned int idle_s)
{
	GHashTableIter iter;
	void *connection;

	htd->idle_s = idle_s;
	htd_delivery_set_idle(htd->deliveries, idle_s);
	g_hash_table_iter_init(&iter, htd->connections);
	while (g_hash_table_iter_next(&iter, &connection, NULL))
		htd_idle_extend(connection, idle_s);
	htd_kick(htd);
}

void htd_renew_idle(struct htd *htd, struct MHD_Connection *connection)
{
	if (htd_idle_get(connection) != htd->idle_s)
		htd_idle_set(connection, htd->idle_s);
}

/* Closing the listener would reset the connections that wait at it, with the
 * requests that their callers have sent. */
static void accept_waiting(struct htd *htd)
{
	struct sockaddr_in peer;
	socklen_t size = sizeof(peer);
	int fd;

	while ((fd = accept4(htd->listen_fd, (struct sockaddr *)&peer, &size,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		/* Closes the socket on failure. */
		if (MHD_add_connection(htd->daemon, fd,
				       (struct sockaddr *)&peer,
				       size) != MHD_YES)
			fs_log_eventf("htd", G_LOG_LEVEL_WARNING,
				      "connection_not_taken",
				      "\"reason\":\"%s\"", g_strerror(errno));
		size = sizeof(peer);
	}
	htd_kick(htd);
}

void htd_quiesce(struct htd *htd)
{
	if (!htd->listening)
		return;
	MHD_quiesce_daemon(htd->daemon);
	accept_waiting(htd);
	close(htd->listen_fd);
	htd->listening = false;
}

void htd_stop(struct htd *htd)
{
	if (!htd)
		return;
	ev_io_stop(htd->loop, &htd->io);
	ev_timer_stop(htd->loop, &htd->timer);
	MHD_stop_daemon(htd->daemon);
	free_htd(htd);
}

void htd_kick(struct htd *htd)
{
	ev_timer_stop(htd->loop, &htd->timer);
	ev_timer_set(&htd->timer, 0.0, 0.0);
	ev_timer_start(htd->loop, &htd->timer);
}

struct htd_gone_set *htd_gone_set_of(const struct htd *htd)
{
	return htd->gone;
}

void htd_watch_delivery(struct htd *htd, struct MHD_Connection *connection,
			int64_t now_us)
{
	htd_delivery_written(htd->deliveries, connection, now_us);
}

struct htd_undelivered htd_undelivered(struct htd *htd, int64_t now_us)
{
	return htd_delivery_left(htd->deliveries, now_us);
}

unsigned int htd_connections(struct htd *htd)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		htd->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}
