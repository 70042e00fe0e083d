#include "net.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <poll.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fs_err.h"

int net_listen(const struct sockaddr_in *address, struct sockaddr_in *bound)
{
	socklen_t size = sizeof(*bound);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return FS_E_IO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) ||
	    listen(fd, SOMAXCONN) ||
	    getsockname(fd, (struct sockaddr *)bound, &size)) {
		close(fd);
		return FS_E_IO;
	}
	return fd;
}

bool net_is_readable(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	return poll(&p, 1, 0) != 0;
}

int net_unread_bytes(int fd)
{
	int bytes;

	return ioctl(fd, FIONREAD, &bytes) ? FS_E_IO : bytes;
}

int net_unconfirmed_bytes(int fd)
{
	int bytes;

	return ioctl(fd, SIOCOUTQ, &bytes) ? FS_E_IO : bytes;
}

int net_limit_unsent(int fd, int bytes)
{
	return setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes,
			  sizeof(bytes)) ?
		       FS_E_IO :
		       0;
}

int64_t net_bytes_read(int fd)
{
	int unread = net_unread_bytes(fd);
	struct tcp_info info;
	socklen_t size = sizeof(info);

	if (unread < 0 || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) ||
	    size < offsetof(struct tcp_info, tcpi_bytes_received) +
			    sizeof(info.tcpi_bytes_received))
		return FS_E_IO;
	return (int64_t)info.tcpi_bytes_received - unread;
}
