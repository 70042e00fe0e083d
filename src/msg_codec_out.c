#include "msg_codec.h"

static void write_request(struct msg_writer *w, const struct msg *m)
{
	const struct msg_request *request = &m->request;

	msg_put_id(w, &request->id);
	msg_put_u64(w, request->config_version);
	msg_put_text(w, request->service);
	msg_put_text(w, request->region);
	msg_put_u64(w, request->shard);
	msg_put_text(w, request->route);
	msg_put_bool(w, request->forced);
	msg_put_i64(w, request->remaining_us);
	msg_put_text_or_nil(w, request->key);
	msg_put_text(w, request->method);
	msg_put_text(w, request->host);
	msg_put_text(w, request->target);
	msg_put_headers(w, request->headers);
	msg_put_bytes(w, request->body);
}

static void write_cancel(struct msg_writer *w, const struct msg *m)
{
	msg_put_id(w, &m->cancel.id);
}

static void write_credit(struct msg_writer *w, const struct msg *m)
{
	msg_put_id(w, &m->credit.id);
	msg_put_u64(w, m->credit.bytes);
}

static void write_answer(struct msg_writer *w, const struct msg *m)
{
	const struct msg_answer *answer = &m->answer;

	msg_put_id(w, &answer->id);
	msg_put_u64(w, answer->status);
	msg_put_u64(w, answer->outcome);
	msg_put_headers(w, answer->headers);
	msg_put_i64(w, answer->length);
	msg_put_bytes(w, answer->data);
	msg_put_bool(w, answer->last);
	msg_put_load(w, &answer->load);
	msg_put_text(w, answer->server);
	msg_put_u64(w, answer->tries);
}

static void write_piece(struct msg_writer *w, const struct msg *m)
{
	msg_put_id(w, &m->piece.id);
	msg_put_u64(w, m->piece.offset);
	msg_put_bytes(w, m->piece.data);
	msg_put_bool(w, m->piece.last);
}

static void write_refusal(struct msg_writer *w, const struct msg *m)
{
	const struct msg_refusal *refusal = &m->refusal;

	msg_put_id(w, &refusal->id);
	msg_put_i64(w, refusal->err);
	msg_put_u64(w, refusal->outcome);
	msg_put_i64(w, refusal->retry_after_us);
	msg_put_load(w, &refusal->load);
	msg_put_u64(w, refusal->tries);
}

static void write_handover(struct msg_writer *w, const struct msg *m)
{
	const struct msg_handover *handover = &m->handover;

	msg_put_text(w, handover->service);
	msg_put_text(w, handover->region);
	msg_put_u64(w, handover->shard);
	msgpack_pack_array(&w->packer, (size_t)3 * handover->keys->len);
	for (guint i = 0; i < handover->keys->len; i++) {
		const struct msg_key *key =
			&g_array_index(handover->keys, struct msg_key, i);

		msg_put_text(w, key->key);
		msg_put_bool(w, key->in_flight);
		msg_put_i64(w, key->age_us);
	}
}

static void write_probe_request(struct msg_writer *w, const struct msg *m)
{
	msg_put_u64(w, m->probe_request.serial);
	msg_put_text(w, m->probe_request.server);
}

static void write_probe_result(struct msg_writer *w, const struct msg *m)
{
	msg_put_u64(w, m->probe_result.serial);
	msg_put_text(w, m->probe_result.server);
	msg_put_bool(w, m->probe_result.reachable);
	msg_put_i64(w, m->probe_result.took_us);
}

static void write_config_request(struct msg_writer *w, const struct msg *m)
{
	msg_put_u64(w, m->config_request.known);
}

static void write_config_text(struct msg_writer *w, const struct msg *m)
{
	msg_put_u64(w, m->config_text.version);
	msg_put_text(w, m->config_text.text);
}

static void write_targets_leaving(struct msg_writer *w, const struct msg *m)
{
	const GPtrArray *servers = m->targets_leaving.servers;
	guint count = servers ? servers->len : 0;

	msgpack_pack_array(&w->packer, count);
	for (guint i = 0; i < count; i++)
		msg_put_text(w, g_ptr_array_index(servers, i));
}

static void put_rev(struct msg_writer *w, struct rev rev)
{
	msg_put_u64(w, rev.era);
	msg_put_u64(w, rev.number);
}

static void put_write(struct msg_writer *w, struct dir_write write)
{
	msg_put_u64(w, write.born);
	msg_put_u64(w, write.count);
}

static void write_feed_entries(struct msg_writer *w, const struct msg *m)
{
	const GArray *entries = m->feed_entries.entries;
	const GArray *removed = m->feed_entries.removed;

	put_rev(w, m->feed_entries.snapshot);
	msgpack_pack_array(&w->packer, (size_t)11 * entries->len);
	for (guint i = 0; i < entries->len; i++) {
		const struct dir_entry *e =
			&g_array_index(entries, struct dir_entry, i);

		msg_put_text(w, e->id);
		msg_put_text(w, e->service);
		msg_put_text(w, e->address);
		msg_put_text(w, e->domain);
		put_write(w, e->write);
		put_rev(w, e->rev);
		msg_put_u64(w, e->slots);
		msg_put_i64(w, e->cold_us);
		msg_put_bool(w, e->leaving);
	}
	msgpack_pack_array(&w->packer, (size_t)5 * removed->len);
	for (guint i = 0; i < removed->len; i++) {
		const struct msg_removed *r =
			&g_array_index(removed, struct msg_removed, i);

		msg_put_text(w, r->id);
		put_write(w, r->last);
		put_rev(w, r->rev);
	}
}

static void write_feed_request(struct msg_writer *w, const struct msg *m)
{
	(void)w;
	(void)m;
}

static void write_feed_config(struct msg_writer *w, const struct msg *m)
{
	const GArray *steps = m->feed_config.steps;
	const GArray *relay = m->feed_config.relay;

	msgpack_pack_array(&w->packer, (size_t)3 * steps->len);
	for (guint i = 0; i < steps->len; i++) {
		const struct cfh_step *step =
			&g_array_index(steps, struct cfh_step, i);

		msg_put_u64(w, step->version);
		msg_put_u64(w, step->base);
		msg_put_bytes(w, step->bytes);
	}
	msgpack_pack_array(&w->packer, relay->len);
	for (guint i = 0; i < relay->len; i++)
		msg_put_u64(w, g_array_index(relay, node_id, i));
}

/** Writer of one message type and its member count. */
struct type_writer {
	uint32_t members;
	msg_write_fn write;
};

static const struct type_writer writers[MSG_REMOTE_COUNT] = {
	[MSG_REQUEST] = {14, write_request},
	[MSG_CANCEL] = {1, write_cancel},
	[MSG_CREDIT] = {2, write_credit},
	[MSG_ANSWER] = {10, write_answer},
	[MSG_PIECE] = {4, write_piece},
	[MSG_REFUSAL] = {6, write_refusal},
	[MSG_HANDOVER] = {4, write_handover},
	[MSG_PROBE_REQUEST] = {2, write_probe_request},
	[MSG_PROBE_RESULT] = {4, write_probe_result},
	[MSG_CONFIG_REQUEST] = {1, write_config_request},
	[MSG_CONFIG_TEXT] = {2, write_config_text},
	[MSG_TARGETS_LEAVING] = {1, write_targets_leaving},
	[MSG_FEED_ENTRIES] = {4, write_feed_entries},
	[MSG_FEED_REQUEST] = {0, write_feed_request},
	[MSG_FEED_CONFIG] = {2, write_feed_config},
};

msg_write_fn msg_writer_of(enum msg_type type, uint32_t *members)
{
	if (type >= MSG_REMOTE_COUNT)
		return NULL;
	*members = writers[type].members;
	return writers[type].write;
}
