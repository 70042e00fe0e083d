/* Entries of other writers that are made to harm whoever reads them. */
#include <string.h>
#include <time.h>

#include "fleet_plf.h"
#include "fs_json.h"
#include "fs_log.h"
#include "plf_decode.h"

/* Of an item in the store, in bytes. */
#define VALUE_MAX 1048576

/* A server's entry, open at its end. */
#define SERVER                                                           \
	"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\"," \
	"\"capacity\":4,\"state\":\"ready\",\"born\":5"

/* Half a second on a VM of 0.1 core: callers get no answer meanwhile. */
#define PARSE_MAX_US (50 * FS_US_PER_MS)

/* Of 16,384 names, which fit an item. */
#define COLLIDING_BITS 14

/* Levels that fit an item. */
#define LEVELS 400000

static bool decode(const GString *text, struct dir_entry *out)
{
	return entry_decode("servers/i-other", text->str, text->len, out);
}

static void append_times(GString *text, const char *part, int times)
{
	for (int i = 0; i < times; i++)
		g_string_append(text, part);
}

/* Guards against one entry that ends every process which reads the list: nested
 * behind quotes or comments that a check of the depth and the parser tell apart. */
static void test_nested_behind_a_quote(void)
{
	static const struct {
		const char *before;
		const char *level;
	} cases[] = {
		{"['\"',", "["},	{"{'\"':1,\"a\":", "{\"a\":"},
		{"[/*\"*/", "["},	{"[//\"\n", "["},
		{"[\"\\\"\",", "["},	{"[\"\\\\\",", "["},
		{"[\"\\u0022\",", "["}, {"{\"a\":[", "[{\"b\":"},
		{"[#\"\n", "["},	{"[\"\n\",", "["},
	};
	struct dir_entry e;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) text = g_string_new(cases[i].before);

		append_times(text, cases[i].level, LEVELS);
		g_assert_false(decode(text, &e));
		g_assert_null(plf_decode_config(text->str, text->len));
	}
}

/* Guards against the same texts in an answer of the store. */
static void test_nested_answer(void)
{
	g_autoptr(GString) text = g_string_new("{\"at_rev\":1,'\"':");

	append_times(text, "[", LEVELS);
	g_assert_null(fs_json_parse(text->str, (gssize)text->len));
}

/* Appends the members "m0":1 to "m<n-1>":1 of an object. */
static void append_members(GString *text, int n)
{
	for (int i = 0; i < n; i++)
		g_string_append_printf(text, "%s\"m%d\":1", i ? "," : "", i);
}

/* Appends members whose names have one hash in GLib: both pairs of letters add the
 * same to it. */
static void append_colliding(GString *text, unsigned bits)
{
	for (unsigned i = 0; i < 1U << bits; i++) {
		g_string_append(text, i ? ",\"" : "\"");
		for (unsigned bit = 0; bit < bits; bit++)
			g_string_append(text, i >> bit & 1 ? "Ez" : "FY");
		g_string_append(text, "\":1");
	}
}

/* Returns the processor time that parsing takes, in us. */
static int64_t parse_us(const GString *text, bool *valid)
{
	clock_t start = clock();
	g_autoptr(JsonNode) root = fs_json_parse(text->str, (gssize)text->len);

	*valid = root != NULL;
	return (int64_t)(clock() - start) * FS_US_PER_S / CLOCKS_PER_SEC;
}

static void expect_refused_in_time(const GString *text)
{
	bool valid;
	int64_t took_us = parse_us(text, &valid);

	g_assert_cmpint(took_us, <, PARSE_MAX_US);
	g_assert_false(valid);
}

/* Guards against an entry that stops callers for 20 s: each repeated name walked
 * through the list of all. */
static void test_repeated_names(void)
{
	g_autoptr(GString) text = g_string_new("{");

	append_members(text, 50000);
	while (text->len < VALUE_MAX - 16)
		g_string_append(text, ",\"m49999\":1");
	g_string_append_c(text, '}');
	expect_refused_in_time(text);
}

/* Guards against the same by names that differ, and are found under one hash. */
static void test_colliding_names(void)
{
	g_autoptr(GString) text = g_string_new("{");

	append_colliding(text, COLLIDING_BITS);
	g_string_append_c(text, '}');
	expect_refused_in_time(text);
}

/* Guards against names that are lost, or a limit that the fleet's own texts meet. */
static void test_limit_of_members(void)
{
	g_autoptr(GString) most = g_string_new("{");
	g_autoptr(GString) more = g_string_new("{");
	g_autoptr(GString) twice = g_string_new("{\"a\":1,\"b\":1,\"a\":1}");
	g_autoptr(JsonObject) object = NULL;
	g_autoptr(JsonNode) report = NULL;
	bool valid;

	append_members(most, FS_JSON_MEMBERS_MAX);
	g_string_append_c(most, '}');
	append_members(more, FS_JSON_MEMBERS_MAX + 1);
	g_string_append_c(more, '}');
	object = fs_json_parse_object(most->str, (gssize)most->len);
	g_assert_nonnull(object);
	g_assert_cmpuint(json_object_get_size(object), ==, FS_JSON_MEMBERS_MAX);
	parse_us(more, &valid);
	g_assert_false(valid);
	report = fs_json_parse_report(more->str, (gssize)more->len);
	g_assert_nonnull(report);
	parse_us(twice, &valid);
	g_assert_false(valid);
}

/* Guards against an entry with the fields of a server that is slow to parse for its
 * size alone. */
static void test_entry_of_a_megabyte(void)
{
	g_autoptr(GString) text = g_string_new(SERVER ",\"more\":[0");
	struct dir_entry e;
	clock_t start;

	while (text->len < VALUE_MAX - 16)
		g_string_append(text, ",0");
	g_string_append(text, "]}");
	start = clock();
	g_assert_false(decode(text, &e));
	g_assert_cmpint((int64_t)(clock() - start) * FS_US_PER_S /
				CLOCKS_PER_SEC,
			<, FS_US_PER_MS);
	g_string_assign(text, SERVER "}");
	g_assert_true(decode(text, &e));
}

/* Guards against a NUL that cuts a text, so that an id becomes another server's, or one
 * that refuses a page with all the entries on it. */
static void test_nul_in_a_text(void)
{
	static const char text[] = "{\"key\":\"a\\u0000b\",\"c\\u0000\":1}";
	g_autoptr(JsonObject) object = fs_json_parse_object(text, -1);

	g_assert_nonnull(object);
	g_assert_cmpstr(json_object_get_string_member(object, "key"), ==,
			"a\xef\xbf\xbd"
			"b");
	g_assert_false(json_object_has_member(object, "c"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/plf_entries/nested_behind_a_quote",
			test_nested_behind_a_quote);
	g_test_add_func("/plf_entries/nested_answer", test_nested_answer);
	g_test_add_func("/plf_entries/repeated_names", test_repeated_names);
	g_test_add_func("/plf_entries/colliding_names", test_colliding_names);
	g_test_add_func("/plf_entries/limit_of_members", test_limit_of_members);
	g_test_add_func("/plf_entries/entry_of_a_megabyte",
			test_entry_of_a_megabyte);
	g_test_add_func("/plf_entries/nul_in_a_text", test_nul_in_a_text);
	return g_test_run();
}
