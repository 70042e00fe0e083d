/**
 * @file tgt_body.h
 * @brief The part of an answer's body that was received and not read yet.
 *
 * Blocks, so that the memory of what was read is free at once: some answers wait for
 * seconds.
 */
#ifndef TGT_BODY_H
#define TGT_BODY_H

#include <glib.h>

/** Zeroed: empty. */
struct tgt_body {
	GQueue blocks; /* struct tgt_block */
	size_t bytes;
};

/** Appends a copy of the bytes. */
void tgt_body_append(struct tgt_body *body, const char *data, size_t size);

/** Moves up to @p max bytes to @p out. @return how many */
size_t tgt_body_take(struct tgt_body *body, char *out, size_t max);

/** Frees all blocks. */
void tgt_body_clear(struct tgt_body *body);

#endif
