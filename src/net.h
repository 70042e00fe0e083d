/**
 * @file net.h
 * @brief Listening TCP sockets, and what waits at the sockets of others.
 *
 * A library that owns a socket is the only one to read from it: also a peek takes an
 * error from the socket, which the kernel reports once.
 */
#ifndef NET_H
#define NET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Opens a non-blocking, listening TCP socket.
 * @param address  local address; port 0 lets the kernel choose a port
 * @param bound    out: the address with the port in use
 * @return the file descriptor, or FS_E_IO
 */
int net_listen(const struct sockaddr_in *address, struct sockaddr_in *bound);

/** Returns whether bytes, the end of the stream or an error wait at a socket; takes
 *  none of them. */
bool net_is_readable(int fd);

/** Returns the number of bytes that wait at a socket, or FS_E_IO; takes none. */
int net_unread_bytes(int fd);

/** Returns the number of bytes written to a TCP socket that its peer has not confirmed,
 *  or FS_E_IO. The end of the stream counts as one. */
int net_unconfirmed_bytes(int fd);

/** Lets the kernel take no more bytes for a TCP socket once so many wait to be sent, beside
 *  those that the peer has room for. Returns 0 or FS_E_IO. */
int net_limit_unsent(int fd, int bytes);

/** Returns how many bytes were read from a TCP socket since it was connected, or FS_E_IO.
 *  Bytes that arrive during the call may count as read. */
int64_t net_bytes_read(int fd);

#endif
