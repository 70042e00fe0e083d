#include "dsp_impl.h"

/* A request that never came, or that has ended; see dsp_seen.h. */
static void cancel_unknown(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	const struct req_id *id = &m->cancel.id;
	enum fs_outcome outcome = FS_UNKNOWN;
	struct msg_refusal refusal = {.err = FS_E_CANCELLED};

	switch (dsp_seen_find(dsp->seen, id, &outcome)) {
	case DSP_SEEN_NEVER:
	case DSP_SEEN_PASSED_ON:
		dsp_seen_add(dsp->seen, id, DSP_SEEN_WITHDRAWN, outcome,
			     now_us);
		break;
	case DSP_SEEN_ENDED:
	case DSP_SEEN_WITHDRAWN:
		break;
	}
	refusal.outcome = outcome == FS_NOT_RUN ? FS_NOT_RUN : FS_UNKNOWN;
	dsp_count(dsp, "cancels_unknown", NULL);
	dsp_reply_refusal(dsp, m->from, id, &refusal);
}

void dsp_cancel(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	struct dsp_run *run = g_hash_table_lookup(dsp->runs, &m->cancel.id);
	struct dsp_shard *shard;

	if (!run) {
		cancel_unknown(dsp, m, now_us);
		return;
	}
	if (run->from != m->from)
		return;
	shard = run->shard;
	dsp_exchange_stop(run, now_us);
	dsp_run_refuse(run, FS_E_CANCELLED, dsp_run_outcome(run), 0, now_us);
	if (shard)
		dsp_run_waiting(shard, now_us);
}

void dsp_cancel_node(struct dsp *dsp, node_id node, int64_t now_us)
{
	g_autoptr(GPtrArray) lost = g_ptr_array_new();
	GHashTableIter iter;
	struct dsp_run *run;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->runs);
	while (g_hash_table_iter_next(&iter, (void **)&run, NULL)) {
		if (run->from == node)
			g_ptr_array_add(lost, run);
	}
	for (guint i = 0; i < lost->len; i++) {
		run = lost->pdata[i];
		dsp_exchange_stop(run, now_us);
		dsp_count(dsp, "entry_lost", run->m->request.service);
		dsp_run_end(run, dsp_run_outcome(run), now_us);
	}
	g_hash_table_iter_init(&iter, dsp->shards);
	while (lost->len &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		dsp_run_waiting(shard, now_us);
}
