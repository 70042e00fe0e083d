#include "ent.h"

static void start_cancel(struct ent_request *req)
{
	ent_send_cancel(req);
	req->state = ENT_CANCELLING;
	ent_request_start_timer(req, ENT_CANCEL_TIMEOUT_US);
}

static void refuse_outcome_unknown(struct ent_request *req, int64_t now_us)
{
	ent_record_refusal(req, AUD_R_OUTCOME_UNKNOWN, FS_E_DISPATCHER_LOST,
			   "written", 1, "cancel_confirmed", 0, now_us);
	ent_answer_refuse(req, FS_E_DISPATCHER_LOST, FS_UNKNOWN, 0, now_us);
}

void ent_lost_timeout(struct ent_request *req, int64_t now_us)
{
	switch (req->state) {
	case ENT_SENT:
		start_cancel(req);
		break;
	case ENT_CANCELLING:
		refuse_outcome_unknown(req, now_us);
		break;
	case ENT_STREAMING:
		ent_send_cancel(req);
		ent_stream_abort(req, "deadline", now_us);
		break;
	default:
		break;
	}
}

/* Counts the live members that the request was not sent to yet. */
static int64_t count_eligible_nodes(const struct ent_request *req)
{
	const struct mem_view *view = req->ent->view;
	int64_t count = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		bool ineligible = view->members[i].state != MEM_ALIVE;

		for (uint32_t j = 0; j < req->tried_nodes_count; j++)
			ineligible |= req->tried_nodes[j] ==
				      view->members[i].id;
		count += !ineligible;
	}
	return count;
}

static bool try_retry(struct ent_request *req, int64_t now_us)
{
	const struct cfg_route *route = &req->cfg->routes[req->route];
	const char *service = req->cfg->services[req->service].name;
	struct rty_budget *budget =
		g_hash_table_lookup(req->ent->budgets, service);
	struct rty_input input = {
		.repeatable = route->repeatable,
		.written = 1,
		.begun = 0,
		.tries = req->tries,
		.tries_max = route->tries,
		.budget_milli = budget ? rty_budget_milli(budget, now_us) : 0,
		.remaining_us = req->deadline_us - now_us,
		.usable = count_eligible_nodes(req),
	};
	bool allowed = rty_allowed(&input);

	ent_record_retry(req, allowed, &input, now_us);
	if (!allowed || !ent_send_next(req, true, now_us))
		return false;
	if (budget)
		rty_budget_spend(budget);
	req->ambiguous = true;
	ctr_count(req->ent->node->ctr, "ent_retries", 1);
	return true;
}

/* The dispatcher may be healthy although the link is lost; its answer then
 * arrives over the link that it opened itself. A request that can not be
 * retried therefore waits for up to ENT_LINK_LOSS_GRACE_US before it is
 * cancelled. */
static void on_dispatcher_link_down(struct ent_request *req, int64_t now_us)
{
	int64_t remaining_us =
		req->deadline_us + ENT_DEADLINE_GRACE_US - now_us;

	if (req->state == ENT_STREAMING) {
		ent_send_cancel(req);
		ent_stream_abort(req, "link_down", now_us);
	} else if (req->state == ENT_SENT && !try_retry(req, now_us)) {
		ent_request_start_timer(
			req, MIN(remaining_us, ENT_LINK_LOSS_GRACE_US));
	}
}

static void record_link_down(struct ent *ent, node_id node, int64_t now_us)
{
	int64_t *down_us = g_hash_table_lookup(ent->link_down_us, &node);

	if (!down_us) {
		down_us = g_new0(int64_t, 1);
		g_hash_table_insert(ent->link_down_us,
				    g_memdup2(&node, sizeof(node)), down_us);
	}
	*down_us = now_us;
}

void ent_lost_link(struct ent *ent, node_id node, int64_t now_us)
{
	g_autoptr(GList) requests = g_hash_table_get_values(ent->requests);

	record_link_down(ent, node, now_us);
	for (GList *l = requests; l; l = l->next) {
		struct ent_request *req = l->data;

		if (req->node == node)
			on_dispatcher_link_down(req, now_us);
	}
}

void ent_lost_caller(struct ent_request *req)
{
	int64_t now_us = fs_now_us();

	if (req->state == ENT_READING || req->state == ENT_ENDED)
		return;
	ctr_count(req->ent->node->ctr, "ent_callers_gone", 1);
	ent_send_cancel(req);
	if (req->state == ENT_STREAMING)
		ent_stream_abort(req, "caller_gone", now_us);
	else
		ent_answer_refuse(req, FS_E_CALLER_GONE, FS_UNKNOWN, 0, now_us);
}
