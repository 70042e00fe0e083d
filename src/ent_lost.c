#include "ent.h"

static void begin_cancel(struct ent_request *req)
{
	ent_send_cancel(req);
	req->state = ENT_CANCELLING;
	ent_request_start_timer(req, ENT_CANCEL_TIMEOUT_US);
}

static void refuse_unknown(struct ent_request *req, int64_t now_us)
{
	ent_record_refusal(req, AUD_R_OUTCOME_UNKNOWN, FS_E_DISPATCHER_LOST,
			   "written", 1, "cancel_confirmed", 0, now_us);
	ent_answer_refuse(req, FS_E_DISPATCHER_LOST, FS_UNKNOWN, 0, now_us);
}

void ent_lost_timeout(struct ent_request *req, int64_t now_us)
{
	switch (req->state) {
	case ENT_SENT:
		begin_cancel(req);
		break;
	case ENT_CANCELLING:
		refuse_unknown(req, now_us);
		break;
	case ENT_STREAMING:
		ent_send_cancel(req);
		ent_stream_abort(req, "deadline", now_us);
		break;
	default:
		break;
	}
}

/* Live members that have not had the request. */
static int64_t count_usable(const struct ent_request *req)
{
	const struct mem_view *view = req->ent->view;
	int64_t count = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		bool used = view->members[i].state != MEM_ALIVE;

		for (uint32_t j = 0; j < req->used_count; j++)
			used |= req->used[j] == view->members[i].id;
		count += !used;
	}
	return count;
}

static bool may_retry(struct ent_request *req, int64_t now_us)
{
	const struct cfg_route *route = &req->cfg->routes[req->route];
	const char *service = req->cfg->services[req->service].name;
	struct rty_budget *budget =
		g_hash_table_lookup(req->ent->budgets, service);
	struct rty_input numbers = {
		.repeatable = route->repeatable,
		.written = 1,
		.begun = 0,
		.tries = req->tries,
		.tries_max = route->tries,
		.budget_milli = budget ? rty_budget_milli(budget, now_us) : 0,
		.remaining_us = req->deadline_us - now_us,
		.usable = count_usable(req),
	};
	bool allowed = rty_allowed(&numbers);

	ent_record_retry(req, allowed, &numbers, now_us);
	if (!allowed || !ent_send_next(req, true, now_us))
		return false;
	if (budget)
		rty_budget_spend(budget);
	req->ambiguous = true;
	ctr_count(req->ent->node->ctr, "ent_retries", 1);
	return true;
}

/* The dispatcher may be well and only its link lost; its answer then comes by
 * the link that it opened itself. A request that can not be sent elsewhere
 * therefore waits for a while before it is withdrawn. */
static void lose_one(struct ent_request *req, int64_t now_us)
{
	int64_t left_us = req->deadline_us + ENT_DEADLINE_GRACE_US - now_us;

	if (req->state == ENT_STREAMING) {
		ent_send_cancel(req);
		ent_stream_abort(req, "link_down", now_us);
	} else if (req->state == ENT_SENT && !may_retry(req, now_us)) {
		ent_request_start_timer(req,
					MIN(left_us, ENT_LINK_LOSS_GRACE_US));
	}
}

static void note_down(struct ent *ent, node_id node, int64_t now_us)
{
	int64_t *at = g_hash_table_lookup(ent->down, &node);

	if (!at) {
		at = g_new0(int64_t, 1);
		g_hash_table_insert(ent->down, g_memdup2(&node, sizeof(node)),
				    at);
	}
	*at = now_us;
}

void ent_lost_link(struct ent *ent, node_id node, int64_t now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(ent->requests);

	note_down(ent, node, now_us);
	for (GList *l = all; l; l = l->next) {
		struct ent_request *req = l->data;

		if (req->node == node)
			lose_one(req, now_us);
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
