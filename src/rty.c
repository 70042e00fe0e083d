#include "rty.h"

#define RTY_IDLE_MAX_US 60000000LL /* longer gaps fill the budget anyway */

void rty_budget_init(struct rty_budget *budget, int64_t now_us)
{
	budget->milli = RTY_SAVED_MAX_MILLI;
	budget->updated_us = now_us;
}

int64_t rty_budget_milli(struct rty_budget *budget, int64_t now_us)
{
	int64_t gap_us = MIN(now_us - budget->updated_us, RTY_IDLE_MAX_US);
	int64_t milli = gap_us * RTY_RATE_MILLI / FS_US_PER_S;

	if (milli > 0) {
		budget->milli = MIN(budget->milli + milli, RTY_SAVED_MAX_MILLI);
		budget->updated_us = now_us;
	}
	return budget->milli;
}

void rty_budget_earn(struct rty_budget *budget, uint32_t retry_percent,
		     int64_t now_us)
{
	int64_t milli = rty_budget_milli(budget, now_us);

	budget->milli =
		MIN(milli + (int64_t)retry_percent * 10, RTY_SAVED_MAX_MILLI);
}

void rty_budget_spend(struct rty_budget *budget)
{
	budget->milli -= RTY_COST_MILLI;
}

bool rty_allowed(const struct rty_numbers *n)
{
	return (n->repeatable || !n->written) && !n->begun &&
	       n->tries < n->tries_max && n->budget_milli >= RTY_COST_MILLI &&
	       n->remaining_us > 0 && n->usable > 0;
}
