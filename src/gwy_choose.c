#include "gwy_impl.h"

/* Cost of a failure, in multiples of the route's objective. A request that is
 * not repeatable, or has no attempt left, is lost, which costs several times its
 * allowed time. Another one costs a retry, for which the budget may be
 * exhausted. */
#define FAILURE_COST_FINAL 12
#define FAILURE_COST_RETRY 4
/* Another failure domain is used when waits or failures in the local one cost
 * more than this. Traffic between domains is expensive: an answer of 90 kB
 * costs as much as three requests in the more expensive deployment, so such
 * requests wait for a target in the local domain. */
#define CROSS_DOMAIN_US (120 * FS_US_PER_MS)
#define CROSS_DOMAIN_BYTE_US 60		 /* per byte of the mean answer */
#define OBJECTIVE_DEFAULT_US FS_US_PER_S /* of routes without one */

/* Expected waits are accurate to within a quarter: a request whose expected
 * wait exceeds the time left by more than that misses its deadline. */
#define WAIT_TOLERANCE 1.25

uint64_t gwy_random(struct gwy *gwy)
{
	gwy->random_state ^= gwy->random_state << 13;
	gwy->random_state ^= gwy->random_state >> 7;
	gwy->random_state ^= gwy->random_state << 17;
	return gwy->random_state;
}

int64_t gwy_choose_objective(const struct gwy_request *req)
{
	int64_t us = gwy_route_of(req)->objective_us;

	return us > 0 ? us : OBJECTIVE_DEFAULT_US;
}

bool gwy_choose_wait_exceeds_deadline(const struct gwy_request *req,
				      int64_t wait_us, int64_t now_us)
{
	return (double)wait_us >
	       (double)(req->deadline_us - now_us) * WAIT_TOLERANCE;
}

static uint32_t
attempted_targets(const struct gwy_request *req,
		  const struct dir_target *out[GWY_ATTEMPTS_MAX])
{
	for (uint32_t i = 0; i < req->attempt_count; i++)
		out[i] = req->attempts[i].target;
	return req->attempt_count;
}

/* A request draws anew once the sends before its last draw are known: parked ones
 * do not get through by asking often. */
static struct lim_query limit_query_of(struct gwy_request *req, int64_t now_us)
{
	struct gwy *gwy = req->gwy;
	const char *service = gwy_service_name(req);
	int64_t delay_us = lod_statement_delay_us(gwy->lod);
	double own_rate = gwy_budget_request_rate(req, now_us);
	uint64_t draw = req->draw + (uint64_t)(now_us / delay_us);

	return (struct lim_query){
		.rate = MAX(lod_request_rate(gwy->lod, service, now_us),
			    own_rate * gwy->members_alive),
		.waiting = (double)gwy->parked->len * gwy->members_alive,
		.delay_us = delay_us,
		.reported = gwy->members_alive == 1 ||
			    lod_is_current(gwy->lod, now_us),
		.draw = fs_random(&draw),
	};
}

/* Figures mislead more the more nodes choose by them. */
static bool is_load_predicted(const struct gwy *gwy)
{
	uint32_t nodes = gwy->node->set.even_load_nodes;

	return nodes && gwy->members_alive >= nodes;
}

static struct bal_query query_of(struct gwy_request *req,
				 const struct dir_target **avoid,
				 int64_t now_us)
{
	struct gwy *gwy = req->gwy;
	const char *service = gwy_service_name(req);
	int64_t objective_us = gwy_choose_objective(req);
	bool repeatable = gwy_route_of(req)->repeatable;
	uint32_t tries_max = MAX(gwy_route_of(req)->tries, 1);
	bool can_retry = repeatable && req->attempts_sent + 1 < tries_max;

	return (struct bal_query){
		.domain = gwy->node->set.domain,
		.mean_us = lod_mean_latency(gwy->lod, service),
		.failure_cost_us =
			objective_us *
			(can_retry ? FAILURE_COST_RETRY : FAILURE_COST_FINAL),
		.cross_domain_cost_us =
			CROSS_DOMAIN_US +
			CROSS_DOMAIN_BYTE_US * gwy_answer_mean_bytes(req),
		.repeatable = repeatable,
		.no_trial = req->attempt_count > 0,
		.avoid = avoid,
		.avoid_count = attempted_targets(req, avoid),
		.rate = lod_request_rate(gwy->lod, service, now_us),
		.limit = limit_query_of(req, now_us),
		.domain_share = gwy->domain_share,
		.even = is_load_predicted(gwy),
		.place = gwy->place,
		.figures_age_us = lod_counts_age_us(gwy->lod, now_us),
		.now_us = now_us,
		.random = gwy_random(gwy),
	};
}

struct bal_choice gwy_choose(struct gwy_request *req, int64_t now_us)
{
	const struct dir_target *avoid[GWY_ATTEMPTS_MAX];
	struct bal_query query = query_of(req, avoid, now_us);
	struct bal_choice choice = bal_choose(
		dir_find(req->gwy->dir, gwy_service_name(req)), &query);

	if (!query.repeatable || !choice.target ||
	    !gwy_choose_wait_exceeds_deadline(req, choice.wait_us, now_us))
		return choice;
	return gwy_choose_last_resort(req, now_us);
}

struct bal_choice gwy_choose_last_resort(struct gwy_request *req,
					 int64_t now_us)
{
	const struct dir_target *avoid[GWY_ATTEMPTS_MAX];
	struct bal_query query = query_of(req, avoid, now_us);

	query.failure_cost_us = 0;
	query.cross_domain_cost_us = 0;
	return bal_choose(dir_find(req->gwy->dir, gwy_service_name(req)),
			  &query);
}
