#include <glib.h>

#include "cfg.h"

static struct cfg *load_file(const char *path)
{
	g_autoptr(GPtrArray) problems = NULL;
	g_autofree char *text = NULL;
	struct cfg *cfg;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	cfg_load(text, 7, &problems, &cfg);
	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		g_test_message("%d %s: %s", p->line, p->path, p->text);
	}
	g_assert_nonnull(cfg);
	g_assert_cmpuint(problems->len, ==, 0);
	return cfg;
}

static void test_example_loads(void)
{
	CFG_AUTO struct cfg *cfg = load_file("examples/cascade.yaml");
	handle checkout = cfg_find_service(cfg, "checkout");
	handle pay = cfg_find_route(cfg, "pay");

	g_assert_cmpuint(cfg->version, ==, 7);
	g_assert_cmpuint(cfg_find_server(cfg, "no-such"), ==, FS_NONE);
	g_assert_cmpuint(cfg->services[checkout].slots, ==, 4);
	g_assert_cmpuint(cfg->services[checkout].floor, ==, 750);
	g_assert_cmpuint(cfg->routes[pay].service, ==, checkout);
	g_assert_cmpuint(cfg->routes[pay].priority, ==, CFG_PRIORITY_HIGH);
	g_assert_false(cfg->routes[pay].repeatable);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cfg/example_loads", test_example_loads);
	return g_test_run();
}
