#include "gwy_impl.h"

/* A failure costs a request that may not be repeated its whole worth, several
 * times the time it is allowed; another one costs it a second send, which the
 * budget may not have. In objectives of the route. */
#define FAILURE_ONCE 12
#define FAILURE_REPEATABLE 4
/* Another failure domain is used when waits or failures in the own one cost
 * more than this. Bytes between domains are dear: an answer of 90 kB costs the
 * dearer deployment three requests' worth, and waits for its own domain. */
#define CROSS_US (120 * FS_US_PER_MS)
#define CROSS_BYTE_US 60
#define OBJECTIVE_DEFAULT_US FS_US_PER_S /* of routes that tell none */

/* A wait that is expected to be longer than what is left by this much can't be
 * met: expected waits are right within a quarter. */
#define WAIT_SLACK 1.25

uint64_t gwy_random(struct gwy *gwy)
{
	gwy->random ^= gwy->random << 13;
	gwy->random ^= gwy->random >> 7;
	gwy->random ^= gwy->random << 17;
	return gwy->random;
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
	       (double)(req->deadline_us - now_us) * WAIT_SLACK;
}

static uint32_t tried(const struct gwy_request *req,
		      const struct dir_target *out[GWY_ATTEMPTS_MAX])
{
	for (uint32_t i = 0; i < req->try_count; i++)
		out[i] = req->tries[i].target;
	return req->try_count;
}

struct bal_choice gwy_choose(struct gwy_request *req, int64_t now_us)
{
	struct gwy *gwy = req->gwy;
	const struct dir_target *avoid[GWY_ATTEMPTS_MAX];
	const char *service = gwy_service_name(req);
	const struct dir_service *targets = dir_find(gwy->dir, service);
	int64_t objective_us = gwy_choose_objective(req);
	struct bal_choice choice;
	struct bal_query wish = {
		.domain = gwy->node->set.domain,
		.mean_us = lod_mean_latency(gwy->lod, service),
		.failure_us = objective_us * (gwy_route_of(req)->repeatable ?
						      FAILURE_REPEATABLE :
						      FAILURE_ONCE),
		.cross_us =
			CROSS_US + CROSS_BYTE_US * gwy_answer_mean_bytes(req),
		.repeatable = gwy_route_of(req)->repeatable,
		.avoid = avoid,
		.avoid_count = tried(req, avoid),
		.rate = lod_request_rate(gwy->lod, service, now_us),
		.domain_share = gwy->domain_share,
		.now_us = now_us,
		.random = gwy_random(gwy),
	};

	choice = bal_choose(targets, &wish);
	if (!choice.target ||
	    !gwy_choose_wait_exceeds_deadline(req, choice.wait_us, now_us))
		return choice;
	/* Waiting there would be for nothing: a doubtful target is better. */
	wish.failure_us = 0;
	wish.cross_us = 0;
	return bal_choose(targets, &wish);
}
