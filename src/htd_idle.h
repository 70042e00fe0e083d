/**
 * @file htd_idle.h
 * @brief The idle limit of one connection of the HTTP library.
 */
#ifndef HTD_IDLE_H
#define HTD_IDLE_H

#include <microhttpd.h>

/** Sets the limit, in seconds; 0: none. */
void htd_idle_set(struct MHD_Connection *connection, unsigned int idle_s);

/** Returns the limit, in seconds. */
unsigned int htd_idle_get(struct MHD_Connection *connection);

/** Sets a limit that is longer than the one of the connection. */
void htd_idle_extend(struct MHD_Connection *connection, unsigned int idle_s);

/** Lets the idle time begin anew. */
void htd_idle_restart(struct MHD_Connection *connection);

#endif
