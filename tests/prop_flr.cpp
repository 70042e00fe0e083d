/*
 * The floor under faults: several nodes run flr_sync.h against one key-value
 * store in virtual time. At every tick, the servers that all running nodes
 * eject together must fit in the headroom of a configuration in force.
 *
 * Each protection is also disabled in turn; the same search must then find a
 * violation of the floor.
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

/* One configuration with one service. */
struct Config {
	std::array<std::string, SERVERS> names;
	std::array<cfg_server, SERVERS> servers{};
	cfg_domain domain{};
	cfg_service service{};
	struct cfg cfg {
	};

	Config(uint64_t version, int count, uint32_t floor, int leaving)
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

std::vector<std::unique_ptr<Config>> make_configs(bool no_floor)
{
	std::vector<std::unique_ptr<Config>> configs;
	auto add = [&](int count, uint32_t floor, int leaving) {
		configs.push_back(std::make_unique<Config>(
			configs.size() + 1, count, no_floor ? 0 : floor,
			leaving));
	};

	add(12, 750, 0);
	add(12, 900, 0);
	add(8, 750, 0);
	add(12, 750, 2);
	add(12, 500, 0);
	return configs;
}

/* Which protections are disabled. */
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

/* A call in flight to the store and back. */
struct Call {
	int node;
	uint64_t incarnation; /* of the calling node */
	flr_call kind;
	std::string value;
	uint64_t prev;
	int64_t apply_at = -1;	/* -1: lost */
	int64_t timeout_at = 0; /* the client times out */
	bool reply_lost = false;
	bool applied = false;
	bool closed = false; /* the node has its reply or timed out */
	int err = 0;
	uint64_t revision = 0;
};

struct Node {
	flr_sync *sync = nullptr;
	uint64_t incarnation = 0;
	size_t config = 0;
	int64_t paused_until = 0;
	int64_t cut_to = 0;
	int64_t cut_from = 0;
	int64_t slow_until = 0;
	int64_t slow_by = 0;
	/* The record sent to the dispatcher last. */
	flr_record *published = nullptr;
	int64_t published_confirmed = 0;
};

class World
{
      public:
	explicit World(const Mutation &m)
		: mutation(m), configs(make_configs(m.no_floor)),
		  true_configs(make_configs(false))
	{
		for (int n = 0; n < NODES; n++)
			start(n);
	}
	~World()
	{
		for (auto &node : nodes) {
			flr_sync_free(node.sync);
			flr_record_free(node.published);
		}
	}
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	/* Returns false once the floor is violated. */
	bool run(const std::vector<Op> &ops)
	{
		for (const auto &op : ops) {
			apply_op(op);
			if (!advance(TICK_US * (1 + op.amount % 6)))
				return false;
		}
		return advance(5 * TICK_US);
	}
	int granted = 0;
	int dropped = 0;

      private:
	Mutation mutation;
	std::vector<std::unique_ptr<Config>> configs;
	std::vector<std::unique_ptr<Config>> true_configs;
	std::array<Node, NODES> nodes;
	std::vector<Call> calls;
	std::string stored;
	uint64_t revision = 0;
	int64_t now = 0;
	int64_t outage_until = 0;
	size_t newest = 0;
	std::array<int64_t, NODES> config_due{};

	/* Node n's clock has its own offset and runs n / 200 faster. */
	int64_t clock(int n) const
	{
		return (n + 1) * 7000000000LL + now + now / 200 * n;
	}

	static void count_decision(void *arg, const flr_decision *decision)
	{
		auto *world = static_cast<World *>(arg);

		if (!decision->err && !decision->reinstate)
			world->granted++;
	}

	void start(int n)
	{
		Node &node = nodes[n];

		flr_sync_free(node.sync);
		flr_record_free(node.published);
		node.published = nullptr;
		node.sync = flr_sync_new(&mutation.times,
					 ("n" + std::to_string(n)).c_str(),
					 count_decision, this);
		node.incarnation++;
		node.config = newest;
	}

	void apply_op(const Op &op)
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
			change_config(op);
	}

	void change_config(const Op &op)
	{
		newest = (size_t)op.server % configs.size();
		for (int n = 0; n < NODES; n++)
			config_due[n] =
				now + TICK_US * ((op.amount + n * 5) % 12);
	}

	bool running(int n) const
	{
		return now >= nodes[n].paused_until;
	}

	void issue(int n)
	{
		Node &node = nodes[n];
		flr_scope scope = configs[node.config]->scope();
		g_autoptr(GString) value = g_string_new("");
		uint64_t prev = 0;
		flr_call kind = flr_sync_next(node.sync, &scope, clock(n),
					      value, &prev);

		if (kind == FLR_CALL_NONE)
			return;
		Call call{n, node.incarnation, kind, value->str, prev};
		call.apply_at = now + TICK_US;
		if (now < node.slow_until)
			call.apply_at += node.slow_by;
		if (now < node.cut_to || now < outage_until)
			call.apply_at = -1;
		call.timeout_at = now + CALL_DEADLINE_US;
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
		flr_scope scope = configs[node.config]->scope();

		call.closed = true;
		if (call.incarnation != node.incarnation)
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
			else if (now >= call.timeout_at)
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

	void publish(int n)
	{
		Node &node = nodes[n];
		const flr_record *record = flr_sync_record(node.sync, clock(n));

		if (!record)
			return;
		flr_record_free(node.published);
		node.published = flr_record_copy(record);
		node.published_confirmed = flr_sync_confirmed(node.sync);
	}

	/* Adds the servers that node @p n ejects now. */
	void collect_ejected(int n, std::set<std::string> &out) const
	{
		const Node &node = nodes[n];
		flr_scope scope = configs[node.config]->scope();

		if (!node.published ||
		    !flr_confirmed(&mutation.times, node.published_confirmed,
				   clock(n)))
			return;
		for (int s = 0; s < SERVERS; s++) {
			std::string name = "s" + std::to_string(s);

			if (flr_enforced(node.published, &scope, name.c_str()))
				out.insert(name);
		}
	}

	bool floor_holds() const
	{
		std::set<std::string> out;
		int64_t headroom = 0;

		for (int n = 0; n < NODES; n++) {
			if (!running(n))
				continue;
			flr_scope scope =
				true_configs[nodes[n].config]->scope();

			collect_ejected(n, out);
			headroom =
				std::max(headroom,
					 flr_count(&scope) - flr_floor(&scope));
		}
		return (int64_t)out.size() <= headroom;
	}

	bool advance(int64_t span)
	{
		for (int64_t end = now + span; now < end;) {
			now += TICK_US;
			if (!floor_holds())
				return false;
			for (int n = 0; n < NODES; n++) {
				if (running(n) && config_due[n] <= now)
					nodes[n].config = newest;
			}
			step_calls();
			for (int n = 0; n < NODES; n++) {
				if (!running(n))
					continue;
				issue(n);
				publish(n);
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

/* Returns the number of the run that violated the floor; 0: none. */
int search(const Mutation &mutation, int runs, int *granted)
{
	std::mt19937 random(20261204);

	for (int run = 1; run <= runs; run++) {
		World world(mutation);
		bool floor_held = world.run(random_ops(random, 120));

		*granted += world.granted;
		if (!floor_held)
			return run;
	}
	return 0;
}

bool mutation_found(const char *name, const Mutation &mutation, int runs)
{
	int granted = 0;
	int found = search(mutation, runs, &granted);

	std::printf("%s: floor violated in run %d of at most %d\n", name, found,
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
	std::printf("protected: violated in run %d of %d, %d ejections\n",
		    found, RUNS, granted);
	ok &= found == 0 && granted > RUNS;

	Mutation no_floor;
	no_floor.no_floor = true;
	ok &= mutation_found("no floor check", no_floor, RUNS);
	Mutation no_cas;
	no_cas.no_cas = true;
	ok &= mutation_found("no compare-and-swap", no_cas, RUNS);
	Mutation no_hold_down;
	no_hold_down.times.hold_down_us = 0;
	ok &= mutation_found("no hold-down of returns", no_hold_down, RUNS);
	Mutation no_expiry;
	no_expiry.times.expiry_us = INT64_MAX / 4;
	ok &= mutation_found("no expiry", no_expiry, RUNS);
	Mutation long_expiry;
	long_expiry.times.expiry_us = FS_RECORD_HOLD_US + 10 * FS_US_PER_S;
	ok &= mutation_found("expiry longer than hold-down", long_expiry, RUNS);
	return ok ? 0 : 1;
}
