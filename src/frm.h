/**
 * @file frm.h
 * @brief Length-prefixed frames: a length of four bytes, then the payload.
 *
 * The length is big-endian and counts the payload only. The reader accepts
 * chunks of any size and returns complete payloads in order.
 *
 * Limits: a payload has 1 to FS_FRAME_MAX bytes.
 */
#ifndef FRM_H
#define FRM_H

#include "fs_types.h"

#define FRM_HEADER_SIZE 4 /* bytes of the length prefix */

/** Receive buffer of a stream. */
struct frm_reader {
	GByteArray *bytes;
	size_t offset; /* start of the next frame in bytes */
	bool failed; /* an invalid length was read: frm_next() keeps failing */
};

void frm_reader_init(struct frm_reader *reader);
void frm_reader_clear(struct frm_reader *reader);

/** Appends received bytes; discards the frames that frm_next() returned. */
void frm_push(struct frm_reader *reader, const void *data, size_t size);

/**
 * Returns the next complete payload.
 * @param data  out: the payload, valid until the next frm_push()
 * @param size  out: size of the payload in bytes
 * @return 1, 0 if more bytes are needed, or FS_E_PROTOCOL for an invalid
 *         length, and on every later call
 */
int frm_next(struct frm_reader *reader, const uint8_t **data, size_t *size);

/** Appends a placeholder header and returns its offset in @p out. */
size_t frm_begin(GByteArray *out);

/**
 * Completes the frame begun at @p start: writes the length of the payload that
 * was appended since frm_begin().
 * @return 0, or FS_E_INVALID for an empty or too large payload
 */
int frm_end(GByteArray *out, size_t start);

#endif
