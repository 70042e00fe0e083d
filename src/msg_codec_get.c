#include <string.h>

#include "msg_codec.h"

static const msgpack_object *next_object(struct msg_reader *r,
					 msgpack_object_type type)
{
	const msgpack_object *object = r->next;

	if (r->malformed || !r->left || object->type != type) {
		r->malformed = true;
		return NULL;
	}
	r->next++;
	r->left--;
	return object;
}

uint64_t msg_get_u64(struct msg_reader *r, uint64_t max)
{
	const msgpack_object *object =
		next_object(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!object)
		return 0;
	if (object->via.u64 > max)
		r->malformed = true;
	return object->via.u64;
}

uint32_t msg_get_u32(struct msg_reader *r)
{
	return (uint32_t)msg_get_u64(r, UINT32_MAX);
}

int64_t msg_get_i64(struct msg_reader *r)
{
	if (r->left && r->next->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return (int64_t)msg_get_u64(r, INT64_MAX);
	const msgpack_object *object =
		next_object(r, MSGPACK_OBJECT_NEGATIVE_INTEGER);

	return object ? object->via.i64 : 0;
}

bool msg_get_bool(struct msg_reader *r)
{
	const msgpack_object *object = next_object(r, MSGPACK_OBJECT_BOOLEAN);

	return object && object->via.boolean;
}

/* Rejects a string with an embedded NUL, which a C string would truncate. */
char *msg_get_text(struct msg_reader *r)
{
	const msgpack_object *object = next_object(r, MSGPACK_OBJECT_STR);

	if (!object)
		return NULL;
	/* msgpack-c sets no pointer for an empty string. */
	if (!object->via.str.size)
		return g_strdup("");
	if (memchr(object->via.str.ptr, '\0', object->via.str.size)) {
		r->malformed = true;
		return NULL;
	}
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

char *msg_get_text_or_nil(struct msg_reader *r)
{
	if (r->left && r->next->type == MSGPACK_OBJECT_NIL) {
		next_object(r, MSGPACK_OBJECT_NIL);
		return NULL;
	}
	return msg_get_text(r);
}

GBytes *msg_get_bytes(struct msg_reader *r)
{
	const msgpack_object *object = next_object(r, MSGPACK_OBJECT_BIN);

	if (!object)
		return NULL;
	return g_bytes_new(object->via.bin.ptr, object->via.bin.size);
}

struct msg_reader msg_get_array(struct msg_reader *r, uint32_t step)
{
	const msgpack_object *object = next_object(r, MSGPACK_OBJECT_ARRAY);
	struct msg_reader inner = {.malformed = true};

	if (!object)
		return inner;
	if (object->via.array.size % step) {
		r->malformed = true;
		return inner;
	}
	inner.next = object->via.array.ptr;
	inner.left = object->via.array.size;
	inner.malformed = false;
	return inner;
}

void msg_end_array(struct msg_reader *r, const struct msg_reader *inner)
{
	if (inner->malformed || inner->left)
		r->malformed = true;
}

void msg_get_id(struct msg_reader *r, struct req_id *id)
{
	struct msg_reader inner = msg_get_array(r, 3);

	id->node = msg_get_u64(&inner, UINT64_MAX);
	id->incarnation = msg_get_u64(&inner, UINT64_MAX);
	id->counter = msg_get_u64(&inner, UINT64_MAX);
	msg_end_array(r, &inner);
}

void msg_get_load(struct msg_reader *r, struct msg_load *load)
{
	struct msg_reader inner = msg_get_array(r, 2);

	load->free_slots = msg_get_u32(&inner);
	load->waiting = msg_get_u32(&inner);
	msg_end_array(r, &inner);
}

GArray *msg_get_headers(struct msg_reader *r)
{
	GArray *headers = msg_headers_new();
	struct msg_reader inner = msg_get_array(r, 2);

	while (!inner.malformed && inner.left) {
		struct msg_header header = {0};

		header.name = msg_get_text(&inner);
		header.value = msg_get_text(&inner);
		g_array_append_val(headers, header);
	}
	msg_end_array(r, &inner);
	return headers;
}

enum fs_outcome msg_get_outcome(struct msg_reader *r)
{
	return (enum fs_outcome)msg_get_u64(r, FS_UNKNOWN);
}
