#include <glib.h>
#include <string.h>

#include "brn.h"

#define MINUTE_US (60 * FS_US_PER_S)

static char *json_of(const struct brn *brn, int64_t now_us)
{
	GString *out = g_string_new(NULL);

	brn_json(brn, out, now_us);
	return g_string_free(out, FALSE);
}

/* One bad answer at the start is in each window for as long as it lasts. */
static void test_windows(void)
{
	static const struct {
		int64_t minute;
		const char *says;
	} cases[] = {
		{4, "{\"minutes\":5,\"total\":2,\"good\":1,\"retried\":1}"},
		{5, "{\"minutes\":5,\"total\":0,\"good\":0,\"retried\":0}"},
		{59, "{\"minutes\":60,\"total\":2,\"good\":1,\"retried\":1}"},
		{60, "{\"minutes\":60,\"total\":0,\"good\":0,\"retried\":0}"},
		{359, "{\"minutes\":360,\"total\":2,\"good\":1,\"retried\":1}"},
		{360, "{\"minutes\":360,\"total\":0,\"good\":0,\"retried\":0}"},
	};
	struct brn *brn = brn_new();
	int64_t start = 1000 * MINUTE_US;

	brn_note(brn, "checkout", true, NULL, "checkout-1", false, start);
	brn_note(brn, "checkout", false, "slow", "checkout-2", true, start);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *json =
			json_of(brn, start + cases[i].minute * MINUTE_US);

		g_assert_nonnull(strstr(json, cases[i].says));
	}
	brn_free(brn);
}

static void test_causes(void)
{
	struct brn *brn = brn_new();
	g_autofree char *json = NULL;
	g_autofree char *later = NULL;

	for (int i = 0; i < 3; i++)
		brn_note(brn, "s", false, "slow", "s-1", false, 0);
	brn_note(brn, "s", false, "queue_full", NULL, false, 0);
	json = json_of(brn, 0);
	g_assert_nonnull(strstr(json, "\"causes\":{\"slow\":3,"
				      "\"queue_full\":1},"
				      "\"servers\":{\"s-1\":3}"));
	later = json_of(brn, 8 * 60 * MINUTE_US);
	g_assert_nonnull(strstr(later, "\"causes\":{},\"servers\":{}"));
	brn_free(brn);
}

/* Any number of names takes a bounded table; the rest is counted together. */
static void test_names_are_bounded(void)
{
	struct brn *brn = brn_new();
	g_autofree char *json = NULL;

	for (int i = 0; i < 100; i++) {
		g_autofree char *server = g_strdup_printf("s-%d", i);

		brn_note(brn, "s", false, "slow", server, false, 0);
	}
	json = json_of(brn, 0);
	g_assert_nonnull(strstr(json, "\"others\":85"));
	brn_free(brn);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/brn/windows", test_windows);
	g_test_add_func("/brn/causes", test_causes);
	g_test_add_func("/brn/names_are_bounded", test_names_are_bounded);
	return g_test_run();
}
