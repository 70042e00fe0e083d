#include <string.h>

#include "ent_check.h"
#include "gwy_impl.h"
#include "org.h"
#include "rte.h"

/* Room in a connection's memory for the head of an ordinary answer, in bytes. Without it
 * a request is not sent, as its answer would be lost after the run. */
#define ANSWER_HEAD_MIN 1024
/* Longest request id of a caller that is forwarded, in bytes; a longer one is
 * replaced. */
#define REQUEST_ID_MAX 128

static void *on_target(void *arg, const char *target,
		       struct MHD_Connection *connection)
{
	return gwy_request_new(arg, target, connection);
}

static bool is_fleet_field(const struct gwy_request *req, const char *name)
{
	const struct gwy_fields *fields = &req->gwy->fields;

	return !g_ascii_strcasecmp(name, fields->target.request_id) ||
	       !g_ascii_strcasecmp(name, fields->target.deadline_ms) ||
	       !g_ascii_strcasecmp(name, fields->instance) ||
	       org_is_withheld(req->cfg, fields->organisation, name);
}

/* Drops hop-by-hop fields and fields that the fleet sets itself. */
static GArray *forwarded_headers(const struct gwy_request *req,
				 const GArray *headers)
{
	g_autoptr(GArray) end_to_end = ent_check_copy_end_to_end(headers);
	GArray *out = msg_headers_new();

	for (guint i = 0; i < end_to_end->len; i++) {
		const struct msg_header *h =
			&g_array_index(end_to_end, struct msg_header, i);

		if (!is_fleet_field(req, h->name))
			msg_headers_add(out, h->name, h->value);
	}
	if (req->organisation != FS_NONE)
		msg_headers_add(
			out, req->gwy->fields.organisation,
			req->cfg->organisations[req->organisation].title);
	return out;
}

static void set_request_id(struct gwy_request *req, const GArray *headers)
{
	struct gwy *gwy = req->gwy;
	const char *id =
		msg_headers_get(headers, gwy->fields.target.request_id);

	if (id && *id && strlen(id) <= REQUEST_ID_MAX)
		req->id = g_strdup(id);
	else
		req->id = g_strdup_printf(
			"%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
			"x-%" G_GINT64_MODIFIER "x",
			gwy->node->self, gwy->node->incarnation,
			++gwy->id_counter);
}

/* Sets the deadline that the caller allows. A route may shorten it. */
static void set_deadline(struct gwy_request *req, const GArray *headers)
{
	const char *text =
		msg_headers_get(headers, req->gwy->fields.target.deadline_ms);
	int64_t allowed_us = GWY_DEADLINE_DEFAULT_US;
	guint64 ms;

	if (text &&
	    g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT32, &ms, NULL)) {
		req->client_timeout_us = (int64_t)ms * FS_US_PER_MS;
		allowed_us =
			MAX(req->client_timeout_us - GWY_DEADLINE_MARGIN_US,
			    req->client_timeout_us / 2);
	}
	req->deadline_us = req->started_us + allowed_us;
	gwy_stop_limit_deadline(req);
}

static void limit_deadline_to_route(struct gwy_request *req)
{
	int64_t limit_us = gwy_route_of(req)->deadline_us;

	if (limit_us > 0)
		req->deadline_us =
			MIN(req->deadline_us, req->started_us + limit_us);
}

static int find_organisation(struct gwy_request *req)
{
	struct org_caller caller;
	int err = org_find(req->cfg, req->route, req->m->request.headers,
			   &caller);

	req->organisation = caller.organisation;
	req->key_fault = caller.fault;
	return err;
}

static int find_route(struct gwy_request *req, const char *host,
		      const char *path, int64_t body_length)
{
	const struct cfg *cfg = req->cfg;
	int err = rte_find(cfg, host, path, rte_method(req->m->request.method),
			   &req->route);

	/* Only the route says whether a key is needed. */
	if (!err)
		err = find_organisation(req);
	if (err)
		return err;
	req->service =
		rte_draw_service(gwy_route_of(req), gwy_random(req->gwy));
	if (cfg->limits.body_bytes && body_length > 0 &&
	    (uint64_t)body_length > cfg->limits.body_bytes)
		return FS_E_BODY_TOO_LARGE;
	return 0;
}

/* Does the checks that need no configuration. */
static int validate(struct gwy_request *req, const char *version)
{
	struct msg_request *request = &req->m->request;
	struct ent_head head;
	int err = req->err;

	if (!err)
		err = ent_check_headers(version, request->headers, &head);
	if (!err)
		err = ent_check_raw_target(req->target, &req->path);
	if (err)
		return err;
	request->host = g_strdup(head.host);
	req->body_length = head.body_length;
	req->no_chunks = head.no_chunks;
	return 0;
}

/* Finds the route. The request uses the current configuration until it ends. */
static int resolve_route(struct gwy_request *req)
{
	struct msg_request *request = &req->m->request;
	GArray *headers;
	int err;

	req->cfg = cfg_ref(req->gwy->cfg);
	htd_renew_idle(req->gwy->htd, req->connection);
	err = find_route(req, request->host, req->path, req->body_length);
	if (err)
		return err;
	limit_deadline_to_route(req);
	headers = forwarded_headers(req, request->headers);
	g_array_unref(request->headers);
	request->headers = headers;
	return 0;
}

static bool is_ready(const struct gwy *gwy)
{
	return gwy->cfg && gwy->node->ready;
}

/* Does all checks that are possible before the body is read. */
static void check_headers(struct gwy_request *req, const char *method,
			  const char *version)
{
	struct msg_request *request;
	int err;

	req->headers_received = true;
	req->m = msg_new(MSG_REQUEST, req->gwy->node->self, MSG_TASK_ENTRY);
	request = &req->m->request;
	request->method = g_strdup(method);
	request->target = g_strdup(req->target);
	request->headers = msg_headers_new();
	if (!htd_read_headers(req->connection, request->headers))
		req->err = FS_E_BAD_REQUEST;
	set_request_id(req, request->headers);
	set_deadline(req, request->headers);
	err = validate(req, version);
	if (!err && is_ready(req->gwy))
		err = resolve_route(req);
	if (err)
		gwy_answer_refuse(req, err, 0, fs_now_us());
	else if (req->body_length > 0)
		req->err = gwy_held_check_body(req, (size_t)req->body_length);
}

/* A refused body holds nothing while its caller sends the rest. */
static void drop_body(struct gwy_request *req)
{
	g_byte_array_unref(req->body);
	req->body = g_byte_array_new();
	gwy_held_update(req);
}

static void append_body(struct gwy_request *req, const char *data, size_t size)
{
	uint64_t limit = req->cfg ? req->cfg->limits.body_bytes : 0;

	if (req->err)
		return;
	if (limit && req->body->len + size > limit)
		req->err = FS_E_BODY_TOO_LARGE;
	else
		req->err = gwy_held_check_body(req, req->body->len + size);
	if (req->err) {
		drop_body(req);
		return;
	}
	g_byte_array_append(req->body, (const guint8 *)data, (guint)size);
	gwy_held_update(req);
}

static void defer_or_refuse(struct gwy_request *req, int64_t now_us)
{
	int64_t until_us = req->gwy->started_us + GWY_DEFER_MAX_US;

	if (req->gwy->stopping)
		until_us = MIN(until_us, req->gwy->last_answer_us);
	if (now_us >= until_us) {
		gwy_answer_refuse(
			req, FS_E_NOT_READY,
			gwy_stop_retry_after(req->gwy, GWY_DEFER_MAX_US),
			now_us);
		return;
	}
	req->state = GWY_DEFERRED;
	gwy_request_timer(req, MIN(now_us + NODE_TICK_US / 2, until_us),
			  now_us);
}

static int check_answer_room(const struct gwy_request *req)
{
	size_t room = htd_answer_head_max(req->gwy->htd, req->connection);
	bool is_known = room > 0;

	return is_known && room < ANSWER_HEAD_MIN ? FS_E_HEADERS_TOO_LARGE : 0;
}

/* Starts the first attempt of a completely received request. */
static void dispatch(struct gwy_request *req, int64_t now_us)
{
	if (!req->err && !req->cfg) {
		if (!is_ready(req->gwy)) {
			defer_or_refuse(req, now_us);
			return;
		}
		req->err = resolve_route(req);
	}
	if (!req->err)
		req->err = check_answer_room(req);
	if (!req->err)
		req->err = gwy_held_reserve(req);
	if (req->err) {
		gwy_answer_refuse(
			req, req->err,
			req->err == FS_E_ENTRY_FULL ?
				gwy_stop_retry_after(req->gwy, FS_US_PER_S) :
				0,
			now_us);
		return;
	}
	req->m->request.body =
		g_byte_array_free_to_bytes(g_steal_pointer(&req->body));
	gwy_send_first(req, now_us);
}

void gwy_http_resume_deferred(struct gwy_request *req, int64_t now_us)
{
	dispatch(req, now_us);
}

static enum MHD_Result queue_response(struct gwy_request *req)
{
	return MHD_queue_response(req->connection, req->status, req->response);
}

/* An answer that is queued with the header fields closes the connection. A caller
 * with a wrong key may go on, if there is no body to be spared. */
static bool keeps_connection(const struct gwy_request *req)
{
	return req->key_fault && !req->body_length;
}

/* MHD calls this with the header fields, with each part of the body, at its
 * end, and after each resume. */
static enum MHD_Result on_access(void *arg, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *upload_data,
				 size_t *upload_size, void **context)
{
	struct gwy_request *req = *context;

	(void)arg;
	(void)connection;
	(void)url;
	if (!req->headers_received) {
		check_headers(req, method, version);
		return req->response && !keeps_connection(req) ?
			       queue_response(req) :
			       MHD_YES;
	}
	if (*upload_size) {
		append_body(req, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (req->state == GWY_READING) {
		req->read_us = fs_now_us();
		dispatch(req, req->read_us);
	}
	if (req->response)
		return queue_response(req);
	gwy_request_suspend(req);
	return MHD_YES;
}

static const char *termination_name(enum MHD_RequestTerminationCode code)
{
	switch (code) {
	case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
		return "timeout";
	case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
		return "stopped";
	case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
	case MHD_REQUEST_TERMINATED_READ_ERROR:
		return "caller_gone";
	default:
		return "error";
	}
}

/* Logs a request whose caller did not get the whole answer. */
static void log_cut(struct gwy_request *req,
		    enum MHD_RequestTerminationCode code)
{
	g_autofree char *fields = NULL;

	if (!req->logged) {
		gwy_request_log(req, termination_name(code), fs_now_us());
		return;
	}
	ctr_count(req->gwy->node->ctr, "gwy_answers_cut", 1);
	fields = g_strdup_printf("\"reason\":\"%s\"", termination_name(code));
	gwy_request_log_event(req, G_LOG_LEVEL_INFO, "answer_cut", fields);
}

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	struct gwy_request *req = *context;

	(void)arg;
	(void)connection;
	if (!req)
		return;
	*context = NULL;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
	    req->headers_received)
		log_cut(req, code);
	gwy_request_free(req);
}

const struct htd_ops gwy_http_ops = {
	.access = on_access,
	.completed = on_completed,
	.target = on_target,
};
