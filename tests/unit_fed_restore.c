/* The feed task over a store that is restored from a copy: revisions go back,
 * and what was written since the copy is written again. */
#include <string.h>

#include "fleet_fed.h"
#include "fs_log.h"

static uint64_t version(void)
{
	return fed_config(rig.fed)->version;
}

/* Writes of servers that change nothing else. */
static void beat(const char *key, int count)
{
	while (count-- > 0)
		shelf_put(&rig.shelf, key, "ready");
}

/* The restored store has passed the revision that the reader waits for, so there
 * is no 410: guards against a change in between that is never seen, such as an
 * acknowledged configuration or an added server. */
static void test_store_that_has_caught_up(void)
{
	rig_begin();
	beat("t/s0", 5);
	rig_run(FS_US_PER_S);
	shelf_restore(&rig.shelf, 7);
	shelf_put(&rig.shelf, "c/config", "9");
	shelf_put(&rig.shelf, "t/new", "ready");
	beat("t/s4", 5);
	rig_run(FS_US_PER_S);
	g_assert_cmpuint(version(), ==, 9);
	g_assert_true(rig_has("new"));
	rig_end();
}

/* A list of several pages goes on in a restored store: guards against a server
 * whose entry lies before the page that is being read. */
static void test_list_over_a_restoration(void)
{
	rig_begin_store("5");
	rig.shelf.page = 1;
	rig_begin_task();
	while (dir_count(rig.dir) < 2)
		rig_run(5 * FS_US_PER_MS);
	shelf_restore(&rig.shelf, 5);
	shelf_put(&rig.shelf, "t/a", "ready");
	shelf_put(&rig.shelf, "t/s4", "ready");
	rig_run(FS_US_PER_S / 2);
	g_assert_true(rig_has("a"));
	rig_end();
}

/* An answer from before the restoration arrives after one from after it: guards
 * against what is lost being taken as in force. */
static void test_older_answer_is_discarded(void)
{
	rig_begin();
	shelf_restore(&rig.shelf, 7);
	rig_run(FS_US_PER_S);
	rig.shelf.era = 1;
	shelf_put(&rig.shelf, "c/config", "8");
	shelf_put(&rig.shelf, "t/lost", "ready");
	rig_run(FS_US_PER_S);
	g_assert_cmpuint(version(), ==, 5);
	g_assert_false(rig_has("lost"));
	shelf_restore(&rig.shelf, 7);
	shelf_put(&rig.shelf, "c/config", "7");
	rig_run(FS_US_PER_S);
	g_assert_cmpuint(version(), ==, 7);
	rig_end();
}

/* The store is restored and refuses this node for a while: guards against a
 * restoration that only a successful answer tells of. */
static void test_refusal_tells_of_a_restoration(void)
{
	rig_begin();
	shelf_restore(&rig.shelf, 7);
	rig.shelf.refuse = FS_E_UNAVAILABLE;
	rig_run(FS_US_PER_S / 2);
	g_assert_cmpuint(rig.fed->era, ==, 2);
	g_assert_false(rig.fed->targets.listed);
	g_assert_false(rig.fed->config.listed);
	rig_end();
}

/* Some answers do not state the era: guards against a node that takes each of
 * them as a restoration, or discards it. */
static void test_era_not_stated(void)
{
	uint64_t calls;

	rig_begin();
	shelf_restore(&rig.shelf, 7);
	rig_run(FS_US_PER_S);
	rig.shelf.era = 0;
	calls = rig.shelf.count;
	shelf_put(&rig.shelf, "c/config", "8");
	rig_run(FS_US_PER_S / 2);
	g_assert_cmpuint(version(), ==, 8);
	g_assert_true(rig.fed->targets.listed);
	g_assert_cmpuint(rig.fed->era, ==, 2);
	rig.shelf.era = 2;
	rig_run(FS_US_PER_S / 2);
	g_assert_true(rig.fed->targets.listed);
	g_assert_cmpuint(rig.shelf.count - calls, >, 0);
	rig_end();
}

/* Restored twice: guards against one that only the first restoration tells. */
static void test_second_restoration(void)
{
	rig_begin();
	for (int i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("new%d", i);
		g_autofree char *key = g_strdup_printf("t/%s", id);

		beat("t/s0", 3);
		rig_run(FS_US_PER_S);
		shelf_restore(&rig.shelf, rig.shelf.rev - 2);
		shelf_put(&rig.shelf, key, "ready");
		beat("t/s4", 5);
		rig_run(FS_US_PER_S);
		g_assert_true(rig_has(id));
	}
	rig_end();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/fed_restore/store_that_has_caught_up",
			test_store_that_has_caught_up);
	g_test_add_func("/fed_restore/list_over_a_restoration",
			test_list_over_a_restoration);
	g_test_add_func("/fed_restore/older_answer_is_discarded",
			test_older_answer_is_discarded);
	g_test_add_func("/fed_restore/refusal_tells_of_a_restoration",
			test_refusal_tells_of_a_restoration);
	g_test_add_func("/fed_restore/era_not_stated", test_era_not_stated);
	g_test_add_func("/fed_restore/second_restoration",
			test_second_restoration);
	return g_test_run();
}
