#include "rty.h"

#define RTY_IDLE_MAX_US 60000000LL /* longer gaps fill the budget anyway */

void rty_budget_init(struct rty_budget *budget, int64_t now_us)
{
	budget->milli = RTY_BURST_MAX_MILLI;
	budget->updated_us = now_us;
}

int64_t rty_budget_milli(struct rty_budget *budget, int64_t now_us)
{
	int64_t gap_us = MIN(now_us - budget->updated_us, RTY_IDLE_MAX_US);
	int64_t milli = gap_us * RTY_RATE_MILLI / FS_US_PER_S;

	if (milli > 0) {
		budget->milli = MIN(budget->milli + milli, RTY_BURST_MAX_MILLI);
		budget->updated_us = now_us;
	}
	return budget->milli;
}

void rty_budget_earn(struct rty_budget *budget, uint32_t retry_percent,
		     int64_t now_us)
{
	int64_t milli = rty_budget_milli(budget, now_us);

	budget->milli =
		MIN(milli + (int64_t)retry_percent * 10, RTY_BURST_MAX_MILLI);
}

void rty_budget_spend(struct rty_budget *budget)
{
	budget->milli -= RTY_COST_MILLI;
}

bool rty_allowed(const struct rty_input *n)
{
	return (n->repeatable || !n->written) && !n->begun &&
	       n->tries < n->tries_max && n->budget_milli >= RTY_COST_MILLI &&
	       n->remaining_us > 0 && n->usable > 0;
}

void rty_add_input(struct aud_record *rec, const struct rty_input *n,
		   bool allowed)
{
	g_strlcpy(rec->choice, allowed ? "retry" : "no_retry",
		  sizeof(rec->choice));
	aud_add(rec, "repeatable", n->repeatable);
	aud_add(rec, "written", n->written);
	aud_add(rec, "begun", n->begun);
	aud_add(rec, "tries", n->tries);
	aud_add(rec, "tries_max", n->tries_max);
	aud_add(rec, "budget_milli", n->budget_milli);
	aud_add(rec, "remaining_us", n->remaining_us);
	aud_add(rec, "usable", n->usable);
}
