// Versions never go back, whatever texts come in whatever order.
#include <rapidcheck.h>

#include <string>
#include <vector>

extern "C" {
#include "cnf_store.h"
}

namespace
{

const char GOOD[] = "deployment: cascade\n"
		    "failure_domains:\n"
		    "  - {name: pnw-a, region: pnw}\n"
		    "services:\n"
		    "  - name: lookup\n"
		    "    floor: 60%\n"
		    "    slots: 4\n"
		    "    servers:\n"
		    "      - {name: lookup-1, address: \"127.0.0.1:9101\","
		    " failure_domain: pnw-a}\n"
		    "routes:\n"
		    "  - {name: status, path: /status, methods: [GET],"
		    " service: lookup, deadline_ms: 2000}\n";

bool versions_never_go_back()
{
	return rc::check("versions never go back", [] {
		auto offers = *rc::gen::container<
			std::vector<std::pair<uint64_t, bool>>>(
			rc::gen::pair(rc::gen::inRange<uint64_t>(0, 12),
				      rc::gen::arbitrary<bool>()));
		cnf_store store = {};
		uint64_t in_force = 0;

		for (const auto &offer : offers) {
			uint64_t problems = 0;
			bool wanted =
				cnf_store_should_fetch(&store, offer.first);
			aud_rule rule = cnf_store_offer(
				&store, offer.first,
				offer.second ? GOOD : "deployment: 1\n",
				&problems);
			uint64_t now = cnf_store_version(&store);

			RC_ASSERT(now >= in_force);
			RC_ASSERT(rule ==
				  cnf_decide(offer.first, in_force, problems));
			if (offer.first > in_force && offer.second)
				RC_ASSERT(now == offer.first);
			else
				RC_ASSERT(now == in_force);
			if (offer.first > in_force && !offer.second) {
				RC_ASSERT(rule == AUD_R_CONFIG_BAD);
				RC_ASSERT(store.problem != nullptr);
				RC_ASSERT(!cnf_store_should_fetch(&store,
								  offer.first));
			}
			if (offer.first <= in_force)
				RC_ASSERT(!wanted);
			in_force = now;
		}
		cnf_store_clear(&store);
	});
}

bool values_are_parsed_or_refused()
{
	return rc::check("a value of any bytes is parsed or refused", [] {
		auto text = *rc::gen::container<std::string>(
			rc::gen::elementOf(std::string("{}[]\":,versiontx1 ")));
		cnf_value value = {};
		int err = cnf_value_parse(text.c_str(), &value);

		RC_ASSERT((err == 0) == (value.text != nullptr));
		g_free(value.text);
	});
}

} // namespace

int main()
{
	bool ok = versions_never_go_back();

	ok = values_are_parsed_or_refused() && ok;
	return ok ? 0 : 1;
}
