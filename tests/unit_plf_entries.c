/* Entries of other writers that are made to harm whoever reads them. */
#include <string.h>

#include "fs_json.h"
#include "fs_log.h"
#include "plf_decode.h"

/* Of an item in the store, in bytes. */
#define VALUE_MAX 1048576

/* Levels that fit an item. */
#define LEVELS 400000

static bool decode(const GString *text, struct dir_entry *out)
{
	struct kvs_item item = {
		.key = "servers/i-other",
		.value = text->str,
		.size = text->len,
		.rev = 9,
	};

	return plf_decode_target(&item, out);
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/plf_entries/nested_behind_a_quote",
			test_nested_behind_a_quote);
	g_test_add_func("/plf_entries/nested_answer", test_nested_answer);
	return g_test_run();
}
