/* The audit on logs of running daemons: every decision taken under faults
 * follows from the operators' text and its own numbers; a changed one does
 * not. */
#include <stdio.h>
#include <string.h>

#include "fleet_scene.h"

#define NODES 3
#define SERVERS 4

static const char *build = "build";

static const struct fleet_kind kinds[] = {
	{"GET", "/courses", 300, 3, 10.0, false},
	{"POST", "/pay", 64, 2, 10.0, true},
	{"GET", "/nowhere", 64, 1, 10.0, false},
};

static const struct fleet_event events[] = {
	{0.5, FLEET_TARGET_FAULT, 0, "fault=stall"},
	{0.5, FLEET_TARGET_FAULT, 4, "fault=error"},
	{1.0, FLEET_TARGET_FAULT, 5, "fault=shed"},
	{6.0, FLEET_TARGET_FREEZE, 6, NULL},
	{8.0, FLEET_TARGET_THAW, 6, NULL},
	{9.0, FLEET_TARGET_FAULT, FLEET_ALL, "fault=none"},
};

/* Changes the first number of the last decision of a rule; false if the log
 * has none. */
static bool tamper(const char *log, const char *rule, const char *from,
		   const char *to, const char *path)
{
	g_autofree char *text = NULL;
	g_autofree char *word = g_strdup_printf("\"rule\":\"%s\"", rule);
	g_autoptr(GString) changed = NULL;
	char *at;
	char *number;

	g_assert_true(g_file_get_contents(log, &text, NULL, NULL));
	at = g_strrstr(text, word);
	number = at ? strstr(at, from) : NULL;
	if (!number)
		return false;
	changed = g_string_new_len(text, number - text);
	g_string_append(changed, to);
	g_string_append(changed, number + strlen(from));
	return g_file_set_contents(path, changed->str, -1, NULL);
}

static void check_tampered(const struct fleet *f, const char *log,
			   unsigned int *found)
{
	static const char *const changes[][3] = {
		{"retry", "\"repeatable\":1", "\"repeatable\":0"},
		{"config_taken", "\"known\":0", "\"known\":9"},
		{"request_not_acceptable", "\"err\":-2", "\"err\":-21"},
		{"steer_stall", "\"choice\":\"suspect\"",
		 "\"choice\":\"clear\""},
		{"steer_errors", "\"bad\":", "\"bad\":0,\"x\":"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		g_autofree char *path = g_strconcat(log, ".changed", NULL);
		g_autofree char *out = NULL;

		if (!tamper(log, changes[i][0], changes[i][1], changes[i][2],
			    path))
			continue;
		g_assert_cmpint(fleet_audit(f, path, &out), ==, 1);
		printf("# found: %s", out);
		remove(path);
		(*found)++;
	}
}

static void test_audit(void)
{
	struct fleet *f =
		fleet_start(build, &fleet_cascade, SERVERS, NODES, false);
	const char *addresses[FLEET_MAX];
	struct fleet_plan plan = {
		.addresses = addresses,
		.kinds = kinds,
		.kind_count = G_N_ELEMENTS(kinds),
		.concurrency = 100,
		.rate = 150,
		.total = 3000,
		.seconds = 12.0,
		.seed = 17,
	};
	unsigned int found = 0;
	GArray *results;

	fleet_callers(f, addresses);
	results = fleet_scene_run(f, &plan, events, G_N_ELEMENTS(events));
	g_array_unref(results);
	fleet_audit_check(f);
	for (unsigned int i = 0; i < f->node_count; i++)
		check_tampered(f, f->nodes[i].process.log, &found);
	g_assert_cmpuint(found, >=, 4);
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	g_test_add_func("/audit/logs_of_daemons", test_audit);
	return g_test_run();
}
