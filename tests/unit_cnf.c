/* Leaving targets: union and expiry of the lists of several pollers. */
#include <string.h>

#include "cnf_leaving.h"

static GPtrArray *names(const char *text)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	g_auto(GStrv) parts = g_strsplit(text, " ", 0);

	for (char **part = parts; *part; part++)
		if (**part)
			g_ptr_array_add(all, g_strdup(*part));
	return all;
}

static void report_list(struct cnf_leaving *leaving, node_id poller,
			const char *text, int64_t now_us)
{
	g_autoptr(GPtrArray) list = names(text);

	cnf_leaving_update(leaving, poller, list, now_us);
}

static void assert_union(struct cnf_leaving *leaving, int64_t now_us,
			 const char *expected)
{
	g_autoptr(GPtrArray) all = cnf_leaving_union(leaving, now_us);
	g_autoptr(GString) text = g_string_new(NULL);

	for (guint i = 0; i < all->len; i++)
		g_string_append_printf(text, "%s%s", i ? " " : "",
				       (char *)g_ptr_array_index(all, i));
	g_assert_cmpstr(text->str, ==, expected);
}

/* The older list of a lagging poller must not make a leaving target eligible
 * for new requests again. */
static void test_lagging_poller_keeps_leaving(void)
{
	struct cnf_leaving *leaving = cnf_leaving_new();
	int64_t s = FS_US_PER_S;

	report_list(leaving, 1, "b a", 1 * s);
	report_list(leaving, 2, "", 2 * s);
	assert_union(leaving, 2 * s, "a b");
	report_list(leaving, 2, "c", 3 * s);
	assert_union(leaving, 3 * s, "a b c");
	report_list(leaving, 1, "", 4 * s);
	assert_union(leaving, 4 * s, "c");
	cnf_leaving_free(leaving);
}

static void test_unresponsive_poller_expires(void)
{
	struct cnf_leaving *leaving = cnf_leaving_new();
	int64_t s = FS_US_PER_S;

	report_list(leaving, 1, "a", 1 * s);
	assert_union(leaving, 3600 * s, "a"); /* no newer list */
	report_list(leaving, 2, "b", 5 * s);
	assert_union(leaving, 5 * s, "a b");
	report_list(leaving, 2, "b", 12 * s);
	assert_union(leaving, 12 * s, "b");
	cnf_leaving_free(leaving);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cnf/lagging_poller",
			test_lagging_poller_keeps_leaving);
	g_test_add_func("/cnf/unresponsive_poller",
			test_unresponsive_poller_expires);
	return g_test_run();
}
