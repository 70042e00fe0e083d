/**
 * @file net.h
 * @brief Listening sockets of the daemon's interfaces.
 */
#ifndef NET_H
#define NET_H

#include <netinet/in.h>

/**
 * Opens a non-blocking TCP socket that listens.
 * @param address  where; port 0 lets the kernel choose
 * @param bound    out: the address in use
 * @return the file descriptor, or FS_E_IO
 */
int net_listen(const struct sockaddr_in *address, struct sockaddr_in *bound);

#endif
