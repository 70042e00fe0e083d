/*
 * The floor under faults: several nodes run flr_sync.h against one key-value
 * store in virtual time. At every instant, what all running nodes leave out
 * together must fit in the room of a configuration in force.
 *
 * Each protection is also switched off in turn, and the same search must then
 * find the floor broken.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "flr_sync.h"
}

namespace
{
constexpr int NODES = 4;
constexpr int SERVERS = 12;
constexpr int64_t TICK_US = 500000;
constexpr int64_t CALL_DEADLINE_US = 2000000;

/* One configuration with one service, made by hand. */
struct Text {
	std::array<std::string, SERVERS> names;
	std::array<cfg_server, SERVERS> servers{};
	cfg_domain domain{};
	cfg_service service{};
	struct cfg cfg {
	};

	Text(uint64_t version, int count, uint32_t floor, int leaving)
	{
		domain.name = const_cast<char *>("pnw-a");
		domain.region = const_cast<char *>("pnw");
		service.name = const_cast<char *>("checkout");
		service.server_count = (uint32_t)count;
		service.floor = floor;
		for (int i = 0; i < count; i++) {
			names[i] = "s" + std::to_string(i);
			servers[i].name = const_cast<char *>(names[i].c_str());
			servers[i].leaving = i < leaving;
		}
		cfg.version = version;
		cfg.domains = &domain;
		cfg.domain_count = 1;
		cfg.services = &service;
		cfg.service_count = 1;
		cfg.servers = servers.data();
		cfg.server_count = (uint32_t)count;
	}
	flr_scope scope() const
	{
		return {&cfg, 0, "pnw"};
	}
};

std::vector<std::unique_ptr<Text>> make_texts(bool no_floor)
{
	std::vector<std::unique_ptr<Text>> texts;
	auto add = [&](int count, uint32_t floor, int leaving) {
		texts.push_back(std::make_unique<Text>(texts.size() + 1, count,
						       no_floor ? 0 : floor,
						       leaving));
	};

	add(12, 750, 0);
	add(12, 900, 0);
	add(8, 750, 0);
	add(12, 750, 2);
	add(12, 500, 0);
	return texts;
}

/* Which protections are off. */
struct Mutation {
	bool no_floor = false;
	bool no_cas = false;
	flr_times times = flr_times_default;
};

struct Op {
	int kind;
	int node;
	int server;
	int amount;
};

std::ostream &operator<<(std::ostream &os, const Op &op)
{
	return os << "{" << op.kind << "," << op.node << "," << op.server << ","
		  << op.amount << "}";
}

/* A call on its way to the store and back. */
struct Call {
	int node;
	uint64_t life; /* of the node that made it */
	flr_call kind;
	std::string value;
	uint64_t prev;
	int64_t apply_at = -1; /* -1: lost */
	int64_t late_at = 0;   /* the client gives up */
	bool reply_lost = false;
	bool applied = false;
	bool closed = false; /* the node has its reply or gave up */
	int err = 0;
	uint64_t revision = 0;
};

struct Node {
	flr_sync *sync = nullptr;
	uint64_t life = 0;
	size_t text = 0;
	int64_t paused_until = 0;
	int64_t cut_to = 0;
	int64_t cut_from = 0;
	int64_t slow_until = 0;
	int64_t slow_by = 0;
	/* What the dispatcher was told last. */
	flr_record *told = nullptr;
	int64_t told_confirmed = 0;
};

class World
{
      public:
	explicit World(const Mutation &m)
		: mutation(m), texts(make_texts(m.no_floor)),
		  truth(make_texts(false))
	{
		for (int n = 0; n < NODES; n++)
			start(n);
	}
	~World()
	{
		for (auto &node : nodes) {
			flr_sync_free(node.sync);
			flr_record_free(node.told);
		}
	}
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	/* Returns false once the floor is broken. */
	bool run(const std::vector<Op> &ops)
	{
		for (const auto &op : ops) {
			act(op);
			if (!advance(TICK_US * (1 + op.amount % 6)))
				return false;
		}
		return advance(5 * TICK_US);
	}
	int granted = 0;
	int dropped = 0;

      private:
	Mutation mutation;
	std::vector<std::unique_ptr<Text>> texts;
	std::vector<std::unique_ptr<Text>> truth;
	std::array<Node, NODES> nodes;
	std::vector<Call> calls;
	std::string stored;
	uint64_t revision = 0;
	int64_t now = 0;
	int64_t outage_until = 0;
	size_t newest = 0;
	std::array<int64_t, NODES> text_due{};

	/* Each node has its own clock, with its own rate. */
	int64_t clock(int n) const
	{
		return (n + 1) * 7000000000LL + now + now / 200 * n;
	}

	static void count_decision(void *arg, const flr_decision *decision)
	{
		auto *world = static_cast<World *>(arg);

		if (!decision->err && !decision->give_back)
			world->granted++;
	}

	void start(int n)
	{
		Node &node = nodes[n];

		flr_sync_free(node.sync);
		flr_record_free(node.told);
		node.told = nullptr;
		node.sync = flr_sync_new(&mutation.times,
					 ("n" + std::to_string(n)).c_str(),
					 count_decision, this);
		node.life++;
		node.text = newest;
	}

	void act(const Op &op)
	{
		Node &node = nodes[op.node];
		int64_t span = (1 + op.amount) * FS_US_PER_S;
		std::string server = "s" + std::to_string(op.server);

		if (op.kind < 40)
			flr_sync_request(node.sync, server.c_str(),
					 AUD_R_STEER_STALL, false,
					 clock(op.node));
		else if (op.kind < 62)
			flr_sync_request(node.sync, server.c_str(),
					 AUD_R_STEER_STALL, true,
					 clock(op.node));
		else if (op.kind < 70)
			node.paused_until = now + span;
		else if (op.kind < 76)
			node.cut_to = now + span;
		else if (op.kind < 82)
			node.cut_from = now + span;
		else if (op.kind < 88)
			node.slow_until = now + span, node.slow_by = span;
		else if (op.kind < 91)
			outage_until = now + span;
		else if (op.kind < 95)
			start(op.node);
		else
			change_text(op);
	}

	void change_text(const Op &op)
	{
		newest = (size_t)op.server % texts.size();
		for (int n = 0; n < NODES; n++)
			text_due[n] =
				now + TICK_US * ((op.amount + n * 5) % 12);
	}

	bool running(int n) const
	{
		return now >= nodes[n].paused_until;
	}

	void issue(int n)
	{
		Node &node = nodes[n];
		flr_scope scope = texts[node.text]->scope();
		g_autoptr(GString) value = g_string_new("");
		uint64_t prev = 0;
		flr_call kind = flr_sync_next(node.sync, &scope, clock(n),
					      value, &prev);

		if (kind == FLR_CALL_NONE)
			return;
		Call call{n, node.life, kind, value->str, prev};
		call.apply_at = now + TICK_US;
		if (now < node.slow_until)
			call.apply_at += node.slow_by;
		if (now < node.cut_to || now < outage_until)
			call.apply_at = -1;
		call.late_at = now + CALL_DEADLINE_US;
		call.reply_lost = now < node.cut_from;
		calls.push_back(call);
	}

	void apply(Call &call)
	{
		call.applied = true;
		if (call.kind == FLR_CALL_READ) {
			call.err = revision ? 0 : FS_E_NOT_FOUND;
			call.value = stored;
		} else if (call.prev == revision || mutation.no_cas) {
			stored = call.value;
			revision++;
		} else {
			call.err = FS_E_CONFLICT;
		}
		call.revision = revision;
	}

	void finish(Call &call, int err)
	{
		Node &node = nodes[call.node];
		flr_scope scope = texts[node.text]->scope();

		call.closed = true;
		if (call.life != node.life)
			return;
		if (call.kind == FLR_CALL_READ)
			flr_sync_read_done(node.sync, &scope, err,
					   call.revision, call.value.c_str(),
					   clock(call.node));
		else
			flr_sync_write_done(node.sync, &scope, err,
					    call.revision, clock(call.node));
	}

	void step_calls()
	{
		for (auto &call : calls) {
			if (!call.applied && call.apply_at >= 0 &&
			    call.apply_at <= now)
				apply(call);
			if (call.closed || !running(call.node))
				continue;
			if (call.applied && !call.reply_lost &&
			    now >= nodes[call.node].cut_from)
				finish(call, call.err);
			else if (now >= call.late_at)
				finish(call, call.kind == FLR_CALL_READ ?
						     FS_E_UNAVAILABLE :
						     FS_E_AMBIGUOUS);
		}
		calls.erase(std::remove_if(calls.begin(), calls.end(),
					   [](const Call &c) {
						   return c.closed &&
							  (c.applied ||
							   c.apply_at < 0);
					   }),
			    calls.end());
	}

	void tell(int n)
	{
		Node &node = nodes[n];
		const flr_record *record = flr_sync_record(node.sync, clock(n));

		if (!record)
			return;
		flr_record_free(node.told);
		node.told = flr_record_copy(record);
		node.told_confirmed = flr_sync_confirmed(node.sync);
	}

	/* What node @p n leaves out now. */
	void collect(int n, std::set<std::string> &out) const
	{
		const Node &node = nodes[n];
		flr_scope scope = texts[node.text]->scope();

		if (!node.told || !flr_confirmed(&mutation.times,
						 node.told_confirmed, clock(n)))
			return;
		for (int s = 0; s < SERVERS; s++) {
			std::string name = "s" + std::to_string(s);

			if (flr_enforced(node.told, &scope, name.c_str()))
				out.insert(name);
		}
	}

	bool floor_holds() const
	{
		std::set<std::string> out;
		int64_t room = 0;

		for (int n = 0; n < NODES; n++) {
			if (!running(n))
				continue;
			flr_scope scope = truth[nodes[n].text]->scope();

			collect(n, out);
			room = std::max(room,
					flr_count(&scope) - flr_floor(&scope));
		}
		return (int64_t)out.size() <= room;
	}

	bool advance(int64_t span)
	{
		for (int64_t end = now + span; now < end;) {
			now += TICK_US;
			if (!floor_holds())
				return false;
			for (int n = 0; n < NODES; n++) {
				if (running(n) && text_due[n] <= now)
					nodes[n].text = newest;
			}
			step_calls();
			for (int n = 0; n < NODES; n++) {
				if (!running(n))
					continue;
				issue(n);
				tell(n);
			}
			if (!floor_holds())
				return false;
		}
		return true;
	}
};

rc::Gen<std::vector<Op>> ops_gen()
{
	auto op = rc::gen::build<Op>(
		rc::gen::set(&Op::kind, rc::gen::inRange(0, 100)),
		rc::gen::set(&Op::node, rc::gen::inRange(0, NODES)),
		rc::gen::set(&Op::server, rc::gen::inRange(0, SERVERS)),
		rc::gen::set(&Op::amount, rc::gen::inRange(0, 45)));

	return rc::gen::container<std::vector<Op>>(op);
}

std::vector<Op> random_ops(std::mt19937 &random, int count)
{
	std::vector<Op> ops;

	for (int i = 0; i < count; i++)
		ops.push_back({(int)(random() % 100), (int)(random() % NODES),
			       (int)(random() % SERVERS),
			       (int)(random() % 45)});
	return ops;
}

/* Returns after how many runs the floor was broken; 0: never. */
int search(const Mutation &mutation, int runs, int *granted)
{
	std::mt19937 random(20261204);

	for (int run = 1; run <= runs; run++) {
		World world(mutation);
		bool held = world.run(random_ops(random, 120));

		*granted += world.granted;
		if (!held)
			return run;
	}
	return 0;
}

bool mutation_found(const char *name, const Mutation &mutation, int runs)
{
	int granted = 0;
	int found = search(mutation, runs, &granted);

	std::printf("%s: floor broken in run %d of at most %d\n", name, found,
		    runs);
	return found != 0;
}

} // namespace

int main()
{
	constexpr int RUNS = 400;
	bool ok = true;
	int granted = 0;
	Mutation none;

	ok &= rc::check("all nodes together keep the floor", []() {
		World world((Mutation()));

		RC_ASSERT(world.run(*ops_gen()));
	});
	int found = search(none, RUNS, &granted);
	std::printf("protected: broken in run %d of %d, %d ejections\n", found,
		    RUNS, granted);
	ok &= found == 0 && granted > RUNS;

	Mutation no_floor;
	no_floor.no_floor = true;
	ok &= mutation_found("no floor check", no_floor, RUNS);
	Mutation no_cas;
	no_cas.no_cas = true;
	ok &= mutation_found("no compare-and-swap", no_cas, RUNS);
	Mutation no_hold;
	no_hold.times.hold_us = 0;
	ok &= mutation_found("no hold on returns", no_hold, RUNS);
	Mutation no_lapse;
	no_lapse.times.expiry_us = INT64_MAX / 4;
	ok &= mutation_found("no lapse", no_lapse, RUNS);
	Mutation long_lapse;
	long_lapse.times.expiry_us = FS_RECORD_HOLD_US + 10 * FS_US_PER_S;
	ok &= mutation_found("lapse longer than hold", long_lapse, RUNS);
	return ok ? 0 : 1;
}
