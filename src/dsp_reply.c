#include "dsp_impl.h"

void dsp_reply_refusal(struct dsp *dsp, node_id to, const struct req_id *id,
		       const struct msg_refusal *refusal)
{
	struct msg *m = msg_new(MSG_REFUSAL, to, MSG_TASK_ENTRY);

	m->refusal = *refusal;
	m->refusal.id = *id;
	bus_send(dsp->node->bus, m);
}

void dsp_reply_answer(struct dsp_run *run, enum fs_outcome outcome, bool last,
		      int64_t now_us)
{
	struct msg *m = msg_new(MSG_ANSWER, run->from, MSG_TASK_ENTRY);
	struct msg_answer *a = &m->answer;

	a->id = run->id;
	a->status = tgt_status(run->tgt);
	a->outcome = outcome;
	a->headers = tgt_steal_headers(run->tgt);
	a->length = tgt_length(run->tgt);
	a->data =
		tgt_read_body(run->tgt, last ? SIZE_MAX : FS_ANSWER_WHOLE_MAX);
	a->last = last;
	a->load = dsp_shard_load(run->shard, now_us);
	a->server = g_strdup(dsp_run_server(run)->name);
	a->tries = run->tries;
	run->sent = g_bytes_get_size(a->data);
	bus_send(run->dsp->node->bus, m);
}
