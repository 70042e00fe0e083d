#include "ent.h"

#define BLOCK_SIZE (16 * 1024)	/* bytes MHD asks for */
#define CREDIT_STEP (32 * 1024) /* bytes taken before the dispatcher is told */

/* Pieces may outrun their credit by the first one, which goes without. */
#define BUFFERED_MAX (FS_ANSWER_WINDOW + FS_ANSWER_WHOLE_MAX)

static void give_credit(struct ent_request *req)
{
	struct ent_stream *stream = &req->stream;

	if (stream->last || stream->cut || !stream->credit ||
	    (stream->credit < CREDIT_STEP && stream->buffered))
		return;
	ent_send_credit(req, stream->credit);
	stream->credit = 0;
}

static size_t copy_out(struct ent_stream *stream, char *buf, size_t max)
{
	size_t n = 0;

	while (n < max && !g_queue_is_empty(&stream->pieces)) {
		GBytes *piece = g_queue_peek_head(&stream->pieces);
		gsize size;
		const char *data = g_bytes_get_data(piece, &size);
		size_t part = MIN(size - stream->taken, max - n);

		memcpy(buf + n, data + stream->taken, part);
		n += part;
		stream->taken += part;
		if (stream->taken < size)
			break;
		g_bytes_unref(g_queue_pop_head(&stream->pieces));
		stream->taken = 0;
	}
	stream->buffered -= n;
	return n;
}

/* Gives MHD what there is. A stream that is cut ends with an error: MHD closes
 * the connection before the announced length or the last chunk. */
static ssize_t read_body(void *arg, uint64_t at, char *buf, size_t max)
{
	struct ent_request *req = arg;
	struct ent_stream *stream = &req->stream;
	size_t n;

	(void)at;
	if (stream->cut)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = copy_out(stream, buf, max);
	stream->credit += (uint32_t)n;
	give_credit(req);
	if (n)
		return (ssize_t)n;
	if (stream->last)
		return MHD_CONTENT_READER_END_OF_STREAM;
	ent_request_suspend(req);
	return 0;
}

static void push(struct ent_stream *stream, GBytes *data)
{
	gsize size = g_bytes_get_size(data);

	stream->received += size;
	stream->buffered += size;
	if (size)
		g_queue_push_tail(&stream->pieces, g_bytes_ref(data));
}

void ent_stream_begin(struct ent_request *req, const struct msg_answer *answer)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		answer->length < 0 ? MHD_SIZE_UNKNOWN :
				     (uint64_t)answer->length,
		BLOCK_SIZE, read_body, req, NULL);

	if (!ent_answer_headers(response, answer->headers)) {
		int64_t now_us = fs_now_us();

		MHD_destroy_response(response);
		ent_send_cancel(req);
		ent_record_refusal(req, AUD_R_OUTCOME_UNKNOWN,
				   FS_E_ANSWER_INVALID, "written", 1,
				   "cancel_confirmed", 0, now_us);
		ent_answer_refuse(req, FS_E_ANSWER_INVALID, FS_UNKNOWN, 0,
				  now_us);
		return;
	}
	req->state = ENT_STREAMING;
	req->stream.length = answer->length;
	push(&req->stream, answer->data);
	ent_answer_set_response(req, response, answer->status, answer->outcome);
}

/* Returns what is wrong with a piece, or NULL. */
static const char *check_piece(const struct ent_stream *stream, uint64_t offset,
			       gsize size, bool last)
{
	uint64_t end = offset + size;

	if (offset != stream->received)
		return offset > stream->received ? "gap" : "overlap";
	if (stream->length >= 0 && end > (uint64_t)stream->length)
		return "too_long";
	if (last && stream->length >= 0 && end < (uint64_t)stream->length)
		return "too_short";
	if (stream->buffered + size > BUFFERED_MAX)
		return "window";
	return NULL;
}

void ent_stream_piece(struct ent_request *req, uint64_t offset, GBytes *data,
		      bool last, int64_t now_us)
{
	struct ent_stream *stream = &req->stream;
	const char *wrong =
		check_piece(stream, offset, g_bytes_get_size(data), last);

	if (wrong) {
		ent_send_cancel(req);
		ent_stream_abort(req, wrong, now_us);
		return;
	}
	push(stream, data);
	if (last) {
		stream->last = true;
		ent_request_record_end(req, NULL, now_us);
		ent_request_end(req);
		ctr_count(req->ent->node->ctr, "ent_answers", 1);
	}
	ent_request_resume(req);
}

void ent_stream_abort(struct ent_request *req, const char *reason,
		      int64_t now_us)
{
	g_autofree char *name = g_strdup_printf("ent_cuts{reason=%s}", reason);

	ctr_count(req->ent->node->ctr, name, 1);
	req->stream.cut = true;
	ent_request_record_end(req, "truncated", now_us);
	ent_request_end(req);
	ent_request_resume(req);
}

void ent_stream_clear(struct ent_stream *stream)
{
	GBytes *piece;

	while ((piece = g_queue_pop_head(&stream->pieces)))
		g_bytes_unref(piece);
}
