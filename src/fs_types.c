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

uint64_t fs_random(uint64_t *state)
{
	uint64_t z = *state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}
