#include "htd_gone.h"

#include "net.h"

static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct htd_gone *gone = io->data;

	(void)events;
	if (!net_is_readable(io->fd))
		return;
	ev_io_stop(loop, io);
	if (!net_unread_bytes(io->fd))
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
