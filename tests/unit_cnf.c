/* Leaving targets: lists of several pollers, and whom they are told to. */
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

static void told(struct cnf_leaving *leaving, node_id poller, const char *text,
		 int64_t now_us)
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

/* A poller that lags must not give a leaving target new work again. */
static void test_lagging_poller_clears_nothing(void)
{
	struct cnf_leaving *leaving = cnf_leaving_new();
	int64_t s = FS_US_PER_S;

	told(leaving, 1, "b a", 1 * s);
	told(leaving, 2, "", 2 * s);
	assert_union(leaving, 2 * s, "a b");
	told(leaving, 2, "c", 3 * s);
	assert_union(leaving, 3 * s, "a b c");
	told(leaving, 1, "", 4 * s);
	assert_union(leaving, 4 * s, "c");
	cnf_leaving_free(leaving);
}

static void test_silent_poller_lapses(void)
{
	struct cnf_leaving *leaving = cnf_leaving_new();
	int64_t s = FS_US_PER_S;

	told(leaving, 1, "a", 1 * s);
	assert_union(leaving, 3600 * s, "a"); /* nobody told otherwise */
	told(leaving, 2, "b", 5 * s);
	assert_union(leaving, 5 * s, "a b");
	told(leaving, 2, "b", 12 * s);
	assert_union(leaving, 12 * s, "b");
	cnf_leaving_free(leaving);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cnf/lagging_poller",
			test_lagging_poller_clears_nothing);
	g_test_add_func("/cnf/silent_poller", test_silent_poller_lapses);
	return g_test_run();
}
