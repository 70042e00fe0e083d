#include "spr.h"

uint32_t spr_parts(uint32_t receivers, size_t message_bytes)
{
	size_t parts = SPR_BYTES / MAX(message_bytes, 1);

	return (uint32_t)MIN(MAX(parts, SPR_FANOUT_MIN), receivers);
}

struct spr_part spr_part(uint32_t receivers, uint32_t parts, uint32_t i)
{
	uint32_t head = (uint32_t)((uint64_t)receivers * i / parts);
	uint32_t end = (uint32_t)((uint64_t)receivers * (i + 1) / parts);

	return (struct spr_part){.head = head, .rest = end - head - 1};
}
