// What config put says of a put is never wrong, whatever the platform does:
// lost replies, puts that take effect late, outages, other operators.
#include <rapidcheck.h>

#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "cli_put.h"
}

namespace
{

const char text[] = "deployment: a\n"
		    "failure_domains: [{name: d, region: r}]\n"
		    "services:\n"
		    "  - {name: s, floor: 0%, slots: 1, server_ranges: [\n"
		    "     {prefix: s-, count: 1, address: \"10.0.0.1:80\",\n"
		    "      failure_domains: [d]}]}\n";

// What happens to one call of the platform.
enum fate {
	FATE_FINE,
	FATE_DOWN,	// nothing is sent
	FATE_LOST_DONE, // done, the reply is lost
	FATE_LOST_NOT,	// not done, the reply is lost
	FATE_LATE,	// the reply is lost, done some calls later
	FATE_TWICE,	// sent twice by the library, the second reply counts
	FATE_COUNT
};

struct step {
	int fate;
	int others; // puts of other operators before the call
};

struct late_put {
	uint64_t revision;
	std::string json;
};

struct platform {
	uint64_t revision = 0;
	std::string value;
	std::vector<std::string> ids; // every change that was in force
	std::deque<step> steps;
	std::deque<late_put> late;
	int waits = 0;
	bool clean = true;    // no fault so far
	bool crowded = false; // more puts at once than the history holds

	bool write(uint64_t prev, const std::string &json)
	{
		struct cfg_record record;

		if (prev != revision)
			return false;
		revision++;
		value = json;
		RC_ASSERT(cfg_record_parse(json.c_str(), &record) == 0);
		ids.emplace_back(record.put.change_id);
		cfg_record_clear(&record);
		return true;
	}

	void other_put()
	{
		struct cfg_record before;
		struct cfg_record next;
		bool exists = revision > 0;
		std::string id = "other-" + std::to_string(revision);
		GString *json = g_string_new(nullptr);

		if (exists)
			cfg_record_parse(value.c_str(), &before);
		cfg_record_next(&next, exists ? &before : nullptr, id.c_str(),
				"other", text);
		cfg_record_json(&next, json);
		write(revision, json->str);
		g_string_free(json, TRUE);
		cfg_record_clear(&next);
		if (exists)
			cfg_record_clear(&before);
	}

	void flush_late()
	{
		if (late.empty())
			return;
		write(late.front().revision, late.front().json);
		late.pop_front();
	}

	step next()
	{
		step s = {FATE_FINE, 0};

		if (!steps.empty()) {
			s = steps.front();
			steps.pop_front();
		}
		clean = clean && s.fate == FATE_FINE;
		crowded = crowded || s.others >= CFG_HISTORY_MAX;
		for (int i = 0; i < s.others; i++)
			other_put();
		return s;
	}
};

int fake_get(void *arg, uint64_t *revision, struct cfg_record *record)
{
	auto *p = static_cast<platform *>(arg);
	step s = p->next();

	*revision = p->revision;
	if (s.fate != FATE_FINE && s.fate != FATE_TWICE)
		return FS_E_UNAVAILABLE;
	if (!p->revision)
		return FS_E_NOT_FOUND;
	return cfg_record_parse(p->value.c_str(), record);
}

int fake_put(void *arg, uint64_t prev, const char *json, size_t size)
{
	auto *p = static_cast<platform *>(arg);
	std::string body(json, size);
	step s = p->next();

	switch (s.fate) {
	case FATE_DOWN:
		return FS_E_UNAVAILABLE;
	case FATE_LOST_DONE:
		p->write(prev, body);
		return FS_E_AMBIGUOUS;
	case FATE_LOST_NOT:
		return FS_E_AMBIGUOUS;
	case FATE_LATE:
		p->late.push_back({prev, body});
		return FS_E_AMBIGUOUS;
	case FATE_TWICE:
		p->write(prev, body);
		break;
	default:
		break;
	}
	return p->write(prev, body) ? 0 : FS_E_CONFLICT;
}

bool fake_wait(void *arg)
{
	auto *p = static_cast<platform *>(arg);

	p->flush_late();
	return p->waits-- > 0;
}

const struct cli_put_ops ops = {fake_get, fake_put, fake_wait};

rc::Gen<step> any_step()
{
	return rc::gen::construct<step>(
		rc::gen::inRange(0, static_cast<int>(FATE_COUNT)),
		rc::gen::weightedElement<int>({{6, 0}, {2, 1}, {1, 40}}));
}

bool was_in_force(const platform &p, const char *id)
{
	for (const std::string &one : p.ids) {
		if (one == id)
			return true;
	}
	return false;
}

void put_is_told_rightly()
{
	platform p;
	struct cli_put put = {text, "me", "mine", 0};
	struct cli_put_result result;
	int err;

	for (int i = *rc::gen::inRange(0, 3); i > 0; i--)
		p.other_put();
	for (const step &s : *rc::gen::container<std::vector<step>>(any_step()))
		p.steps.push_back(s);
	p.waits = *rc::gen::inRange(0, 8);
	err = cli_put_run(&ops, &p, &put, &result);
	while (!p.late.empty())
		p.flush_late();
	RC_CLASSIFY(err == 0, "accepted");
	RC_CLASSIFY(err == FS_E_CONFLICT, "conflict");
	RC_CLASSIFY(err == FS_E_UNAVAILABLE, "unreachable");
	RC_CLASSIFY(err == FS_E_AMBIGUOUS, "ambiguous");
	if (err == 0)
		RC_ASSERT(was_in_force(p, "mine"));
	else if (err != FS_E_AMBIGUOUS)
		RC_ASSERT(!was_in_force(p, "mine"));
	else
		RC_ASSERT(!p.clean || p.crowded);
	if (err == FS_E_CONFLICT)
		RC_ASSERT(result.record.text != nullptr);
	cli_put_clear(&result);
}

} // namespace

int main()
{
	return rc::check("a put is told rightly", put_is_told_rightly) ? 0 : 1;
}
