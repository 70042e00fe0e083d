#include "gwy_impl.h"

#include <string.h>

#include "fs_log.h"

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	struct gwy_request *req = timer->data;
	int64_t now_us = fs_now_us();

	if (req->state == GWY_DEFERRED)
		gwy_http_resume_deferred(req, now_us);
	else
		gwy_timer_passed(req, now_us);
}

/* The caller disconnected: attempts are cancelled and no retry follows. */
static void on_caller_disconnected(void *arg)
{
	struct gwy_request *req = arg;
	int64_t now_us = fs_now_us();

	if (req->state == GWY_ENDED)
		return;
	gwy_request_cancel_attempts(req);
	gwy_request_log(req, fs_err_name(FS_E_CALLER_GONE), now_us);
	ctr_count(req->gwy->node->ctr, "gwy_callers_gone", 1);
	req->state = GWY_ENDED;
	req->stream_failed = true;
	if (!req->response)
		gwy_answer_refuse(req, FS_E_CALLER_GONE, 0, now_us);
	gwy_request_resume(req);
}

struct gwy_request *gwy_request_new(struct gwy *gwy, const char *target,
				    struct MHD_Connection *connection)
{
	struct gwy_request *req = g_new0(struct gwy_request, 1);

	req->gwy = gwy;
	req->connection = connection;
	req->started_us = fs_now_us();
	req->target = g_strdup(target);
	req->body = g_byte_array_new();
	req->route = req->service = req->organisation = FS_NONE;
	req->draw = gwy_random(gwy);
	ev_init(&req->timer, on_timer);
	req->timer.data = req;
	htd_gone_init(&req->disconnect_watch, on_caller_disconnected, req);
	g_hash_table_add(gwy->requests, req);
	gwy_held_update(req);
	return req;
}

void gwy_request_free(struct gwy_request *req)
{
	struct gwy *gwy = req->gwy;

	gwy_request_cancel_attempts(req);
	gwy_quota_release(req, fs_now_us());
	gwy_request_park(req, false);
	for (uint32_t i = 0; i < req->attempt_count; i++)
		dir_target_unref(req->attempts[i].target);
	ev_timer_stop(gwy->node->loop, &req->timer);
	htd_gone_stop(&req->disconnect_watch);
	g_hash_table_remove(gwy->requests, req);
	gwy_held_release(req);
	if (req->body)
		g_byte_array_unref(req->body);
	g_clear_pointer(&req->response, MHD_destroy_response);
	msg_free(req->m);
	cfg_unref(req->cfg);
	g_free(req->target);
	g_free(req->id);
	g_free(req->path);
	g_free(req->quota_state);
	g_free(req);
}

void gwy_request_park(struct gwy_request *req, bool parked)
{
	if (parked && !req->parked)
		g_ptr_array_add(req->gwy->parked, req);
	if (!parked && req->parked)
		g_ptr_array_remove_fast(req->gwy->parked, req);
	req->parked = parked;
}

void gwy_request_suspend(struct gwy_request *req)
{
	if (req->suspended)
		return;
	req->suspended = true;
	MHD_suspend_connection(req->connection);
	htd_gone_start(&req->disconnect_watch, htd_gone_set_of(req->gwy->htd),
		       req->connection);
}

void gwy_request_resume(struct gwy_request *req)
{
	if (!req->suspended)
		return;
	req->suspended = false;
	htd_gone_stop(&req->disconnect_watch);
	MHD_resume_connection(req->connection);
	htd_kick(req->gwy->htd);
}

void gwy_request_timer(struct gwy_request *req, int64_t at_us, int64_t now_us)
{
	struct ev_loop *loop = req->gwy->node->loop;

	ev_timer_stop(loop, &req->timer);
	ev_timer_set(&req->timer, (double)MAX(at_us - now_us, 0) / 1e6, 0.0);
	ev_timer_start(loop, &req->timer);
}

void gwy_request_cancel_attempts(struct gwy_request *req)
{
	for (uint32_t i = 0; i < req->attempt_count; i++) {
		struct gwy_attempt *t = &req->attempts[i];

		if (!t->tgt)
			continue;
		/* Closing the connection cancels the work at the target. */
		if (tgt_free(t->tgt) && t->in_flight)
			req->may_have_run = true;
		t->tgt = NULL;
		if (t->in_flight)
			t->err = FS_E_CANCELLED;
		gwy_send_release_slot(t);
	}
	req->stream_attempt = NULL;
	gwy_held_update(req);
}

static void append_attempts(const struct gwy_request *req, GString *out)
{
	g_string_append(out, ",\"tries\":[");
	for (uint32_t i = 0; i < req->attempt_count; i++) {
		const struct gwy_attempt *t = &req->attempts[i];

		g_string_append_printf(
			out,
			"%s{\"target\":\"%s\",\"at_ms\":%lld,\"took_ms\":%lld,"
			"\"status\":%u,\"end\":\"%s\",\"not_run\":%s,"
			"\"framing\":\"%s\",\"bytes\":%lld,\"reused\":%s,"
			"\"bytes_behind\":%s}",
			i ? "," : "", t->target->entry.id,
			(long long)((t->started_us - req->started_us) /
				    FS_US_PER_MS),
			(long long)(t->took_us / FS_US_PER_MS), t->status,
			fs_err_name(t->err), t->not_run ? "true" : "false",
			tgt_framing_name(t->framing), (long long)t->body_bytes,
			t->reused ? "true" : "false",
			t->bytes_behind ? "true" : "false");
	}
	g_string_append_c(out, ']');
}

/* What the configuration made of the request. Never a key. */
static void append_decision(const struct gwy_request *req, GString *out)
{
	if (!req->cfg || req->route == FS_NONE)
		return;
	g_string_append_printf(out, ",\"route\":\"%s\"",
			       gwy_route_of(req)->name);
	if (req->service != FS_NONE)
		g_string_append_printf(out, ",\"service\":\"%s\"",
				       gwy_service_name(req));
	g_string_append_printf(out, ",\"version\":%" G_GUINT64_FORMAT,
			       req->cfg->version);
	if (req->organisation != FS_NONE)
		g_string_append_printf(
			out, ",\"organisation\":\"%s\"",
			req->cfg->organisations[req->organisation].name);
	if (req->key_fault)
		g_string_append_printf(out, ",\"key\":\"%s\"", req->key_fault);
}

void gwy_request_log_event(const struct gwy_request *req, GLogLevelFlags level,
			   const char *event, const char *fields)
{
	g_autoptr(GString) out = g_string_new("\"request\":");

	fs_json_string(out, req->id ? req->id : "");
	g_string_append_printf(out, ",%s", fields);
	fs_log_event("gwy", level, event, out->str);
}

void gwy_request_log(struct gwy_request *req, const char *outcome,
		     int64_t now_us)
{
	g_autoptr(GString) out = g_string_new("\"request\":");

	if (req->logged)
		return;
	req->logged = true;
	if (req->cfg && req->service != FS_NONE && req->status >= 500)
		gwy_rank_count(req, (struct lod_service_counts){.unserved = 1});
	fs_json_string(out, req->id ? req->id : "");
	g_string_append_printf(out, ",\"outcome\":\"%s\",\"status\":%u",
			       outcome, req->status);
	append_decision(req, out);
	if (req->cfg && req->service != FS_NONE && gwy_rank_matters(req))
		g_string_append_printf(out, ",\"rank\":%u,\"yielded\":%s",
				       gwy_rank_of(req),
				       req->yielded ? "true" : "false");
	g_string_append_printf(
		out, ",\"took_ms\":%lld,\"given_ms\":%lld",
		(long long)((now_us - req->started_us) / FS_US_PER_MS),
		(long long)((req->deadline_us - req->started_us) /
			    FS_US_PER_MS));
	if (req->no_retry_reason)
		g_string_append_printf(out, ",\"no_retry\":\"%s\"",
				       req->no_retry_reason);
	if (req->quota_state)
		g_string_append_printf(out, ",\"quota\":%s", req->quota_state);
	append_attempts(req, out);
	fs_log_event("gwy", G_LOG_LEVEL_INFO, "request", out->str);
}
