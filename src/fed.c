#include "fed_impl.h"

#include "fs_log.h"

int64_t fed_random(struct fed *fed, int64_t limit)
{
	return (int64_t)(fs_random(&fed->random) % (uint64_t)limit);
}

void fed_apply_config(struct fed *fed, const char *text, size_t size,
		      const char *source, int64_t now_us)
{
	uint64_t known = fed->cfg ? fed->cfg->version : 0;
	struct cfg *cfg = fed->platform.decode_config(text, size);
	struct aud_record rec;

	if (!cfg) {
		fs_log_eventf("fed", G_LOG_LEVEL_WARNING, "config_refused",
			      "\"source\":\"%s\",\"known\":%" G_GUINT64_FORMAT
			      ",\"reason\":\"malformed\"",
			      source, known);
		return;
	}
	if (cfg->version <= known) {
		cfg_unref(cfg);
		return;
	}
	aud_begin(&rec, AUD_CONFIG, AUD_R_CONFIG_TAKEN, cfg->version, now_us);
	g_strlcpy(rec.choice, "taken", sizeof(rec.choice));
	aud_add(&rec, "version", (int64_t)cfg->version);
	aud_add(&rec, "known", (int64_t)known);
	aud_add(&rec, "problems", 0);
	aud_emit(fed->node->aud, &rec);
	cfg_unref(fed->cfg);
	fed->cfg = cfg;
	fs_log_eventf("fed", G_LOG_LEVEL_MESSAGE, "config_in_force",
		      "\"version\":%" G_GUINT64_FORMAT
		      ",\"routes\":%u,\"services\":%u,\"source\":\"%s\"",
		      cfg->version, cfg->route_count, cfg->service_count,
		      source);
	bus_send_all(fed->node->bus, MSG_CONFIG, cfg);
}

struct cfg *fed_config(const struct fed *fed)
{
	return fed->cfg;
}

bool fed_is_ready(const struct fed *fed)
{
	return fed->cfg && fed->directory_known;
}

/* Until the first view of the members. */
#define RANK_UNKNOWN UINT32_MAX

static void update_reading(struct fed *fed, int64_t now_us)
{
	struct fed_role *role = &fed->role;
	uint32_t rank = fed->view ?
				mem_view_rank(fed->view, fed->node->set.domain,
					      fed->node->self) :
				RANK_UNKNOWN;

	if (!fed_role_update(role, rank, fed->node->stopping, now_us))
		return;
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "reading",
		      "\"on\":%s,\"chosen\":%s,\"rank\":%u,"
		      "\"heard_ms_ago\":%lld",
		      role->reading ? "true" : "false",
		      role->chosen ? "true" : "false", rank,
		      (long long)((now_us - role->last_rx_us) / FS_US_PER_MS));
}

void fed_check_ready(struct fed *fed)
{
	if (fed->node->ready || !fed_is_ready(fed))
		return;
	fed->node->ready = true;
	fs_log_eventf("fed", G_LOG_LEVEL_MESSAGE, "ready",
		      "\"version\":%" G_GUINT64_FORMAT ",\"targets\":%u",
		      fed->cfg->version, dir_count(fed->dir));
}

static void on_tick(void *task, int64_t now_us)
{
	struct fed *fed = task;

	update_reading(fed, now_us);
	fed_read_tick(fed, now_us);
	fed_broadcast_tick(fed, now_us);
	fed_node_tick(fed, now_us);
	fed_check_ready(fed);
}

void fed_request_config(struct fed *fed, node_id peer, uint64_t version,
			int64_t now_us)
{
	struct msg *m;

	if ((fed->cfg && version <= fed->cfg->version) ||
	    now_us - fed->config_queried_us < FED_QUERY_INTERVAL_US)
		return;
	fed->config_queried_us = now_us;
	m = msg_new(MSG_CONFIG_REQUEST, peer, MSG_TASK_CONFIG);
	m->config_request.known = fed->cfg ? fed->cfg->version : 0;
	bus_send(fed->node->bus, m);
}

static void report_config_sent(struct fed *fed, const struct msg *ask,
			       size_t size)
{
	const struct mem_member *peer =
		fed->view ? mem_view_find(fed->view, ask->from) : NULL;

	ctr_count(fed->node->ctr, "fed_configs_sent", 1);
	ctr_count(fed->node->ctr, "fed_config_bytes_sent", size);
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "config_sent",
		      "\"peer\":\"%s\",\"version\":%" G_GUINT64_FORMAT
		      ",\"known\":%" G_GUINT64_FORMAT ",\"bytes\":%zu",
		      peer ? peer->name : "", fed->cfg->version,
		      ask->config_request.known, size);
}

static void send_config(struct fed *fed, const struct msg *ask)
{
	struct msg *m;

	if (!fed->cfg || fed->cfg->version <= ask->config_request.known)
		return;
	m = msg_new(MSG_CONFIG_TEXT, ask->from, MSG_TASK_CONFIG);
	m->config_text.version = fed->cfg->version;
	m->config_text.text = g_strdup(fed->cfg->text);
	report_config_sent(fed, ask, strlen(fed->cfg->text));
	bus_send(fed->node->bus, m);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct fed *fed = task;

	switch (m->type) {
	case MSG_VIEW:
		mem_view_unref(fed->view);
		fed->view = mem_view_ref(m->view.view);
		break;
	case MSG_CONFIG_HINT:
		/* This domain's reader already has that version or gets it soon. */
		if (now_us - fed->role.local_rx_us > FED_READER_TIMEOUT_US)
			fed_request_config(fed, m->config_hint.node,
					   m->config_hint.version, now_us);
		break;
	case MSG_CONFIG_REQUEST:
		send_config(fed, m);
		break;
	case MSG_CONFIG_TEXT:
		if (m->config_text.text)
			fed_apply_config(fed, m->config_text.text,
					 strlen(m->config_text.text), "peer",
					 now_us);
		break;
	case MSG_FEED_HEARTBEAT:
		fed_receive_heartbeat(fed, m, now_us);
		break;
	case MSG_FEED_ENTRIES:
		fed_merge_entries(fed, m, now_us);
		break;
	case MSG_FEED_REQUEST:
		fed_send_all_entries(fed, m, now_us);
		break;
	default:
		break;
	}
}

static const struct bus_task_ops ops = {
	.name = "feed",
	.receive = receive,
};

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct fed *fed = task;

	g_string_append_printf(
		out,
		"{\"version\":%" G_GUINT64_FORMAT ",\"era\":%" G_GUINT64_FORMAT
		",\"targets\":%u,\"reading\":%s,\"chosen\":%s,\"away\":%s,"
		"\"heard_ms_ago\":%lld,\"calls\":%" G_GUINT64_FORMAT "}",
		fed->cfg ? fed->cfg->version : 0, fed->era, dir_count(fed->dir),
		fed->role.reading ? "true" : "false",
		fed->role.chosen ? "true" : "false",
		fed->store_lost ? "true" : "false",
		(long long)((now_us - fed->role.last_rx_us) / FS_US_PER_MS),
		fed->platform.kvs.ops->calls(fed->platform.kvs.store));
}

struct fed *fed_new(struct node *node, const struct fed_platform *platform,
		    struct dir *dir)
{
	struct fed *fed = g_new0(struct fed, 1);
	int64_t now_us = fs_now_us();

	fed->node = node;
	fed->platform = *platform;
	fed->dir = dir;
	fed->random = node->self ^ node->incarnation;
	fed_role_init(&fed->role, node->set.first_start, now_us);
	fed_read_init(fed);
	dir_on_removed(dir, fed_queue_removal, fed);
	bus_attach(node->bus, MSG_TASK_CONFIG, &ops, fed);
	node_add_status(node, "feed", write_status, fed);
	node_add_tick(node, on_tick, fed);
	return fed;
}

void fed_free(struct fed *fed)
{
	struct kvs *kvs;

	if (!fed)
		return;
	kvs = &fed->platform.kvs;
	dir_on_removed(fed->dir, NULL, NULL);
	kvs->ops->cancel(kvs->store, &fed->targets);
	kvs->ops->cancel(kvs->store, &fed->config);
	kvs->ops->cancel(kvs->store, fed);
	node_remove_tick(fed->node, fed);
	msg_free(fed->changes);
	g_free(fed->targets.page_after);
	g_free(fed->config.page_after);
	cfg_unref(fed->cfg);
	mem_view_unref(fed->view);
	g_free(fed);
}
