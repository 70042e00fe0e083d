#include <string.h>

#include "hlt.h"

#define S FS_US_PER_S
#define MS FS_US_PER_MS
#define COUNT 6

static struct cfg_domain domain = {(char *)"a", (char *)"r"};
static struct cfg_server servers[COUNT] = {
	{.name = (char *)"s0"}, {.name = (char *)"s1"}, {.name = (char *)"s2"},
	{.name = (char *)"s3"}, {.name = (char *)"s4"}, {.name = (char *)"s5"},
};
static struct cfg_service service = {
	.name = (char *)"virements",
	.server_count = COUNT,
	.floor = 500,
	.slots = 6,
	.detection = CFG_DETECT_QUICK,
	.slow_start_us = 6 * S,
};
static const struct cfg cfg = {
	.version = 1,
	.domains = &domain,
	.domain_count = 1,
	.services = &service,
	.service_count = 1,
	.servers = servers,
	.server_count = COUNT,
};

struct bench {
	struct hlt_shard *shard;
	int64_t now_us;
	enum hlt_action actions[COUNT];
	enum aud_rule rules[COUNT];
};

static void bench_begin(struct bench *b)
{
	static const handle all[COUNT] = {0, 1, 2, 3, 4, 5};

	b->now_us = 100 * S;
	b->shard = hlt_shard_new(&cfg, 0, all, COUNT, b->now_us);
}

static void bench_end(struct bench *b)
{
	hlt_shard_free(b->shard);
}

static void exchange(struct bench *b, uint32_t i, enum hlt_result result,
		     bool reused)
{
	struct hlt_end end = {.result = result,
			      .took_us = 20 * MS,
			      .reused_connection = reused};
	uint32_t token = hlt_request_started(b->shard, i, 5 * S, b->now_us);

	hlt_request_finished(b->shard, i, token, &end, b->now_us + 20 * MS);
}

/* Goes on for @p us; servers below @p bad end as @p result, others well. */
static void go_on(struct bench *b, int64_t us, uint32_t bad,
		  enum hlt_result result, bool reused)
{
	for (int64_t end_us = b->now_us + us; b->now_us < end_us;
	     b->now_us += 100 * MS) {
		for (uint32_t i = 0; i < COUNT; i++)
			exchange(b, i, i < bad ? result : HLT_SUCCESS, reused);
		hlt_tick(b->shard, NULL, b->now_us, b->actions, b->rules);
	}
}

static void test_errors_steer_then_ask(void)
{
	struct bench b;

	bench_begin(&b);
	go_on(&b, 5 * S, 0, HLT_SUCCESS, false);
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_HEALTHY);
	go_on(&b, 2 * S, 1, HLT_SERVER_ERROR, false);
	g_assert_cmpint(hlt_level(b.shard, 0), >=, HLT_SUSPECTED);
	g_assert_cmpuint(hlt_concurrency_limit(b.shard, 0, false, b.now_us), ==,
			 0);
	go_on(&b, 6 * S, 1, HLT_SERVER_ERROR, false);
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_TRIAL);
	g_assert_cmpint(hlt_level(b.shard, 1), ==, HLT_HEALTHY);
	bench_end(&b);
}

static void test_refusals_are_not_sickness(void)
{
	struct bench b;

	bench_begin(&b);
	go_on(&b, 20 * S, 1, HLT_REFUSED, false);
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_HEALTHY);
	bench_end(&b);
}

/* The same resets on new connections make a server suspect. */
static void test_reused_connections_are_weak_evidence(void)
{
	struct bench b;

	bench_begin(&b);
	go_on(&b, 1 * S, 1, HLT_RESET, true);
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_HEALTHY);
	bench_end(&b);
	bench_begin(&b);
	go_on(&b, 1 * S, 1, HLT_RESET, false);
	g_assert_cmpint(hlt_level(b.shard, 0), >=, HLT_SUSPECTED);
	bench_end(&b);
}

static void test_probes_alone_change_nothing(void)
{
	struct bench b;

	bench_begin(&b);
	for (int n = 0; n < 100; n++) {
		for (uint32_t i = 0; i < COUNT; i++)
			hlt_probe_finished(b.shard, i, false, b.now_us);
		go_on(&b, 100 * MS, 0, HLT_SUCCESS, false);
	}
	for (uint32_t i = 0; i < COUNT; i++)
		g_assert_cmpint(hlt_level(b.shard, i), ==, HLT_HEALTHY);
	bench_end(&b);
}

/* Half of the servers are the room; the rest keeps taking work. */
static void test_steering_keeps_the_floor(void)
{
	struct bench b;
	uint32_t fit = 0;

	bench_begin(&b);
	go_on(&b, 10 * S, COUNT, HLT_CONNECT_FAILED, false);
	for (uint32_t i = 0; i < COUNT; i++) {
		fit += hlt_level(b.shard, i) == HLT_HEALTHY;
		g_assert_cmpint(b.actions[i], ==, HLT_ACT_NONE);
	}
	g_assert_cmpuint(fit, ==, 3);
	g_assert_true(hlt_shard_unhealthy(b.shard));
	bench_end(&b);
}

static bool asked_within(struct bench *b, int64_t us)
{
	for (int64_t end_us = b->now_us + us; b->now_us < end_us;) {
		go_on(b, 100 * MS, 1, HLT_SERVER_ERROR, false);
		if (b->actions[0] == HLT_ACT_REQUEST_EJECTION)
			return true;
	}
	return false;
}

static void test_dependency_and_path_stop_ejections(void)
{
	struct bench b;

	bench_begin(&b);
	hlt_set_dependency_unhealthy(b.shard, true);
	g_assert_false(asked_within(&b, 20 * S));
	hlt_set_dependency_unhealthy(b.shard, false);
	hlt_set_reached_by_others(b.shard, 0, true, b.now_us);
	g_assert_false(asked_within(&b, 20 * S));
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_TRIAL);
	hlt_set_reached_by_others(b.shard, 0, false, b.now_us);
	g_assert_true(asked_within(&b, 10 * S));
	bench_end(&b);
}

/* A paused process that wakes does not go by a record that has lapsed. */
static void test_a_record_lapses_by_itself(void)
{
	struct flr_scope scope = {&cfg, 0, "r"};
	struct flr_record *record = flr_record_new();
	struct bench b;

	bench_begin(&b);
	flr_grant(record, &scope, "s0", AUD_R_STEER_STALL, "n");
	hlt_set_record(b.shard, &cfg, record, b.now_us, b.now_us);
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_EJECTED);
	b.now_us += FS_RECORD_LAPSE_US;
	hlt_tick(b.shard, NULL, b.now_us, b.actions, b.rules);
	g_assert_cmpint(hlt_level(b.shard, 0), ==, HLT_TRIAL);
	flr_record_free(record);
	bench_end(&b);
}

static void test_return_starts_slowly(void)
{
	struct bench b;
	int64_t sick_for = 0;

	bench_begin(&b);
	go_on(&b, 3 * S, 1, HLT_SERVER_ERROR, false);
	g_assert_cmpint(hlt_level(b.shard, 0), >=, HLT_SUSPECTED);
	for (; hlt_level(b.shard, 0) != HLT_HEALTHY && sick_for < 60 * S;
	     sick_for += 100 * MS)
		go_on(&b, 100 * MS, 0, HLT_SUCCESS, false);
	g_assert_cmpint(sick_for, >=, 3 * S);
	g_assert_cmpuint(hlt_concurrency_limit(b.shard, 0, false, b.now_us), ==,
			 1);
	g_assert_cmpuint(
		hlt_concurrency_limit(b.shard, 0, false, b.now_us + 3 * S), >=,
		2);
	g_assert_cmpuint(
		hlt_concurrency_limit(b.shard, 0, false, b.now_us + 6 * S), ==,
		6);
	bench_end(&b);
}

/* Each relapse needs longer evidence than the last. */
static void test_relapses_take_longer(void)
{
	struct bench b;
	int64_t before = 0;

	bench_begin(&b);
	for (int n = 0; n < 3; n++) {
		int64_t sick_for = 0;

		go_on(&b, 3 * S, 1, HLT_SERVER_ERROR, false);
		for (;
		     hlt_level(b.shard, 0) != HLT_HEALTHY && sick_for < 120 * S;
		     sick_for += 100 * MS)
			go_on(&b, 100 * MS, 0, HLT_SUCCESS, false);
		g_assert_cmpint(sick_for, >, before);
		before = sick_for;
	}
	bench_end(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hlt/errors_steer_then_ask",
			test_errors_steer_then_ask);
	g_test_add_func("/hlt/refusals_are_not_sickness",
			test_refusals_are_not_sickness);
	g_test_add_func("/hlt/reused_connections_are_weak_evidence",
			test_reused_connections_are_weak_evidence);
	g_test_add_func("/hlt/probes_alone_change_nothing",
			test_probes_alone_change_nothing);
	g_test_add_func("/hlt/steering_keeps_the_floor",
			test_steering_keeps_the_floor);
	g_test_add_func("/hlt/dependency_and_path_stop_ejections",
			test_dependency_and_path_stop_ejections);
	g_test_add_func("/hlt/a_record_lapses_by_itself",
			test_a_record_lapses_by_itself);
	g_test_add_func("/hlt/return_starts_slowly", test_return_starts_slowly);
	g_test_add_func("/hlt/relapses_take_longer", test_relapses_take_longer);
	return g_test_run();
}
