/*
 * Retries over arbitrary histories: the budget bounds them, and a request that
 * may not be repeated is never tried again once it was written.
 */
#include <rapidcheck.h>

#include <vector>

extern "C" {
#include "rty.h"
}

namespace
{
bool check_budget()
{
	return rc::check("retries stay within the budget", [] {
		const auto percent = *rc::gen::inRange<uint32_t>(0, 101);
		const auto steps = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 1000));
		rty_budget budget;
		int64_t now = 1000000;
		const int64_t began = now;
		int64_t requests = 0;
		int64_t retries = 0;

		rty_budget_init(&budget, now);
		for (int step : steps) {
			now += step * 100;
			if (step % 3 == 0) {
				requests++;
				rty_budget_earn(&budget, percent, now);
			}
			rty_input n{};
			n.repeatable = 1;
			n.written = 1;
			n.tries = 1;
			n.tries_max = 2;
			n.remaining_us = 1;
			n.usable = 1;
			n.budget_milli = rty_budget_milli(&budget, now);
			if (rty_allowed(&n)) {
				retries++;
				rty_budget_spend(&budget);
			}
			RC_ASSERT(budget.milli >= 0);
			RC_ASSERT(retries * RTY_COST_MILLI <=
				  RTY_BURST_MAX_MILLI +
					  requests * percent * 10 +
					  (now - began) * RTY_RATE_MILLI /
						  FS_US_PER_S);
		}
	});
}

/* A case in which all hold is allowed; without any one of them it is not. */
bool check_rule()
{
	return rc::check("each condition of a retry is needed", [] {
		rty_input n{};

		n.repeatable = 1;
		n.written = *rc::gen::inRange(0, 2);
		n.tries = *rc::gen::inRange(0, 5);
		n.tries_max = n.tries + *rc::gen::inRange(1, 5);
		n.budget_milli = *rc::gen::inRange(RTY_COST_MILLI, 20000);
		n.remaining_us = *rc::gen::inRange(1, 1000);
		n.usable = *rc::gen::inRange(1, 8);
		RC_ASSERT(rty_allowed(&n));
		switch (*rc::gen::inRange(0, 6)) {
		case 0:
			n.repeatable = 0;
			n.written = 1;
			break;
		case 1:
			n.begun = 1;
			break;
		case 2:
			n.tries = n.tries_max;
			break;
		case 3:
			n.budget_milli = RTY_COST_MILLI - 1;
			break;
		case 4:
			n.remaining_us = 0;
			break;
		default:
			n.usable = 0;
			break;
		}
		RC_ASSERT(!rty_allowed(&n));
	});
}
} // namespace

int main()
{
	bool ok = check_budget();

	ok &= check_rule();
	return ok ? 0 : 1;
}
