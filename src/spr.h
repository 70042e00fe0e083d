/**
 * @file spr.h
 * @brief Divides the receivers of a message into the parts of a relay tree. Pure.
 *
 * A node sends a message itself to as many receivers as its link carries at once,
 * and gives each of them a part of the others to relay it to. A short message goes
 * to all of them directly; a long one takes some steps more, and loads no link with
 * more than SPR_BYTES or SPR_FANOUT_MIN copies.
 */
#ifndef SPR_H
#define SPR_H

#include "fs_types.h"

/* Bytes that a node sends of one message: 50 ms of a link of 20 Mbit/s. */
#define SPR_BYTES (128 * 1024)
/* The least number of parts, whatever the size of the message. */
#define SPR_FANOUT_MIN 3

/** One part of the receivers. */
struct spr_part {
	uint32_t head; /* index of the receiver that gets the message */
	uint32_t rest; /* receivers after it that it relays to */
};

/** Returns into how many parts to divide @p receivers. */
uint32_t spr_parts(uint32_t receivers, size_t message_bytes);

/** Returns the part @p i of @p parts; their sizes differ by one at most. */
struct spr_part spr_part(uint32_t receivers, uint32_t parts, uint32_t i);

#endif
