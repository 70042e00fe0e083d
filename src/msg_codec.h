/**
 * @file msg_codec.h
 * @brief Internals of the message codec; the public interface is msg.h.
 *
 * A payload is one msgpack array: type, task, then the members of the type in
 * the order of its struct. The sender and the receiving node are not encoded,
 * since the link authenticates them.
 */
#ifndef MSG_CODEC_H
#define MSG_CODEC_H

#include <msgpack.h>

#include "msg.h"

/** Appends members to a payload. */
struct msg_writer {
	msgpack_packer packer;
};

/** Reads members from a decoded array; any mismatch sets @p malformed. */
struct msg_reader {
	const msgpack_object *next;
	uint32_t left;
	bool malformed;
};

/** Writes the members of one type. */
typedef void (*msg_write_fn)(struct msg_writer *w, const struct msg *m);

/** Reads the members of one type. */
typedef void (*msg_read_fn)(struct msg_reader *r, struct msg *m);

/** Returns the writer of a type, or NULL if the type has no encoding.
 *  @param members  out: number of members it writes */
msg_write_fn msg_writer_of(enum msg_type type, uint32_t *members);

/** Returns the reader of a type, or NULL if the type has no encoding. */
msg_read_fn msg_reader_of(enum msg_type type);

/* Encoders, one for each kind of member. */
void msg_put_u64(struct msg_writer *w, uint64_t value);
void msg_put_i64(struct msg_writer *w, int64_t value);
void msg_put_bool(struct msg_writer *w, bool value);
void msg_put_text(struct msg_writer *w, const char *text);
void msg_put_text_or_nil(struct msg_writer *w, const char *text);
void msg_put_bytes(struct msg_writer *w, GBytes *bytes);
void msg_put_id(struct msg_writer *w, const struct req_id *id);
void msg_put_load(struct msg_writer *w, const struct msg_load *load);
void msg_put_headers(struct msg_writer *w, const GArray *headers);

/* Decoders. The caller owns the results. If the member has another type, or the
 * reader is malformed already, they are zero or NULL; msg_get_headers() returns
 * an array in any case. */
uint64_t msg_get_u64(struct msg_reader *r, uint64_t max);
uint32_t msg_get_u32(struct msg_reader *r);
int64_t msg_get_i64(struct msg_reader *r);
bool msg_get_bool(struct msg_reader *r);
char *msg_get_text(struct msg_reader *r);
char *msg_get_text_or_nil(struct msg_reader *r);
GBytes *msg_get_bytes(struct msg_reader *r);
void msg_get_id(struct msg_reader *r, struct req_id *id);
void msg_get_load(struct msg_reader *r, struct msg_load *load);
GArray *msg_get_headers(struct msg_reader *r);
enum fs_outcome msg_get_outcome(struct msg_reader *r);

/** Opens a nested array whose element count must be a multiple of @p step. */
struct msg_reader msg_get_array(struct msg_reader *r, uint32_t step);

/** Closes a nested array: @p r becomes malformed if @p inner is malformed or has
 * unread elements. */
void msg_end_array(struct msg_reader *r, const struct msg_reader *inner);

/**
 * Validates that @p data is one complete msgpack object whose arrays declare no
 * more elements than the bytes that remain, nested at most MSG_DEPTH_MAX deep.
 * Must run before unpacking, since msgpack-c allocates by the declared counts.
 */
bool msg_scan(const uint8_t *data, size_t size);

#define MSG_DEPTH_MAX 4 /* nested arrays of a payload */

#endif
