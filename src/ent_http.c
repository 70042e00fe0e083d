#include <string.h>

#include "ent.h"

/* Body bytes discarded past the limit, so that the refusal can be sent. */
#define DISCARD_MAX_BYTES (1024 * 1024)

static void *on_target(void *arg, const char *target,
		       struct MHD_Connection *connection)
{
	return ent_request_new(arg, target, connection);
}

/* Refuses a request for a reason found by the entry itself. */
static void refuse(struct ent_request *req, int err, int64_t size,
		   int64_t limit)
{
	int64_t now_us = fs_now_us();

	ent_record_refusal(req, AUD_R_REQUEST, err, limit ? "size" : NULL, size,
			   "limit", limit, now_us);
	ent_answer_refuse(req, err, FS_NOT_RUN, 0, now_us);
}

static void refuse_not_ready(struct ent_request *req)
{
	int64_t now_us = fs_now_us();

	ent_record_refusal(req, AUD_R_NOT_READY, FS_E_NOT_READY, "ready", 0,
			   NULL, 0, now_us);
	ent_answer_refuse(req, FS_E_NOT_READY, FS_NOT_RUN, FS_US_PER_S, now_us);
}

static int find_route(struct ent_request *req)
{
	int err = rte_find(req->cfg, req->head.host, req->path,
			   rte_method(req->method), &req->route);

	if (err)
		return err;
	req->service = req->cfg->routes[req->route].service;
	req->deadline_us =
		req->started_us + req->cfg->routes[req->route].deadline_us;
	req->body_max = MIN(req->cfg->routes[req->route].body_max, FS_BODY_MAX);
	return 0;
}

/* Runs the checks that do not need the body. */
static void check_head(struct ent_request *req, const char *method,
		       const char *version)
{
	struct ent *ent = req->ent;
	int err;

	req->head_checked = true;
	req->method = g_strdup(method);
	req->headers = msg_headers_new();
	if (!htd_read_headers(req->connection, req->headers))
		req->err = FS_E_BAD_REQUEST;
	err = req->err;
	if (!err)
		err = ent_check_headers(version, req->headers, &req->head);
	if (!err)
		err = ent_check_target(req->target, &req->path);
	if (err) {
		refuse(req, err, 0, 0);
		return;
	}
	if (ent_own_answer_path(req))
		return;
	/* A stopped entry waits only for the dispatch task before the exit. */
	if (!ent->cfg || !ent->view || ent->stopped) {
		refuse_not_ready(req);
		return;
	}
	req->cfg = cfg_ref(ent->cfg);
	err = find_route(req);
	if (err)
		refuse(req, err, 0, 0);
	else if (req->head.body_length > req->body_max)
		refuse(req, FS_E_BODY_TOO_LARGE, req->head.body_length,
		       req->body_max);
}

/* Appends a part of the body. Returns false if the connection must be closed:
 * MHD can not answer before the complete body is received. */
static bool append_body(struct ent_request *req, const char *data, size_t size)
{
	struct ent *ent = req->ent;

	req->body_bytes += size;
	if (fs_now_us() - req->started_us > ENT_READ_TIMEOUT_US ||
	    req->body_bytes > req->body_max + (uint64_t)DISCARD_MAX_BYTES) {
		ctr_count(ent->node->ctr, "ent_bodies_dropped", 1);
		return false;
	}
	if (req->body_bytes > req->body_max)
		req->err = FS_E_BODY_TOO_LARGE;
	else if (ent->body_bytes + size > ENT_BODY_BYTES_MAX)
		req->err = FS_E_ENTRY_FULL;
	if (req->err)
		return true;
	ent->body_bytes += size;
	g_byte_array_append(req->body, (const guint8 *)data, (guint)size);
	return true;
}

static void send_or_refuse(struct ent_request *req)
{
	struct ent *ent = req->ent;
	int64_t open = g_hash_table_size(ent->requests);

	if (req->err == FS_E_BODY_TOO_LARGE)
		refuse(req, req->err, (int64_t)req->body_bytes, req->body_max);
	else if (req->err)
		refuse(req, req->err, (int64_t)ent->body_bytes + 1,
		       ENT_BODY_BYTES_MAX);
	else if (open >= ENT_REQUESTS_MAX)
		refuse(req, FS_E_ENTRY_FULL, open + 1, ENT_REQUESTS_MAX);
	else
		ent_send_first(req, fs_now_us());
}

static enum MHD_Result queue_response(struct ent_request *req)
{
	return MHD_queue_response(req->connection, req->status, req->response);
}

/* Called with the header fields, with each part of the body, at its end, and
 * after each resume. */
static enum MHD_Result on_access(void *arg, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *upload_data,
				 size_t *upload_size, void **context)
{
	struct ent_request *req = *context;

	(void)arg;
	(void)connection;
	(void)url;
	if (!req->head_checked) {
		check_head(req, method, version);
		return req->response ? queue_response(req) : MHD_YES;
	}
	if (*upload_size) {
		bool accepted = append_body(req, upload_data, *upload_size);

		*upload_size = 0;
		return accepted ? MHD_YES : MHD_NO;
	}
	if (req->state == ENT_READING)
		send_or_refuse(req);
	if (req->response)
		return queue_response(req);
	ent_request_suspend(req);
	return MHD_YES;
}

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	struct ent_request *req = *context;

	(void)arg;
	(void)connection;
	if (!req)
		return;
	*context = NULL;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		ent_lost_caller(req);
	ent_request_free(req);
}

const struct htd_ops ent_http_ops = {
	.access = on_access,
	.completed = on_completed,
	.target = on_target,
};
