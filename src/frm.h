/**
 * @file frm.h
 * @brief Frames on a byte stream: a length of four bytes, then the payload.
 *
 * The length is big-endian and counts the payload only. The reader takes bytes
 * in pieces of any size and gives whole payloads back in order.
 *
 * Limits: a payload has 1 to FS_FRAME_MAX bytes.
 */
#ifndef FRM_H
#define FRM_H

#include "fs_types.h"

#define FRM_HEADER_SIZE 4 /* bytes before a payload */

/** Bytes of a stream that are not given back yet. */
struct frm_reader {
	GByteArray *bytes;
	size_t at;   /* start of the next frame in bytes */
	bool failed; /* a length was out of bounds: no frames follow */
};

void frm_reader_init(struct frm_reader *reader);
void frm_reader_clear(struct frm_reader *reader);

/** Adds bytes of the stream. */
void frm_push(struct frm_reader *reader, const void *data, size_t size);

/**
 * Gives the next whole payload.
 * @param data  out: the payload, valid until the next frm_push()
 * @param size  out: its bytes
 * @return 1, 0 if more bytes are needed, or FS_E_PROTOCOL for a length out of
 *         bounds, from then on always
 */
int frm_next(struct frm_reader *reader, const uint8_t **data, size_t *size);

/** Appends an empty frame and returns where it starts. */
size_t frm_begin(GByteArray *out);

/**
 * Sets the length of the frame begun at @p start to what was appended since.
 * @return 0, or FS_E_INVALID for a payload out of bounds
 */
int frm_end(GByteArray *out, size_t start);

#endif
