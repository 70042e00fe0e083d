/* The body that a stand-in target answers with: every byte is bound to the
 * request's token and its own place, so that a piece of another answer, a gap
 * or a shift shows. */
#ifndef FLEET_BODY_H
#define FLEET_BODY_H

#include <stddef.h>
#include <stdint.h>

/* Returns what the bytes of one token's body are derived from. */
static inline uint32_t fleet_body_seed(const char *token)
{
	uint32_t hash = 2166136261u;

	for (const char *p = token; *p; p++)
		hash = (hash ^ (uint8_t)*p) * 16777619u;
	return hash;
}

static inline uint8_t fleet_body_byte(uint32_t seed, size_t i)
{
	return (uint8_t)(((seed ^ (uint32_t)i) * 2654435761u) >> 24);
}

#endif
