#include <string.h>

#include "gwy_impl.h"

/* One draw of a request for each kind of decision, so that it gains nothing by
 * deciding again. */
#define DRAW_ROOM 1
#define DRAW_RETRY 2
/* The requests that are let pass decide before the end of this. */
#define LET_PASS_US (2 * FS_US_PER_MS)

bool gwy_rank_matters(const struct gwy_request *req)
{
	return req->cfg->services[req->service].ranked;
}

uint32_t gwy_rank_of(const struct gwy_request *req)
{
	const struct cfg_organisation *organisation =
		req->organisation != FS_NONE ?
			&req->cfg->organisations[req->organisation] :
			NULL;

	return rnk_of(organisation && organisation->has_rank ?
			      &organisation->rank :
			      NULL,
		      gwy_route_of(req)->rank);
}

void gwy_rank_count(const struct gwy_request *req,
		    struct lod_service_counts counts)
{
	counts.ranked = gwy_rank_matters(req);
	if (counts.ranked)
		counts.rank = gwy_rank_of(req);
	lod_record_requests(req->gwy->lod, gwy_service_name(req), &counts);
}

static bool is_drawn(const struct gwy_request *req, uint64_t kind, double share)
{
	uint64_t state = req->draw + kind;

	return share >= 1.0 ||
	       (double)fs_random(&state) < share * (double)UINT64_MAX;
}

double gwy_rank_room_share(const struct gwy_request *req, int64_t now_us)
{
	struct rnk *ranks;

	if (!gwy_rank_matters(req))
		return 1.0;
	ranks = lod_ranks(req->gwy->lod, gwy_service_name(req), now_us);
	return rnk_room_share(ranks, gwy_rank_of(req), now_us);
}

bool gwy_rank_yields(const struct gwy_request *req, double room_share)
{
	return !is_drawn(req, DRAW_ROOM, room_share);
}

bool gwy_rank_may_retry(const struct gwy_request *req, double left,
			int64_t now_us)
{
	if (!gwy_rank_matters(req))
		return true;
	return is_drawn(req, DRAW_RETRY,
			lod_retry_share(req->gwy->lod, gwy_service_name(req),
					gwy_rank_of(req), left, now_us));
}

void gwy_rank_count_denied(const struct gwy_request *req,
			   const struct rty_input *n)
{
	struct rty_input funded = *n;

	funded.budget_milli = RTY_COST_MILLI;
	if (n->budget_milli >= RTY_COST_MILLI || !rty_allowed(&funded) ||
	    !gwy_rank_matters(req))
		return;
	gwy_rank_count(req, (struct lod_service_counts){.denied = 1});
	if (req->rank_denied)
		ctr_count(req->gwy->node->ctr, "gwy_rank_retries_denied", 1);
}

/* Returns the most urgent of the parked requests for the same service, the oldest
 * of these, if it is more urgent. */
static struct gwy_request *more_urgent_parked(const struct gwy_request *req)
{
	const struct gwy *gwy = req->gwy;
	struct gwy_request *best = NULL;
	uint32_t best_rank = gwy_rank_of(req);

	for (guint i = 0; i < gwy->parked->len; i++) {
		struct gwy_request *other = g_ptr_array_index(gwy->parked, i);
		uint32_t rank = gwy_rank_of(other);

		if (strcmp(gwy_service_name(other), gwy_service_name(req)) != 0)
			continue;
		if (rank < best_rank ||
		    (best && rank == best_rank &&
		     other->started_us < best->started_us)) {
			best = other;
			best_rank = rank;
		}
	}
	return best;
}

bool gwy_rank_lets_pass(struct gwy_request *req, int64_t now_us)
{
	struct gwy_request *other = NULL;

	if (!req->let_pass && gwy_rank_matters(req))
		other = more_urgent_parked(req);
	req->let_pass = other != NULL;
	if (!other)
		return false;
	gwy_request_timer(other, now_us, now_us);
	gwy_request_park(req, true);
	gwy_request_timer(req, now_us + LET_PASS_US, now_us);
	return true;
}
