#include "dsp_impl.h"

void dsp_stream_begin(struct dsp_run *run, int64_t now_us)
{
	run->begun = true;
	run->credit = FS_ANSWER_WINDOW;
	dsp_reply_answer(run, FS_ANSWERED, false, now_us);
	dsp_count(run->dsp, "streams", run->m->request.service);
}

static void send_piece(struct dsp_run *run, size_t size, bool last)
{
	struct msg *m = msg_new(MSG_PIECE, run->from, MSG_TASK_ENTRY);

	m->piece.id = run->id;
	m->piece.offset = run->sent;
	m->piece.data = tgt_read_body(run->tgt, size);
	m->piece.last = last;
	run->sent += size;
	bus_send(run->dsp->node->bus, m);
}

void dsp_stream_send(struct dsp_run *run, int64_t now_us)
{
	size_t waiting = tgt_buffered_bytes(run->tgt);

	while (waiting && run->sent < run->credit) {
		size_t room = (size_t)(run->credit - run->sent);
		size_t size = MIN(MIN(waiting, room), DSP_STREAM_PIECE_BYTES);

		waiting -= size;
		send_piece(run, size, run->ended && !waiting);
		if (run->ended && !waiting) {
			dsp_run_end(run, FS_ANSWERED, now_us);
			return;
		}
	}
	if (run->ended && !waiting) {
		send_piece(run, 0, true);
		dsp_run_end(run, FS_ANSWERED, now_us);
	}
}

void dsp_stream_credit(struct dsp_run *run, uint32_t bytes, int64_t now_us)
{
	bool ended = run->ended;

	if (!run->begun)
		return;
	run->credit += bytes;
	/* Credit never runs ahead of what was sent by more than the window. */
	run->credit = MIN(run->credit, run->sent + FS_ANSWER_WINDOW);
	dsp_stream_send(run, now_us);
	if (!ended)
		tgt_resume(run->tgt);
}
