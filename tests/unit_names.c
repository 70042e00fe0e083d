/* The platform's names stay in platform/: no source of the product has one. */
#include <glib.h>
#include <string.h>

static const char *const names[] = {
	"kv-txn",
	"kv-range",
	"kv-watch",
	"kv-lease",
	"kv-keep",
	"kv-key",
	"X-Expect-Instance",
	"X-Not-Executed",
	"X-Response-Seal",
	"X-Deadline-Ms",
	"X-Request-Id",
	"X-Instance-Id",
	"NODE_FILE",
	"cold_left_ms",
	"beat_interval_ms",
	"target_latency_ms",
	"max_attempts",
	"health_path",
	"\"/resolve",

	"servers/",
	"op/config",
	"\"is_gone",
	"at_rev\\\"",
	"has_more",
	"is_stale",
	"min_ttl_ms",
};

static void check_file(const char *path)
{
	g_autofree char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strstr(text, names[i]))
			g_error("%s has the platform's name %s", path,
				names[i]);
	}
}

static void test_sources(void)
{
	g_autoptr(GDir) dir = g_dir_open("src", 0, NULL);
	const char *name;
	int count = 0;

	g_assert_nonnull(dir);
	while ((name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename("src", name, NULL);

		check_file(path);
		count++;
	}
	g_assert_cmpint(count, >, 100);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/names/sources", test_sources);
	return g_test_run();
}
