#include <string.h>

#include "msg_codec.h"

static const msgpack_object *get(struct msg_reader *r, msgpack_object_type type)
{
	const msgpack_object *object = r->next;

	if (r->bad || !r->left || object->type != type) {
		r->bad = true;
		return NULL;
	}
	r->next++;
	r->left--;
	return object;
}

static uint64_t get_u64(struct msg_reader *r, uint64_t max)
{
	const msgpack_object *object = get(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!object)
		return 0;
	if (object->via.u64 > max)
		r->bad = true;
	return object->via.u64;
}

static uint32_t get_u32(struct msg_reader *r)
{
	return (uint32_t)get_u64(r, UINT32_MAX);
}

static int64_t get_i64(struct msg_reader *r)
{
	if (r->left && r->next->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return (int64_t)get_u64(r, INT64_MAX);
	const msgpack_object *object = get(r, MSGPACK_OBJECT_NEGATIVE_INTEGER);

	return object ? object->via.i64 : 0;
}

static bool get_bool(struct msg_reader *r)
{
	const msgpack_object *object = get(r, MSGPACK_OBJECT_BOOLEAN);

	return object && object->via.boolean;
}

/* Text with a NUL inside would be cut short, so it is refused. */
static char *get_text(struct msg_reader *r)
{
	const msgpack_object *object = get(r, MSGPACK_OBJECT_STR);

	if (!object)
		return NULL;
	if (memchr(object->via.str.ptr, '\0', object->via.str.size)) {
		r->bad = true;
		return NULL;
	}
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static char *get_text_or_nil(struct msg_reader *r)
{
	if (r->left && r->next->type == MSGPACK_OBJECT_NIL) {
		get(r, MSGPACK_OBJECT_NIL);
		return NULL;
	}
	return get_text(r);
}

static GBytes *get_bytes(struct msg_reader *r)
{
	const msgpack_object *object = get(r, MSGPACK_OBJECT_BIN);

	if (!object)
		return NULL;
	return g_bytes_new(object->via.bin.ptr, object->via.bin.size);
}

/* Enters an array whose count is a multiple of @p step. */
static struct msg_reader get_array(struct msg_reader *r, uint32_t step)
{
	const msgpack_object *object = get(r, MSGPACK_OBJECT_ARRAY);
	struct msg_reader inner = {.bad = true};

	if (!object)
		return inner;
	if (object->via.array.size % step) {
		r->bad = true;
		return inner;
	}
	inner.next = object->via.array.ptr;
	inner.left = object->via.array.size;
	inner.bad = false;
	return inner;
}

/* Leaves an array: whatever was wrong inside is wrong outside. */
static void end_array(struct msg_reader *r, const struct msg_reader *inner)
{
	if (inner->bad || inner->left)
		r->bad = true;
}

static void get_id(struct msg_reader *r, struct req_id *id)
{
	struct msg_reader inner = get_array(r, 3);

	id->node = get_u64(&inner, UINT64_MAX);
	id->incarnation = get_u64(&inner, UINT64_MAX);
	id->counter = get_u64(&inner, UINT64_MAX);
	end_array(r, &inner);
}

static void get_load(struct msg_reader *r, struct msg_load *load)
{
	struct msg_reader inner = get_array(r, 2);

	load->free_slots = get_u32(&inner);
	load->waiting = get_u32(&inner);
	end_array(r, &inner);
}

static GArray *get_headers(struct msg_reader *r)
{
	GArray *headers = msg_headers_new();
	struct msg_reader inner = get_array(r, 2);

	while (!inner.bad && inner.left) {
		struct msg_header header = {0};

		header.name = get_text(&inner);
		header.value = get_text(&inner);
		g_array_append_val(headers, header);
	}
	end_array(r, &inner);
	return headers;
}

static enum fs_outcome get_outcome(struct msg_reader *r)
{
	return (enum fs_outcome)get_u64(r, FS_UNKNOWN);
}

static void read_request(struct msg_reader *r, struct msg *m)
{
	struct msg_request *request = &m->request;

	get_id(r, &request->id);
	request->config_version = get_u64(r, UINT64_MAX);
	request->service = get_text(r);
	request->region = get_text(r);
	request->shard = get_u32(r);
	request->route = get_text(r);
	request->forced = get_bool(r);
	request->remaining_us = get_i64(r);
	request->key = get_text_or_nil(r);
	request->method = get_text(r);
	request->host = get_text(r);
	request->target = get_text(r);
	request->headers = get_headers(r);
	request->body = get_bytes(r);
}

static void read_cancel(struct msg_reader *r, struct msg *m)
{
	get_id(r, &m->cancel.id);
}

static void read_credit(struct msg_reader *r, struct msg *m)
{
	get_id(r, &m->credit.id);
	m->credit.bytes = get_u32(r);
}

static void read_answer(struct msg_reader *r, struct msg *m)
{
	struct msg_answer *answer = &m->answer;

	get_id(r, &answer->id);
	answer->status = get_u32(r);
	answer->outcome = get_outcome(r);
	answer->headers = get_headers(r);
	answer->length = get_i64(r);
	answer->data = get_bytes(r);
	answer->last = get_bool(r);
	get_load(r, &answer->load);
	answer->server = get_text(r);
	answer->tries = get_u32(r);
	if (answer->length < -1)
		r->bad = true;
}

static void read_piece(struct msg_reader *r, struct msg *m)
{
	get_id(r, &m->piece.id);
	m->piece.offset = get_u64(r, INT64_MAX);
	m->piece.data = get_bytes(r);
	m->piece.last = get_bool(r);
}

/* A refusal names an error, and is never an answer. */
static void read_refusal(struct msg_reader *r, struct msg *m)
{
	struct msg_refusal *refusal = &m->refusal;
	int64_t err;

	get_id(r, &refusal->id);
	err = get_i64(r);
	refusal->outcome = get_outcome(r);
	refusal->retry_after_us = get_i64(r);
	get_load(r, &refusal->load);
	refusal->tries = get_u32(r);
	if (err >= 0 || err < FS_E_AUDIT || refusal->outcome == FS_ANSWERED)
		r->bad = true;
	else
		refusal->err = (int)err;
}

static void read_handover(struct msg_reader *r, struct msg *m)
{
	struct msg_handover *handover = &m->handover;
	struct msg_reader inner;

	handover->service = get_text(r);
	handover->region = get_text(r);
	handover->shard = get_u32(r);
	inner = get_array(r, 3);
	while (!inner.bad && inner.left) {
		struct msg_key key = {0};

		key.key = get_text(&inner);
		key.in_flight = get_bool(&inner);
		key.age_us = get_i64(&inner);
		g_array_append_val(handover->keys, key);
	}
	end_array(r, &inner);
}

static void read_probe_ask(struct msg_reader *r, struct msg *m)
{
	m->probe_ask.serial = get_u64(r, UINT64_MAX);
	m->probe_ask.server = get_text(r);
}

static void read_probe_told(struct msg_reader *r, struct msg *m)
{
	m->probe_told.serial = get_u64(r, UINT64_MAX);
	m->probe_told.server = get_text(r);
	m->probe_told.reachable = get_bool(r);
	m->probe_told.took_us = get_i64(r);
}

static void read_config_ask(struct msg_reader *r, struct msg *m)
{
	m->config_ask.known = get_u64(r, UINT64_MAX);
}

static void read_config_text(struct msg_reader *r, struct msg *m)
{
	m->config_text.version = get_u64(r, UINT64_MAX);
	m->config_text.text = get_text(r);
}

static void read_targets_leaving(struct msg_reader *r, struct msg *m)
{
	struct msg_reader inner = get_array(r, 1);

	m->targets_leaving.servers = g_ptr_array_new_with_free_func(g_free);
	while (!inner.bad && inner.left) {
		char *name = get_text(&inner);

		if (name)
			g_ptr_array_add(m->targets_leaving.servers, name);
	}
	end_array(r, &inner);
}

static const msg_read_fn readers[MSG_REMOTE_COUNT] = {
	[MSG_REQUEST] = read_request,
	[MSG_CANCEL] = read_cancel,
	[MSG_CREDIT] = read_credit,
	[MSG_ANSWER] = read_answer,
	[MSG_PIECE] = read_piece,
	[MSG_REFUSAL] = read_refusal,
	[MSG_HANDOVER] = read_handover,
	[MSG_PROBE_ASK] = read_probe_ask,
	[MSG_PROBE_TOLD] = read_probe_told,
	[MSG_CONFIG_ASK] = read_config_ask,
	[MSG_CONFIG_TEXT] = read_config_text,
	[MSG_TARGETS_LEAVING] = read_targets_leaving,
};

msg_read_fn msg_reader_of(enum msg_type type)
{
	return type < MSG_REMOTE_COUNT ? readers[type] : NULL;
}
