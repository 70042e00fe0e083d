#include "dsp_impl.h"

static void set_reported_leaving(struct dsp *dsp, struct dsp_server *server,
				 int64_t now_us)
{
	bool leaving =
		g_hash_table_contains(dsp->reported_leaving, server->name);

	if (leaving == server->reported_leaving)
		return;
	server->reported_leaving = leaving;
	dsp_audit_drain(dsp, NULL, server->name,
			leaving ? "vm_list" : "vm_list_over", now_us);
}

void dsp_leave_targets(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	const GPtrArray *names = m->targets_leaving.servers;
	GHashTableIter iter;
	struct dsp_server *server;

	g_hash_table_remove_all(dsp->reported_leaving);
	for (guint i = 0; names && i < names->len; i++)
		g_hash_table_add(dsp->reported_leaving,
				 g_strdup(names->pdata[i]));
	g_hash_table_iter_init(&iter, dsp->servers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&server))
		set_reported_leaving(dsp, server, now_us);
}

void dsp_leave_answer(struct dsp_shard *shard, struct dsp_server *server,
		      bool draining, int64_t now_us)
{
	if (!draining || server->signalled_draining)
		return;
	server->signalled_draining = true;
	dsp_audit_drain(shard->dsp, dsp_shard_service(shard)->name,
			server->name, "target_signal", now_us);
}

void dsp_leave_stop(struct dsp *dsp, int64_t now_us)
{
	dsp->entry_stopped = dsp->stopping;
	dsp->stopping = true;
	dsp->stopped_sent = false;
	dsp->busy_us = MAX(dsp->busy_us, now_us);
	dsp_handover_send(dsp, now_us);
}

bool dsp_leave_has_ended(const struct dsp *dsp)
{
	return dsp->entry_stopped && dsp->stopped_sent;
}

void dsp_leave_tick(struct dsp *dsp, int64_t now_us)
{
	struct msg *m;

	if (g_hash_table_size(dsp->runs)) {
		dsp->busy_us = now_us;
		dsp->stopped_sent = false;
	}
	if (!dsp->stopping || dsp->stopped_sent ||
	    now_us - dsp->busy_us < DSP_STOP_IDLE_US)
		return;
	dsp->stopped_sent = true;
	dsp_handover_send(dsp, now_us);
	m = msg_new(MSG_STOPPED, dsp->node->self, MSG_TASK_NODE);
	m->stopped.task = MSG_TASK_DISPATCH;
	bus_send(dsp->node->bus, m);
}
