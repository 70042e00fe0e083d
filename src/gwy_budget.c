#include "gwy_impl.h"

#include "rty.h"

struct bud *gwy_budget_of(struct gwy_request *req)
{
	struct gwy *gwy = req->gwy;
	const char *name = gwy_service_name(req);
	struct bud *bud = g_hash_table_lookup(gwy->budgets, name);

	if (!bud) {
		bud = g_new0(struct bud, 1);
		g_hash_table_insert(gwy->budgets, g_strdup(name), bud);
	}
	return bud;
}

double gwy_budget_request_rate(struct gwy_request *req, int64_t now_us)
{
	return bud_request_rate(gwy_budget_of(req), &req->gwy->budget_rule,
				now_us);
}

/* A node may always use its own share. One that knows the counts of the others
 * may borrow what the fleet has left. */
static double budget_left(struct gwy_request *req, int64_t now_us)
{
	struct gwy *gwy = req->gwy;
	const char *service = gwy_service_name(req);
	double own_left = bud_retries_left(gwy_budget_of(req),
					   &gwy->budget_rule,
					   gwy->members_alive, now_us);
	double fleet_left = lod_retry_budget_left(gwy->lod, service,
						  &gwy->budget_rule, now_us);
	double recent = bud_recent_retries(gwy_budget_of(req),
					   &gwy->budget_rule, now_us);
	double rate = lod_request_rate(gwy->lod, service, now_us);

	if (!lod_is_current(gwy->lod, now_us))
		return own_left;
	return MAX(own_left, bud_borrowable(fleet_left, rate) - recent);
}

/* Returns the budget for a retry of this request: none if what is left is kept
 * for more urgent ones. */
int64_t gwy_budget_milli(struct gwy_request *req, int64_t now_us)
{
	double left = budget_left(req, now_us);

	/* An attempt that reached no server costs no retry budget. */
	if (!req->attempts_sent)
		return RTY_COST_MILLI;
	req->rank_denied = left >= 1.0 &&
			   !gwy_rank_may_retry(req, left, now_us);
	return req->rank_denied ? 0 : (int64_t)(left * RTY_COST_MILLI);
}
