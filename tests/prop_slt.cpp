/*
 * Choice of a server and admission over arbitrary numbers, and the queue
 * against a plain model.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "que.h"
#include "slt.h"
}

namespace
{
slt_server server()
{
	slt_server s;

	s.allowed = *rc::gen::inRange<uint32_t>(0, 7);
	s.in_flight = *rc::gen::inRange<uint32_t>(0, 9);
	s.leaving = *rc::gen::inRange(0, 5) == 0;
	s.last = *rc::gen::inRange(0, 3) == 0;
	return s;
}

/* Whatever starts and ends, no server gets more than it is allowed, none that
 * leaves gets any, and a free slot is always found. */
bool check_choice()
{
	return rc::check("a server is chosen within its slots", [] {
		const auto n = *rc::gen::inRange<uint32_t>(1, 9);
		std::vector<slt_server> all;

		for (uint32_t i = 0; i < n; i++)
			all.push_back(server());
		const auto start = *rc::gen::inRange<uint32_t>(0, n);
		const auto avoid = *rc::gen::inRange<uint32_t>(0, 1U << n);
		const auto i = slt_choose(all.data(), n, start, avoid);
		bool any = false;

		for (uint32_t j = 0; j < n; j++)
			any |= slt_has_capacity(&all[j]) &&
			       !(avoid & (1U << j));
		RC_ASSERT((i != FS_NONE) == any);
		if (i == FS_NONE)
			return;
		RC_ASSERT(!all[i].leaving);
		RC_ASSERT(all[i].in_flight < all[i].allowed);
		RC_ASSERT(!(avoid & (1U << i)));
		for (uint32_t j = 0; j < n; j++) {
			if (!slt_has_capacity(&all[j]) || (avoid & (1U << j)))
				continue;
			RC_ASSERT(!all[i].last || all[j].last);
			if (all[i].last == all[j].last)
				RC_ASSERT(all[i].in_flight * all[j].allowed <=
					  all[j].in_flight * all[i].allowed);
		}
	});
}

/* What is let in fits the bound and the deadline; a fresh request is never
 * refused while a slot is free. */
bool check_admission()
{
	return rc::check("admission keeps the bounds", [] {
		slt_times times{};
		slt_inputs n{};
		const auto deadline = *rc::gen::inRange<int64_t>(2, 10000000);

		for (int64_t t : *rc::gen::container<std::vector<int64_t>>(
			     rc::gen::inRange<int64_t>(0, 20000000)))
			slt_times_add(&times, t);
		n.queue = *rc::gen::inRange<int64_t>(0, 100);
		n.waiting = *rc::gen::inRange<int64_t>(0, n.queue + 1);
		n.ahead = *rc::gen::inRange<int64_t>(0, n.waiting + 1);
		n.usable = *rc::gen::inRange<int64_t>(0, 50);
		n.free_slots = *rc::gen::inRange<int64_t>(0, n.usable + 1);
		n.hold_us = slt_times_mean(&times);
		n.service_time_us = slt_service_time(&times, deadline);
		n.remaining_us = *rc::gen::inRange<int64_t>(-1, deadline + 1);
		const int err = slt_admit(&n);

		if (!err) {
			RC_ASSERT(n.usable > 0);
			RC_ASSERT(n.remaining_us > n.service_time_us);
			RC_ASSERT(n.free_slots > n.ahead ||
				  n.waiting < n.queue);
		}
		if (n.remaining_us == deadline && n.free_slots > n.ahead)
			RC_ASSERT(err == 0);
	});
}

bool match_all(void *, const que_item *)
{
	return true;
}

/* Order by priority, then age; the victim is the youngest of the lowest. */
bool check_queue()
{
	return rc::check("the queue keeps its order", [] {
		const auto ops = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, 6));
		std::vector<que_item> items(ops.size());
		std::vector<que_item *> model;
		que q{};

		for (size_t i = 0; i < ops.size(); i++) {
			if (ops[i] < CFG_PRIORITY_COUNT) {
				const auto p = (cfg_priority)ops[i];
				auto at = std::find_if(
					model.begin(), model.end(),
					[&](que_item *x) {
						return x->priority > p;
					});

				que_push(&q, &items[i], p);
				model.insert(at, &items[i]);
			} else if (!model.empty()) {
				auto *first = que_first(&q, match_all, nullptr);
				auto *victim = que_find_evictable(
					&q, CFG_PRIORITY_HIGH);

				RC_ASSERT(first == model.front());
				RC_ASSERT(victim ==
					  (model.back()->priority ==
							   CFG_PRIORITY_HIGH ?
						   nullptr :
						   model.back()));
				que_remove(&q, first);
				model.erase(model.begin());
			}
			RC_ASSERT(q.count == model.size());
			RC_ASSERT(que_count_ahead(&q, CFG_PRIORITY_LOW) ==
				  model.size());
		}
	});
}
} // namespace

int main()
{
	bool ok = check_choice();

	ok &= check_admission();
	ok &= check_queue();
	return ok ? 0 : 1;
}
