#include "msg_codec.h"

#define HEAD_MEMBERS 2 /* type and task */

static int append(void *data, const char *buf, size_t size)
{
	g_byte_array_append(data, (const guint8 *)buf, (guint)size);
	return 0;
}

int msg_encode(const struct msg *m, GByteArray *out)
{
	struct msg_writer w;
	uint32_t members = 0;
	msg_write_fn write = msg_writer_of(m->type, &members);

	if (!write)
		return FS_E_INVALID;
	msgpack_packer_init(&w.packer, out, append);
	msgpack_pack_array(&w.packer, (size_t)members + HEAD_MEMBERS);
	msgpack_pack_uint32(&w.packer, m->type);
	msgpack_pack_uint32(&w.packer, m->task);
	write(&w, m);
	return 0;
}

/* Reads the message header (type and task), then the members of that type. */
static struct msg *read_message(const msgpack_object *root)
{
	const msgpack_object *head = root->via.array.ptr;
	struct msg_reader r = {.left = root->via.array.size - HEAD_MEMBERS};
	msg_read_fn read;
	struct msg *m;

	if (head[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    head[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    head[0].via.u64 >= MSG_REMOTE_COUNT || head[1].via.u64 == 0 ||
	    head[1].via.u64 >= MSG_TASK_COUNT)
		return NULL;
	read = msg_reader_of((enum msg_type)head[0].via.u64);
	if (!read)
		return NULL;
	m = msg_new((enum msg_type)head[0].via.u64, 0,
		    (enum msg_task)head[1].via.u64);
	r.next = head + HEAD_MEMBERS;
	read(&r, m);
	if (r.malformed || r.left)
		g_clear_pointer(&m, msg_free);
	return m;
}

int msg_decode(const uint8_t *data, size_t size, struct msg **out)
{
	msgpack_unpacked unpacked;
	size_t at = 0;

	*out = NULL;
	if (!msg_scan(data, size))
		return FS_E_PROTOCOL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, &at) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size >= HEAD_MEMBERS)
		*out = read_message(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return *out ? 0 : FS_E_PROTOCOL;
}
