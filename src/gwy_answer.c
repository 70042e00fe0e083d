#include "ent_check.h"
#include "fs_log.h"
#include "gwy_impl.h"

#define BLOCK_SIZE (16 * 1024) /* bytes MHD asks for at a time */
#define MEAN_SIZE_WEIGHT 0.1 /* weight of a new answer in the moving average */

static void add_field(struct MHD_Response *response, const char *name,
		      const char *value)
{
	MHD_add_response_header(response, name, value);
}

static void queue_answer(struct gwy_request *req, struct MHD_Response *response,
			 unsigned int status)
{
	if (req->gwy->stopping)
		add_field(response, "Connection", "close");
	g_clear_pointer(&req->response, MHD_destroy_response);
	req->response = response;
	req->status = status;
	gwy_held_update(req);
	gwy_request_resume(req);
}

static void end_request(struct gwy_request *req, const char *outcome,
			int64_t now_us)
{
	ev_timer_stop(req->gwy->node->loop, &req->timer);
	gwy_request_log(req, outcome, now_us);
	req->state = GWY_ENDED;
}

static void log_unproved(const struct gwy_request *req, guint read, guint kept)
{
	g_autofree char *fields = g_strdup_printf(
		"\"fields_read\":%u,\"fields_kept\":%u", read, kept);

	gwy_request_log_event(req, G_LOG_LEVEL_CRITICAL, "answer_unproved",
			      fields);
}

static void add_target_fields(struct gwy_request *req,
			      struct MHD_Response *response, struct tgt *tgt)
{
	g_autoptr(GArray) headers = tgt_steal_headers(tgt);
	g_autoptr(GArray) end_to_end = ent_check_copy_end_to_end(headers);

	if (tgt_status(tgt) < 300 &&
	    !msg_headers_get(end_to_end, req->gwy->fields.target.response_seal))
		log_unproved(req, headers->len, end_to_end->len);
	for (guint i = 0; i < end_to_end->len; i++) {
		const struct msg_header *h =
			&g_array_index(end_to_end, struct msg_header, i);

		/* MHD rejects fields that would break the framing. */
		if (MHD_add_response_header(response, h->name, h->value) !=
		    MHD_YES)
			fs_log_eventf("gwy", G_LOG_LEVEL_WARNING,
				      "answer_field_dropped", "\"name\":\"%s\"",
				      h->name);
	}
}

int64_t gwy_answer_mean_bytes(const struct gwy_request *req)
{
	const double *mean = g_hash_table_lookup(req->gwy->mean_answer_bytes,
						 gwy_route_of(req)->name);

	return mean ? (int64_t)*mean : 0;
}

static void update_mean_size(struct gwy_request *req, int64_t bytes)
{
	const char *route = gwy_route_of(req)->name;
	double *mean = g_hash_table_lookup(req->gwy->mean_answer_bytes, route);

	if (!mean) {
		mean = g_new(double, 1);
		*mean = (double)bytes;
		g_hash_table_insert(req->gwy->mean_answer_bytes,
				    g_strdup(route), mean);
	}
	*mean += MEAN_SIZE_WEIGHT * ((double)bytes - *mean);
}

static void observe_latency(struct gwy_request *req, int64_t now_us)
{
	struct ctr *ctr = req->gwy->node->ctr;
	g_autofree char *name = g_strdup_printf("gwy_answer{service=%s}",
						gwy_service_name(req));

	ctr_observe(ctr, ctr_histogram(ctr, name), now_us - req->started_us);
}

void gwy_answer_buffered(struct gwy_attempt *t, int64_t now_us)
{
	struct gwy_request *req = t->req;
	size_t size = tgt_buffered_bytes(t->tgt);
	char *data = g_malloc(size);
	struct MHD_Response *response;

	tgt_copy_body(t->tgt, data, size);
	response = MHD_create_response_from_buffer(size, data,
						   MHD_RESPMEM_MUST_FREE);
	req->response_bytes = size;
	add_target_fields(req, response, t->tgt);
	if (t->status < 300)
		update_mean_size(req, (int64_t)size);
	req->status = t->status;
	observe_latency(req, now_us);
	ctr_count(req->gwy->node->ctr, "gwy_answers", 1);
	end_request(req, "answered", now_us);
	queue_answer(req, response, t->status);
}

struct gwy_attempt *gwy_answer_find(struct gwy_request *req)
{
	for (uint32_t i = req->attempt_count; i > 0; i--) {
		struct gwy_attempt *t = &req->attempts[i - 1];

		if (t->tgt && !t->in_flight && !t->err && !t->not_run)
			return t;
	}
	return NULL;
}

void gwy_answer_refuse(struct gwy_request *req, int err, int64_t retry_after_us,
		       int64_t now_us)
{
	const struct fs_answer *answer = fs_answer_of(err);
	g_autofree char *name =
		g_strdup_printf("gwy_refusals{err=%s}", answer->name);
	char *body = g_strdup_printf("{\"error\":\"%s\",\"text\":\"%s\"}\n",
				     answer->name, answer->text);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_MUST_FREE);

	ctr_count(req->gwy->node->ctr, name, 1);
	add_field(response, "Content-Type", "application/json");
	if (retry_after_us > 0) {
		char text[G_ASCII_DTOSTR_BUF_SIZE];

		g_ascii_formatd(text, sizeof(text), "%.2f",
				(double)retry_after_us / FS_US_PER_S);
		add_field(response, "Retry-After", text);
	}
	if (err == FS_E_UNAUTHORIZED)
		add_field(response, "WWW-Authenticate", "Bearer");
	if (err == FS_E_BAD_REQUEST || err == FS_E_HEADERS_TOO_LARGE ||
	    err == FS_E_BODY_TOO_LARGE || err == FS_E_CALLER_GONE)
		add_field(response, "Connection", "close");
	req->status = answer->status;
	end_request(req, answer->name, now_us);
	queue_answer(req, response, answer->status);
}

/* Copies buffered bytes to MHD. A failed stream ends with an error: MHD closes
 * the connection before the declared length or the last chunk. */
static ssize_t read_body(void *arg, uint64_t at, char *buf, size_t max)
{
	struct gwy_request *req = arg;
	struct tgt *tgt = req->stream_attempt ? req->stream_attempt->tgt : NULL;
	size_t size;

	(void)at;
	if (req->stream_failed || !tgt)
		return req->stream_ended && !req->stream_failed ?
			       MHD_CONTENT_READER_END_OF_STREAM :
			       MHD_CONTENT_READER_END_WITH_ERROR;
	size = tgt_copy_body(tgt, buf, max);
	if (size) {
		htd_watch_delivery(req->gwy->htd, req->connection, fs_now_us());
		gwy_held_update(req);
		tgt_resume(tgt);
		return (ssize_t)size;
	}
	if (req->stream_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	gwy_request_suspend(req);
	return 0;
}

void gwy_answer_stream(struct gwy_attempt *t, int64_t now_us)
{
	struct gwy_request *req = t->req;
	int64_t length = tgt_length(t->tgt);
	struct MHD_Response *response;

	if (length < 0 && req->no_chunks) {
		gwy_answer_refuse(req, FS_E_NO_CHUNKS, 0, now_us);
		return;
	}
	response = MHD_create_response_from_callback(
		length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length, BLOCK_SIZE,
		read_body, req, NULL);

	add_target_fields(req, response, t->tgt);
	/* One of unknown length has at least what came so far. */
	update_mean_size(req, length < 0 ? (int64_t)tgt_buffered_bytes(t->tgt) :
					   length);
	req->state = GWY_STREAMING;
	req->stream_attempt = t;
	/* The timer cancels other attempts, outside of this callback. */
	gwy_request_timer(req, now_us, now_us);
	queue_answer(req, response, t->status);
}
