#include "gwy_impl.h"

/* An answer is overdue after 2.5 mean latencies, which one request in twenty
 * of the deployments' workloads exceeds, but not before half of the route's
 * objective. */
#define OVERDUE_MEANS 2.5
#define OVERDUE_OBJECTIVE_SHARE 0.5
/* A hedge starts at the latest this many mean latencies before the deadline:
 * nine of ten requests take no longer. */
#define HEDGE_MARGIN_MEANS 2.0
/* A hedge at that latest time requires that more than this share of the retry
 * budget's slack is left. */
#define HEDGE_BUDGET_SHARE 0.3

/* Failure probability of a target after one overdue answer; at or above it a
 * hedge may answer sooner. */
#define HEDGE_FAILURE_PROBABILITY 0.3

int64_t gwy_overdue_us(const struct gwy_request *req)
{
	int64_t mean_us =
		lod_mean_latency(req->gwy->lod, gwy_service_name(req));

	return (int64_t)MAX((double)mean_us * OVERDUE_MEANS,
			    (double)gwy_choose_objective(req) *
				    OVERDUE_OBJECTIVE_SHARE);
}

int64_t gwy_overdue_hedge_latest_us(const struct gwy_request *req)
{
	int64_t mean_us =
		lod_mean_latency(req->gwy->lod, gwy_service_name(req));

	return MAX(req->deadline_us -
			   (int64_t)(HEDGE_MARGIN_MEANS * (double)mean_us),
		   req->attempts[0].started_us + gwy_overdue_us(req));
}

void gwy_overdue_report(struct gwy_request *req, int64_t now_us)
{
	int64_t overdue_us = gwy_overdue_us(req);

	for (uint32_t i = 0; i < req->attempt_count; i++) {
		struct gwy_attempt *t = &req->attempts[i];

		if (!t->in_flight || t->overdue ||
		    now_us - t->started_us < t->wait_us + overdue_us)
			continue;
		t->overdue = true;
		lod_record_outcome(req->gwy->lod, t->target, GRY_OVERDUE, 0);
	}
}

/* Returns whether an overdue answer will likely miss the deadline. */
static bool will_likely_miss_deadline(struct gwy_request *req,
				      const struct gwy_attempt *t,
				      int64_t now_us)
{
	const struct bud_rule *rule = &req->gwy->budget_rule;

	if (t->target->removed_from_dir ||
	    gry_failure_probability(&bal_target_get(t->target, now_us)->gry,
				    now_us) >= HEDGE_FAILURE_PROBABILITY)
		return true;
	return now_us >= gwy_overdue_hedge_latest_us(req) &&
	       lod_retry_budget_left(req->gwy->lod, gwy_service_name(req), rule,
				     now_us) > rule->slack * HEDGE_BUDGET_SHARE;
}

bool gwy_overdue_should_hedge(struct gwy_request *req, int64_t now_us)
{
	const struct gwy_attempt *t = &req->attempts[req->attempt_count - 1];
	struct bal_choice choice;

	if (!gwy_route_of(req)->repeatable || req->attempts_in_flight != 1 ||
	    !t->overdue || !will_likely_miss_deadline(req, t, now_us))
		return false;
	choice = gwy_choose(req, now_us);
	return choice.target && !choice.wait_us &&
	       choice.failure < HEDGE_FAILURE_PROBABILITY;
}
