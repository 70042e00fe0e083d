// Properties of shards and of the rendezvous hashing that assigns dispatchers.
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

// The C headers have members named operator.
#define operator operator_address
extern "C" {
#include "shd.h"
}
#undef operator

namespace
{

const char *const REGIONS[] = {"pnw", "casa"};

// A configuration with services of the given sizes; server i of a service
// is in domain i % 5; the first three domains are in the first region.
struct Fixture {
	std::vector<std::string> names;
	std::vector<cfg_service> services;
	std::vector<cfg_server> servers;
	std::vector<cfg_domain> domains;
	cfg config = {};

	explicit Fixture(const std::vector<uint32_t> &sizes)
	{
		names.reserve(sizes.size());
		for (int d = 0; d < 5; d++)
			domains.push_back(
				{nullptr, const_cast<char *>(REGIONS[d >= 3])});
		for (uint32_t size : sizes) {
			cfg_service s = {};

			names.push_back("s" + std::to_string(names.size()));
			s.name = names.back().data();
			s.first_server = (handle)servers.size();
			s.server_count = size;
			for (uint32_t i = 0; i < size; i++) {
				cfg_server server = {};

				server.service = (handle)services.size();
				server.domain = i % 5;
				servers.push_back(server);
			}
			services.push_back(s);
		}
		config.domains = domains.data();
		config.domain_count = 5;
		config.services = services.data();
		config.service_count = (uint32_t)services.size();
		config.servers = servers.data();
		config.server_count = (uint32_t)servers.size();
	}
};

// Members "n0", "n1", ... by number, each in domain number % 5.
mem_view *make_view(const std::set<int> &numbers)
{
	std::map<node_id, int> by_id;
	mem_view *view;

	for (int n : numbers)
		by_id[fs_node_id(("n" + std::to_string(n)).c_str())] = n;
	view = (mem_view *)g_malloc0(sizeof(mem_view) +
				     by_id.size() * sizeof(mem_member));
	view->refs = 1;
	for (const auto &entry : by_id) {
		mem_member *m = &view->members[view->count++];
		int domain = entry.second % 5;

		m->id = entry.first;
		m->state = MEM_ALIVE;
		g_snprintf(m->domain, sizeof(m->domain), "d%d", domain);
		g_strlcpy(m->region, REGIONS[domain >= 3], sizeof(m->region));
	}
	return view;
}

auto gen_sizes()
{
	return rc::gen::container<std::vector<uint32_t>>(
		8, rc::gen::inRange<uint32_t>(0, 120));
}

auto gen_numbers()
{
	return rc::gen::container<std::set<int>>(rc::gen::inRange(0, 60));
}

bool every_server_in_one_shard()
{
	return rc::check("every server is in one shard of its region", [] {
		Fixture f(*gen_sizes());
		shd_map *map = shd_map_new(&f.config);
		std::set<handle> seen;
		std::map<std::pair<handle, std::string>, std::set<uint32_t>>
			sizes;

		for (uint32_t i = 0; i < map->count; i++) {
			const shd_shard &s = map->shards[i];

			RC_ASSERT(s.server_count > 0U);
			RC_ASSERT(s.server_count <=
				  (uint32_t)FS_SHARD_SERVERS_MAX);
			sizes[{s.service, s.region}].insert(s.server_count);
			for (uint32_t k = 0; k < s.server_count; k++) {
				const cfg_server &v = f.servers[s.servers[k]];

				RC_ASSERT(seen.insert(s.servers[k]).second);
				RC_ASSERT(v.service == s.service);
				RC_ASSERT(std::string(s.region) ==
					  f.domains[v.domain].region);
			}
			RC_ASSERT(shd_find(map, &f.config,
					   f.services[s.service].name, s.region,
					   s.index) == i);
		}
		RC_ASSERT(seen.size() == f.servers.size());
		for (const auto &entry : sizes)
			RC_ASSERT(*entry.second.rbegin() -
					  *entry.second.begin() <=
				  1U);
		shd_map_free(map);
	});
}

// Compares every shard's dispatcher before and after a member joins.
bool one_member_moves_its_own_shards()
{
	return rc::check("a member moves only the shards it has", [] {
		Fixture f(*gen_sizes());
		auto before = *gen_numbers();
		int added = *rc::gen::inRange(60, 90);
		auto after = before;
		node_id id = fs_node_id(("n" + std::to_string(added)).c_str());
		shd_map *map = shd_map_new(&f.config);

		after.insert(added);
		RC_PRE(!before.empty());
		mem_view *a = make_view(before);
		mem_view *b = make_view(after);
		const char *region = REGIONS[added % 5 >= 3];
		bool had_region = false;
		for (uint32_t i = 0; i < a->count; i++)
			had_region = had_region ||
				     !g_strcmp0(a->members[i].region, region);
		for (uint32_t i = 0; i < map->count; i++) {
			node_id was = shd_owner(&map->shards[i], a, 0);
			node_id is = shd_owner(&map->shards[i], b, 0);

			RC_ASSERT(is == was || is == id ||
				  (!had_region &&
				   !g_strcmp0(map->shards[i].region, region)));
		}
		mem_view_unref(a);
		mem_view_unref(b);
		shd_map_free(map);
	});
}

bool dispatchers_are_live_and_distinct()
{
	return rc::check("choices live, differ, and spread over domains", [] {
		Fixture f({40});
		mem_view *view = make_view(*gen_numbers());
		shd_map *map = shd_map_new(&f.config);
		std::map<std::string, std::set<std::string>> domains;
		bool any = false;

		if (view->count)
			view->self = view->members[0].id;
		for (uint32_t i = 0; i < view->count; i++) {
			mem_member *m = &view->members[i];

			m->state = (mem_state)*rc::gen::inRange(0, 4);
			if (m->state == MEM_ALIVE ||
			    (m->id == view->self && m->state != MEM_LEAVING)) {
				domains[m->region].insert(m->domain);
				any = true;
			}
		}
		for (uint32_t i = 0; i < map->count; i++) {
			const shd_shard *s = &map->shards[i];
			node_id first = shd_owner(s, view, 0);
			node_id second = shd_owner(s, view, 1);

			RC_ASSERT((first != 0) == any);
			if (!first)
				continue;
			const mem_member *x = mem_view_find(view, first);
			RC_ASSERT(x->state == MEM_ALIVE || first == view->self);
			RC_ASSERT(x->state != MEM_LEAVING);
			if (!domains[s->region].empty())
				RC_ASSERT(std::string(x->region) == s->region);
			if (!second)
				continue;
			const mem_member *y = mem_view_find(view, second);
			RC_ASSERT(first != second);
			if (domains[x->region].size() > 1 &&
			    std::string(x->region) == s->region)
				RC_ASSERT(std::string(x->domain) != y->domain);
		}
		mem_view_unref(view);
		shd_map_free(map);
	});
}

// With m shards per member on average, no member has over m + 5 sqrt(m) + 5.
bool members_share_the_shards()
{
	return rc::check("shards are spread over the members", [] {
		Fixture f(std::vector<uint32_t>(
			*rc::gen::inRange<size_t>(1, 60), 60));
		std::set<int> numbers;
		int n = *rc::gen::inRange(1, 60);
		std::map<node_id, uint32_t> load;
		shd_map *map = shd_map_new(&f.config);

		for (int i = 0; i < n; i++)
			numbers.insert(i * 5);
		mem_view *view = make_view(numbers);
		for (uint32_t i = 0; i < map->count; i++)
			load[shd_owner(&map->shards[i], view, 0)]++;
		double mean = (double)map->count / n;
		for (const auto &entry : load)
			RC_ASSERT(entry.second <=
				  mean + 5 * std::sqrt(mean) + 5);
		mem_view_unref(view);
		shd_map_free(map);
	});
}

} // namespace

int main()
{
	bool ok = every_server_in_one_shard();

	ok = one_member_moves_its_own_shards() && ok;
	ok = dispatchers_are_live_and_distinct() && ok;
	ok = members_share_the_shards() && ok;
	return ok ? 0 : 1;
}
