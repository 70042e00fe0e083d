#include "dsp_impl.h"

/* A request that never came, or that has ended; see dsp_seen.h. */
static void cancel_unknown(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	const struct req_id *id = &m->cancel.id;
	enum fs_outcome outcome = FS_UNKNOWN;
	struct msg_refusal refusal = {.err = FS_E_CANCELLED};

	switch (dsp_seen_find(dsp->seen, id, &outcome)) {
	case DSP_SEEN_NEVER:
	case DSP_SEEN_NOT_OWNER:
		dsp_seen_add(dsp->seen, id, DSP_SEEN_CANCELLED, outcome,
			     now_us);
		break;
	case DSP_SEEN_ENDED:
	case DSP_SEEN_CANCELLED:
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
		dsp_run_start_queued(shard, now_us);
}

typedef bool (*lost_fn)(const struct dsp_run *run, node_id node);

static GPtrArray *select_runs(struct dsp *dsp, lost_fn lost, node_id node)
{
	GPtrArray *runs = g_ptr_array_new();
	GHashTableIter iter;
	struct dsp_run *run;

	g_hash_table_iter_init(&iter, dsp->runs);
	while (g_hash_table_iter_next(&iter, (void **)&run, NULL)) {
		if (lost(run, node))
			g_ptr_array_add(runs, run);
	}
	return runs;
}

/* The entry may have lost pieces; whatever still runs without having begun
 * its answer goes on, since the entry may wait for it on a new link. */
static bool is_stream(const struct dsp_run *run, node_id node)
{
	return run->from == node && run->begun;
}

static bool is_dead(const struct dsp_run *run, node_id node)
{
	const struct mem_member *m = mem_view_find(run->dsp->view, run->from);

	(void)node;
	return m && m->state == MEM_DEAD;
}

static void start_waiting(struct dsp *dsp, int64_t now_us)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard))
		dsp_run_start_queued(shard, now_us);
}

void dsp_cancel_streams(struct dsp *dsp, node_id node, int64_t now_us)
{
	g_autoptr(GPtrArray) runs = select_runs(dsp, is_stream, node);

	for (guint i = 0; i < runs->len; i++) {
		dsp_count(dsp, "streams_cut", NULL);
		dsp_run_refuse(runs->pdata[i], FS_E_TRUNCATED, FS_UNKNOWN, 0,
			       now_us);
	}
	start_waiting(dsp, now_us);
}

void dsp_cancel_dead(struct dsp *dsp, int64_t now_us)
{
	g_autoptr(GPtrArray) runs = select_runs(dsp, is_dead, 0);

	for (guint i = 0; i < runs->len; i++) {
		struct dsp_run *run = runs->pdata[i];

		dsp_exchange_stop(run, now_us);
		dsp_count(dsp, "entry_lost", run->m->request.service);
		dsp_run_end(run, dsp_run_outcome(run), now_us);
	}
	start_waiting(dsp, now_us);
}
