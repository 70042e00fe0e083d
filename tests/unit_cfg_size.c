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

static void add_routes(GString *text)
{
	g_string_append(text, "routes:\n");
	for (int i = 0; i < SERVICES * ROUTES_EACH; i++)
		g_string_append_printf(
			text,
			"  - {name: r%d, path: /p%d, service: service-%03d, "
			"deadline_ms: 3000}\n",
			i, i, i % SERVICES);
}

static GString *make_text(void (*add)(GString *text, int i))
{
	GString *text = g_string_new(
		"deployment: full\nfailure_domains:\n"
		"  - {name: a1, region: a}\n  - {name: a2, region: a}\n"
		"  - {name: a3, region: a}\n  - {name: b1, region: b}\n"
		"  - {name: b2, region: b}\nservices:\n");

	for (int i = 0; i < SERVICES; i++) {
		add_service(text, i);
		add(text, i);
	}
	add_routes(text);
	return text;
}

static void load_full(void (*add)(GString *text, int i), const char *what)
{
	g_autoptr(GString) text = make_text(add);
	g_autoptr(GPtrArray) problems = NULL;
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
	int64_t start = g_get_monotonic_time();
	struct cfg *cfg;
	int64_t took;
	size_t kept;

	cfg_load(text->str, 1, &problems, &cfg);
	took = g_get_monotonic_time() - start;
	kept = mallinfo2().uordblks + mallinfo2().hblkhd - before;
	g_test_message("%s: %zu bytes of text, loaded in %d us, %zu bytes kept",
		       what, text->len, (int)took, kept);
	g_assert_nonnull(cfg);
	g_assert_cmpuint(cfg->server_count, ==, SERVICES * SERVERS_EACH);
	g_assert_cmpuint(cfg->route_count, ==, SERVICES * ROUTES_EACH);
	g_assert_cmpint(took, <, LOAD_MAX_US);
	g_assert_cmpuint(kept, <, MEMORY_MAX);
	cfg_unref(cfg);
}

static void test_ranges_fit(void)
{
	load_full(add_ranges, "ranges");
}

/* Servers written one by one do not fit beside so many routes. */
static void test_single_servers_are_too_long(void)
{
	g_autoptr(GString) text = make_text(add_servers);

	g_test_message("single: %zu bytes of text", text->len);
	g_assert_cmpuint(text->len, >, FS_CONFIG_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cfg_size/ranges_fit", test_ranges_fit);
	g_test_add_func("/cfg_size/single_servers_are_too_long",
			test_single_servers_are_too_long);
	return g_test_run();
}
