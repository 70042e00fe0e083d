#include "dsp_impl.h"

static void set_told(struct dsp *dsp, struct dsp_server *server, int64_t now_us)
{
	bool told = g_hash_table_contains(dsp->told, server->name);

	if (told == server->told)
		return;
	server->told = told;
	dsp_audit_drain(dsp, NULL, server->name,
			told ? "vm_list" : "vm_list_over", now_us);
}

void dsp_leave_targets(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	const GPtrArray *names = m->targets_leaving.servers;
	GHashTableIter iter;
	struct dsp_server *server;

	g_hash_table_remove_all(dsp->told);
	for (guint i = 0; names && i < names->len; i++)
		g_hash_table_add(dsp->told, g_strdup(names->pdata[i]));
	g_hash_table_iter_init(&iter, dsp->servers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&server))
		set_told(dsp, server, now_us);
}

void dsp_leave_answer(struct dsp_shard *shard, struct dsp_server *server,
		      bool draining, int64_t now_us)
{
	if (!draining || server->drained)
		return;
	server->drained = true;
	dsp_audit_drain(shard->dsp, dsp_shard_service(shard)->name,
			server->name, "target_signal", now_us);
}

void dsp_leave_stop(struct dsp *dsp, int64_t now_us)
{
	dsp->stopping = true;
	dsp->told_stopped = false;
	dsp->busy_us = MAX(dsp->busy_us, now_us);
	dsp_handover_send(dsp, now_us);
}

void dsp_leave_tick(struct dsp *dsp, int64_t now_us)
{
	struct msg *m;

	if (g_hash_table_size(dsp->runs)) {
		dsp->busy_us = now_us;
		dsp->told_stopped = false;
	}
	if (!dsp->stopping || dsp->told_stopped ||
	    now_us - dsp->busy_us < DSP_STOP_IDLE_US)
		return;
	dsp->told_stopped = true;
	dsp_handover_send(dsp, now_us);
	m = msg_new(MSG_STOPPED, dsp->node->self, MSG_TASK_NODE);
	m->stopped.task = MSG_TASK_DISPATCH;
	bus_send(dsp->node->bus, m);
}
