/* Differences of configuration texts, the history of recent ones, and the parts of
 * a relay tree. */
#include <string.h>

#include "cfh.h"
#include "spr.h"

/* A text of about @p size bytes whose line @p changed differs by @p version. */
static char *make_text(uint64_t version, size_t size, uint64_t changed)
{
	GString *text = g_string_new(NULL);
	uint64_t random = 1;

	for (uint64_t i = 0; text->len < size; i++)
		g_string_append_printf(text, "%016" G_GINT64_MODIFIER "x %u\n",
				       fs_random(&random),
				       i == changed ? (guint)version : 7);
	return g_string_free(text, FALSE);
}

static void put(struct cfh *history, uint64_t version)
{
	g_autofree char *text = make_text(version, 10000, version % 50);

	g_assert_cmpint(cfh_put(history, version, text), ==, 0);
}

static void apply_all(struct cfh *history, const GArray *steps)
{
	for (guint i = 0; i < steps->len; i++)
		g_assert_cmpint(
			cfh_apply(history,
				  &g_array_index(steps, struct cfh_step, i)),
			==, 0);
}

/* One line of a text of the largest size changes: guards against a message that
 * grows with the text. */
static void test_difference_of_a_large_text(void)
{
	g_autofree char *before = make_text(1, DLT_TEXT_MAX - 100, 30000);
	g_autofree char *after = make_text(2, DLT_TEXT_MAX - 100, 30000);
	g_autoptr(GBytes) bytes = dlt_encode(before, after);
	g_autofree char *decoded = NULL;

	g_assert_cmpuint(g_bytes_get_size(bytes), <, 1024);
	g_assert_cmpint(dlt_decode(before, bytes, &decoded), ==, 0);
	g_assert_cmpstr(decoded, ==, after);
}

/* The receiver's text is another one under the same version: guards against a
 * configuration that nobody wrote. */
static void test_difference_from_another_base(void)
{
	g_autofree char *base = make_text(1, 10000, 3);
	g_autofree char *other = make_text(9, 10000, 3);
	g_autofree char *text = g_strconcat(base, "more", NULL);
	g_autoptr(GBytes) bytes = dlt_encode(base, text);
	g_autofree char *decoded = NULL;

	g_assert_cmpint(dlt_decode(other, bytes, &decoded), ==, FS_E_PROTOCOL);
	g_assert_null(decoded);
	g_assert_cmpint(dlt_decode(NULL, bytes, &decoded), ==, FS_E_PROTOCOL);
}

/* Guards against malformed bytes that end the process or fill its memory. */
static void test_malformed_bytes(void)
{
	g_autofree char *text = make_text(1, 10000, 3);
	g_autoptr(GBytes) bytes = dlt_encode(NULL, text);
	size_t size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);
	char *decoded;

	for (size_t i = 0; i < size; i += 7) {
		g_autofree uint8_t *copy = g_memdup2(data, size);
		g_autoptr(GBytes) cut = g_bytes_new(data, i);
		g_autoptr(GBytes) bad = NULL;

		g_assert_cmpint(dlt_decode(NULL, cut, &decoded), ==,
				FS_E_PROTOCOL);
		copy[i] ^= 0x55;
		bad = g_bytes_new(copy, size);
		if (!dlt_decode(NULL, bad, &decoded))
			g_assert_cmpstr(decoded, ==, text);
		g_free(decoded);
	}
}

static void test_text_too_long(void)
{
	g_autofree char *text = make_text(1, DLT_TEXT_MAX + 1, 3);
	struct cfh history;

	cfh_init(&history);
	g_assert_cmpint(cfh_put(&history, 1, text), ==, FS_E_INVALID);
	g_assert_cmpuint(history.version, ==, 0);
	cfh_clear(&history);
}

/* A node that has any version, or none, or one that is long gone. */
static void test_steps_from_any_version(void)
{
	const uint64_t newest = 40;
	struct cfh sender;

	cfh_init(&sender);
	for (uint64_t version = 1; version <= newest; version++)
		put(&sender, version);
	for (uint64_t known = 0; known <= newest; known++) {
		g_autoptr(GArray) steps = cfh_steps_new();
		struct cfh receiver;

		cfh_init(&receiver);
		if (known)
			put(&receiver, known);
		cfh_steps_since(&sender, known, steps);
		g_assert_cmpuint(steps->len, <=, CFH_STEPS_MAX);
		apply_all(&receiver, steps);
		g_assert_cmpuint(receiver.version, ==, newest);
		g_assert_cmpstr(receiver.text, ==, sender.text);
		cfh_clear(&receiver);
	}
	cfh_clear(&sender);
}

static void test_older_steps_are_ignored(void)
{
	g_autoptr(GArray) steps = cfh_steps_new();
	struct cfh sender;
	struct cfh receiver;

	cfh_init(&sender);
	cfh_init(&receiver);
	put(&sender, 5);
	put(&receiver, 9);
	cfh_steps_since(&sender, 0, steps);
	apply_all(&receiver, steps);
	g_assert_cmpuint(receiver.version, ==, 9);
	cfh_clear(&sender);
	cfh_clear(&receiver);
}

/* A node that missed a version is told so, and has the text it had. */
static void test_missed_step(void)
{
	struct cfh sender;
	struct cfh receiver;

	cfh_init(&sender);
	cfh_init(&receiver);
	put(&sender, 5);
	put(&receiver, 5);
	put(&sender, 7);
	put(&sender, 8);
	g_assert_cmpint(cfh_apply(&receiver, cfh_last_step(&sender)), ==,
			FS_E_STALE);
	g_assert_cmpuint(receiver.version, ==, 5);
	cfh_clear(&sender);
	cfh_clear(&receiver);
}

/* Marks who gets a message that is sent to all of [@p from, @p from + @p count). */
static uint32_t relay(uint32_t from, uint32_t count, size_t bytes,
		      uint8_t *reached)
{
	uint32_t parts = spr_parts(count, bytes);
	uint32_t depth = 0;

	g_assert_cmpuint(parts, <=,
			 MAX(SPR_FANOUT_MIN, SPR_BYTES / MAX(bytes, 1)));
	for (uint32_t i = 0; i < parts; i++) {
		struct spr_part part = spr_part(count, parts, i);
		uint32_t below =
			relay(from + part.head + 1, part.rest, bytes, reached);

		reached[from + part.head]++;
		depth = MAX(depth, 1 + below);
	}
	return depth;
}

/* Each receiver gets a message once, whatever its size, in a few steps. */
static void test_relay_reaches_all_once(void)
{
	static const size_t sizes[] = {0, 100, 3000, 40000, 300000, 1200000};
	uint8_t reached[500];

	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		for (uint32_t count = 0; count <= 500; count++) {
			memset(reached, 0, sizeof(reached));
			g_assert_cmpuint(relay(0, count, sizes[s], reached), <=,
					 6);
			for (uint32_t i = 0; i < count; i++)
				g_assert_cmpuint(reached[i], ==, 1);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cfh/difference_of_a_large_text",
			test_difference_of_a_large_text);
	g_test_add_func("/cfh/difference_from_another_base",
			test_difference_from_another_base);
	g_test_add_func("/cfh/malformed_bytes", test_malformed_bytes);
	g_test_add_func("/cfh/text_too_long", test_text_too_long);
	g_test_add_func("/cfh/steps_from_any_version",
			test_steps_from_any_version);
	g_test_add_func("/cfh/older_steps_are_ignored",
			test_older_steps_are_ignored);
	g_test_add_func("/cfh/missed_step", test_missed_step);
	g_test_add_func("/cfh/relay_reaches_all_once",
			test_relay_reaches_all_once);
	return g_test_run();
}
