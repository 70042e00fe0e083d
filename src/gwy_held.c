#include "gwy_impl.h"

#include "fs_log.h"

/* What a request holds beside its bodies: its connection's buffer, the exchange with
 * a target and the records of both, in bytes. */
#define REQUEST_BYTES (16 * 1024)
/* The blocks of a stream that both libraries hold, in bytes. */
#define STREAM_BYTES (32 * 1024)

static size_t body_bytes(const struct gwy_request *req)
{
	if (req->body)
		return req->body->len;
	return g_bytes_get_size(req->m->request.body);
}

static size_t answer_bytes(const struct gwy_request *req)
{
	size_t bytes = 0;

	for (uint32_t i = 0; i < req->attempt_count; i++) {
		if (req->attempts[i].tgt)
			bytes += tgt_buffered_bytes(req->attempts[i].tgt);
	}
	if (req->state < GWY_STREAMING)
		return MAX(bytes, req->expected_bytes);
	if (req->stream_attempt)
		bytes += STREAM_BYTES;
	return bytes + req->response_bytes;
}

static void log_pressure(const struct gwy *gwy, GLogLevelFlags level,
			 const char *event)
{
	fs_log_eventf("gwy", level, event,
		      "\"held_bytes\":%zu,\"bound_bytes\":%zu,\"requests\":%u",
		      gwy->hld.held, gwy->hld.bound,
		      g_hash_table_size(gwy->requests));
}

static void press(struct gwy *gwy, const char *counter)
{
	ctr_count(gwy->node->ctr, counter, 1);
	if (hld_press(&gwy->hld))
		log_pressure(gwy, G_LOG_LEVEL_WARNING, "memory_bound_reached");
}

static void set_held(struct gwy_request *req, size_t bytes)
{
	struct gwy *gwy = req->gwy;

	hld_set(&gwy->hld, &req->held, bytes);
	if (hld_calm(&gwy->hld))
		log_pressure(gwy, G_LOG_LEVEL_MESSAGE, "memory_bound_left");
}

void gwy_held_update(struct gwy_request *req)
{
	set_held(req, REQUEST_BYTES + body_bytes(req) + answer_bytes(req));
}

void gwy_held_release(struct gwy_request *req)
{
	set_held(req, 0);
}

static int refuse(struct gwy_request *req)
{
	press(req->gwy, "hld_refused");
	return FS_E_ENTRY_FULL;
}

int gwy_held_check_body(struct gwy_request *req, size_t bytes)
{
	if (hld_has_room(&req->gwy->hld, bytes - req->body->len))
		return 0;
	return refuse(req);
}

int gwy_held_reserve(struct gwy_request *req)
{
	size_t mean = (size_t)gwy_answer_mean_bytes(req);
	bool is_long = mean > FS_ANSWER_WHOLE_MAX;
	size_t expected = MIN(mean, FS_ANSWER_WHOLE_MAX);

	if (!hld_may_begin(&req->gwy->hld, expected, is_long))
		return refuse(req);
	req->expected_bytes = expected;
	gwy_held_update(req);
	return 0;
}

bool gwy_held_check_answer(struct gwy_request *req, size_t bytes)
{
	size_t window = hld_window(&req->gwy->hld);

	if (req->state < GWY_STREAMING) {
		req->expected_bytes = MAX(req->expected_bytes, bytes);
		gwy_held_update(req);
	}
	if (bytes <= window || req->state < GWY_STREAMING)
		return true;
	if (window >= FS_ANSWER_WINDOW || req->narrowed)
		return false;
	req->narrowed = true;
	press(req->gwy, "hld_narrowed");
	return false;
}

void gwy_held_write_status(const struct gwy *gwy, GString *out)
{
	g_string_append_printf(out,
			       "{\"hld_bytes\":%zu,\"bound_bytes\":%zu,"
			       "\"most_bytes\":%zu,\"pressed\":%s}",
			       gwy->hld.held, gwy->hld.bound, gwy->hld.most,
			       gwy->hld.pressed ? "true" : "false");
}
