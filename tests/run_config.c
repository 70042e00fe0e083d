/* The configuration: in force everywhere within 6 s, never an older one, no
 * accepted edit lost, and the tool never wrong on what was accepted. */
#include <stdio.h>
#include <string.h>

#include "fleet_deploy.h"
#include "fleet_http.h"

#define IN_FORCE_SECONDS 6.0 /* the stated target */
#define SERVERS 1
#define NODES 8

static const char *build = "build";

/* Returns the text with another deadline, so that each edit differs. */
static char *edited(const struct fleet *f, unsigned int deadline_ms)
{
	g_autofree char *text = fleet_deploy_text(f, &fleet_cascade);
	g_auto(GStrv) parts = g_strsplit(text, "deadline_ms: 5000", 2);
	g_autofree char *to = g_strdup_printf("deadline_ms: %u", deadline_ms);

	return g_strjoinv(to, parts);
}

static gint64 version_at(const struct fleet_node *node)
{
	JsonNode *status = fleet_json(node->operator, "/status");
	gint64 version = -1;

	if (status) {
		version = fleet_json_int(status, "config.version", -1);
		json_node_unref(status);
	}
	return version;
}

static void test_in_force(void)
{
	struct fleet *f =
		fleet_start(build, &fleet_cascade, SERVERS, NODES, false);

	for (unsigned int i = 0; i < 3; i++) {
		g_autofree char *text = edited(f, 5001 + i);

		g_assert_cmpint(fleet_put_config(f, text), ==, 0);
		fleet_wait_ready(f, IN_FORCE_SECONDS);
	}
	fleet_free(f);
}

/* Any node may be one of the two watchers: each is lost in turn. */
static void test_in_force_without_watcher(void)
{
	struct fleet *f =
		fleet_start(build, &fleet_cascade, SERVERS, NODES, false);

	for (unsigned int i = 0; i < NODES - 2; i++) {
		g_autofree char *text = edited(f, 6001 + i);
		gint64 end;
		bool all = false;

		fleet_kill(&f->nodes[i].process);
		g_assert_cmpint(fleet_put_config(f, text), ==, 0);
		end = g_get_monotonic_time() + (gint64)(IN_FORCE_SECONDS * 1e6);
		while (!all && g_get_monotonic_time() < end) {
			all = true;
			for (unsigned int n = i + 1; n < NODES; n++)
				all = all && version_at(&f->nodes[n]) ==
						     (gint64)f->version;
			fleet_sleep(0.02);
		}
		g_assert_true(all);
	}
	fleet_free(f);
}

/* One operator's edit, run at the same time as another's. */
struct edit {
	struct fleet *f;
	char *path;
	int code;
	char *out;
};

static gpointer put_edit(gpointer data)
{
	struct edit *e = data;
	const char *args[] = {"config",
			      "put",
			      e->path,
			      "--platform",
			      e->f->platform.address,
			      "--expect",
			      "1",
			      NULL};

	e->out = fleet_run(e->f, "fescuesaddle", args, &e->code);
	return NULL;
}

static void test_two_operators(void)
{
	struct fleet *f = fleet_start(build, &fleet_cascade, SERVERS, 2, false);
	struct edit edits[2] = {{.f = f}, {.f = f}};
	GThread *threads[2];
	g_autofree char *value = NULL;
	JsonNode *config;

	for (int i = 0; i < 2; i++) {
		g_autofree char *text = edited(f, 7001 + (unsigned int)i);

		edits[i].path = g_strdup_printf("%s/edit-%d.yaml", f->dir, i);
		g_file_set_contents(edits[i].path, text, -1, NULL);
		threads[i] = g_thread_new("edit", put_edit, &edits[i]);
	}
	for (int i = 0; i < 2; i++)
		g_thread_join(threads[i]);
	g_assert_cmpint(MIN(edits[0].code, edits[1].code), ==, 0);
	g_assert_cmpint(MAX(edits[0].code, edits[1].code), ==, 4);
	config = fleet_json(f->platform.address, "/kv/config");
	g_assert_nonnull(strstr(edits[edits[0].code ? 0 : 1].out, "pay"));
	value = json_to_string(config, FALSE);
	g_assert_nonnull(strstr(value, edits[0].code ? "7002" : "7001"));
	json_node_unref(config);
	for (int i = 0; i < 2; i++) {
		remove(edits[i].path);
		g_free(edits[i].path);
		g_free(edits[i].out);
	}
	fleet_free(f);
}

static void test_lost_reply(void)
{
	struct fleet *f = fleet_start(build, &fleet_cascade, SERVERS, 2, false);
	g_autofree char *text = edited(f, 8001);

	fleet_platform_fault(f, "mode=lose_replies&count=1");
	g_assert_cmpint(fleet_put_config(f, text), ==, 0);
	fleet_platform_fault(f, "mode=none");
	fleet_wait_ready(f, IN_FORCE_SECONDS);
	fleet_free(f);
}

static void test_platform_away(void)
{
	struct fleet *f = fleet_start(build, &fleet_cascade, SERVERS, 2, false);
	g_autofree char *text = edited(f, 8002);
	int code;

	fleet_platform_fault(f, "mode=down");
	code = fleet_put_config(f, text);
	g_assert_true(code == 3 || code == 5);
	fleet_platform_fault(f, "mode=none");
	fleet_sleep(1.0);
	g_assert_cmpint(version_at(&f->nodes[0]), ==, (gint64)f->version);
	fleet_free(f);
}

/* A new VM during an outage serves with what its peers know, and a platform
 * that has fallen back to an older value changes nothing. */
static void test_never_older(void)
{
	struct fleet *f = fleet_start(build, &fleet_cascade, SERVERS, 3, false);
	g_autofree char *text = edited(f, 9001);
	JsonNode *old = fleet_json(f->platform.address, "/kv/config");
	const char *value = json_object_get_string_member(
		json_node_get_object(old), "value");
	g_autofree char *path = NULL;
	g_autoptr(FleetAnswer) put = NULL;

	g_assert_cmpint(fleet_put_config(f, text), ==, 0);
	fleet_wait_ready(f, IN_FORCE_SECONDS);
	fleet_platform_fault(f, "mode=down");
	fleet_restart_node(f, &f->nodes[2]);
	fleet_wait_ready(f, 10.0);
	fleet_platform_fault(f, "mode=none");
	path = g_strdup("/kv/config?prev=2");
	put = fleet_http("PUT", f->platform.address, path, NULL, value, 5.0);
	g_assert_cmpint(put->status, ==, 200);
	fleet_sleep(3.0);
	for (unsigned int i = 0; i < 3; i++)
		g_assert_cmpint(version_at(&f->nodes[i]), ==, 2);
	json_node_unref(old);
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	g_test_add_func("/config/in_force", test_in_force);
	g_test_add_func("/config/in_force_without_watcher",
			test_in_force_without_watcher);
	g_test_add_func("/config/two_operators", test_two_operators);
	g_test_add_func("/config/lost_reply", test_lost_reply);
	g_test_add_func("/config/platform_away", test_platform_away);
	g_test_add_func("/config/never_older", test_never_older);
	return g_test_run();
}
