#include "lod_wire.h"

#include <msgpack.h>
#include <string.h>

#include "fs_err.h"
#include "sig.h"

#define HEAD_MEMBERS 11 /* type to domain, feed, then three lists */
#define OUTCOMES_MAX 64
#define REQUESTS_MAX 100000
#define TOOK_MAX_US (600 * FS_US_PER_S)

void lod_packet_init(struct lod_packet *packet, enum lod_type type)
{
	memset(packet, 0, sizeof(*packet));
	packet->type = type;
	packet->counts =
		g_array_new(FALSE, TRUE, sizeof(struct lod_target_count));
	packet->evidence =
		g_array_new(FALSE, TRUE, sizeof(struct lod_evidence));
	packet->sends =
		g_array_new(FALSE, TRUE, sizeof(struct lod_service_counts));
}

void lod_packet_clear(struct lod_packet *packet)
{
	g_clear_pointer(&packet->counts, g_array_unref);
	g_clear_pointer(&packet->evidence, g_array_unref);
	g_clear_pointer(&packet->sends, g_array_unref);
}

static int append(void *data, const char *buf, size_t size)
{
	g_byte_array_append(data, (const guint8 *)buf, (guint)size);
	return 0;
}

static void put(msgpack_packer *packer, uint64_t value)
{
	msgpack_pack_uint64(packer, value);
}

static void put_lists(msgpack_packer *packer, const struct lod_packet *packet)
{
	msgpack_pack_array(packer, (size_t)3 * packet->counts->len);
	for (guint i = 0; i < packet->counts->len; i++) {
		const struct lod_target_count *c = &g_array_index(
			packet->counts, struct lod_target_count, i);

		put(packer, c->target);
		put(packer, c->requests);
		put(packer,
		    (uint64_t)(CLAMP(c->sent_ago_us, 0, LOD_SENT_AGO_MAX_US) /
			       LOD_SENT_AGO_STEP_US));
	}
	msgpack_pack_array(packer, (size_t)5 * packet->evidence->len);
	for (guint i = 0; i < packet->evidence->len; i++) {
		const struct lod_evidence *e = &g_array_index(
			packet->evidence, struct lod_evidence, i);

		put(packer, e->origin);
		put(packer, e->target);
		put(packer, e->outcome);
		put(packer, e->count);
		put(packer, (uint64_t)MAX(e->took_us, 0));
	}
	msgpack_pack_array(packer, (size_t)4 * packet->sends->len);
	for (guint i = 0; i < packet->sends->len; i++) {
		const struct lod_service_counts *s = &g_array_index(
			packet->sends, struct lod_service_counts, i);

		put(packer, s->service);
		put(packer, s->requests);
		put(packer, s->repeats);
		put(packer, s->unserved);
	}
}

int lod_wire_encode(const struct lod_packet *packet, const char *key,
		    GByteArray *out)
{
	msgpack_packer packer;
	uint8_t code[SIG_SIZE];

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, HEAD_MEMBERS);
	put(&packer, packet->type);
	put(&packer, packet->sender);
	put(&packer, packet->incarnation);
	put(&packer, packet->serial);
	put(&packer, packet->domain);
	put(&packer, packet->feed.digest);
	put(&packer, packet->feed.config_version);
	put(&packer, packet->feed.fresh);
	put_lists(&packer, packet);
	if (sig_sign(key, out->data, out->len, code))
		return FS_E_INVALID;
	g_byte_array_append(out, code, SIG_SIZE);
	return out->len <= FS_DATAGRAM_MAX ? 0 : FS_E_INVALID;
}

/** Takes whole numbers one after the other; anything else sets bad. */
struct reader {
	const msgpack_object *next;
	uint32_t left;
	bool bad;
};

/* A function, not an argument of a macro: each call takes one number. */
static uint64_t get(struct reader *r, uint64_t max)
{
	uint64_t value;

	if (r->bad || !r->left ||
	    r->next->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		r->bad = true;
		return 0;
	}
	value = r->next->via.u64;
	r->next++;
	r->left--;
	return value > max ? max : value;
}

static struct reader get_list(struct reader *r, uint32_t step)
{
	struct reader list = {.bad = true};

	if (r->bad || !r->left || r->next->type != MSGPACK_OBJECT_ARRAY ||
	    r->next->via.array.size % step) {
		r->bad = true;
		return list;
	}
	list.next = r->next->via.array.ptr;
	list.left = r->next->via.array.size;
	list.bad = false;
	r->next++;
	r->left--;
	return list;
}

static void get_counts(struct reader *r, struct lod_packet *packet)
{
	struct reader list = get_list(r, 3);

	while (!list.bad && list.left) {
		struct lod_target_count c = {0};

		c.target = (uint32_t)get(&list, UINT32_MAX);
		c.requests = (uint32_t)get(&list, REQUESTS_MAX);
		c.sent_ago_us =
			(int64_t)get(&list, LOD_SENT_AGO_MAX_US /
						    LOD_SENT_AGO_STEP_US) *
			LOD_SENT_AGO_STEP_US;
		g_array_append_val(packet->counts, c);
	}
	r->bad |= list.bad;
}

static void get_evidence(struct reader *r, struct lod_packet *packet)
{
	struct reader list = get_list(r, 5);

	while (!list.bad && list.left) {
		struct lod_evidence e = {0};
		uint64_t outcome;

		e.origin = get(&list, UINT64_MAX);
		e.target = (uint32_t)get(&list, UINT32_MAX);
		outcome = get(&list, UINT32_MAX);
		e.count = (uint32_t)get(&list, OUTCOMES_MAX);
		e.took_us = (int64_t)get(&list, TOOK_MAX_US);
		if (outcome >= GRY_OUTCOME_COUNT)
			continue;
		e.outcome = (enum gry_outcome)outcome;
		g_array_append_val(packet->evidence, e);
	}
	r->bad |= list.bad;
}

static void get_sends(struct reader *r, struct lod_packet *packet)
{
	struct reader list = get_list(r, 4);

	while (!list.bad && list.left) {
		struct lod_service_counts s = {0};

		s.service = (uint32_t)get(&list, UINT32_MAX);
		s.requests = (uint32_t)get(&list, REQUESTS_MAX);
		s.repeats = (uint32_t)get(&list, REQUESTS_MAX);
		s.unserved = (uint32_t)get(&list, REQUESTS_MAX);
		g_array_append_val(packet->sends, s);
	}
	r->bad |= list.bad;
}

static int read_packet(const msgpack_object *root, struct lod_packet *packet)
{
	struct reader r = {.next = root->via.array.ptr,
			   .left = root->via.array.size};

	packet->type = (enum lod_type)get(&r, UINT32_MAX);
	packet->sender = get(&r, UINT64_MAX);
	packet->incarnation = get(&r, UINT64_MAX);
	packet->serial = (uint32_t)get(&r, UINT32_MAX);
	packet->domain = (uint32_t)get(&r, UINT32_MAX);
	packet->feed.digest = get(&r, UINT64_MAX);
	packet->feed.config_version = get(&r, UINT64_MAX);
	packet->feed.fresh = get(&r, 1);
	get_counts(&r, packet);
	get_evidence(&r, packet);
	get_sends(&r, packet);
	return r.bad ? FS_E_PROTOCOL : 0;
}

int lod_wire_decode(const uint8_t *data, size_t size, const char *key,
		    struct lod_packet *packet)
{
	msgpack_unpacked unpacked;
	size_t at = 0;
	int err = FS_E_PROTOCOL;

	lod_packet_init(packet, LOD_REPORT);
	if (size <= SIG_SIZE || size > FS_DATAGRAM_MAX ||
	    !sig_check(key, data, size - SIG_SIZE, data + size - SIG_SIZE))
		return FS_E_PROTOCOL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size - SIG_SIZE,
				&at) == MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY)
		err = read_packet(&unpacked.data, packet);
	msgpack_unpacked_destroy(&unpacked);
	return err;
}
