/* The floor on running daemons: whatever fails, the union of what all nodes
 * have ejected leaves the service its floor; probes that lie eject nothing. */
#include <stdio.h>
#include <string.h>

#include "fleet_http.h"
#include "fleet_scene.h"

#define NODES 4
#define SERVERS 12
#define CHECKOUT 12	 /* servers of checkout */
#define CHECKOUT_FIRST 8 /* its first target; courses come before */
#define EJECTED_MAX 3	 /* the text's floor is 75 % */
#define LOOK_SECONDS 0.2 /* between looks at all nodes */
#define LOAD_SECONDS 25.0

static const char *build = "build";

static const struct fleet_kind kinds[] = {
	{"POST", "/pay", 64, 1, 8.0, false},
	{"GET", "/checkout", 64, 3, 8.0, false},
};

/* One run and what was seen of it. */
struct floor_run {
	struct fleet *f;
	const struct fleet_event *events;
	unsigned int count, next;
	double looked_s;
	unsigned int most; /* ejected at one moment, union of all nodes */
	unsigned int sick[CHECKOUT]; /* looks that saw it steered or out */
};

static void note_server(struct floor_run *run, JsonObject *server,
			GHashTable *ejected)
{
	const char *name = json_object_get_string_member(server, "name");
	const char *level = json_object_get_string_member(server, "level");
	unsigned int number;

	if (sscanf(name, "checkout-%u", &number) != 1 || number > CHECKOUT)
		return;
	if (!strcmp(level, "ejected"))
		g_hash_table_add(ejected, g_strdup(name));
	if (strcmp(level, "fit"))
		run->sick[number - 1]++;
}

static void note_node(struct floor_run *run, const struct fleet_node *node,
		      GHashTable *ejected)
{
	JsonNode *status = fleet_json_within(node->operator, "/status", 0.2);
	JsonArray *shards;

	if (!status)
		return;
	shards = json_object_get_array_member(
		json_object_get_object_member(json_node_get_object(status),
					      "dispatch"),
		"shards");
	for (guint i = 0; i < json_array_get_length(shards); i++) {
		JsonArray *servers = json_object_get_array_member(
			json_array_get_object_element(shards, i), "servers");

		for (guint s = 0; s < json_array_get_length(servers); s++)
			note_server(run,
				    json_array_get_object_element(servers, s),
				    ejected);
	}
	json_node_unref(status);
}

static void look(struct floor_run *run)
{
	g_autoptr(GHashTable) ejected =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (unsigned int i = 0; i < run->f->node_count; i++) {
		if (run->f->nodes[i].process.pid)
			note_node(run, &run->f->nodes[i], ejected);
	}
	run->most = MAX(run->most, g_hash_table_size(ejected));
}

static void on_tick(void *arg, double elapsed_s)
{
	struct floor_run *run = arg;

	while (run->next < run->count &&
	       run->events[run->next].at_s <= elapsed_s)
		fleet_scene_act(run->f, &run->events[run->next++]);
	if (elapsed_s - run->looked_s >= LOOK_SECONDS) {
		look(run);
		run->looked_s = elapsed_s;
	}
}

/* Checkout also answers a repeatable route, so that trials are possible. */
static struct fleet *start(void)
{
	struct fleet *f = fleet_new(build, false);
	g_autofree char *text = NULL;
	g_autofree char *more = NULL;

	fleet_deploy(f, &fleet_cascade, SERVERS, NODES);
	text = fleet_deploy_text(f, &fleet_cascade);
	more = g_strconcat(text,
			   "  - {name: cart, path: /checkout, methods: [GET], "
			   "service: checkout, deadline_ms: 2000, "
			   "repeat: allowed, tries: 3}\n",
			   NULL);
	g_assert_cmpint(fleet_put_config(f, more), ==, 0);
	fleet_wait_ready(f, 15.0);
	return f;
}

static void run_floor(struct floor_run *run, const char *name)
{
	const char *addresses[FLEET_MAX];
	struct fleet_plan plan = {
		.addresses = addresses,
		.kinds = kinds,
		.kind_count = G_N_ELEMENTS(kinds),
		.concurrency = 200,
		.rate = 150,
		.total = 100000,
		.seconds = LOAD_SECONDS,
		.seed = 13,
		.tick = on_tick,
		.arg = run,
	};
	struct fleet_history h;
	g_autoptr(GArray) results = NULL;

	run->f = start();
	fleet_callers(run->f, addresses);
	results = fleet_load_run(&plan);
	while (run->next < run->count)
		fleet_scene_act(run->f, &run->events[run->next++]);
	h = fleet_history_of(run->f, &plan, results);
	printf("# %s: at most %u ejected at one moment\n", name, run->most);
	fleet_history_check(name, &h);
	g_assert_cmpuint(run->most, <=, EJECTED_MAX);
	fleet_audit_check(run->f);
}

/* Faults of so many servers of checkout, every second one. */
static unsigned int fault_some(struct fleet_event *out, unsigned int n,
			       const char *query)
{
	for (unsigned int i = 0; i < n; i++)
		out[i] = (struct fleet_event){1.0, FLEET_TARGET_FAULT,
					      (int)(CHECKOUT_FIRST + 2 * i),
					      query};
	return n;
}

static void test_probes_lie(void)
{
	struct fleet_event events[CHECKOUT];
	struct floor_run run = {.events = events};

	run.count = fault_some(events, CHECKOUT / 2, "fault=sick_probe");
	run_floor(&run, "probes_lie");
	g_assert_cmpuint(run.most, ==, 0);
	for (unsigned int i = 0; i < CHECKOUT; i++)
		g_assert_cmpuint(run.sick[i], ==, 0);
	fleet_free(run.f);
}

/* The floor lets so many of the stalled servers be steered away from, and no
 * others. */
static void check_steered(const struct floor_run *run)
{
	unsigned int steered = 0;

	for (unsigned int i = 0; i < CHECKOUT; i += 2) {
		steered += run->sick[i] > 0;
		g_assert_cmpuint(run->sick[i + 1], ==, 0);
	}
	g_assert_cmpuint(steered, >=, EJECTED_MAX);
}

static void test_half_stalls(void)
{
	struct fleet_event events[CHECKOUT];
	struct floor_run run = {.events = events};

	run.count = fault_some(events, CHECKOUT / 2, "fault=stall");
	run_floor(&run, "half_stalls");
	check_steered(&run);
	fleet_free(run.f);
}

static void test_stall_with_freeze_and_outage(void)
{
	struct fleet_event events[CHECKOUT + 6];
	struct floor_run run = {.events = events};

	run.count = fault_some(events, 5, "fault=error");
	events[run.count++] =
		(struct fleet_event){9.0, FLEET_NODE_FREEZE, 1, NULL};
	events[run.count++] = (struct fleet_event){11.0, FLEET_PLATFORM_FAULT,
						   0, "mode=down"};
	events[run.count++] =
		(struct fleet_event){16.0, FLEET_NODE_THAW, 1, NULL};
	events[run.count++] = (struct fleet_event){20.0, FLEET_PLATFORM_FAULT,
						   0, "mode=none"};
	run_floor(&run, "freeze_and_outage");
	fleet_free(run.f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	g_test_add_func("/floor/probes_lie", test_probes_lie);
	g_test_add_func("/floor/half_stalls", test_half_stalls);
	g_test_add_func("/floor/freeze_and_outage",
			test_stall_with_freeze_and_outage);
	return g_test_run();
}
