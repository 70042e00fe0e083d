#include "dsp_impl.h"

#include <stdio.h>

void dsp_count(struct dsp *dsp, const char *event, const char *service)
{
	char name[128];

	if (service)
		snprintf(name, sizeof(name), "dsp_%s{service=%s}", event,
			 service);
	else
		snprintf(name, sizeof(name), "dsp_%s", event);
	ctr_count(dsp->node->ctr, name, 1);
}

static void start_all_queued(struct dsp *dsp, int64_t now_us)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		dsp_run_start_queued(shard, now_us);
}

static void refuse_stalled(struct dsp_run *run, int64_t now_us)
{
	dsp_audit_refusal(run, FS_E_TRUNCATED, NULL, now_us);
	dsp_run_refuse(run, FS_E_TRUNCATED, FS_UNKNOWN, 0, now_us);
}

/* Refuses streams whose caller still does not read past the deadline. */
static void drop_stalled(struct dsp *dsp, int64_t now_us)
{
	g_autoptr(GPtrArray) late = g_ptr_array_new();
	GHashTableIter iter;
	struct dsp_run *run;

	g_hash_table_iter_init(&iter, dsp->runs);
	while (g_hash_table_iter_next(&iter, (void **)&run, NULL)) {
		if (run->body_complete &&
		    now_us > run->deadline_us + DSP_STREAM_GRACE_US)
			g_ptr_array_add(late, run);
	}
	for (guint i = 0; i < late->len; i++)
		refuse_stalled(late->pdata[i], now_us);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct dsp *dsp = timer->data;
	int64_t now_us = fs_now_us();
	GHashTableIter iter;
	struct dsp_shard *shard;

	(void)loop;
	(void)events;
	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		dsp_health_tick(shard, now_us);
	dsp_health_dependencies(dsp);
	dsp_owner_tick(dsp, now_us);
	drop_stalled(dsp, now_us);
	start_all_queued(dsp, now_us);
	dsp_drain_tick(dsp, now_us);
	dsp_seen_expire(dsp->seen, now_us);
	key_expire(dsp->keys, now_us);
	dsp_leave_tick(dsp, now_us);
}

static void apply_config(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	dsp_shard_rebuild(dsp, m->config.cfg, now_us);
	dsp->owners_changed = true;
	start_all_queued(dsp, now_us);
}

static void apply_view(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	mem_view_unref(dsp->view);
	dsp->view = mem_view_ref(m->view.view);
	dsp->owners_changed = true;
	dsp_handover_send(dsp, now_us);
	dsp_cancel_dead(dsp, now_us);
}

static void apply_credit(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	struct dsp_run *run = g_hash_table_lookup(dsp->runs, &m->credit.id);

	if (run && run->from == m->from)
		dsp_stream_credit(run, m->credit.bytes, now_us);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct dsp *dsp = task;

	switch (m->type) {
	case MSG_REQUEST:
		dsp_admit(dsp, m, now_us);
		break;
	case MSG_CANCEL:
		dsp_cancel(dsp, m, now_us);
		break;
	case MSG_CREDIT:
		apply_credit(dsp, m, now_us);
		break;
	case MSG_CONFIG:
		apply_config(dsp, m, now_us);
		break;
	case MSG_VIEW:
		apply_view(dsp, m, now_us);
		break;
	case MSG_RECORD:
		dsp_health_record(dsp, m, now_us);
		break;
	case MSG_PROBE_RESULT:
		dsp_health_probe(dsp, m, now_us);
		break;
	case MSG_TARGETS_LEAVING:
		dsp_leave_targets(dsp, m, now_us);
		start_all_queued(dsp, now_us);
		break;
	case MSG_HANDOVER:
		dsp_handover_receive(dsp, m, now_us);
		break;
	case MSG_LINK_DOWN:
		dsp_cancel_streams(dsp, m->link_down.node, now_us);
		break;
	case MSG_STOP:
		dsp_leave_stop(dsp, now_us);
		break;
	default:
		break;
	}
}

static const struct bus_task_ops dsp_ops = {
	.name = "dispatch",
	.receive = receive,
};

static void free_msg(void *m)
{
	msg_free(m);
}

struct dsp *dsp_new(struct node *node)
{
	struct dsp *dsp = g_new0(struct dsp, 1);

	dsp->node = node;
	dsp->pool = tgt_pool_new(node->loop, TGT_POOL_CONNECTIONS);
	dsp->shards = g_hash_table_new(g_str_hash, g_str_equal);
	dsp->servers = g_hash_table_new(g_str_hash, g_str_equal);
	dsp->reported_leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dsp->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dsp->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dsp->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_msg);
	dsp->runs = g_hash_table_new(dsp_id_hash, dsp_id_equal);
	dsp->handed_over =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dsp->owned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	dsp->seen = dsp_seen_new(DSP_SEEN_MAX);
	dsp->keys = key_table_new(FS_KEYS_MAX);
	ev_timer_init(&dsp->tick, on_tick, DSP_TICK_US / 1e6,
		      DSP_TICK_US / 1e6);
	dsp->tick.data = dsp;
	ev_timer_start(node->loop, &dsp->tick);
	bus_attach(node->bus, MSG_TASK_DISPATCH, &dsp_ops, dsp);
	node_add_status(node, "dispatch", dsp_status_write, dsp);
	return dsp;
}

static void free_runs(struct dsp *dsp, int64_t now_us)
{
	GHashTableIter iter;
	struct dsp_run *run;

	do {
		g_hash_table_iter_init(&iter, dsp->runs);
		if (!g_hash_table_iter_next(&iter, (void **)&run, NULL))
			return;
		dsp_run_end(run, FS_UNKNOWN, now_us);
	} while (true);
}

void dsp_free(struct dsp *dsp)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	if (!dsp)
		return;
	ev_timer_stop(dsp->node->loop, &dsp->tick);
	free_runs(dsp, fs_now_us());
	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		dsp_shard_free(shard);
	g_hash_table_unref(dsp->shards);
	g_hash_table_unref(dsp->servers);
	g_hash_table_unref(dsp->reported_leaving);
	g_hash_table_unref(dsp->budgets);
	g_hash_table_unref(dsp->routes);
	g_hash_table_unref(dsp->records);
	g_hash_table_unref(dsp->runs);
	g_hash_table_unref(dsp->handed_over);
	g_hash_table_unref(dsp->owned);
	dsp_seen_free(dsp->seen);
	key_table_free(dsp->keys);
	shd_map_free(dsp->map);
	mem_view_unref(dsp->view);
	cfg_unref(dsp->cfg);
	tgt_pool_free(dsp->pool);
	g_free(dsp);
}
