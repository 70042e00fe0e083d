#include "lim.h"

#include <math.h>

/* Limits that differ by less are the same: messages carry thousandths. */
#define PER_S_STEP 0.002
/* Debts of earlier times are forgotten. */
#define DEBT_MAX_S 4.0
#define DEBT_MAX_REQUESTS 5.0
/* Nodes that draw by rates alone keep below the limit: none sees the others. */
#define UNREPORTED_SHARE 0.7
#define LOG2_DRAWS 32

static double burst(const struct lim *lim)
{
	return MAX(lim->per_s * LIM_BURST_US / FS_US_PER_S, 1.0);
}

static double level_at(const struct lim *lim, int64_t now_us)
{
	double s = (double)MAX(now_us - lim->level_us, 0) / FS_US_PER_S;

	return MIN(lim->level + lim->per_s * s, burst(lim));
}

static void take(struct lim *lim, uint32_t sends, int64_t now_us)
{
	double debt_max = DEBT_MAX_S * lim->per_s + DEBT_MAX_REQUESTS;

	lim->level = MAX(level_at(lim, now_us) - sends, -debt_max);
	lim->level_us = now_us;
}

bool lim_state(struct lim *lim, const struct stm *stm, int64_t stated_us,
	       int64_t now_us)
{
	double per_s = MAX(stm->limit_per_s, LIM_PER_S_MIN);
	bool named = stm->limit == STM_LIMIT_NAMED;
	bool changed = lim->named != named ||
		       (named && fabs(lim->per_s - per_s) > PER_S_STEP);

	if (stm->limit == STM_LIMIT_UNKNOWN || stated_us < lim->stated_us)
		return false;
	lim->stated_us = stated_us;
	if (!changed)
		return false;
	if (lim->named)
		lim->level = level_at(lim, now_us);
	else
		lim->level = lim->unreported = 0;
	lim->level_us = now_us;
	lim->named = named;
	lim->per_s = named ? per_s : 0;
	return true;
}

void lim_send(struct lim *lim, int64_t now_us)
{
	if (!lim->named)
		return;
	lim->unreported++;
	take(lim, 1, now_us);
}

void lim_report(struct lim *lim, uint32_t sends, bool own, int64_t now_us)
{
	uint32_t counted = own ? MIN(sends, lim->unreported) : 0;

	if (!lim->named)
		return;
	lim->unreported -= counted;
	take(lim, sends - counted, now_us);
}

/* Returns a number from 0 to below 1. */
static double fraction(uint64_t draw)
{
	return (double)(draw >> (64 - LOG2_DRAWS)) /
	       (double)(1ULL << LOG2_DRAWS);
}

bool lim_allows(const struct lim *lim, const struct lim_query *query,
		int64_t now_us)
{
	double delay_s = (double)query->delay_us / FS_US_PER_S;
	double level = level_at(lim, now_us);
	double rivals = query->rate * delay_s + query->waiting;

	if (!lim->named)
		return true;
	if (!query->reported)
		return fraction(query->draw) * rivals <
		       UNREPORTED_SHARE * lim->per_s * delay_s;
	return level >= 1.0 && fraction(query->draw) * rivals < level;
}
