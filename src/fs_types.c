#include "fs_types.h"

#include <string.h>
#include <xxhash.h>

node_id fs_node_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

int64_t fs_now_us(void)
{
	return g_get_monotonic_time();
}

int64_t fs_wall_us(void)
{
	return g_get_real_time();
}
