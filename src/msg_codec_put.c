#include <string.h>

#include "msg_codec.h"

void msg_put_u64(struct msg_writer *w, uint64_t value)
{
	msgpack_pack_uint64(&w->packer, value);
}

void msg_put_i64(struct msg_writer *w, int64_t value)
{
	msgpack_pack_int64(&w->packer, value);
}

void msg_put_bool(struct msg_writer *w, bool value)
{
	if (value)
		msgpack_pack_true(&w->packer);
	else
		msgpack_pack_false(&w->packer);
}

void msg_put_text(struct msg_writer *w, const char *text)
{
	size_t size = text ? strlen(text) : 0;

	msgpack_pack_str(&w->packer, size);
	msgpack_pack_str_body(&w->packer, text ? text : "", size);
}

void msg_put_text_or_nil(struct msg_writer *w, const char *text)
{
	if (text)
		msg_put_text(w, text);
	else
		msgpack_pack_nil(&w->packer);
}

void msg_put_bytes(struct msg_writer *w, GBytes *bytes)
{
	gsize size = 0;
	const void *data = bytes ? g_bytes_get_data(bytes, &size) : NULL;

	msgpack_pack_bin(&w->packer, size);
	msgpack_pack_bin_body(&w->packer, data ? data : "", size);
}

void msg_put_id(struct msg_writer *w, const struct req_id *id)
{
	msgpack_pack_array(&w->packer, 3);
	msg_put_u64(w, id->node);
	msg_put_u64(w, id->incarnation);
	msg_put_u64(w, id->counter);
}

void msg_put_load(struct msg_writer *w, const struct msg_load *load)
{
	msgpack_pack_array(&w->packer, 2);
	msg_put_u64(w, load->free_slots);
	msg_put_u64(w, load->waiting);
}

void msg_put_headers(struct msg_writer *w, const GArray *headers)
{
	guint count = headers ? headers->len : 0;

	msgpack_pack_array(&w->packer, (size_t)2 * count);
	for (guint i = 0; i < count; i++) {
		const struct msg_header *header =
			&g_array_index(headers, struct msg_header, i);

		msg_put_text(w, header->name);
		msg_put_text(w, header->value);
	}
}
