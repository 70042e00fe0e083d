/* The text at the size to design for: 250 services, 6,500 servers in two
 * regions of five failure domains, 11,000 routes. */
#include <glib.h>
#include <malloc.h>

#include "cfg.h"

#define SERVICES 250
#define SERVERS_EACH 26
#define ROUTES_EACH 44
#define MEMORY_MAX (32 * 1000 * 1000) /* a node's memory for control */
#define LOAD_MAX_US FS_US_PER_S	      /* a share of the 6 s to be in force */

static void add_service(GString *text, int i)
{
	g_string_append_printf(
		text,
		"  - name: service-%03d\n"
		"    floor: 75%%\n"
		"    slots: 4\n"
		"    detection: careful\n"
		"    objective: {good: 99.9%%, latency_ms: 800}\n",
		i);
	if (i)
		g_string_append_printf(text, "    depends_on: [service-%03d]\n",
				       i / 2);
}

static void add_ranges(GString *text, int i)
{
	g_string_append_printf(
		text,
		"    server_ranges:\n"
		"      - {prefix: service-%03d-, count: %d, address: "
		"\"10.%d.0.1:8080\", failure_domains: [a1, a2, a3]}\n"
		"      - {prefix: service-%03d-b, count: %d, address: "
		"\"10.%d.1.1:8080\", failure_domains: [b1, b2]}\n",
		i, SERVERS_EACH / 2, i, i, SERVERS_EACH / 2, i);
}

static void add_servers(GString *text, int i)
{
	g_string_append(text, "    servers:\n");
	for (int k = 0; k < SERVERS_EACH; k++)
		g_string_append_printf(
			text,
			"      - {name: service-%03d-%d, address: "
			"\"10.%d.0.%d:8080\", failure_domain: %s}\n",
			i, k, i, k + 1, k % 2 ? "a1" : "b1");
}

/* Routes one by one: about 70 bytes each. */
static void add_single_routes(GString *text)
{
	g_string_append(text, "routes:\n");
	for (int i = 0; i < SERVICES * ROUTES_EACH; i++)
		g_string_append_printf(
			text,
			"  - {name: r%d, path: /section-%d/p%d, service: "
			"service-%03d, deadline_ms: 3000}\n",
			i, i % 100, i, i % SERVICES);
}

/* Routes that differ by their path only share one entry. */
static void add_path_lists(GString *text)
{
	g_string_append(text, "routes:\n");
	for (int i = 0; i < SERVICES; i++) {
		g_string_append_printf(text,
				       "  - name: s%03d\n"
				       "    service: service-%03d\n"
				       "    deadline_ms: 3000\n"
				       "    paths: [",
				       i, i);
		for (int k = 0; k < ROUTES_EACH; k++)
			g_string_append_printf(text, "%s/section-%d/p%d",
					       k ? ", " : "", k, i);
		g_string_append(text, "]\n");
	}
}

static GString *make_text(void (*servers)(GString *text, int i),
			  void (*routes)(GString *text))
{
	GString *text = g_string_new(
		"deployment: full\nfailure_domains:\n"
		"  - {name: a1, region: a}\n  - {name: a2, region: a}\n"
		"  - {name: a3, region: a}\n  - {name: b1, region: b}\n"
		"  - {name: b2, region: b}\nservices:\n");

	for (int i = 0; i < SERVICES; i++) {
		add_service(text, i);
		servers(text, i);
	}
	routes(text);
	return text;
}

static void test_lists_fit(void)
{
	g_autoptr(GString) text = make_text(add_ranges, add_path_lists);
	g_autoptr(GPtrArray) problems = NULL;
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
	int64_t start = g_get_monotonic_time();
	struct cfg *cfg;
	int64_t took;
	size_t kept;

	cfg_load(text->str, 1, &problems, &cfg);
	took = g_get_monotonic_time() - start;
	kept = mallinfo2().uordblks + mallinfo2().hblkhd - before;
	g_test_message("server ranges, path lists: %zu bytes of text, loaded "
		       "in %d us, %zu bytes kept",
		       text->len, (int)took, kept);
	g_assert_nonnull(cfg);
	g_assert_cmpuint(cfg->server_count, ==, SERVICES * SERVERS_EACH);
	g_assert_cmpuint(cfg->route_count, ==, SERVICES * ROUTES_EACH);
	g_assert_cmpint(took, <, LOAD_MAX_US);
	g_assert_cmpuint(kept, <, MEMORY_MAX);
	cfg_unref(cfg);
}

/* Written one by one, neither routes nor servers fit. */
static void test_single_entries_are_too_long(void)
{
	g_autoptr(GString) routes = make_text(add_ranges, add_single_routes);
	g_autoptr(GString) both = make_text(add_servers, add_single_routes);

	g_test_message("server ranges, single routes: %zu bytes", routes->len);
	g_test_message("single servers, single routes: %zu bytes", both->len);
	g_assert_cmpuint(routes->len, >, FS_CONFIG_MAX);
	g_assert_cmpuint(both->len, >, FS_CONFIG_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cfg_size/lists_fit", test_lists_fit);
	g_test_add_func("/cfg_size/single_entries_are_too_long",
			test_single_entries_are_too_long);
	return g_test_run();
}
