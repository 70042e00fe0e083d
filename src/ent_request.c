#include "ent.h"

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	ent_lost_timeout(timer->data, fs_now_us());
}

static void on_disconnect(void *arg)
{
	ent_lost_caller(arg);
}

struct ent_request *ent_request_new(struct ent *ent, const char *target,
				    struct MHD_Connection *connection)
{
	struct ent_request *req = g_new0(struct ent_request, 1);

	req->ent = ent;
	req->connection = connection;
	req->id.node = ent->node->self;
	req->id.incarnation = ent->node->incarnation;
	req->id.counter = ++ent->counter;
	req->started_us = fs_now_us();
	req->target = g_strdup(target);
	req->body = g_byte_array_new();
	req->route = req->service = req->shard = FS_NONE;
	ev_init(&req->timer, on_timer);
	req->timer.data = req;
	htd_gone_init(&req->gone, on_disconnect, req);
	g_queue_init(&req->stream.pieces);
	ent->open_requests++;
	return req;
}

void ent_request_free(struct ent_request *req)
{
	struct ent *ent = req->ent;

	ent_request_end(req);
	htd_gone_stop(&req->gone);
	ent->open_requests--;
	ent->body_bytes -= req->body->len;
	g_byte_array_unref(req->body);
	g_clear_pointer(&req->headers, g_array_unref);
	g_clear_pointer(&req->response, MHD_destroy_response);
	ent_stream_clear(&req->stream);
	cfg_unref(req->cfg);
	g_free(req->target);
	g_free(req->path);
	g_free(req->method);
	g_free(req->server);
	g_free(req);
}

void ent_request_suspend(struct ent_request *req)
{
	if (req->suspended)
		return;
	req->suspended = true;
	MHD_suspend_connection(req->connection);
	htd_gone_start(&req->gone, htd_gone_set_of(req->ent->htd),
		       req->connection);
}

void ent_request_resume(struct ent_request *req)
{
	if (!req->suspended)
		return;
	req->suspended = false;
	htd_gone_stop(&req->gone);
	MHD_resume_connection(req->connection);
	htd_kick(req->ent->htd);
}

void ent_request_start_timer(struct ent_request *req, int64_t after_us)
{
	struct ev_loop *loop = req->ent->node->loop;

	ev_timer_stop(loop, &req->timer);
	ev_timer_set(&req->timer, (double)MAX(after_us, 0) / FS_US_PER_S, 0.0);
	ev_timer_start(loop, &req->timer);
}

void ent_request_record_end(struct ent_request *req, const char *cause,
			    int64_t now_us)
{
	struct node *node = req->ent->node;
	const struct cfg_service *service;
	int64_t elapsed_us = now_us - req->started_us;
	g_autofree char *name = NULL;

	if (req->end_recorded || req->service == FS_NONE)
		return;
	req->end_recorded = true;
	service = &req->cfg->services[req->service];
	if (!cause) {
		name = g_strdup_printf("ent_answer{service=%s}", service->name);
		ctr_observe(node->ctr, ctr_histogram(node->ctr, name),
			    elapsed_us);
		if (!req->succeeded)
			cause = "server_error";
		else if (elapsed_us > service->objective_us)
			cause = "slow";
	}
	brn_note(node->brn, service->name, !cause, cause, req->server,
		 req->target_attempts > 1, now_us);
}

void ent_request_end(struct ent_request *req)
{
	uint64_t counter = req->id.counter;

	ev_timer_stop(req->ent->node->loop, &req->timer);
	if (g_hash_table_lookup(req->ent->requests, &counter) == req)
		g_hash_table_remove(req->ent->requests, &counter);
	req->state = ENT_ENDED;
}
