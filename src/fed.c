#include "fed_impl.h"

#include "fs_log.h"

int64_t fed_random(struct fed *fed, int64_t limit)
{
	return (int64_t)(fs_random(&fed->random) % (uint64_t)limit);
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
	fed_config_tick(fed, now_us);
	fed_broadcast_tick(fed, now_us);
	fed_node_tick(fed, now_us);
	fed_check_ready(fed);
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
		fed_config_hear(fed, m->config_hint.node,
				m->config_hint.version, now_us);
		break;
	case MSG_CONFIG_REQUEST:
		fed_config_answer(fed, m, now_us);
		break;
	case MSG_FEED_CONFIG:
		fed_config_receive(fed, m, now_us);
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
	cfh_init(&fed->texts.history);
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
	cfh_clear(&fed->texts.history);
	cfg_unref(fed->cfg);
	mem_view_unref(fed->view);
	g_free(fed);
}
