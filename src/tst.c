#include "tst.h"

bool tst_apply(struct tst *tst, const struct stm *stm, bool own,
	       int64_t stated_us, int64_t now_us)
{
	bool changed = lim_state(&tst->limit, stm, stated_us, now_us);

	changed |= stm->leaving && !tst->leaving;
	tst->leaving |= stm->leaving;
	if (own && stm->retry_after_us > 0)
		tst->not_before_us = MAX(tst->not_before_us,
					 stated_us + stm->retry_after_us);
	return changed;
}

bool tst_has_statement(const struct tst *tst, int64_t now_us)
{
	return tst->leaving || tst->limit.named || now_us < tst->not_before_us;
}

enum tst_verdict tst_decide(const struct tst *tst,
			    const struct lim_query *query, int64_t now_us)
{
	if (tst->leaving)
		return TST_LEAVING;
	if (now_us < tst->not_before_us)
		return TST_NOT_BEFORE;
	return lim_allows(&tst->limit, query, now_us) ? TST_ACCEPTS :
							TST_LIMITED;
}
