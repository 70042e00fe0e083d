/* Idempotency keys against a reference model: no key runs while an earlier
 * request with it runs, ran or may have run within the window; the table is
 * bounded and evicts no key before its window has passed.
 */
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "key.h"
}

namespace
{
constexpr uint32_t MAX = 6;

struct ModelKey {
	bool in_flight;
	bool local;
	int64_t admitted_us;
};

struct Model {
	std::map<std::string, ModelKey> keys;

	void expire(int64_t now)
	{
		for (auto i = keys.begin(); i != keys.end();) {
			const bool pending = i->second.local &&
					     i->second.in_flight;

			if (!pending &&
			    now - i->second.admitted_us >= FS_KEY_WINDOW_US)
				i = keys.erase(i);
			else
				++i;
		}
	}
};

void begin(key_table *table, Model &model, const std::string &key, int64_t now)
{
	const int err = key_begin(table, "s", key.c_str(), 0, now);
	const auto found = model.keys.find(key);

	if (found != model.keys.end()) {
		RC_ASSERT(err == (found->second.in_flight ? FS_E_KEY_IN_FLIGHT :
							    FS_E_KEY_SPENT));
		return;
	}
	if (err) {
		RC_ASSERT(err == FS_E_NO_MEMORY);
		RC_ASSERT(key_count(table) >= MAX);
		return;
	}
	model.keys[key] = {true, true, now};
}

void end(key_table *table, Model &model, const std::string &key, bool not_run)
{
	const auto found = model.keys.find(key);

	key_end(table, "s", key.c_str(), not_run);
	if (found == model.keys.end() || !found->second.local ||
	    !found->second.in_flight)
		return;
	if (not_run)
		model.keys.erase(found);
	else
		found->second.in_flight = false;
}

void merge(key_table *table, Model &model, const std::string &key,
	   bool in_flight, int64_t now)
{
	const key_entry entry = {"s", key.c_str(), 0, in_flight, false, now};
	const auto found = model.keys.find(key);

	if (key_merge(table, &entry, now))
		return;
	if (found == model.keys.end())
		model.keys[key] = {in_flight, false, now};
	else if (!found->second.local && !in_flight)
		found->second.in_flight = false;
}

bool check_keys()
{
	return rc::check("a key runs once within its window", [] {
		const auto steps =
			*rc::gen::container<std::vector<std::pair<int, int>>>(
				rc::gen::pair(rc::gen::inRange(0, 9),
					      rc::gen::inRange(0, 7)));
		key_table *table = key_table_new(MAX);
		Model model;
		int64_t now = 1;

		for (const auto &[key, op] : steps) {
			const std::string text = std::to_string(key);

			now += FS_KEY_WINDOW_US / 7;
			model.expire(now);
			if (op < 3)
				begin(table, model, text, now);
			else if (op < 5)
				end(table, model, text, op == 4);
			else
				merge(table, model, text, op == 6, now);
			RC_ASSERT(key_count(table) <= MAX);
		}
		key_table_free(table);
	});
}
} // namespace

int main()
{
	return check_keys() ? 0 : 1;
}
