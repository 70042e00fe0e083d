/* Whole and own answers: many concurrent requests while targets answer late,
 * short, too long, twice, or not at all. */
#include "fleet_scene.h"

#define NODES 4
#define SERVERS 4
#define REQUESTS 4000
#define CONCURRENCY 96
#define SETTLE_SECONDS 3.0

static const char *build = "build";

static const struct fleet_kind kinds[] = {
	{"GET", "/courses", 300, 6, 10.0, false},
	{"GET", "/status/1", 20000, 3, 10.0, false},
	{"GET", "/export", 700000, 1, 20.0, false},
	{"POST", "/pay", 64, 2, 10.0, false},
};

static void run_fault(gconstpointer data)
{
	const char *fault = data;
	struct fleet *f =
		fleet_start(build, &fleet_cascade, SERVERS, NODES, false);
	const char *addresses[FLEET_MAX];
	struct fleet_plan plan = {
		.addresses = addresses,
		.kinds = kinds,
		.kind_count = G_N_ELEMENTS(kinds),
		.concurrency = CONCURRENCY,
		.total = REQUESTS,
		.seconds = 8.0,
		.seed = 11,
	};
	struct fleet_event event = {0.0, FLEET_TARGET_FAULT, FLEET_ALL, fault};
	struct fleet_history h;
	GArray *results;

	fleet_callers(f, addresses);
	results = fleet_scene_run(f, &plan, &event, 1);
	fleet_sleep(SETTLE_SECONDS);
	h = fleet_history_of(f, &plan, results);
	fleet_history_check(fault, &h);
	g_assert_cmpuint(h.good, >, h.requests / 4);
	g_array_unref(results);
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	g_test_add_data_func("/answers/well", "fault=none", run_fault);
	g_test_add_data_func("/answers/late", "fault=slow&permille=100&ms=900",
			     run_fault);
	g_test_add_data_func("/answers/short", "fault=truncate&permille=100",
			     run_fault);
	g_test_add_data_func("/answers/too_long", "fault=overlong&permille=100",
			     run_fault);
	g_test_add_data_func("/answers/twice", "fault=duplicate&permille=100",
			     run_fault);
	g_test_add_data_func("/answers/reset", "fault=reset&permille=100",
			     run_fault);
	return g_test_run();
}
