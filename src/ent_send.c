#include "ent.h"
#include "ent_rules.h"

static int64_t down_us(const void *arg, node_id node)
{
	const struct ent *ent = arg;
	const int64_t *at = g_hash_table_lookup(ent->down, &node);

	return at ? *at : 0;
}

static struct ent_query wish_of(const struct ent_request *req)
{
	GRand *random = req->ent->random;

	return (struct ent_query){
		.service = req->service,
		.region = req->ent->node->set.region,
		.key = req->head.key,
		.used = req->used,
		.used_count = req->used_count,
		.avoid = FS_NONE,
		.random = {g_rand_int(random), g_rand_int(random)},
	};
}

static struct msg *message_of(const struct ent_request *req,
			      const struct shd_shard *shard, uint32_t rank,
			      int64_t now_us)
{
	const struct cfg *cfg = req->cfg;
	struct msg *m = msg_new(MSG_REQUEST, req->node, MSG_TASK_DISPATCH);
	struct msg_request *request = &m->request;

	request->id = req->id;
	request->config_version = cfg->version;
	request->service = g_strdup(cfg->services[req->service].name);
	request->region = g_strdup(shard->region);
	request->shard = shard->index;
	request->route = g_strdup(cfg->routes[req->route].name);
	request->forced = rank > 0;
	request->remaining_us = req->deadline_us - now_us;
	request->key = g_strdup(req->head.key);
	request->method = g_strdup(req->method);
	request->host = g_strdup(req->head.host);
	request->target = g_strdup(req->target);
	request->headers = ent_check_copy_end_to_end(req->headers);
	request->body = g_bytes_new(req->body->data, req->body->len);
	return m;
}

/* Sends to the dispatcher of a shard; false if it has none left. */
static bool send_to(struct ent_request *req, handle shard, int64_t now_us)
{
	struct ent *ent = req->ent;
	struct ent_query wish = wish_of(req);
	uint32_t rank = 0;
	node_id node = ent_pick_node(&ent->map->shards[shard], ent->view, &wish,
				     down_us, ent, now_us, &rank);

	if (!node || req->used_count == ENT_NODES_MAX)
		return false;
	req->shard = shard;
	req->node = node;
	req->used[req->used_count++] = node;
	req->tries++;
	req->state = ENT_SENT;
	ent->loads[shard].sent++;
	ctr_count(ent->node->ctr, "ent_sent", 1);
	bus_send(ent->node->bus,
		 message_of(req, &ent->map->shards[shard], rank, now_us));
	ent_request_start_timer(req, req->deadline_us + ENT_DEADLINE_GRACE_US -
					     now_us);
	return true;
}

/* A table of shards belongs to one configuration; a request that came under
 * an older one is matched again by name. */
static bool adopt_config(struct ent_request *req)
{
	struct cfg *cfg = req->ent->cfg;
	handle service =
		cfg_find_service(cfg, req->cfg->services[req->service].name);
	handle route = cfg_find_route(cfg, req->cfg->routes[req->route].name);

	if (cfg == req->cfg)
		return true;
	if (service == FS_NONE || route == FS_NONE ||
	    cfg->routes[route].service != service)
		return false;
	cfg_unref(req->cfg);
	req->cfg = cfg_ref(cfg);
	req->service = service;
	req->route = route;
	req->shard = FS_NONE;
	return true;
}

bool ent_send_next(struct ent_request *req, bool same_shard, int64_t now_us)
{
	struct ent *ent = req->ent;
	struct ent_query wish;
	handle shard;

	if (!adopt_config(req))
		return false;
	if (same_shard && req->shard != FS_NONE &&
	    send_to(req, req->shard, now_us))
		return true;
	if (req->head.key)
		return false;
	wish = wish_of(req);
	wish.avoid = req->shard;
	shard = ent_pick_shard(ent->map, ent->loads, &wish, now_us);
	return shard != FS_NONE && send_to(req, shard, now_us);
}

static void refuse_no_dispatcher(struct ent_request *req, int64_t now_us)
{
	ent_record_refusal(req, AUD_R_NO_DISPATCHER, FS_E_NO_DISPATCHER,
			   "reachable", 0, NULL, 0, now_us);
	ent_answer_refuse(req, FS_E_NO_DISPATCHER, FS_NOT_RUN, 0, now_us);
}

static struct rty_budget *budget_of(struct ent_request *req, int64_t now_us)
{
	const char *name = req->cfg->services[req->service].name;
	struct rty_budget *budget =
		g_hash_table_lookup(req->ent->budgets, name);

	if (!budget) {
		budget = g_new0(struct rty_budget, 1);
		rty_budget_init(budget, now_us);
		g_hash_table_insert(req->ent->budgets, g_strdup(name), budget);
	}
	return budget;
}

void ent_send_first(struct ent_request *req, int64_t now_us)
{
	struct ent *ent = req->ent;
	struct ent_query wish;
	handle shard;

	if (!adopt_config(req) ||
	    ent_rules_service_leaving(
		    req->cfg->services[req->service].leaving)) {
		ent_record_refusal(req, AUD_R_SERVICE_LEAVING,
				   FS_E_SERVICE_LEAVING, "leaving", 1, NULL, 0,
				   now_us);
		ent_answer_refuse(req, FS_E_SERVICE_LEAVING, FS_NOT_RUN, 0,
				  now_us);
		return;
	}
	if (ent_rules_deadline(req->deadline_us - now_us)) {
		ent_record_refusal(req, AUD_R_DEADLINE_QUEUED,
				   FS_E_DEADLINE_QUEUED, "remaining_us",
				   req->deadline_us - now_us, NULL, 0, now_us);
		ent_answer_refuse(req, FS_E_DEADLINE_QUEUED, FS_NOT_RUN, 0,
				  now_us);
		return;
	}
	rty_budget_earn(budget_of(req, now_us),
			req->cfg->services[req->service].retry_percent, now_us);
	g_hash_table_insert(ent->requests, &req->id.counter, req);
	wish = wish_of(req);
	shard = ent_pick_shard(ent->map, ent->loads, &wish, now_us);
	if (shard == FS_NONE || (!send_to(req, shard, now_us) &&
				 !ent_send_next(req, false, now_us)))
		refuse_no_dispatcher(req, now_us);
}

void ent_send_cancel(struct ent_request *req)
{
	struct msg *m = msg_new(MSG_CANCEL, req->node, MSG_TASK_DISPATCH);

	m->cancel.id = req->id;
	bus_send(req->ent->node->bus, m);
}

void ent_send_credit(struct ent_request *req, uint32_t bytes)
{
	struct msg *m = msg_new(MSG_CREDIT, req->node, MSG_TASK_DISPATCH);

	m->credit.id = req->id;
	m->credit.bytes = bytes;
	bus_send(req->ent->node->bus, m);
}
