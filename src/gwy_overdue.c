#include "gwy_impl.h"

/* An answer is overdue at two and a half times the mean, where one request in
 * twenty of the deployments' work still runs, but not before half of the
 * route's objective. */
#define OVERDUE_MEANS 2.5
#define OVERDUE_SHARE 0.5
/* The last moment at which a second send is likely answered in time, in mean
 * times before the deadline: nine of ten requests take no longer. */
#define LAST_CHANCE_MEANS 2.0
/* It is taken only while this share of the budget is left. */
#define LAST_CHANCE_BUDGET 0.3

/* The first target is as likely to fail as one with a first overdue answer: a
 * second send may answer sooner. */
#define HEDGE_FAILURE 0.3

int64_t gwy_overdue_us(const struct gwy_request *req)
{
	int64_t mean_us =
		lod_mean_latency(req->gwy->lod, gwy_service_name(req));

	return (int64_t)MAX((double)mean_us * OVERDUE_MEANS,
			    (double)gwy_choose_objective(req) * OVERDUE_SHARE);
}

int64_t gwy_overdue_hedge_latest_us(const struct gwy_request *req)
{
	int64_t mean_us =
		lod_mean_latency(req->gwy->lod, gwy_service_name(req));

	return MAX(req->deadline_us -
			   (int64_t)(LAST_CHANCE_MEANS * (double)mean_us),
		   req->tries[0].started_us + gwy_overdue_us(req));
}

void gwy_overdue_report(struct gwy_request *req, int64_t now_us)
{
	int64_t late_us = gwy_overdue_us(req);

	for (uint32_t i = 0; i < req->try_count; i++) {
		struct gwy_attempt *t = &req->tries[i];

		if (!t->held || t->overdue ||
		    now_us - t->started_us < t->wait_us + late_us)
			continue;
		t->overdue = true;
		lod_record_outcome(req->gwy->lod, t->target, GRY_OVERDUE, 0);
	}
}

/* Returns whether an answer that is overdue will likely not come in time. */
static bool is_doubtful(struct gwy_request *req, const struct gwy_attempt *t,
			int64_t now_us)
{
	const struct bud_rule *rule = &req->gwy->budget_rule;

	if (t->target->gone ||
	    gry_failure_probability(&bal_target_get(t->target, now_us)->gry,
				    now_us) >= HEDGE_FAILURE)
		return true;
	return now_us >= gwy_overdue_hedge_latest_us(req) &&
	       lod_retry_budget_left(req->gwy->lod, gwy_service_name(req), rule,
				     now_us) > rule->slack * LAST_CHANCE_BUDGET;
}

bool gwy_overdue_should_hedge(struct gwy_request *req, int64_t now_us)
{
	const struct gwy_attempt *t = &req->tries[req->try_count - 1];
	struct bal_choice choice;

	if (!gwy_route_of(req)->repeatable || req->running != 1 ||
	    !t->overdue || !is_doubtful(req, t, now_us))
		return false;
	choice = gwy_choose(req, now_us);
	return choice.target && !choice.wait_us &&
	       choice.failure < HEDGE_FAILURE;
}
