// Property tests of what targets state of themselves: random series of statements, own
// and of peers, that arrive in any order, with pauses of the process between them.
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "tst.h"
}

namespace
{

constexpr int64_t kSecond = FS_US_PER_S;

// What holds by the statements so far, kept in the plainest way.
struct Model {
	bool leaving = false;
	int64_t not_before_us = 0;
	enum stm_limit limit = STM_LIMIT_NONE;
	double per_s = 0;
	int64_t stated_us = 0;

	void apply(const struct stm &stm, bool own, int64_t stated_at_us)
	{
		leaving = leaving || stm.leaving;
		if (own && stm.retry_after_us > 0)
			not_before_us =
				std::max(not_before_us,
					 stated_at_us + stm.retry_after_us);
		if (stm.limit == STM_LIMIT_UNKNOWN || stated_at_us < stated_us)
			return;
		limit = stm.limit;
		per_s = stm.limit_per_s;
		stated_us = stated_at_us;
	}
};

struct stm random_statement()
{
	struct stm stm = {};

	stm.leaving = *rc::gen::inRange(0, 12) == 0;
	stm.limit = (enum stm_limit) * rc::gen::inRange(0, 3);
	if (stm.limit == STM_LIMIT_NAMED)
		stm.limit_per_s = *rc::gen::inRange(0, 80) / 4.0;
	if (*rc::gen::inRange(0, 4) == 0)
		stm.retry_after_us = *rc::gen::inRange(0, 6) * kSecond;
	return stm;
}

// A request is sent if and only if the target accepts it; one in a moment without any
// rival draws 0, so a limit refuses it for want of a token alone.
enum tst_verdict ask(struct tst &tst, int64_t now_us)
{
	struct lim_query query = {};
	enum tst_verdict verdict;

	query.reported = true;
	query.delay_us = kSecond / 3;
	verdict = tst_decide(&tst, &query, now_us);
	if (verdict == TST_ACCEPTS)
		lim_send(&tst.limit, now_us);
	return verdict;
}

void check_verdict(const Model &model, enum tst_verdict verdict, int64_t now_us)
{
	if (model.leaving)
		RC_ASSERT(verdict == TST_LEAVING);
	else if (now_us < model.not_before_us)
		RC_ASSERT(verdict == TST_NOT_BEFORE);
	else if (model.limit != STM_LIMIT_NAMED)
		RC_ASSERT(verdict == TST_ACCEPTS);
	else
		RC_ASSERT(verdict == TST_ACCEPTS || verdict == TST_LIMITED);
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("statements hold in any order and over pauses", [] {
		struct tst tst = {};
		Model model;
		int64_t now_us = kSecond;
		int steps = *rc::gen::inRange(1, 60);

		while (steps--) {
			bool pause = *rc::gen::inRange(0, 10) == 0;

			now_us += *rc::gen::inRange<int64_t>(0, kSecond / 2);
			now_us += pause ? 10 * kSecond : 0;
			if (*rc::gen::inRange(0, 3) == 0) {
				struct stm stm = random_statement();
				bool own = *rc::gen::arbitrary<bool>();
				int64_t age_us =
					own ? 0 :
					      *rc::gen::inRange<int64_t>(
						      0, kSecond);

				tst_apply(&tst, &stm, own, now_us - age_us,
					  now_us);
				model.apply(stm, own, now_us - age_us);
			}
			check_verdict(model, ask(tst, now_us), now_us);
			RC_ASSERT(tst.limit.named ==
				  (model.limit == STM_LIMIT_NAMED));
		}
	});

	ok &= rc::check("a node alone keeps a limit whatever it is asked", [] {
		double per_s = *rc::gen::inRange(1, 80) / 4.0;
		struct stm stm = {};
		struct tst tst = {};
		std::vector<int64_t> sends;
		int64_t now_us = kSecond;
		int steps = *rc::gen::inRange(1, 400);

		stm.limit = STM_LIMIT_NAMED;
		stm.limit_per_s = per_s;
		tst_apply(&tst, &stm, true, now_us, now_us);
		while (steps--) {
			now_us += *rc::gen::inRange<int64_t>(0, kSecond / 4);
			if (ask(tst, now_us) == TST_ACCEPTS)
				sends.push_back(now_us);
		}
		for (size_t i = 0; i < sends.size(); i++) {
			auto end = std::upper_bound(sends.begin(), sends.end(),
						    sends[i] + 4 * kSecond);
			double count =
				(double)(end - sends.begin()) - (double)i;

			RC_ASSERT(count <= 1.5 * per_s * 4 + 5);
		}
	});
	return ok ? 0 : 1;
}
