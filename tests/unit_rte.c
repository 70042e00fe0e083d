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

/* Guards against a split of fractions that is refused, or not kept: draws over the
 * range of random numbers go to each service in proportion. */
static void test_draws_by_weight(void)
{
	static const struct cfg_share shares[] = {
		{.service = 4, .weight = 0.01},
		{.service = 5, .weight = 0},
		{.service = 6, .weight = 0.99},
	};
	const struct cfg_route route = {
		.service = 4,
		.shares = (struct cfg_share *)shares,
		.share_count = G_N_ELEMENTS(shares),
	};
	uint32_t counts[8] = {0};

	for (uint64_t i = 0; i < 1000; i++)
		counts[rte_draw_service(&route, i * (UINT64_MAX / 1000))]++;
	g_assert_cmpuint(counts[4], ==, 10);
	g_assert_cmpuint(counts[5], ==, 0);
	g_assert_cmpuint(counts[6], ==, 990);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rte/matches", test_matches);
	g_test_add_func("/rte/refused_method_goes_nowhere_else",
			test_refused_method_goes_nowhere_else);
	g_test_add_func("/rte/no_route", test_no_route);
	g_test_add_func("/rte/draws_by_weight", test_draws_by_weight);
	return g_test_run();
}
