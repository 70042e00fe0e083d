/* Planned stops: a daemon, a target and a service go out of use under load;
 * nothing in flight is cut, and a leaving target gets no new work after 5 s. */
#include <stdio.h>
#include <signal.h>
#include <string.h>

#include "fleet_http.h"
#include "fleet_scene.h"

#define NODES 4
#define SERVERS 3
#define LEAVING_SECONDS 5.0 /* the stated target */
#define AFTER_SECONDS 3.0   /* of load after that */

static const char *build = "build";

static const struct fleet_kind kinds[] = {
	{"GET", "/courses", 500, 3, 10.0, false},
	{"POST", "/pay", 64, 1, 10.0, false},
	{"GET", "/export", 300000, 1, 20.0, false},
};

/* One run with a callback at set times. */
struct stop_run {
	struct fleet *f;
	const char *addresses[FLEET_MAX];
	const char *query; /* fault of the target that leaves, or NULL */
	const char *vm;	   /* name to be listed as leaving, or NULL */
	const char *text;  /* to be put, or NULL */
	unsigned int phase;
	unsigned int runs; /* of the leaving target 5 s after */
	double ttl_s;
};

static struct fleet_plan plan_of(struct stop_run *run, double seconds)
{
	struct fleet_plan plan = {
		.addresses = run->addresses,
		.kinds = kinds,
		.kind_count = G_N_ELEMENTS(kinds),
		.concurrency = 64,
		.rate = 100,
		.total = 5000,
		.seconds = seconds,
		.seed = 3,
		.arg = run,
	};

	fleet_callers(run->f, run->addresses);
	return plan;
}

static void print_unanswered(const GArray *results)
{
	for (guint i = 0; i < results->len; i++) {
		const struct fleet_result *r =
			&g_array_index(results, struct fleet_result, i);

		if (r->unknown || !r->whole)
			printf("# unanswered: %s kind %u status %ld error %s "
			       "started at %.3f s took %.3f s\n",
			       r->token, r->kind, r->status, r->error,
			       r->start_s, r->took_s);
	}
}

/* Fails unless every request was answered well. */
static void check_uncut(const struct stop_run *run,
			const struct fleet_plan *plan, const char *name,
			const GArray *results)
{
	struct fleet_history h = fleet_history_of(run->f, plan, results);

	fleet_history_check(name, &h);
	print_unanswered(results);
	g_assert_cmpuint(h.cut, ==, 0);
	g_assert_cmpuint(h.unknown, ==, 0);
	g_assert_cmpuint(h.good, ==, h.requests);
}

/* Callers keep an entry address for the time that came with it. */
static void stop_daemon(void *arg, double elapsed_s)
{
	struct stop_run *run = arg;

	if (run->phase == 0 && elapsed_s > 1.0) {
		kill(run->f->nodes[1].process.pid, SIGTERM);
		run->phase = 1;
	} else if (run->phase == 1 && elapsed_s > 1.0 + run->ttl_s) {
		run->addresses[1] = run->addresses[3];
		run->addresses[3] = NULL;
		run->phase = 2;
	}
}

static void test_daemon(void)
{
	struct stop_run run = {
		.f = fleet_start(build, &fleet_cascade, SERVERS, NODES, false),
		.ttl_s = 1.0,
	};
	struct fleet_plan plan = plan_of(&run, 8.0);
	g_autoptr(GArray) results = NULL;

	plan.tick = stop_daemon;
	results = fleet_load_run(&plan);
	g_assert_cmpint(fleet_stop(&run.f->nodes[1].process, 20.0), ==, 0);
	check_uncut(&run, &plan, "daemon", results);
	fleet_free(run.f);
}

/* The target checkout-1 is told to leave at 1 s, in one of three ways. */
static struct fleet_target *leaver(struct fleet *f)
{
	for (unsigned int i = 0; i < f->target_count; i++) {
		if (!strcmp(f->targets[i].process.name, "checkout-1"))
			return &f->targets[i];
	}
	return NULL;
}

static void leave_target(void *arg, double elapsed_s)
{
	struct stop_run *run = arg;

	if (run->phase == 0 && elapsed_s > 1.0) {
		if (run->query)
			fleet_fault(leaver(run->f), run->query);
		if (run->vm)
			fleet_put_vms(run->f, run->vm);
		if (run->text)
			g_assert_cmpint(fleet_put_config(run->f, run->text), ==,
					0);
		run->phase = 1;
	} else if (run->phase == 1 && elapsed_s > 1.0 + LEAVING_SECONDS) {
		run->runs = fleet_target_stat(leaver(run->f), "runs");
		run->phase = 2;
	}
}

static void run_target(struct stop_run *run, const char *name)
{
	struct fleet_plan plan =
		plan_of(run, 1.0 + LEAVING_SECONDS + AFTER_SECONDS);
	g_autoptr(GArray) results = NULL;

	plan.tick = leave_target;
	results = fleet_load_run(&plan);
	g_assert_cmpuint(run->phase, ==, 2);
	g_assert_cmpuint(run->runs, >, 0);
	g_assert_cmpuint(fleet_target_stat(leaver(run->f), "runs"), ==,
			 run->runs);
	check_uncut(run, &plan, name, results);
	fleet_free(run->f);
}

static void test_target_by_vm_list(void)
{
	struct stop_run run = {
		.f = fleet_start(build, &fleet_cascade, SERVERS, NODES, false),
		.vm = "checkout-1",
	};

	run_target(&run, "target_by_vm_list");
}

static void test_target_by_signal(void)
{
	struct stop_run run = {
		.f = fleet_start(build, &fleet_cascade, SERVERS, NODES, false),
		.query = "fault=drain",
	};

	run_target(&run, "target_by_signal");
}

/* Returns the text with one server marked as leaving. */
static char *text_without(const struct fleet *f, const char *server)
{
	g_autofree char *text = fleet_deploy_text(f, &fleet_cascade);
	g_autofree char *from = g_strdup_printf("{name: %s,", server);
	g_autofree char *to =
		g_strdup_printf("{name: %s, leaving: true,", server);
	g_auto(GStrv) parts = g_strsplit(text, from, 2);

	return g_strjoinv(to, parts);
}

static void test_target_by_text(void)
{
	struct stop_run run = {
		.f = fleet_start(build, &fleet_cascade, SERVERS, NODES, false),
	};
	g_autofree char *text = text_without(run.f, "checkout-1");

	run.text = text;
	run_target(&run, "target_by_text");
}

/* Removing a service that another depends on is refused; one that is leaving
 * gets no new work, and its refusals are true. */
static void test_service(void)
{
	struct fleet *f =
		fleet_start(build, &fleet_cascade, SERVERS, NODES, false);
	g_autofree char *text = fleet_deploy_text(f, &fleet_cascade);
	g_auto(GStrv) needed = g_strsplit(text, "  - name: courses\n", 2);
	g_auto(GStrv) free_one = g_strsplit(text, "  - name: exports\n", 2);
	g_autofree char *bad =
		g_strjoinv("  - name: courses\n    leaving: true\n", needed);
	g_autofree char *good =
		g_strjoinv("  - name: exports\n    leaving: true\n", free_one);
	g_autoptr(FleetAnswer) refused = NULL;

	g_assert_cmpint(fleet_put_config(f, bad), ==, 1);
	g_assert_cmpint(fleet_put_config(f, good), ==, 0);
	fleet_wait_ready(f, 6.0);
	refused = fleet_http("GET", f->nodes[0].caller, "/export/1", NULL, NULL,
			     5.0);
	g_assert_cmpstr(refused->outcome, ==, "not-run");
	g_assert_cmpstr(refused->error, ==, "service_leaving");
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	g_test_add_func("/stop/daemon", test_daemon);
	g_test_add_func("/stop/target_by_vm_list", test_target_by_vm_list);
	g_test_add_func("/stop/target_by_signal", test_target_by_signal);
	g_test_add_func("/stop/target_by_text", test_target_by_text);
	g_test_add_func("/stop/service", test_service);
	return g_test_run();
}
