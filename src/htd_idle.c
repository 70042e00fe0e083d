#include "htd_idle.h"

void htd_idle_set(struct MHD_Connection *connection, unsigned int idle_s)
{
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
				  idle_s);
}

unsigned int htd_idle_get(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_TIMEOUT);

	return info ? info->connection_timeout : 0;
}

void htd_idle_extend(struct MHD_Connection *connection, unsigned int idle_s)
{
	if (htd_idle_get(connection) < idle_s)
		htd_idle_set(connection, idle_s);
}

void htd_idle_restart(struct MHD_Connection *connection)
{
	unsigned int idle_s = htd_idle_get(connection);

	/* The time starts when a limit is set where there was none. */
	htd_idle_set(connection, 0);
	htd_idle_set(connection, idle_s);
}
