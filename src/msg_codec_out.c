#include <string.h>

#include "msg_codec.h"

static void put_u64(struct msg_writer *w, uint64_t value)
{
	msgpack_pack_uint64(&w->packer, value);
}

static void put_i64(struct msg_writer *w, int64_t value)
{
	msgpack_pack_int64(&w->packer, value);
}

static void put_bool(struct msg_writer *w, bool value)
{
	if (value)
		msgpack_pack_true(&w->packer);
	else
		msgpack_pack_false(&w->packer);
}

static void put_text(struct msg_writer *w, const char *text)
{
	size_t size = text ? strlen(text) : 0;

	msgpack_pack_str(&w->packer, size);
	msgpack_pack_str_body(&w->packer, text ? text : "", size);
}

static void put_text_or_nil(struct msg_writer *w, const char *text)
{
	if (text)
		put_text(w, text);
	else
		msgpack_pack_nil(&w->packer);
}

static void put_bytes(struct msg_writer *w, GBytes *bytes)
{
	gsize size = 0;
	const void *data = bytes ? g_bytes_get_data(bytes, &size) : NULL;

	msgpack_pack_bin(&w->packer, size);
	msgpack_pack_bin_body(&w->packer, data ? data : "", size);
}

static void put_id(struct msg_writer *w, const struct req_id *id)
{
	msgpack_pack_array(&w->packer, 3);
	put_u64(w, id->node);
	put_u64(w, id->incarnation);
	put_u64(w, id->counter);
}

static void put_load(struct msg_writer *w, const struct msg_load *load)
{
	msgpack_pack_array(&w->packer, 2);
	put_u64(w, load->free_slots);
	put_u64(w, load->waiting);
}

static void put_headers(struct msg_writer *w, const GArray *headers)
{
	guint count = headers ? headers->len : 0;

	msgpack_pack_array(&w->packer, (size_t)2 * count);
	for (guint i = 0; i < count; i++) {
		const struct msg_header *header =
			&g_array_index(headers, struct msg_header, i);

		put_text(w, header->name);
		put_text(w, header->value);
	}
}

static void write_request(struct msg_writer *w, const struct msg *m)
{
	const struct msg_request *request = &m->request;

	put_id(w, &request->id);
	put_u64(w, request->config_version);
	put_text(w, request->service);
	put_text(w, request->region);
	put_u64(w, request->shard);
	put_text(w, request->route);
	put_bool(w, request->forced);
	put_i64(w, request->remaining_us);
	put_text_or_nil(w, request->key);
	put_text(w, request->method);
	put_text(w, request->host);
	put_text(w, request->target);
	put_headers(w, request->headers);
	put_bytes(w, request->body);
}

static void write_cancel(struct msg_writer *w, const struct msg *m)
{
	put_id(w, &m->cancel.id);
}

static void write_credit(struct msg_writer *w, const struct msg *m)
{
	put_id(w, &m->credit.id);
	put_u64(w, m->credit.bytes);
}

static void write_answer(struct msg_writer *w, const struct msg *m)
{
	const struct msg_answer *answer = &m->answer;

	put_id(w, &answer->id);
	put_u64(w, answer->status);
	put_u64(w, answer->outcome);
	put_headers(w, answer->headers);
	put_i64(w, answer->length);
	put_bytes(w, answer->data);
	put_bool(w, answer->last);
	put_load(w, &answer->load);
	put_text(w, answer->server);
	put_u64(w, answer->tries);
}

static void write_piece(struct msg_writer *w, const struct msg *m)
{
	put_id(w, &m->piece.id);
	put_u64(w, m->piece.offset);
	put_bytes(w, m->piece.data);
	put_bool(w, m->piece.last);
}

static void write_refusal(struct msg_writer *w, const struct msg *m)
{
	const struct msg_refusal *refusal = &m->refusal;

	put_id(w, &refusal->id);
	put_i64(w, refusal->err);
	put_u64(w, refusal->outcome);
	put_i64(w, refusal->retry_after_us);
	put_load(w, &refusal->load);
	put_u64(w, refusal->tries);
}

static void write_handover(struct msg_writer *w, const struct msg *m)
{
	const struct msg_handover *handover = &m->handover;

	put_text(w, handover->service);
	put_text(w, handover->region);
	put_u64(w, handover->shard);
	msgpack_pack_array(&w->packer, (size_t)3 * handover->keys->len);
	for (guint i = 0; i < handover->keys->len; i++) {
		const struct msg_key *key =
			&g_array_index(handover->keys, struct msg_key, i);

		put_text(w, key->key);
		put_bool(w, key->in_flight);
		put_i64(w, key->age_us);
	}
}

static void write_probe_ask(struct msg_writer *w, const struct msg *m)
{
	put_u64(w, m->probe_ask.serial);
	put_text(w, m->probe_ask.server);
}

static void write_probe_told(struct msg_writer *w, const struct msg *m)
{
	put_u64(w, m->probe_told.serial);
	put_text(w, m->probe_told.server);
	put_bool(w, m->probe_told.reachable);
	put_i64(w, m->probe_told.took_us);
}

static void write_config_ask(struct msg_writer *w, const struct msg *m)
{
	put_u64(w, m->config_ask.known);
}

static void write_config_text(struct msg_writer *w, const struct msg *m)
{
	put_u64(w, m->config_text.version);
	put_text(w, m->config_text.text);
}

static void write_targets_leaving(struct msg_writer *w, const struct msg *m)
{
	const GPtrArray *servers = m->targets_leaving.servers;
	guint count = servers ? servers->len : 0;

	msgpack_pack_array(&w->packer, count);
	for (guint i = 0; i < count; i++)
		put_text(w, g_ptr_array_index(servers, i));
}

/** Writer of one type. */
struct writer_row {
	uint32_t members;
	msg_write_fn write;
};

static const struct writer_row rows[MSG_REMOTE_COUNT] = {
	[MSG_REQUEST] = {14, write_request},
	[MSG_CANCEL] = {1, write_cancel},
	[MSG_CREDIT] = {2, write_credit},
	[MSG_ANSWER] = {10, write_answer},
	[MSG_PIECE] = {4, write_piece},
	[MSG_REFUSAL] = {6, write_refusal},
	[MSG_HANDOVER] = {4, write_handover},
	[MSG_PROBE_ASK] = {2, write_probe_ask},
	[MSG_PROBE_TOLD] = {4, write_probe_told},
	[MSG_CONFIG_ASK] = {1, write_config_ask},
	[MSG_CONFIG_TEXT] = {2, write_config_text},
	[MSG_TARGETS_LEAVING] = {1, write_targets_leaving},
};

msg_write_fn msg_writer_of(enum msg_type type, uint32_t *members)
{
	if (type >= MSG_REMOTE_COUNT)
		return NULL;
	*members = rows[type].members;
	return rows[type].write;
}
