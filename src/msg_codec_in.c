#include "msg_codec.h"

static void read_request(struct msg_reader *r, struct msg *m)
{
	struct msg_request *request = &m->request;

	msg_get_id(r, &request->id);
	request->config_version = msg_get_u64(r, UINT64_MAX);
	request->service = msg_get_text(r);
	request->region = msg_get_text(r);
	request->shard = msg_get_u32(r);
	request->route = msg_get_text(r);
	request->forced = msg_get_bool(r);
	request->remaining_us = msg_get_i64(r);
	request->key = msg_get_text_or_nil(r);
	request->method = msg_get_text(r);
	request->host = msg_get_text(r);
	request->target = msg_get_text(r);
	request->headers = msg_get_headers(r);
	request->body = msg_get_bytes(r);
}

static void read_cancel(struct msg_reader *r, struct msg *m)
{
	msg_get_id(r, &m->cancel.id);
}

static void read_credit(struct msg_reader *r, struct msg *m)
{
	msg_get_id(r, &m->credit.id);
	m->credit.bytes = msg_get_u32(r);
}

static void read_answer(struct msg_reader *r, struct msg *m)
{
	struct msg_answer *answer = &m->answer;

	msg_get_id(r, &answer->id);
	answer->status = msg_get_u32(r);
	answer->outcome = msg_get_outcome(r);
	answer->headers = msg_get_headers(r);
	answer->length = msg_get_i64(r);
	answer->data = msg_get_bytes(r);
	answer->last = msg_get_bool(r);
	msg_get_load(r, &answer->load);
	answer->server = msg_get_text(r);
	answer->tries = msg_get_u32(r);
	if (answer->length < -1)
		r->malformed = true;
}

static void read_piece(struct msg_reader *r, struct msg *m)
{
	msg_get_id(r, &m->piece.id);
	m->piece.offset = msg_get_u64(r, INT64_MAX);
	m->piece.data = msg_get_bytes(r);
	m->piece.last = msg_get_bool(r);
}

/* Rejects a refusal without a known error code or with outcome FS_ANSWERED. */
static void read_refusal(struct msg_reader *r, struct msg *m)
{
	struct msg_refusal *refusal = &m->refusal;
	int64_t err;

	msg_get_id(r, &refusal->id);
	err = msg_get_i64(r);
	refusal->outcome = msg_get_outcome(r);
	refusal->retry_after_us = msg_get_i64(r);
	msg_get_load(r, &refusal->load);
	refusal->tries = msg_get_u32(r);
	if (err >= 0 || err < FS_E_AUDIT || refusal->outcome == FS_ANSWERED)
		r->malformed = true;
	else
		refusal->err = (int)err;
}

static void read_handover(struct msg_reader *r, struct msg *m)
{
	struct msg_handover *handover = &m->handover;
	struct msg_reader inner;

	handover->service = msg_get_text(r);
	handover->region = msg_get_text(r);
	handover->shard = msg_get_u32(r);
	inner = msg_get_array(r, 3);
	while (!inner.malformed && inner.left) {
		struct msg_key key = {0};

		key.key = msg_get_text(&inner);
		key.in_flight = msg_get_bool(&inner);
		key.age_us = msg_get_i64(&inner);
		g_array_append_val(handover->keys, key);
	}
	msg_end_array(r, &inner);
}

static void read_probe_request(struct msg_reader *r, struct msg *m)
{
	m->probe_request.serial = msg_get_u64(r, UINT64_MAX);
	m->probe_request.server = msg_get_text(r);
}

static void read_probe_result(struct msg_reader *r, struct msg *m)
{
	m->probe_result.serial = msg_get_u64(r, UINT64_MAX);
	m->probe_result.server = msg_get_text(r);
	m->probe_result.reachable = msg_get_bool(r);
	m->probe_result.took_us = msg_get_i64(r);
}

static void read_config_request(struct msg_reader *r, struct msg *m)
{
	m->config_request.known = msg_get_u64(r, UINT64_MAX);
}

static void read_config_text(struct msg_reader *r, struct msg *m)
{
	m->config_text.version = msg_get_u64(r, UINT64_MAX);
	m->config_text.text = msg_get_text(r);
}

static void read_targets_leaving(struct msg_reader *r, struct msg *m)
{
	struct msg_reader inner = msg_get_array(r, 1);

	m->targets_leaving.servers = g_ptr_array_new_with_free_func(g_free);
	while (!inner.malformed && inner.left) {
		char *name = msg_get_text(&inner);

		if (name)
			g_ptr_array_add(m->targets_leaving.servers, name);
	}
	msg_end_array(r, &inner);
}

/* Reads a string into a fixed buffer; one that is too long makes the message
 * malformed. */
static void read_fixed_text(struct msg_reader *r, char *out, size_t size)
{
	g_autofree char *text = msg_get_text(r);

	if (text && g_strlcpy(out, text, size) >= size)
		r->malformed = true;
}

static struct rev get_rev(struct msg_reader *r)
{
	struct rev rev;

	rev.era = msg_get_u64(r, UINT64_MAX);
	rev.number = msg_get_u64(r, UINT64_MAX);
	return rev;
}

static struct dir_write get_write(struct msg_reader *r)
{
	struct dir_write write;

	write.born = msg_get_u64(r, UINT64_MAX);
	write.count = msg_get_u64(r, UINT64_MAX);
	return write;
}

static void read_feed_entries(struct msg_reader *r, struct msg *m)
{
	struct msg_reader inner;

	m->feed_entries.snapshot = get_rev(r);
	inner = msg_get_array(r, 11);

	while (!inner.malformed && inner.left) {
		struct dir_entry e = {0};

		read_fixed_text(&inner, e.id, sizeof(e.id));
		read_fixed_text(&inner, e.service, sizeof(e.service));
		read_fixed_text(&inner, e.address, sizeof(e.address));
		read_fixed_text(&inner, e.domain, sizeof(e.domain));
		e.write = get_write(&inner);
		e.rev = get_rev(&inner);
		e.slots = msg_get_u32(&inner);
		e.cold_us = msg_get_i64(&inner);
		e.leaving = msg_get_bool(&inner);
		g_array_append_val(m->feed_entries.entries, e);
	}
	msg_end_array(r, &inner);
	inner = msg_get_array(r, 5);
	while (!inner.malformed && inner.left) {
		struct msg_removed removed = {0};

		read_fixed_text(&inner, removed.id, sizeof(removed.id));
		removed.last = get_write(&inner);
		removed.rev = get_rev(&inner);
		g_array_append_val(m->feed_entries.removed, removed);
	}
	msg_end_array(r, &inner);
}

static void read_feed_request(struct msg_reader *r, struct msg *m)
{
	(void)r;
	(void)m;
}

static void read_feed_config(struct msg_reader *r, struct msg *m)
{
	struct msg_reader inner = msg_get_array(r, 3);

	while (!inner.malformed && inner.left) {
		struct cfh_step step = {
			.version = msg_get_u64(&inner, UINT64_MAX),
			.base = msg_get_u64(&inner, UINT64_MAX),
			.bytes = msg_get_bytes(&inner),
		};

		if (step.bytes)
			g_array_append_val(m->feed_config.steps, step);
	}
	msg_end_array(r, &inner);
	inner = msg_get_array(r, 1);
	while (!inner.malformed && inner.left) {
		node_id id = msg_get_u64(&inner, UINT64_MAX);

		g_array_append_val(m->feed_config.relay, id);
	}
	msg_end_array(r, &inner);
}

static const msg_read_fn readers[MSG_REMOTE_COUNT] = {
	[MSG_REQUEST] = read_request,
	[MSG_CANCEL] = read_cancel,
	[MSG_CREDIT] = read_credit,
	[MSG_ANSWER] = read_answer,
	[MSG_PIECE] = read_piece,
	[MSG_REFUSAL] = read_refusal,
	[MSG_HANDOVER] = read_handover,
	[MSG_PROBE_REQUEST] = read_probe_request,
	[MSG_PROBE_RESULT] = read_probe_result,
	[MSG_CONFIG_REQUEST] = read_config_request,
	[MSG_CONFIG_TEXT] = read_config_text,
	[MSG_TARGETS_LEAVING] = read_targets_leaving,
	[MSG_FEED_ENTRIES] = read_feed_entries,
	[MSG_FEED_REQUEST] = read_feed_request,
	[MSG_FEED_CONFIG] = read_feed_config,
};

msg_read_fn msg_reader_of(enum msg_type type)
{
	return type < MSG_REMOTE_COUNT ? readers[type] : NULL;
}
