/* Names and numbers of the platform that the fleet's own texts do not allow. */
#include <string.h>

#include "fleet_plf.h"
#include "fs_log.h"
#include "fs_name.h"
#include "plf_decode.h"

#define CONFIG                                                            \
	"{\"version\":9,\"routes\":{\"columns\":[\"name\",\"host\","      \
	"\"prefix\",\"kind\",\"service\",\"timeout_ms\",\"split\"],"      \
	"\"rows\":[[\"%s\",\"h\",\"/a/\",\"unsafe\",\"%s\",2500.5,null]," \
	"[\"%s\",\"h\",\"/b/\",\"unsafe\",null,3000,"                     \
	"[{\"service\":\"%s\",\"weight\":0.75},"                          \
	"{\"service\":\"%s\",\"weight\":0.25}]]]},"                       \
	"\"services\":{\"columns\":[\"name\"],\"rows\":[[\"%s\"],[\"%s\"]]}}"

#define ENTRY                                                 \
	"{\"service\":\"%s\",\"address\":\"10.0.0.1:80\","    \
	"\"zone\":\"%s\",\"capacity\":4,\"state\":\"ready\"," \
	"\"cold_left_ms\":1500.5,\"born\":5}"

static char *long_name(size_t size, char last)
{
	char *name = g_strnfill(size, 'n');

	name[size - 1] = last;
	return name;
}

static struct cfg *decode_config(const char *first, const char *second)
{
	g_autofree char *text = g_strdup_printf(CONFIG, first, first, second,
						first, second, first, second);

	return plf_decode_config(text, strlen(text));
}

static bool decode_target(const char *id, const char *service,
			  const char *domain, struct dir_entry *out)
{
	g_autofree char *key = g_strconcat("servers/", id, NULL);
	g_autofree char *text = g_strdup_printf(ENTRY, service, domain);

	return entry_decode(key, text, strlen(text), out);
}

/* Guards against a version that every gateway refuses as a whole for the length of a
 * name: they stayed at the version before, and one that had none did not get ready. */
static void test_long_names(void)
{
	static const size_t sizes[] = {47, 48, 50, 300, 5000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		g_autofree char *a = long_name(sizes[i], 'a');
		g_autofree char *b = long_name(sizes[i], 'b');
		struct cfg *cfg CFG_AUTO = decode_config(a, b);
		struct dir_entry e;

		g_assert_nonnull(cfg);
		g_assert_cmpuint(cfg->route_count, ==, 2);
		g_assert_cmpuint(cfg->service_count, ==, 2);
		g_assert_cmpuint(cfg->routes[0].service, ==, 0);
		g_assert_cmpuint(cfg->routes[1].shares[1].service, ==, 1);
		/* The servers of a service are found under its name. */
		g_assert_true(decode_target("i-1", b, a, &e));
		g_assert_cmpstr(e.service, ==, cfg->services[1].name);
	}
}

/* Guards against names that break a line of the log. */
static void test_names_with_quotes(void)
{
	struct cfg *cfg CFG_AUTO = decode_config("a\\\"b", "a\\nb");

	g_assert_nonnull(cfg);
	for (uint32_t i = 0; i < cfg->service_count; i++)
		g_assert_null(strpbrk(cfg->services[i].name, "\"\\\n"));
	g_assert_cmpstr(cfg->services[0].name, !=, cfg->services[1].name);
}

/* Guards against a server that is left out for the length of its id or domain: keys
 * have up to 200 bytes, and the id goes to the server as it is. */
static void test_long_id(void)
{
	g_autofree char *id = long_name(192, 'x');
	g_autofree char *longer = long_name(200, 'x');
	g_autofree char *domain = long_name(60, 'z');
	struct dir_entry e;

	g_assert_true(decode_target(id, "a", domain, &e));
	g_assert_cmpstr(e.id, ==, id);
	g_assert_false(decode_target(longer, "a", "z", &e));
}

/* Guards against an id of another writer that adds a field to requests. */
static void test_id_that_breaks_a_field(void)
{
	static const char *const ids[] = {
		"", "a b", "a\r\nHost: b", "a\"b", "a\\b", "\x01", "\xc3\xa9",
	};
	struct dir_entry e;

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		g_assert_false(decode_target(ids[i], "a", "z", &e));
}

/* Guards against a version that is refused, or a time-out that is lost, since a number
 * is not whole. */
static void test_fractions(void)
{
	struct cfg *cfg CFG_AUTO = decode_config("a", "b");
	struct dir_entry e;

	g_assert_nonnull(cfg);
	g_assert_cmpint(cfg->routes[0].deadline_us, ==, 2500500);
	g_assert_cmpfloat(cfg->routes[1].shares[0].weight, ==, 0.75);
	g_assert_cmpfloat(cfg->routes[1].shares[1].weight, ==, 0.25);
	g_assert_true(decode_target("i-1", "a", "z", &e));
	g_assert_cmpint(e.cold_us, ==, 1500500);
}

static void expect_fit(const char *name, size_t size, const char *expected)
{
	char out[FS_NAME_MAX];

	fs_name_fit(name, out, size);
	g_assert_cmpuint(strlen(out), <, size);
	if (expected)
		g_assert_cmpstr(out, ==, expected);
	else
		g_assert_cmpstr(out, !=, name);
}

/* Guards against names that change though they fit, and names cut inside a
 * character. */
static void test_fit(void)
{
	char long_text[FS_NAME_MAX];
	char again[FS_NAME_MAX];

	expect_fit("checkout", FS_NAME_MAX, "checkout");
	expect_fit("", FS_NAME_MAX, "");
	expect_fit("pr\xc3\xa9l\xc3\xa8vement", FS_NAME_MAX,
		   "pr\xc3\xa9l\xc3\xa8vement");
	expect_fit("\xff", FS_NAME_MAX, NULL);
	expect_fit("12345678901234567890123", FS_NAME_FIT_MIN,
		   "12345678901234567890123");
	expect_fit("123456789012345678901234", FS_NAME_FIT_MIN, NULL);
	fs_name_fit("123456789012345678901234567890", long_text,
		    FS_NAME_FIT_MIN);
	g_assert_true(g_str_has_prefix(long_text, "123456~"));
	fs_name_fit(long_text, again, FS_NAME_FIT_MIN);
	g_assert_cmpstr(again, ==, long_text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/plf_names/long_names", test_long_names);
	g_test_add_func("/plf_names/names_with_quotes", test_names_with_quotes);
	g_test_add_func("/plf_names/long_id", test_long_id);
	g_test_add_func("/plf_names/id_that_breaks_a_field",
			test_id_that_breaks_a_field);
	g_test_add_func("/plf_names/fractions", test_fractions);
	g_test_add_func("/plf_names/fit", test_fit);
	return g_test_run();
}
