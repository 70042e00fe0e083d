#include "ent.h"

#define BLOCK_BYTES (16 * 1024)	     /* bytes that MHD requests at a time */
#define CREDIT_MIN_BYTES (32 * 1024) /* credit is sent once this much is read */

/* The first piece is sent without credit, so it may exceed the window. */
#define BUFFERED_MAX_BYTES (FS_ANSWER_WINDOW + FS_ANSWER_WHOLE_MAX)

static void send_credit(struct ent_request *req)
{
	struct ent_stream *stream = &req->stream;

	if (stream->last || stream->aborted || !stream->unreported_bytes ||
	    (stream->unreported_bytes < CREDIT_MIN_BYTES && stream->buffered))
		return;
	ent_send_credit(req, stream->unreported_bytes);
	stream->unreported_bytes = 0;
}

static size_t read_pieces(struct ent_stream *stream, char *buf, size_t max)
{
	size_t n = 0;

	while (n < max && !g_queue_is_empty(&stream->pieces)) {
		GBytes *piece = g_queue_peek_head(&stream->pieces);
		gsize size;
		const char *data = g_bytes_get_data(piece, &size);
		size_t chunk = MIN(size - stream->head_consumed, max - n);

		memcpy(buf + n, data + stream->head_consumed, chunk);
		n += chunk;
		stream->head_consumed += chunk;
		if (stream->head_consumed < size)
			break;
		g_bytes_unref(g_queue_pop_head(&stream->pieces));
		stream->head_consumed = 0;
	}
	stream->buffered -= n;
	return n;
}

/* Copies buffered data to MHD. An aborted stream ends with an error: MHD closes
 * the connection before the announced length or the last chunk. */
static ssize_t read_body(void *arg, uint64_t at, char *buf, size_t max)
{
	struct ent_request *req = arg;
	struct ent_stream *stream = &req->stream;
	size_t n;

	(void)at;
	if (stream->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = read_pieces(stream, buf, max);
	stream->unreported_bytes += (uint32_t)n;
	send_credit(req);
	if (n) {
		htd_watch_delivery(req->ent->htd, req->connection, fs_now_us());
		return (ssize_t)n;
	}
	if (stream->last)
		return MHD_CONTENT_READER_END_OF_STREAM;
	ent_request_suspend(req);
	return 0;
}

static void append_piece(struct ent_stream *stream, GBytes *data)
{
	gsize size = g_bytes_get_size(data);

	stream->received += size;
	stream->buffered += size;
	if (size)
		g_queue_push_tail(&stream->pieces, g_bytes_ref(data));
}

/* Ends a request whose answer is there and can't be passed on. */
static void refuse_answer(struct ent_request *req, int err)
{
	int64_t now_us = fs_now_us();

	ent_send_cancel(req);
	ent_record_refusal(req, AUD_R_OUTCOME_UNKNOWN, err, "written", 1,
			   "cancel_confirmed", 0, now_us);
	ent_answer_refuse(req, err, FS_UNKNOWN, 0, now_us);
}

void ent_stream_begin(struct ent_request *req, const struct msg_answer *answer)
{
	struct MHD_Response *response;

	if (answer->length < 0 && req->head.no_chunks) {
		refuse_answer(req, FS_E_NO_CHUNKS);
		return;
	}
	response = MHD_create_response_from_callback(
		answer->length < 0 ? MHD_SIZE_UNKNOWN :
				     (uint64_t)answer->length,
		BLOCK_BYTES, read_body, req, NULL);
	if (!ent_answer_headers(response, answer->headers)) {
		MHD_destroy_response(response);
		refuse_answer(req, FS_E_ANSWER_INVALID);
		return;
	}
	req->state = ENT_STREAMING;
	req->stream.length = answer->length;
	append_piece(&req->stream, answer->data);
	ent_answer_set_response(req, response, answer->status, answer->outcome);
}

/* Returns the reason to reject a piece, or NULL. */
static const char *piece_error(const struct ent_stream *stream, uint64_t offset,
			       gsize size, bool last)
{
	uint64_t end = offset + size;

	if (offset != stream->received)
		return offset > stream->received ? "gap" : "overlap";
	if (stream->length >= 0 && end > (uint64_t)stream->length)
		return "too_long";
	if (last && stream->length >= 0 && end < (uint64_t)stream->length)
		return "too_short";
	if (stream->buffered + size > BUFFERED_MAX_BYTES)
		return "window";
	return NULL;
}

void ent_stream_piece(struct ent_request *req, uint64_t offset, GBytes *data,
		      bool last, int64_t now_us)
{
	struct ent_stream *stream = &req->stream;
	const char *error =
		piece_error(stream, offset, g_bytes_get_size(data), last);

	if (error) {
		ent_send_cancel(req);
		ent_stream_abort(req, error, now_us);
		return;
	}
	append_piece(stream, data);
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
	req->stream.aborted = true;
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
