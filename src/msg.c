#include "msg.h"

#include "flr.h"

static void header_clear(void *element)
{
	struct msg_header *header = element;

	g_free(header->name);
	g_free(header->value);
}

static void key_clear(void *element)
{
	struct msg_key *key = element;

	g_free(key->key);
}

struct msg *msg_new(enum msg_type type, node_id to, enum msg_task task)
{
	struct msg *m = g_new0(struct msg, 1);

	m->type = type;
	m->to = to;
	m->task = task;
	if (type == MSG_HANDOVER) {
		m->handover.keys =
			g_array_new(FALSE, TRUE, sizeof(struct msg_key));
		g_array_set_clear_func(m->handover.keys, key_clear);
	} else if (type == MSG_FEED_ENTRIES) {
		m->feed_entries.entries =
			g_array_new(FALSE, TRUE, sizeof(struct dir_entry));
		m->feed_entries.removed =
			g_array_new(FALSE, TRUE, sizeof(struct msg_removed));
	} else if (type == MSG_FEED_CONFIG) {
		m->feed_config.steps = cfh_steps_new();
		m->feed_config.relay =
			g_array_new(FALSE, FALSE, sizeof(node_id));
	}
	return m;
}

GArray *msg_headers_new(void)
{
	GArray *headers = g_array_new(FALSE, TRUE, sizeof(struct msg_header));

	g_array_set_clear_func(headers, header_clear);
	return headers;
}

void msg_headers_add(GArray *headers, const char *name, const char *value)
{
	struct msg_header header = {
		.name = g_strdup(name),
		.value = g_strdup(value),
	};

	g_array_append_val(headers, header);
}

const char *msg_headers_get(const GArray *headers, const char *name)
{
	for (guint i = 0; headers && i < headers->len; i++) {
		const struct msg_header *header =
			&g_array_index(headers, struct msg_header, i);

		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

bool msg_is_token(const char *text)
{
	if (!text || !*text)
		return false;
	for (; *text; text++) {
		if (!g_ascii_isalnum(*text) &&
		    !strchr("!#$%&'*+-.^_`|~", *text))
			return false;
	}
	return true;
}

static void request_clear(struct msg_request *request)
{
	g_free(request->service);
	g_free(request->region);
	g_free(request->route);
	g_free(request->key);
	g_free(request->method);
	g_free(request->host);
	g_free(request->target);
	g_clear_pointer(&request->headers, g_array_unref);
	g_clear_pointer(&request->body, g_bytes_unref);
}

static void answer_clear(struct msg_answer *answer)
{
	g_clear_pointer(&answer->headers, g_array_unref);
	g_clear_pointer(&answer->data, g_bytes_unref);
	g_free(answer->server);
}

static void handover_clear(struct msg_handover *handover)
{
	g_free(handover->service);
	g_free(handover->region);
	g_clear_pointer(&handover->keys, g_array_unref);
}

static void eject_request_clear(struct msg_eject_request *request)
{
	g_free(request->service);
	g_free(request->server);
	g_free(request->rule);
}

void msg_free(struct msg *m)
{
	if (!m)
		return;
	switch (m->type) {
	case MSG_REQUEST:
		request_clear(&m->request);
		break;
	case MSG_ANSWER:
		answer_clear(&m->answer);
		break;
	case MSG_PIECE:
		g_clear_pointer(&m->piece.data, g_bytes_unref);
		break;
	case MSG_HANDOVER:
		handover_clear(&m->handover);
		break;
	case MSG_PROBE_REQUEST:
		g_free(m->probe_request.server);
		break;
	case MSG_PROBE_RESULT:
		g_free(m->probe_result.server);
		break;
	case MSG_CONFIG_TEXT:
		g_free(m->config_text.text);
		break;
	case MSG_TARGETS_LEAVING:
		g_clear_pointer(&m->targets_leaving.servers, g_ptr_array_unref);
		break;
	case MSG_FEED_ENTRIES:
		g_array_unref(m->feed_entries.entries);
		g_array_unref(m->feed_entries.removed);
		break;
	case MSG_FEED_CONFIG:
		g_array_unref(m->feed_config.steps);
		g_array_unref(m->feed_config.relay);
		break;
	case MSG_CONFIG:
		cfg_unref(m->config.cfg);
		break;
	case MSG_VIEW:
		mem_view_unref(m->view.view);
		break;
	case MSG_EJECT_REQUEST:
		eject_request_clear(&m->eject_request);
		break;
	case MSG_RECORD:
		g_free(m->record.service);
		flr_record_free(m->record.record);
		break;
	case MSG_CONTACTS:
		g_clear_pointer(&m->contacts.addresses, g_array_unref);
		break;
	default:
		break;
	}
	g_free(m);
}
