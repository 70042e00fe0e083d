/*
 * The policy in virtual time: the judges of a service's shards, the record's
 * arithmetic, and simulated servers under faults, beside a baseline: round
 * robin, ejection after three errors or failed probes in a row, no floor.
 *
 * With --measure as last argument the figures are printed as JSON lines.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "flr.h"
#include "hlt.h"

#define SERVERS_MAX 16
#define FLIGHTS_MAX 512
#define STEP_US (5 * FS_US_PER_MS)
#define FAULT_US (60 * FS_US_PER_S)
#define END_US (180 * FS_US_PER_S)
#define DEADLINE_US (5 * FS_US_PER_S)
#define LONG_DEADLINE_US (60 * FS_US_PER_S)
#define SEEDS 3

enum fault {
	NO_FAULT,
	STALL_ALL,
	STALL_HALF,
	ERRORS_30,
	SLOW_X10,
	FLAP,
	PROBE_LIES,
	HALF_CALLED_SICK,
	SHEDS,
	LARGE_ANSWERS,
	ALL_STALL,
	FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
	"no fault",
	"stall of all work",
	"stall of half",
	"errors on 30 %",
	"slow x10",
	"flap",
	"probe lies",
	"half called sick by probes",
	"target sheds",
	"large answers",
	"all servers stalled",
};

/** One of the brief's services. */
struct deployment {
	const char *name;
	uint32_t servers;
	uint32_t slots;
	enum cfg_detection detection;
	double detect_max_s; /* stall of all work */
};

static const struct deployment deployments[] = {
	{"cascade", 12, 4, CFG_DETECT_CAREFUL, 5.0},
	{"nounou", 16, 6, CFG_DETECT_QUICK, 2.0},
};

/** One exchange. */
struct flight {
	bool used;
	bool repeatable;
	uint32_t server;
	uint32_t token;
	int64_t started_us;
	int64_t ends_us;
	enum hlt_result result;
};

/** What one run showed. */
struct outcome {
	double detection_s; /* -1: never */
	double ejection_s;  /* -1: never */
	uint32_t work;	    /* at the faulty server after the fault */
	uint32_t false_ejections;
	int64_t margin; /* least capacity over the floor */
	double good;	/* share of answered requests after the fault */
};

struct sim {
	const struct deployment *d;
	enum fault fault;
	bool baseline;
	GRand *rand;
	struct cfg cfg;
	struct cfg_service service;
	struct cfg_domain domain;
	struct cfg_server servers[SERVERS_MAX];
	char names[SERVERS_MAX][16];
	struct hlt_shard *shards[2];
	uint32_t per_shard;
	struct flr_record *record;
	int64_t now_us;
	struct flight flights[FLIGHTS_MAX];
	uint32_t in_flight[SERVERS_MAX];
	uint32_t next;			  /* round robin */
	uint32_t failed_row[SERVERS_MAX]; /* baseline: probes */
	uint32_t in_row[SERVERS_MAX];	  /* baseline: errors */
	uint32_t well_row[SERVERS_MAX];	  /* baseline: probes */
	bool out[SERVERS_MAX];
	uint32_t offered;
	uint32_t good;
	struct outcome result;
};

static void build_cfg(struct sim *sim)
{
	sim->domain.name = (char *)"a";
	sim->domain.region = (char *)"r";
	sim->service.name = (char *)"service";
	sim->service.server_count = sim->d->servers;
	sim->service.floor = 750;
	sim->service.slots = sim->d->slots;
	sim->service.detection = sim->d->detection;
	sim->service.slow_start_us = 10 * FS_US_PER_S;
	for (uint32_t i = 0; i < sim->d->servers; i++) {
		g_snprintf(sim->names[i], sizeof(sim->names[i]), "s%u", i);
		sim->servers[i].name = sim->names[i];
	}
	sim->cfg.version = 1;
	sim->cfg.domains = &sim->domain;
	sim->cfg.domain_count = 1;
	sim->cfg.services = &sim->service;
	sim->cfg.service_count = 1;
	sim->cfg.servers = sim->servers;
	sim->cfg.server_count = sim->d->servers;
}

static bool is_faulty(const struct sim *sim, uint32_t server)
{
	if (sim->now_us < FAULT_US)
		return false;
	if (sim->fault == ALL_STALL)
		return true;
	return server == 0;
}

/* Whether the server really is sick, so that an ejection is right. */
static bool is_sick(const struct sim *sim, uint32_t server)
{
	return is_faulty(sim, server) && sim->fault >= STALL_ALL &&
	       sim->fault <= FLAP;
}

static bool probe_says_well(const struct sim *sim, uint32_t server)
{
	if (sim->now_us < FAULT_US)
		return true;
	if (sim->fault == PROBE_LIES)
		return server != 0;
	return sim->fault != HALF_CALLED_SICK || server % 2;
}

static int64_t answer_time(struct sim *sim, bool large)
{
	double u = g_rand_double_range(sim->rand, 0.001, 1.0);
	double ms = 30.0 - 30.0 * log(u);

	return (int64_t)((large ? 40.0 : 1.0) * ms * FS_US_PER_MS);
}

/* Decides how an exchange that starts now will end. */
static void run_exchange(struct sim *sim, struct flight *f, bool large)
{
	int64_t deadline_us = large ? LONG_DEADLINE_US : DEADLINE_US;
	int64_t took_us = answer_time(sim, large);
	double dice = g_rand_double(sim->rand);
	bool well_phase = sim->now_us / (10 * FS_US_PER_S) % 2;
	bool stall = false;

	f->result = HLT_SUCCESS;
	if (is_faulty(sim, f->server)) {
		stall = sim->fault == STALL_ALL || sim->fault == ALL_STALL ||
			(sim->fault == STALL_HALF && dice < 0.5) ||
			(sim->fault == FLAP && !well_phase);
		if (sim->fault == ERRORS_30 && dice < 0.3)
			f->result = HLT_SERVER_ERROR;
		if (sim->fault == SHEDS && dice < 0.5)
			f->result = HLT_REFUSED;
		if (sim->fault == SLOW_X10)
			took_us *= 10;
	}
	if (stall || took_us >= deadline_us) {
		f->result = HLT_TIMED_OUT;
		took_us = deadline_us;
	}
	f->ends_us = sim->now_us + took_us;
}

static struct hlt_shard *shard_of(struct sim *sim, uint32_t server, uint32_t *i)
{
	g_assert_cmpuint(sim->per_shard, >, 0);
	*i = server % sim->per_shard;
	return sim->shards[server / sim->per_shard];
}

static bool may_take(struct sim *sim, uint32_t server, bool repeatable)
{
	uint32_t i;
	struct hlt_shard *shard = shard_of(sim, server, &i);

	if (sim->baseline)
		return !sim->out[server] &&
		       sim->in_flight[server] < sim->d->slots;
	return sim->in_flight[server] <
	       hlt_concurrency_limit(shard, i, repeatable, sim->now_us);
}

/* The next server in turn that may take the request, or SERVERS_MAX. */
static uint32_t choose(struct sim *sim, bool repeatable)
{
	for (uint32_t n = 0; n < sim->d->servers; n++) {
		uint32_t server = (sim->next + n) % sim->d->servers;

		if (!may_take(sim, server, repeatable))
			continue;
		sim->next = server + 1;
		return server;
	}
	return SERVERS_MAX;
}

static struct flight *free_flight(struct sim *sim)
{
	for (uint32_t f = 0; f < FLIGHTS_MAX; f++) {
		if (!sim->flights[f].used)
			return &sim->flights[f];
	}
	g_assert_not_reached();
}

static void arrive(struct sim *sim)
{
	bool repeatable = g_rand_double(sim->rand) < 0.5;
	bool large = sim->fault == LARGE_ANSWERS &&
		     g_rand_double(sim->rand) < 0.02;
	uint32_t server = choose(sim, repeatable);
	struct flight *f;
	uint32_t i;

	sim->offered += sim->now_us >= FAULT_US;
	if (server == SERVERS_MAX)
		return;
	f = free_flight(sim);
	*f = (struct flight){
		.used = true,
		.repeatable = repeatable,
		.server = server,
		.started_us = sim->now_us,
	};
	run_exchange(sim, f, large);
	sim->in_flight[server]++;
	sim->result.work += server == 0 && sim->now_us >= FAULT_US;
	if (!sim->baseline) {
		struct hlt_shard *shard = shard_of(sim, server, &i);

		f->token = hlt_request_started(
			shard, i, large ? LONG_DEADLINE_US : DEADLINE_US,
			sim->now_us);
	}
}

static void note_ejected(struct sim *sim, uint32_t server)
{
	double since_s = (double)(sim->now_us - FAULT_US) / FS_US_PER_S;

	if (!is_sick(sim, server))
		sim->result.false_ejections++;
	else if (sim->result.ejection_s < 0)
		sim->result.ejection_s = since_s;
	if (sim->baseline && is_sick(sim, server) &&
	    sim->result.detection_s < 0)
		sim->result.detection_s = since_s;
}

/* Counts failures in a row, of work or of probes alone. */
static void baseline_note(struct sim *sim, uint32_t *in_row, uint32_t server,
			  bool bad)
{
	in_row[server] = bad ? in_row[server] + 1 : 0;
	if (in_row[server] < 3 || sim->out[server])
		return;
	sim->out[server] = true;
	sim->well_row[server] = 0;
	note_ejected(sim, server);
}

static void end_flights(struct sim *sim)
{
	for (uint32_t n = 0; n < FLIGHTS_MAX; n++) {
		struct flight *f = &sim->flights[n];
		struct hlt_end end = {.result = f->result};
		struct hlt_shard *shard;
		uint32_t i;

		if (!f->used || f->ends_us > sim->now_us)
			continue;
		f->used = false;
		sim->in_flight[f->server]--;
		sim->good += f->result == HLT_SUCCESS &&
			     f->started_us >= FAULT_US;
		if (sim->baseline) {
			baseline_note(sim, sim->in_row, f->server,
				      f->result != HLT_SUCCESS);
			continue;
		}
		end.took_us = sim->now_us - f->started_us;
		shard = shard_of(sim, f->server, &i);
		hlt_request_finished(shard, i, f->token, &end, sim->now_us);
	}
}

static void probe_all(struct sim *sim)
{
	for (uint32_t s = 0; s < sim->d->servers; s++) {
		bool well = probe_says_well(sim, s);
		uint32_t i;

		if (!sim->baseline) {
			struct hlt_shard *shard = shard_of(sim, s, &i);

			hlt_probe_finished(shard, i, well, sim->now_us);
			continue;
		}
		baseline_note(sim, sim->failed_row, s, !well);
		if (well && sim->out[s] && ++sim->well_row[s] >= 3) {
			sim->out[s] = false;
			sim->in_row[s] = 0;
		}
	}
}

/* Grants as the eject task does, from the one record. */
static void act(struct sim *sim, uint32_t server, enum hlt_action action,
		enum aud_rule rule)
{
	struct flr_scope scope = {&sim->cfg, 0, "r"};
	const char *name = sim->names[server];

	if (action == HLT_ACT_REQUEST_EJECTION &&
	    !flr_grant(sim->record, &scope, name, rule, "n"))
		note_ejected(sim, server);
	else if (action == HLT_ACT_REQUEST_REINSTATEMENT)
		flr_return(sim->record, &scope, name);
}

static void tick_shard(struct sim *sim, uint32_t k)
{
	enum hlt_action actions[FS_SHARD_SERVERS_MAX];
	enum aud_rule rules[FS_SHARD_SERVERS_MAX];
	struct hlt_shard *shard = sim->shards[k];

	hlt_set_record(shard, &sim->cfg, sim->record, sim->now_us, sim->now_us);
	hlt_tick(shard, NULL, sim->now_us, actions, rules);
	for (uint32_t i = 0; i < sim->per_shard; i++)
		act(sim, k * sim->per_shard + i, actions[i], rules[i]);
	if (k == 0 && sim->now_us >= FAULT_US && sim->result.detection_s < 0 &&
	    hlt_level(shard, 0) >= HLT_SUSPECTED)
		sim->result.detection_s =
			(double)(sim->now_us - FAULT_US) / FS_US_PER_S;
}

static void check_floor(struct sim *sim)
{
	struct flr_scope scope = {&sim->cfg, 0, "r"};
	int64_t out = 0;

	for (uint32_t s = 0; s < sim->d->servers; s++) {
		if (sim->baseline)
			out += sim->out[s];
		else
			out += flr_enforced(sim->record, &scope, sim->names[s]);
	}
	sim->result.margin = MIN(sim->result.margin,
				 flr_count(&scope) - out - flr_floor(&scope));
}

static void sim_begin(struct sim *sim)
{
	handle servers[SERVERS_MAX];

	build_cfg(sim);
	sim->per_shard = sim->d->servers / 2;
	sim->record = flr_record_new();
	sim->result.margin = INT64_MAX;
	sim->result.detection_s = -1;
	sim->result.ejection_s = -1;
	for (uint32_t s = 0; s < sim->d->servers; s++)
		servers[s] = s;
	for (uint32_t k = 0; k < 2; k++)
		sim->shards[k] = hlt_shard_new(
			&sim->cfg, 0, servers + (size_t)k * sim->per_shard,
			sim->per_shard, 0);
}

/* Offers half of the capacity, at 60 ms an answer. */
static struct outcome run(const struct deployment *d, enum fault fault,
			  bool baseline, uint32_t seed)
{
	struct sim *sim = g_new0(struct sim, 1);
	double per_step = 0.5 * d->servers * d->slots / 60.0 *
			  (STEP_US / (double)FS_US_PER_MS);
	struct outcome result;

	sim->d = d;
	sim->fault = fault;
	sim->baseline = baseline;
	sim->rand = g_rand_new_with_seed(seed);
	sim_begin(sim);
	for (; sim->now_us < END_US; sim->now_us += STEP_US) {
		double left = g_rand_double_range(sim->rand, 0, 2 * per_step);

		end_flights(sim);
		while (left >= g_rand_double(sim->rand)) {
			arrive(sim);
			left -= 1.0;
		}
		if (sim->now_us % FS_US_PER_S == 0)
			probe_all(sim);
		if (sim->now_us % (100 * FS_US_PER_MS) == 0 && !baseline) {
			tick_shard(sim, 0);
			tick_shard(sim, 1);
		}
		check_floor(sim);
	}
	result = sim->result;
	result.good = (double)sim->good / MAX(sim->offered, 1);
	for (uint32_t k = 0; k < 2; k++)
		hlt_shard_free(sim->shards[k]);
	flr_record_free(sim->record);
	g_rand_free(sim->rand);
	g_free(sim);
	return result;
}

/* The worst of several seeds. */
static struct outcome worst(const struct deployment *d, enum fault fault,
			    bool baseline)
{
	struct outcome all = run(d, fault, baseline, 1);

	for (uint32_t seed = 2; seed <= SEEDS; seed++) {
		struct outcome one = run(d, fault, baseline, seed);

		if (one.detection_s < 0 || all.detection_s < 0)
			all.detection_s = -1;
		else
			all.detection_s = MAX(all.detection_s, one.detection_s);
		if (one.ejection_s < 0 || all.ejection_s < 0)
			all.ejection_s = -1;
		else
			all.ejection_s = MAX(all.ejection_s, one.ejection_s);
		all.work = MAX(all.work, one.work);
		all.false_ejections =
			MAX(all.false_ejections, one.false_ejections);
		all.margin = MIN(all.margin, one.margin);
		all.good = MIN(all.good, one.good);
	}
	return all;
}

static void print_figure(const char *measure, const struct deployment *d,
			 enum fault fault, bool baseline, double value,
			 const char *unit)
{
	printf("{\"measure\":\"%s\",\"deployment\":\"%s\",\"case\":"
	       "\"%s, %s, virtual time, half load, worst of %d\","
	       "\"value\":%.3f,\"unit\":\"%s\",\"target\":null,"
	       "\"met\":null}\n",
	       measure, d->name, fault_names[fault],
	       baseline ? "baseline" : "chosen", SEEDS, value, unit);
}

static void measure(void)
{
	for (guint n = 0; n < G_N_ELEMENTS(deployments) * FAULT_COUNT * 2;
	     n++) {
		const struct deployment *d = &deployments[n / 2 / FAULT_COUNT];
		enum fault fault = (enum fault)(n / 2 % FAULT_COUNT);
		bool baseline = n % 2;
		struct outcome o = worst(d, fault, baseline);

		if (fault >= STALL_ALL && fault <= FLAP) {
			print_figure("detection_time", d, fault, baseline,
				     o.detection_s, "s");
			print_figure("ejection_time", d, fault, baseline,
				     o.ejection_s, "s");
			print_figure("work_after_fault", d, fault, baseline,
				     o.work, "requests");
		}
		print_figure("false_ejections", d, fault, baseline,
			     o.false_ejections, "servers");
		print_figure("healthy_capacity_over_floor", d, fault, baseline,
			     (double)o.margin, "servers");
		print_figure("good_share", d, fault, baseline, o.good, "share");
	}
}

/* In every case: the floor holds and no healthy server is ejected. */
static void test_no_false_ejections(void)
{
	for (guint n = 0; n < G_N_ELEMENTS(deployments); n++) {
		for (int fault = 0; fault < FAULT_COUNT; fault++) {
			struct outcome o = worst(&deployments[n],
						 (enum fault)fault, false);

			g_test_message("%s, %s", deployments[n].name,
				       fault_names[fault]);
			g_assert_cmpint(o.margin, >=, 0);
			g_assert_cmpuint(o.false_ejections, ==, 0);
		}
	}
}

static void test_stall_is_seen_in_time(void)
{
	for (guint n = 0; n < G_N_ELEMENTS(deployments); n++) {
		struct outcome o = worst(&deployments[n], STALL_ALL, false);

		g_assert_cmpfloat(o.detection_s, >=, 0);
		g_assert_cmpfloat(o.detection_s, <=,
				  deployments[n].detect_max_s);
		g_assert_cmpfloat(o.ejection_s, >=, 0);
	}
}

/* Probes that lie cost nothing; the baseline shows that the cases bite. */
static void test_probes_do_not_judge(void)
{
	for (guint n = 0; n < G_N_ELEMENTS(deployments); n++) {
		const struct deployment *d = &deployments[n];
		struct outcome half = worst(d, HALF_CALLED_SICK, true);

		g_assert_cmpuint(worst(d, PROBE_LIES, true).false_ejections, >,
				 0);
		g_assert_cmpint(half.margin, <, 0);
		g_assert_cmpfloat(worst(d, HALF_CALLED_SICK, false).good, >,
				  0.999);
	}
}

static void test_every_gray_fault_is_seen(void)
{
	for (guint n = 0; n < G_N_ELEMENTS(deployments); n++) {
		for (int fault = STALL_ALL; fault <= FLAP; fault++) {
			struct outcome o = worst(&deployments[n],
						 (enum fault)fault, false);

			g_assert_cmpfloat(o.detection_s, >=, 0);
		}
	}
}

int main(int argc, char **argv)
{
	if (argc > 1 && !strcmp(argv[argc - 1], "--measure")) {
		measure();
		return 0;
	}
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/no_false_ejections", test_no_false_ejections);
	g_test_add_func("/policy/stall_is_seen_in_time",
			test_stall_is_seen_in_time);
	g_test_add_func("/policy/probes_do_not_judge",
			test_probes_do_not_judge);
	g_test_add_func("/policy/every_gray_fault_is_seen",
			test_every_gray_fault_is_seen);
	return g_test_run();
}
