/**
 * @file net.h
 * @brief Listening TCP sockets.
 */
#ifndef NET_H
#define NET_H

#include <netinet/in.h>

/**
 * Opens a non-blocking, listening TCP socket.
 * @param address  local address; port 0 lets the kernel choose a port
 * @param bound    out: the address with the port in use
 * @return the file descriptor, or FS_E_IO
 */
int net_listen(const struct sockaddr_in *address, struct sockaddr_in *bound);

#endif
