/* The command-line tool against running daemons: status, explain, the burn
 * report in its three forms, the text in force, and a planned stop. */
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "fleet_deploy.h"
#include "fleet_http.h"

#define NODES 2
#define REQUESTS 40

static const char *build = "build";

/* Runs the tool and fails unless it exits 0 and says what is expected. */
static void expect(const struct fleet *f, const char *const *args,
		   const char *said)
{
	int code;
	g_autofree char *out = fleet_run(f, "fescuesaddle", args, &code);

	if (code || !strstr(out, said))
		g_error("%s %s: exit %d, not said: %s\n%s", args[0], args[1],
			code, said, out);
}

/* Half of the requests have no route; returns the id of the last of those. */
static char *send_requests(const struct fleet *f)
{
	char *refused = NULL;

	for (unsigned int i = 0; i < REQUESTS; i++) {
		g_autoptr(FleetAnswer) a = fleet_http(
			"GET", f->nodes[0].caller,
			i % 2 ? "/courses" : "/nowhere", NULL, NULL, 5.0);

		if (i % 2)
			continue;
		g_free(refused);
		refused = g_strdup(a->request);
	}
	return refused;
}

static void test_tool(void)
{
	struct fleet *f = fleet_start(build, &fleet_cascade, 2, NODES, false);
	const char *node = f->nodes[0].operator;
	g_autofree char *refused = send_requests(f);
	g_autofree char *page = g_build_filename(f->dir, "burn.html", NULL);
	g_autofree char *html = NULL;

	expect(f, (const char *[]){"status", "--node", node, NULL},
	       "2 members alive");
	expect(f, (const char *[]){"status", "--node", node, "--json", NULL},
	       "\"entry-02\"");
	expect(f,
	       (const char *[]){"explain", "--node", node, "--request", refused,
				NULL},
	       "no_route");
	expect(f, (const char *[]){"config", "show", "--node", node, NULL},
	       "deployment: cascade");
	expect(f, (const char *[]){"report", "burn", "--node", node, NULL},
	       "courses");
	expect(f,
	       (const char *[]){"report", "burn", "--node", node, "--json",
				NULL},
	       "\"courses\"");
	expect(f,
	       (const char *[]){"report", "burn", "--node", node, "--html",
				page, NULL},
	       "");
	g_assert_true(g_file_get_contents(page, &html, NULL, NULL));
	g_assert_nonnull(strstr(html, "<svg"));
	g_assert_nonnull(strstr(html, "courses"));
	remove(page);
	expect(f, (const char *[]){"drain", "--node", node, NULL}, "");
	g_assert_true(fleet_wait_log(&f->nodes[0].process,
				     "\"event\":\"stopped\"", 15.0));
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	g_test_add_func("/tool/against_daemons", test_tool);
	return g_test_run();
}
