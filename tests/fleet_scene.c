#include "fleet_scene.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_http.h"

/* Events that are still to come. */
struct scene {
	struct fleet *f;
	const struct fleet_event *events;
	unsigned int count;
	unsigned int next;
};

static void act_on_node(struct fleet *f, struct fleet_node *node,
			const struct fleet_event *e)
{
	switch (e->action) {
	case FLEET_NODE_FREEZE:
		fleet_freeze(&node->process);
		break;
	case FLEET_NODE_THAW:
		fleet_thaw(&node->process);
		break;
	case FLEET_NODE_KILL:
		fleet_kill(&node->process);
		break;
	case FLEET_NODE_RESTART:
		fleet_restart_node(f, node);
		break;
	default:
		fleet_relay(&node->relay, e->text);
		break;
	}
}

static void act_on_target(struct fleet_target *t, const struct fleet_event *e)
{
	switch (e->action) {
	case FLEET_TARGET_FREEZE:
		fleet_freeze(&t->process);
		break;
	case FLEET_TARGET_THAW:
		fleet_thaw(&t->process);
		break;
	case FLEET_TARGET_FAULT:
		fleet_fault(t, e->text);
		break;
	default:
		fleet_relay(&t->relay, e->text);
		break;
	}
}

void fleet_scene_act(struct fleet *f, const struct fleet_event *e)
{
	if (e->action == FLEET_PLATFORM_FAULT) {
		fleet_platform_fault(f, e->text);
	} else if (e->action == FLEET_VM_LEAVING) {
		fleet_put_vms(f, e->text);
	} else if (e->action <= FLEET_NODE_RELAY) {
		for (unsigned int i = 0; i < f->node_count; i++) {
			if (e->index == FLEET_ALL || e->index == (int)i)
				act_on_node(f, &f->nodes[i], e);
		}
	} else {
		for (unsigned int i = 0; i < f->target_count; i++) {
			if (e->index == FLEET_ALL || e->index == (int)i)
				act_on_target(&f->targets[i], e);
		}
	}
}

static void on_tick(void *arg, double elapsed_s)
{
	struct scene *scene = arg;

	while (scene->next < scene->count &&
	       scene->events[scene->next].at_s <= elapsed_s)
		fleet_scene_act(scene->f, &scene->events[scene->next++]);
}

GArray *fleet_scene_run(struct fleet *f, const struct fleet_plan *plan,
			const struct fleet_event *events, unsigned int count)
{
	struct scene scene = {f, events, count, 0};
	struct fleet_plan with_tick = *plan;
	GArray *results;

	with_tick.tick = on_tick;
	with_tick.arg = &scene;
	results = fleet_load_run(&with_tick);
	while (scene.next < scene.count)
		fleet_scene_act(f, &events[scene.next++]);
	return results;
}

static GHashTable *read_runs(const struct fleet *f)
{
	GHashTable *runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (unsigned int i = 0; i < f->target_count; i++) {
		g_autoptr(FleetAnswer)
			a = fleet_http("GET", f->targets[i].process.address,
				       "/control/runs", NULL, NULL, 5.0);
		g_auto(GStrv) lines = g_strsplit(a->body->str, "\n", 0);

		g_assert_cmpint(a->status, ==, 200);
		for (char **line = lines; *line; line++) {
			char *space = strchr(*line, ' ');
			unsigned int n;

			if (!space)
				continue;
			*space = '\0';
			n = (unsigned int)atoi(space + 1) +
			    GPOINTER_TO_UINT(g_hash_table_lookup(runs, *line));
			g_hash_table_insert(runs, g_strdup(*line),
					    GUINT_TO_POINTER(n));
		}
	}
	return runs;
}

static void judge(struct fleet_history *h, const struct fleet_result *r,
		  bool once, unsigned int runs)
{
	bool good = r->status == 200 && r->whole;

	h->requests++;
	h->good += good && r->own;
	h->foreign += good && !r->own;
	h->not_run += r->not_run;
	h->unknown += r->unknown;
	h->cut += !r->whole;
	h->repeated += once && runs > 1;
	h->false_not_run += r->not_run && runs > 0;
	h->unrun_good += good && runs == 0;
	if ((once && runs > 1) || (r->not_run && runs > 0) ||
	    (good && (!r->own || !runs)))
		printf("# broken: %s kind %u status %ld error %s started at "
		       "%.3f s took %.3f s runs %u\n",
		       r->token, r->kind, r->status, r->error, r->start_s,
		       r->took_s, runs);
}

struct fleet_history fleet_history_of(const struct fleet *f,
				      const struct fleet_plan *plan,
				      const GArray *results)
{
	struct fleet_history h = {0};
	g_autoptr(GHashTable) runs = read_runs(f);

	for (guint i = 0; i < results->len; i++) {
		const struct fleet_result *r =
			&g_array_index(results, struct fleet_result, i);
		bool once = strcmp(plan->kinds[r->kind].method, "GET") != 0;

		judge(&h, r, once,
		      GPOINTER_TO_UINT(g_hash_table_lookup(runs, r->token)));
	}
	return h;
}

void fleet_history_check(const char *name, const struct fleet_history *h)
{
	printf("# %s: %u requests, %u good, %u not run, %u unknown, %u cut; "
	       "foreign %u, repeated %u, false not-run %u, good but not run "
	       "%u\n",
	       name, h->requests, h->good, h->not_run, h->unknown, h->cut,
	       h->foreign, h->repeated, h->false_not_run, h->unrun_good);
	g_assert_cmpuint(h->foreign, ==, 0);
	g_assert_cmpuint(h->repeated, ==, 0);
	g_assert_cmpuint(h->false_not_run, ==, 0);
	g_assert_cmpuint(h->unrun_good, ==, 0);
}

int fleet_audit(const struct fleet *f, const char *log, char **out)
{
	g_autofree char *text = g_build_filename(f->dir, "config.yaml", NULL);
	const char *args[] = {"audit", "--config", text, "--log", log, NULL};
	int code;

	*out = fleet_run(f, "fescuesaddle", args, &code);
	return code;
}

void fleet_audit_check(const struct fleet *f)
{
	unsigned int refused = 0;

	for (unsigned int i = 0; i < f->node_count; i++) {
		g_autofree char *out = NULL;

		if (fleet_audit(f, f->nodes[i].process.log, &out) == 0)
			continue;
		printf("# audit of %s: %.1500s\n", f->nodes[i].process.name,
		       out);
		refused++;
	}
	g_assert_cmpuint(refused, ==, 0);
}

#define NODES 4
#define SERVERS 3
#define LOAD_SECONDS 4.0
#define SETTLE_SECONDS 6.0 /* longer than every deadline of the text */

static const char *build = "build";

static const struct fleet_kind kinds[] = {
	{"POST", "/pay", 64, 3, 8.0, false},
	{"GET", "/courses", 500, 2, 8.0, false},
	{"GET", "/export", 400000, 1, 8.0, false},
};

static void run_scenario(gconstpointer data)
{
	const struct fleet_scenario *s = data;
	struct fleet *f =
		fleet_start(build, &fleet_cascade, SERVERS, NODES, true);
	const char *addresses[FLEET_MAX];
	struct fleet_plan plan = {
		.addresses = addresses,
		.kinds = kinds,
		.kind_count = G_N_ELEMENTS(kinds),
		.concurrency = 40,
		.rate = 150,
		.total = 600,
		.seconds = LOAD_SECONDS,
		.seed = 7,
	};
	struct fleet_history h;
	GArray *results;

	fleet_callers(f, addresses);
	results = fleet_scene_run(f, &plan, s->events, s->count);
	fleet_sleep(SETTLE_SECONDS);
	h = fleet_history_of(f, &plan, results);
	fleet_history_check(s->name, &h);
	g_assert_cmpuint(h.good, >, 0);
	fleet_audit_check(f);
	g_array_unref(results);
	fleet_free(f);
}

int fleet_scenarios_main(int argc, char **argv, const char *name,
			 const struct fleet_scenario *scenarios, size_t count)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	for (size_t i = 0; i < count; i++) {
		g_autofree char *path =
			g_strdup_printf("/%s/%s", name, scenarios[i].name);

		g_test_add_data_func(path, &scenarios[i], run_scenario);
	}
	return g_test_run();
}
