#include "rnk.h"

#include <math.h>
#include <string.h>

/* Ranks of organisations and routes beyond this one count as this one. */
#define LEVEL_MAX 255u
#define LEVELS (LEVEL_MAX + 1u)
/* Counts lose two thirds of their weight in this time. */
#define MEMORY_US (2 * FS_US_PER_S)
/* A class without requests has left the table at this weight. */
#define COUNT_MIN 0.01
/* Of the average share, what each class gets before any order. */
#define FLOOR_SHARE 0.4
/* A class that is served less often than this part of the average gets more
 * than its rank allows, and all that it asks for at FLOOR_SHARE. */
#define FLOOR_BEGIN 0.6
/* Room is scarce when more than this share of the requests finds none; when none
 * finds any, this part of the requests fills it. */
#define NO_ROOM_USUAL 0.5
#define ROOM_LEAST 0.1

uint32_t rnk_of(const uint32_t *organisation, uint32_t route)
{
	uint32_t first = organisation ? *organisation : route;

	return MIN(first, LEVEL_MAX) * LEVELS + MIN(route, LEVEL_MAX);
}

static void fade(struct rnk_counts *n, double weight)
{
	n->asked *= weight;
	n->unserved *= weight;
	n->no_room *= weight;
	n->wanted *= weight;
}

static bool is_over(const struct rnk_counts *n)
{
	return n->asked < COUNT_MIN && n->unserved < COUNT_MIN &&
	       n->no_room < COUNT_MIN && n->wanted < COUNT_MIN;
}

void rnk_advance(struct rnk *rnk, int64_t now_us)
{
	double weight =
		exp(-(double)MAX(now_us - rnk->at_us, 0) / (double)MEMORY_US);
	uint32_t kept = 0;

	if (now_us <= rnk->at_us)
		return;
	rnk->at_us = now_us;
	for (uint32_t i = 0; i < rnk->count; i++) {
		fade(&rnk->classes[i].recent, weight);
		if (!is_over(&rnk->classes[i].recent))
			rnk->classes[kept++] = rnk->classes[i];
	}
	rnk->count = kept;
}

static uint32_t distance(uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

/* Returns the class that counts a rank, or NULL. */
static struct rnk_class *find(const struct rnk *rnk, uint32_t rank)
{
	struct rnk_class *best = NULL;

	for (uint32_t i = 0; i < rnk->count; i++) {
		struct rnk_class *c = &rnk->classes[i];

		if (c->rank == rank)
			return c;
		if (!best ||
		    distance(c->rank, rank) < distance(best->rank, rank))
			best = c;
	}
	return rnk->count == RNK_CLASSES_MAX ? best : NULL;
}

static struct rnk_class *insert(struct rnk *rnk, uint32_t rank)
{
	uint32_t at = 0;

	while (at < rnk->count && rnk->classes[at].rank < rank)
		at++;
	rnk->classes = g_renew(struct rnk_class, rnk->classes, rnk->count + 1);
	memmove(&rnk->classes[at + 1], &rnk->classes[at],
		(rnk->count - at) * sizeof(*rnk->classes));
	rnk->count++;
	rnk->classes[at] = (struct rnk_class){.rank = rank};
	return &rnk->classes[at];
}

void rnk_count(struct rnk *rnk, uint32_t rank, const struct rnk_counts *n,
	       int64_t now_us)
{
	struct rnk_class *c;

	rnk_advance(rnk, now_us);
	c = find(rnk, rank);
	if (!c)
		c = insert(rnk, rank);
	c->recent.asked += n->asked;
	c->recent.unserved += n->unserved;
	c->recent.no_room += n->no_room;
	c->recent.wanted += n->wanted;
}

double rnk_served_share(const struct rnk_class *c)
{
	const struct rnk_counts *n = &c->recent;

	return n->asked > 0 ? CLAMP(1.0 - n->unserved / n->asked, 0.0, 1.0) :
			      1.0;
}

static struct rnk_counts total(const struct rnk *rnk)
{
	struct rnk_counts sum = {0};

	for (uint32_t i = 0; i < rnk->count; i++) {
		const struct rnk_counts *n = &rnk->classes[i].recent;

		sum.asked += n->asked;
		sum.unserved += MIN(n->unserved, n->asked);
		sum.no_room += MIN(n->no_room, n->asked);
		sum.wanted += n->wanted;
	}
	return sum;
}

/* Returns the share that keeps a class from being starved. */
static double floor_of(const struct rnk *rnk, const struct rnk_class *c)
{
	struct rnk_counts all = total(rnk);
	double average = all.asked > 0 ? 1.0 - all.unserved / all.asked : 0.0;

	if (average <= 0)
		return 0.0;
	return CLAMP((FLOOR_BEGIN - rnk_served_share(c) / average) /
			     (FLOOR_BEGIN - FLOOR_SHARE),
		     0.0, 1.0);
}

/* Each class has its part of the average first; the rest goes by rank. */
static double share_in_order(const struct rnk *rnk, const struct rnk_class *to,
			     double room, double asked)
{
	double base = FLOOR_SHARE * room / asked;
	double rest = (1.0 - FLOOR_SHARE) * room;

	for (const struct rnk_class *c = rnk->classes; c < to; c++)
		rest -= MIN(rest, (1.0 - base) * c->recent.asked);
	return to->recent.asked > 0 ? base + rest / to->recent.asked : 1.0;
}

double rnk_room_share(struct rnk *rnk, uint32_t rank, int64_t now_us)
{
	const struct rnk_class *c;
	struct rnk_counts all;
	double room;

	rnk_advance(rnk, now_us);
	c = find(rnk, rank);
	all = total(rnk);
	if (!c || c == rnk->classes || all.no_room <= all.asked * NO_ROOM_USUAL)
		return 1.0;
	room = all.asked - (all.no_room - all.asked * NO_ROOM_USUAL) *
				   (1.0 - ROOM_LEAST) / (1.0 - NO_ROOM_USUAL);
	return MIN(
		MAX(share_in_order(rnk, c, room, all.asked), floor_of(rnk, c)),
		1.0);
}

/* Returns the retries that a class will likely want within a horizon. */
static double need_of(const struct rnk_class *c, int64_t horizon_us)
{
	return c->recent.wanted * (double)horizon_us / (double)MEMORY_US;
}

double rnk_retry_share(struct rnk *rnk, uint32_t rank,
		       const struct rnk_budget *budget, int64_t now_us)
{
	const struct rnk_class *c;
	double before = 0; /* what the more urgent need */
	double own;
	double paced; /* part of the need that the budget covers */
	double stock; /* odds while much more is left than the others need */

	rnk_advance(rnk, now_us);
	c = find(rnk, rank);
	if (!c)
		return 1.0;
	for (const struct rnk_class *other = rnk->classes; other < c; other++)
		before += need_of(other, budget->horizon_us);
	if (before <= 0)
		return 1.0;
	own = MAX(need_of(c, budget->horizon_us), 1.0);
	paced = (budget->left + budget->expiring - before) / own;
	stock = budget->left / before - 1.0;
	return MAX(CLAMP(MAX(paced, stock), 0.0, 1.0), floor_of(rnk, c));
}

void rnk_clear(struct rnk *rnk)
{
	g_clear_pointer(&rnk->classes, g_free);
	rnk->count = 0;
}
