#include "htd_gone.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <glib.h>

#include "net.h"

struct htd_gone_set {
	struct ev_loop *loop;
	int epoll_fd;
	ev_io io;
};

/* One event a turn: what is called may stop other watches. */
static void on_end(struct ev_loop *loop, ev_io *io, int events)
{
	struct epoll_event event;
	struct htd_gone *gone;

	(void)loop;
	(void)events;
	if (epoll_wait(io->fd, &event, 1, 0) != 1)
		return;
	gone = event.data.ptr;
	htd_gone_stop(gone);
	if (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		gone->fn(gone->arg);
}

struct htd_gone_set *htd_gone_set_new(struct ev_loop *loop)
{
	struct htd_gone_set *set = g_new0(struct htd_gone_set, 1);

	set->loop = loop;
	set->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	ev_io_init(&set->io, on_end, set->epoll_fd, EV_READ);
	if (set->epoll_fd >= 0)
		ev_io_start(loop, &set->io);
	return set;
}

void htd_gone_set_free(struct htd_gone_set *set)
{
	if (!set)
		return;
	ev_io_stop(set->loop, &set->io);
	if (set->epoll_fd >= 0)
		close(set->epoll_fd);
	g_free(set);
}

/* Bytes wait that must not be read here: only the end is of interest from now on. */
static void watch_end(struct htd_gone *gone)
{
	struct epoll_event event = {
		.events = EPOLLRDHUP,
		.data.ptr = gone,
	};

	gone->has_bytes = !epoll_ctl(gone->set->epoll_fd, EPOLL_CTL_ADD,
				     gone->io.fd, &event);
}

static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct htd_gone *gone = io->data;

	(void)events;
	if (!net_is_readable(io->fd))
		return;
	ev_io_stop(loop, io);
	if (net_unread_bytes(io->fd) > 0)
		watch_end(gone);
	else
		gone->fn(gone->arg);
}

void htd_gone_init(struct htd_gone *gone, htd_gone_fn fn, void *arg)
{
	ev_init(&gone->io, on_readable);
	gone->io.data = gone;
	gone->set = NULL;
	gone->has_bytes = false;
	gone->fn = fn;
	gone->arg = arg;
}

void htd_gone_start(struct htd_gone *gone, struct htd_gone_set *set,
		    struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!info)
		return;
	gone->set = set;
	ev_io_set(&gone->io, info->connect_fd, EV_READ);
	ev_io_start(set->loop, &gone->io);
}

void htd_gone_stop(struct htd_gone *gone)
{
	if (!gone->set)
		return;
	ev_io_stop(gone->set->loop, &gone->io);
	if (gone->has_bytes)
		epoll_ctl(gone->set->epoll_fd, EPOLL_CTL_DEL, gone->io.fd,
			  NULL);
	gone->has_bytes = false;
}
