#include <glib.h>

#include "ctr.h"

static void test_quantiles(void)
{
	struct ctr *ctr = ctr_new();
	handle h = ctr_histogram(ctr, "t");

	for (int64_t us = 1; us <= 1000; us++)
		ctr_observe(ctr, h, us);
	g_assert_cmpint(ctr_quantile(ctr, h, 0.5), >=, 500);
	g_assert_cmpint(ctr_quantile(ctr, h, 0.5), <=, 563);
	g_assert_cmpint(ctr_quantile(ctr, h, 0.99), >=, 990);
	g_assert_cmpint(ctr_quantile(ctr, h, 0.99), <=, 1115);
	ctr_free(ctr);
}

static void test_long_times_fit(void)
{
	struct ctr *ctr = ctr_new();
	handle h = ctr_histogram(ctr, "t");

	ctr_observe(ctr, h, 3600 * FS_US_PER_S);
	g_assert_cmpint(ctr_quantile(ctr, h, 1.0), >=, 3600 * FS_US_PER_S);
	g_assert_cmpint(ctr_quantile(ctr, h, 1.0), <=, 4050 * FS_US_PER_S);
	ctr_free(ctr);
}

static void test_names_are_bounded(void)
{
	struct ctr *ctr = ctr_new();

	for (int i = 0; i < CTR_MAX + 10; i++) {
		g_autofree char *name = g_strdup_printf("n%d", i);

		ctr_count(ctr, name, 1);
	}
	g_assert_cmpuint(ctr_get(ctr, ctr_counter(ctr, "n0")), ==, 1);
	g_assert_cmpuint(ctr_get(ctr, CTR_MAX - 1), ==, 11);
	ctr_free(ctr);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ctr/quantiles", test_quantiles);
	g_test_add_func("/ctr/long_times_fit", test_long_times_fit);
	g_test_add_func("/ctr/names_are_bounded", test_names_are_bounded);
	return g_test_run();
}
