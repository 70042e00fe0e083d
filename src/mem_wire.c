#include "mem_wire.h"

#include <msgpack.h>
#include <string.h>

#include "msg_codec.h"

#define PACKET_FIELDS 14
#define COMPACT_FIELDS 4
#define FULL_FIELDS 11
#define ADDRESS_SIZE 6
#define COMPACT_SIZE 26 /* upper bound for a compact update, in bytes */
#define FULL_EXTRA 47	/* more bytes of a full update, without strings */
#define WIRE_VERSION 1

void mem_packet_init(struct mem_packet *packet, enum mem_type type)
{
	memset(packet, 0, sizeof(*packet));
	packet->type = type;
	packet->updates = g_array_new(FALSE, TRUE, sizeof(struct mem_update));
}

void mem_packet_clear(struct mem_packet *packet)
{
	g_clear_pointer(&packet->updates, g_array_unref);
}

size_t mem_update_size(const struct mem_update *update)
{
	const struct mem_member *m = &update->member;

	if (!update->full)
		return COMPACT_SIZE;
	return COMPACT_SIZE + FULL_EXTRA + strlen(m->name) + strlen(m->region) +
	       strlen(m->domain);
}

static int state_rank(enum mem_state state)
{
	switch (state) {
	case MEM_ALIVE:
		return 0;
	case MEM_LEAVING:
		return 1;
	case MEM_SUSPECT:
		return 2;
	default:
		return 3;
	}
}

bool mem_update_supersedes(const struct mem_update *a,
			   const struct mem_update *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->refutation != b->refutation)
		return a->refutation > b->refutation;
	return state_rank(a->state) > state_rank(b->state);
}

static int append_bytes(void *arg, const char *data, size_t size)
{
	g_byte_array_append(arg, (const guint8 *)data, (guint)size);
	return 0;
}

static void pack_text(msgpack_packer *pk, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(pk, size);
	msgpack_pack_str_body(pk, text, size);
}

static void pack_address(msgpack_packer *pk, const struct sockaddr_in *address)
{
	uint8_t bytes[ADDRESS_SIZE];

	memcpy(bytes, &address->sin_addr, 4);
	memcpy(bytes + 4, &address->sin_port, 2);
	msgpack_pack_bin(pk, sizeof(bytes));
	msgpack_pack_bin_body(pk, bytes, sizeof(bytes));
}

static void pack_update(msgpack_packer *pk, const struct mem_update *update)
{
	const struct mem_member *m = &update->member;

	msgpack_pack_array(pk, !update->full ?
				       COMPACT_FIELDS :
				       FULL_FIELDS + (m->link_mbps ? 1 : 0));
	msgpack_pack_uint64(pk, update->id);
	msgpack_pack_uint64(pk, update->incarnation);
	msgpack_pack_uint32(pk, update->refutation);
	msgpack_pack_uint8(pk, (uint8_t)update->state);
	if (!update->full)
		return;
	msgpack_pack_uint64(pk, m->config_version);
	pack_text(pk, m->name);
	pack_text(pk, m->region);
	pack_text(pk, m->domain);
	pack_address(pk, &m->peer);
	pack_address(pk, &m->caller);
	pack_address(pk, &m->operator);
	if (m->link_mbps)
		msgpack_pack_uint32(pk, m->link_mbps);
}

void mem_wire_encode(const struct mem_packet *packet, GByteArray *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append_bytes);
	msgpack_pack_array(&pk, PACKET_FIELDS);
	msgpack_pack_uint8(&pk, WIRE_VERSION);
	msgpack_pack_uint8(&pk, (uint8_t)packet->type);
	msgpack_pack_uint64(&pk, packet->sender);
	msgpack_pack_uint64(&pk, packet->incarnation);
	msgpack_pack_uint32(&pk, packet->refutation);
	msgpack_pack_uint8(&pk, (uint8_t)packet->state);
	pack_address(&pk, &packet->peer);
	msgpack_pack_uint64(&pk, packet->config_version);
	msgpack_pack_uint64(&pk, packet->digest);
	msgpack_pack_uint32(&pk, packet->sequence);
	msgpack_pack_uint64(&pk, packet->subject);
	msgpack_pack_uint64(&pk, packet->low);
	msgpack_pack_uint64(&pk, packet->high);
	msgpack_pack_array(&pk, packet->updates->len);
	for (guint i = 0; i < packet->updates->len; i++)
		pack_update(&pk, &g_array_index(packet->updates,
						struct mem_update, i));
}

/** Reads the fields of one array in order; an error is sticky. */
struct reader {
	const msgpack_object *next;
	const msgpack_object *end;
	bool failed;
};

static struct reader reader_of(const msgpack_object *object)
{
	struct reader r = {.failed = true};

	if (object->type == MSGPACK_OBJECT_ARRAY) {
		r.next = object->via.array.ptr;
		r.end = r.next + object->via.array.size;
		r.failed = false;
	}
	return r;
}

static const msgpack_object *read_object(struct reader *r,
					 msgpack_object_type type)
{
	if (r->failed || r->next == r->end || r->next->type != type) {
		r->failed = true;
		return NULL;
	}
	return r->next++;
}

static uint64_t read_number(struct reader *r, uint64_t max)
{
	const msgpack_object *o =
		read_object(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o && o->via.u64 > max)
		r->failed = true;
	return o && !r->failed ? o->via.u64 : 0;
}

static void read_text(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o = read_object(r, MSGPACK_OBJECT_STR);

	if (!o || o->via.str.size == 0 || o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->failed = true;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

static void read_address(struct reader *r, struct sockaddr_in *out)
{
	const msgpack_object *o = read_object(r, MSGPACK_OBJECT_BIN);

	if (!o || o->via.bin.size != ADDRESS_SIZE) {
		r->failed = true;
		return;
	}
	out->sin_family = AF_INET;
	memcpy(&out->sin_addr, o->via.bin.ptr, 4);
	memcpy(&out->sin_port, o->via.bin.ptr + 4, 2);
}

static void read_full(struct reader *r, struct mem_update *update)
{
	struct mem_member *m = &update->member;

	update->full = true;
	m->id = update->id;
	m->incarnation = update->incarnation;
	m->state = update->state;
	m->config_version = read_number(r, UINT64_MAX);
	read_text(r, m->name, sizeof(m->name));
	read_text(r, m->region, sizeof(m->region));
	read_text(r, m->domain, sizeof(m->domain));
	read_address(r, &m->peer);
	read_address(r, &m->caller);
	read_address(r, &m->operator);
	if (r->next != r->end)
		m->link_mbps = (uint32_t)read_number(r, UINT32_MAX);
	if (!r->failed && fs_node_id(m->name) != m->id)
		r->failed = true;
}

static bool read_update(const msgpack_object *object, struct mem_update *update)
{
	struct reader r = reader_of(object);

	update->id = read_number(&r, UINT64_MAX);
	update->incarnation = read_number(&r, UINT64_MAX);
	update->refutation = (uint32_t)read_number(&r, UINT32_MAX);
	update->state = (enum mem_state)read_number(&r, MEM_DEAD);
	if (!r.failed && r.next != r.end)
		read_full(&r, update);
	return !r.failed && r.next == r.end && update->id;
}

static void read_updates(struct reader *r, GArray *updates)
{
	const msgpack_object *o = read_object(r, MSGPACK_OBJECT_ARRAY);

	for (uint32_t i = 0; o && i < o->via.array.size; i++) {
		struct mem_update update = {0};

		if (!read_update(&o->via.array.ptr[i], &update)) {
			r->failed = true;
			return;
		}
		g_array_append_val(updates, update);
	}
}

static int read_packet(struct reader *r, struct mem_packet *packet)
{
	uint64_t version = read_number(r, UINT8_MAX);

	packet->type = (enum mem_type)read_number(r, MEM_TYPE_END - 1);
	packet->sender = read_number(r, UINT64_MAX);
	packet->incarnation = read_number(r, UINT64_MAX);
	packet->refutation = (uint32_t)read_number(r, UINT32_MAX);
	packet->state = (enum mem_state)read_number(r, MEM_LEAVING);
	read_address(r, &packet->peer);
	packet->config_version = read_number(r, UINT64_MAX);
	packet->digest = read_number(r, UINT64_MAX);
	packet->sequence = (uint32_t)read_number(r, UINT32_MAX);
	packet->subject = read_number(r, UINT64_MAX);
	packet->low = read_number(r, UINT64_MAX);
	packet->high = read_number(r, UINT64_MAX);
	read_updates(r, packet->updates);
	if (r->failed || r->next != r->end || version != WIRE_VERSION ||
	    !packet->type || !packet->sender || packet->state == MEM_SUSPECT)
		return FS_E_PROTOCOL;
	return 0;
}

int mem_wire_decode(const uint8_t *data, size_t size, struct mem_packet *packet)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int err = FS_E_PROTOCOL;

	mem_packet_init(packet, MEM_PING);
	msgpack_unpacked_init(&unpacked);
	/* msgpack allocates any declared array size: msg_scan() checks it. */
	if (size <= MEM_PAYLOAD_MAX && msg_scan(data, size) &&
	    msgpack_unpack_next(&unpacked, (const char *)data, size, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == size) {
		struct reader r = reader_of(&unpacked.data);

		err = read_packet(&r, packet);
	}
	msgpack_unpacked_destroy(&unpacked);
	return err;
}
