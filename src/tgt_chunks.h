/**
 * @file tgt_chunks.h
 * @brief Where a body in chunks ends, by its raw bytes. Pure.
 *
 * libcurl takes any bytes behind the digits of a chunk's size for an extension, and
 * drops what it has read behind the last chunk without a word. This tells both.
 */
#ifndef TGT_CHUNKS_H
#define TGT_CHUNKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The part of the framing that the next byte belongs to. */
enum tgt_chunks_part {
	TGT_CHUNKS_SIZE, /* the first part: a zeroed struct begins there */
	TGT_CHUNKS_SPACE,
	TGT_CHUNKS_EXTENSION,
	TGT_CHUNKS_SIZE_END,
	TGT_CHUNKS_DATA,
	TGT_CHUNKS_DATA_END,
	TGT_CHUNKS_TRAILER_START,
	TGT_CHUNKS_TRAILER,
	TGT_CHUNKS_TRAILER_END,
	TGT_CHUNKS_ENDED,
	TGT_CHUNKS_MALFORMED,
};

struct tgt_chunks {
	enum tgt_chunks_part part;
	unsigned int digits; /* of the size, so far */
	uint64_t left;	     /* bytes of the chunk that are not read yet */
};

/** Reads bytes of a body. @return how many belong to it: fewer than @p size only if
 *  it has ended or is malformed */
size_t tgt_chunks_read(struct tgt_chunks *chunks, const char *data,
		       size_t size);

#endif
