#include "bal_impl.h"

#include <string.h>

#include "evn.h"

/* All nodes see the same evidence, so small differences would send all to the same
 * target. Slowness below this is chance or a queue; the failure probability of a
 * target without evidence is taken for that of any healthy one. */
#define SLOWNESS_MIN 2.0
#define FAILURE_MIN 0.088

/** A selection under way. */
struct even {
	const struct bal_query *query;
	double mean_us;
	struct evn evn;
	uint32_t start;		     /* index of the target near this node */
	uint32_t before[EVN_GROUPS]; /* targets in front of that one */
	uint32_t count[EVN_GROUPS];
};

/** A target and its place among those of its group. */
struct candidate {
	struct dir_target *target;
	struct bal_target *state;
	enum evn_group group;
	double place;
};

static enum evn_group group_of(const struct even *e,
			       const struct dir_target *target)
{
	return strcmp(target->entry.domain, e->query->domain) ?
		       EVN_OTHER_DOMAINS :
		       EVN_OWN_DOMAIN;
}

/* Returns whether nodes use a target by its load. */
static bool is_ordinary(const struct dir_target *target,
			const struct bal_target *state, int64_t now_us)
{
	return !bal_is_leaving(target) &&
	       !gry_is_suspected(&state->gry, now_us) &&
	       !tst_has_statement(&state->tst, now_us);
}

static void begin(struct even *e, const struct dir_service *service,
		  const struct bal_query *query)
{
	uint32_t count = service->ring->len;

	memset(e->before, 0, sizeof(e->before));
	memset(e->count, 0, sizeof(e->count));
	e->query = query;
	e->mean_us =
		(double)(query->mean_us ? query->mean_us : BAL_MEAN_DEFAULT_US);
	e->start = MIN((uint32_t)(MAX(query->place, 0) * count), count - 1);
	evn_begin(&e->evn, query->figures_age_us, (int64_t)e->mean_us);
	for (uint32_t i = 0; i < count; i++) {
		struct dir_target *target = g_ptr_array_index(service->ring, i);
		struct bal_target *state =
			bal_target_get(target, query->now_us);
		enum evn_group group = group_of(e, target);

		e->before[group] += i < e->start;
		e->count[group]++;
		if (is_ordinary(target, state, query->now_us))
			evn_add(&e->evn, group, state->others,
				MAX(target->entry.slots, 1));
	}
	evn_end(&e->evn);
}

/* While all targets are busy their counts stay high. If each refusal closed one for
 * long, all requests would meet at the few others. By the mean time to the end of a
 * request a refusal tells no more than the counts. */
static bool is_closed(const struct even *e, const struct candidate *c)
{
	uint32_t slots = MAX(c->target->entry.slots, 1);
	double since_us = (double)(e->query->now_us - c->state->gry.full_us);

	if (bal_is_limited(c->target, e->query))
		return true;
	return bal_is_full(c->target, e->query->now_us) &&
	       (c->state->own >= slots || since_us * slots < e->mean_us);
}

static double busy_of(const struct even *e, const struct candidate *c)
{
	struct bal_target *state = c->state;
	uint32_t slots = MAX(c->target->entry.slots, 1);
	int64_t now_us = e->query->now_us;

	if (!is_ordinary(c->target, state, now_us))
		return (double)state->own + state->others;
	state->surcharge = evn_surcharge(&e->evn, c->group, state->others,
					 slots, state->surcharge,
					 now_us - state->surcharge_us);
	state->surcharge_us = now_us;
	return state->own +
	       evn_predict(&e->evn, c->group, state->others, slots);
}

static double wait_of(const struct even *e, double busy, double slots)
{
	return MAX(busy - slots + 1.0, 0) * e->mean_us / slots;
}

/* Returns the cost, or a lower bound of it if that is @p limit_us or more. */
static double cost_of(const struct even *e, const struct candidate *c,
		      double limit_us, struct bal_choice *out, uint64_t *random)
{
	const struct bal_query *query = e->query;
	double slots = MAX(c->target->entry.slots, 1);
	double busy = busy_of(e, c);
	double load = busy + c->state->surcharge +
		      evn_preference(query->place < 0 ? 0 : query->place,
				     query->place < 0 ? bal_random(random) :
							c->place);
	double us =
		e->mean_us * (1.0 + BAL_LOAD_SLOWDOWN * MIN(load / slots, 1.0));
	double fixed_us = c->group == EVN_OTHER_DOMAINS ?
				  (double)query->cross_domain_cost_us :
				  0;
	double slowness;

	if (c->target->warm_us > query->now_us)
		us *= BAL_WARM_UP_FACTOR;
	us += wait_of(e, load, slots);
	if (us + fixed_us + FAILURE_MIN * (double)query->failure_cost_us >=
	    limit_us)
		return limit_us;
	slowness = gry_slowness(&c->state->gry, query->now_us);
	/* Predictions are no whole numbers. While less than all slots are taken
	 * no request is held back for a wait that may not come. */
	out->wait_us = busy < slots ? 0 : (int64_t)wait_of(e, busy, slots);
	out->failure = gry_failure_probability(&c->state->gry, query->now_us);
	return us * (slowness < SLOWNESS_MIN ? 1.0 : slowness) + fixed_us +
	       MAX(out->failure, FAILURE_MIN) * (double)query->failure_cost_us;
}

static struct candidate next(struct even *e, const struct dir_service *service,
			     uint32_t i)
{
	struct dir_target *target = g_ptr_array_index(
		service->ring, (e->start + i) % service->ring->len);
	struct candidate c = {
		.target = target,
		.state = bal_target_get(target, e->query->now_us),
		.group = group_of(e, target),
	};
	uint32_t rank = e->before[c.group]++ % e->count[c.group];

	c.place = (rank + 0.5) / e->count[c.group];
	return c;
}

struct bal_choice bal_choose_even(const struct dir_service *service,
				  const struct bal_query *query,
				  uint64_t *random)
{
	struct bal_choice best = {0};
	double best_us = G_MAXDOUBLE;
	struct even e;

	begin(&e, service, query);
	for (uint32_t i = 0; i < service->ring->len; i++) {
		struct candidate c = next(&e, service, i);
		struct bal_choice one = {.target = c.target};
		double us;

		if (!bal_is_eligible(c.target, query))
			continue;
		if (is_closed(&e, &c)) {
			bal_note_closed(c.target, query, &best);
			continue;
		}
		best.usable++;
		us = cost_of(&e, &c, best_us, &one, random);
		if (us >= best_us)
			continue;
		one.usable = best.usable;
		one.full = best.full;
		one.not_before_us = best.not_before_us;
		best = one;
		best_us = us;
	}
	best.cost_us = best.target ? (int64_t)best_us : 0;
	if (best.usable || best.full)
		best.not_before_us = 0;
	return best;
}
