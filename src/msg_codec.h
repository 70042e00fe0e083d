/**
 * @file msg_codec.h
 * @brief Inner parts of the encoding of messages; others use msg.h.
 *
 * A payload is one msgpack array: type, task, then the members of the type in
 * the order of its struct. The sender and the receiving node are not encoded:
 * the link proves them.
 */
#ifndef MSG_CODEC_H
#define MSG_CODEC_H

#include <msgpack.h>

#include "msg.h"

/** Appends members to a payload. */
struct msg_writer {
	msgpack_packer packer;
};

/** Takes members from a decoded array; any mismatch sets @p bad. */
struct msg_reader {
	const msgpack_object *next;
	uint32_t left;
	bool bad;
};

/** Writes the members of one type. */
typedef void (*msg_write_fn)(struct msg_writer *w, const struct msg *m);

/** Reads the members of one type. */
typedef void (*msg_read_fn)(struct msg_reader *r, struct msg *m);

/** Returns the writer of a type and how many members it writes, or NULL. */
msg_write_fn msg_writer_of(enum msg_type type, uint32_t *members);

/** Returns the reader of a type, or NULL. */
msg_read_fn msg_reader_of(enum msg_type type);

/**
 * Checks that @p data is one complete msgpack object whose containers hold no
 * more elements than the data has bytes, at most MSG_DEPTH_MAX deep. The
 * library reserves memory by the announced counts, so this comes first.
 */
bool msg_scan(const uint8_t *data, size_t size);

#define MSG_DEPTH_MAX 4 /* nested containers of a payload */

#endif
