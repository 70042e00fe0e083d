/* Routes: boundaries of prefixes, hosts, methods. */
#include "rte.h"

static struct cfg_route routes[] = {
	{.name = "root", .host = "*", .path = "/", .methods = CFG_GET},
	{.name = "pay", .host = "*", .path = "/pay", .methods = CFG_POST},
	{.name = "own", .host = "a.example", .path = "/", .methods = CFG_GET},
};
static const struct cfg cfg = {.routes = routes, .route_count = 3};

static void check(const char *host, const char *path, const char *method,
		  int err, handle route)
{
	handle found;

	g_assert_cmpint(rte_find(&cfg, host, path, rte_method(method), &found),
			==, err);
	g_assert_cmpuint(found, ==, route);
}

static void test_matches(void)
{
	check("h", "/x", "GET", 0, 0);
	check("h", "/payslips", "GET", 0, 0);
	check("h", "/pay", "POST", 0, 1);
	check("h", "/pay/1", "POST", 0, 1);
	check("A.Example:80", "/x", "GET", 0, 2);
	check("a.example.org", "/x", "GET", 0, 0);
}

/* A shorter prefix has other rules: it does not serve a method that the longer
 * one refuses. */
static void test_refused_method_goes_nowhere_else(void)
{
	check("h", "/pay", "GET", FS_E_METHOD, FS_NONE);
	check("h", "/pay", "TRACE", FS_E_METHOD, FS_NONE);
	check("h", "/pay", "post", FS_E_METHOD, FS_NONE);
	check("a.example", "/pay", "POST", FS_E_METHOD, FS_NONE);
}

static void test_no_route(void)
{
	static const struct cfg empty;
	handle found;

	g_assert_cmpint(rte_find(&empty, "h", "/", CFG_GET, &found), ==,
			FS_E_NO_ROUTE);
	g_assert_cmpuint(found, ==, FS_NONE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rte/matches", test_matches);
	g_test_add_func("/rte/refused_method_goes_nowhere_else",
			test_refused_method_goes_nowhere_else);
	g_test_add_func("/rte/no_route", test_no_route);
	return g_test_run();
}
