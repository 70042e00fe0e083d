// Properties of membership updates: strict order, decoding of mutated
// datagrams, and a result that is independent of the order of arrival.
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

// The C headers have members named operator, a C++ keyword.
#define operator operator_address
extern "C" {
#include "mem_core.h"
#include "mem_wire.h"
}
#undef operator

namespace
{

mem_update make_update(int node, uint64_t incarnation, uint32_t refutation,
		       int state)
{
	mem_update u = {};

	g_snprintf(u.member.name, sizeof(u.member.name), "n%d", node);
	g_strlcpy(u.member.region, "pnw", sizeof(u.member.region));
	g_strlcpy(u.member.domain, "pnw-a", sizeof(u.member.domain));
	u.id = u.member.id = fs_node_id(u.member.name);
	u.incarnation = u.member.incarnation = incarnation;
	u.refutation = refutation;
	u.state = u.member.state = (mem_state)state;
	u.member.peer.sin_family = AF_INET;
	u.member.peer.sin_port = (in_port_t)node;
	u.full = true;
	return u;
}

rc::Gen<mem_update> gen_update(int nodes)
{
	return rc::gen::apply(make_update, rc::gen::inRange(1, nodes + 1),
			      rc::gen::inRange<uint64_t>(1, 4),
			      rc::gen::inRange<uint32_t>(0, 3),
			      rc::gen::inRange(0, 4));
}

bool updates_have_a_strict_order()
{
	return rc::check("updates on a member are in a strict order", [] {
		auto a = *gen_update(1);
		auto b = *gen_update(1);
		auto c = *gen_update(1);
		bool same = a.incarnation == b.incarnation &&
			    a.refutation == b.refutation && a.state == b.state;

		RC_ASSERT(!mem_update_supersedes(&a, &a));
		RC_ASSERT(same != (mem_update_supersedes(&a, &b) !=
				   mem_update_supersedes(&b, &a)));
		if (mem_update_supersedes(&a, &b) &&
		    mem_update_supersedes(&b, &c))
			RC_ASSERT(mem_update_supersedes(&a, &c));
	});
}

void ignore(void *, const struct sockaddr_in *, const uint8_t *, size_t)
{
}

mem_core *core_with(const std::vector<mem_update> &updates)
{
	mem_update self = make_update(100, 1, 0, MEM_ALIVE);
	mem_core *core = mem_core_new(&self.member, 1, ignore, nullptr);

	mem_core_tick(core, 1000000);
	for (const auto &update : updates) {
		mem_packet packet;
		GByteArray *bytes = g_byte_array_new();

		mem_packet_init(&packet, MEM_GOSSIP);
		packet.sender = fs_node_id("sender");
		packet.incarnation = 1;
		g_array_append_val(packet.updates, update);
		mem_wire_encode(&packet, bytes);
		RC_ASSERT(mem_core_receive(core, bytes->data, bytes->len,
					   1000000) == 0);
		g_byte_array_unref(bytes);
		mem_packet_clear(&packet);
	}
	return core;
}

// Updates on unknown members that are dead are not stored, so only present
// members are compared.
std::string present(mem_core *core)
{
	mem_view *view = mem_core_peek(core);
	std::string text;

	for (uint32_t i = 0; i < view->count; i++) {
		const mem_member &m = view->members[i];

		if (m.state != MEM_DEAD)
			text += std::string(m.name) + ":" +
				std::to_string(m.incarnation) + ":" +
				std::to_string(m.state) + " ";
	}
	mem_view_unref(view);
	return text;
}

// Each member is first reported as alive; later updates give the same table in
// any order.
bool update_order_does_not_matter()
{
	return rc::check("any order of updates gives the same table", [] {
		std::vector<mem_update> first;
		auto later = *rc::gen::container<std::vector<mem_update>>(
			gen_update(4));
		auto shuffled = later;

		for (int node = 1; node <= 4; node++)
			first.push_back(make_update(node, 1, 0, MEM_ALIVE));
		for (size_t i = shuffled.size(); i > 1; i--)
			std::swap(shuffled[i - 1],
				  shuffled[*rc::gen::inRange<size_t>(0, i)]);
		auto all = first;
		all.insert(all.end(), later.begin(), later.end());
		first.insert(first.end(), shuffled.begin(), shuffled.end());
		mem_core *a = core_with(all);
		mem_core *b = core_with(first);
		std::string table_a = present(a);
		std::string table_b = present(b);

		mem_core_free(a);
		mem_core_free(b);
		RC_ASSERT(table_a == table_b);
	});
}

bool mutated_datagrams_are_rejected_or_harmless()
{
	return rc::check("a mutated datagram is refused or harmless", [] {
		auto update = *gen_update(4);
		mem_packet packet;
		GByteArray *bytes = g_byte_array_new();

		mem_packet_init(&packet, MEM_SYNC);
		packet.sender = 7;
		packet.high = UINT64_MAX;
		g_array_append_val(packet.updates, update);
		mem_wire_encode(&packet, bytes);
		mem_packet_clear(&packet);
		for (int i = 0; i < 4; i++)
			bytes->data[*rc::gen::inRange<guint>(0, bytes->len)] =
				*rc::gen::arbitrary<uint8_t>();
		mem_core *core = core_with({});
		int err = mem_core_receive(core, bytes->data, bytes->len,
					   2000000);
		mem_core_tick(core, 2000000);
		mem_core_free(core);
		g_byte_array_unref(bytes);
		RC_ASSERT(err == 0 || err == FS_E_PROTOCOL);
	});
}

} // namespace

int main()
{
	bool ok = updates_have_a_strict_order();

	ok = update_order_does_not_matter() && ok;
	ok = mutated_datagrams_are_rejected_or_harmless() && ok;
	return ok ? 0 : 1;
}
