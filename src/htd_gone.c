#include "htd_gone.h"

#include <errno.h>
#include <sys/socket.h>

static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct htd_gone *gone = io->data;
	char byte;
	ssize_t got = recv(io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)events;
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, io);
	if (got <= 0)
		gone->fn(gone->arg);
}

void htd_gone_init(struct htd_gone *gone, htd_gone_fn fn, void *arg)
{
	ev_init(&gone->io, on_readable);
	gone->io.data = gone;
	gone->fn = fn;
	gone->arg = arg;
}

void htd_gone_start(struct htd_gone *gone, struct ev_loop *loop,
		    struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!info)
		return;
	ev_io_set(&gone->io, info->connect_fd, EV_READ);
	ev_io_start(loop, &gone->io);
}

void htd_gone_stop(struct htd_gone *gone, struct ev_loop *loop)
{
	ev_io_stop(loop, &gone->io);
}
