/* The directory of targets: entries and removals in any order, outages. */
#include <string.h>

#include "dir.h"

#define SECOND FS_US_PER_S

static struct dir_entry entry(const char *id, uint64_t rev)
{
	struct dir_entry e = {.rev = rev, .born = 1, .slots = 4};

	g_strlcpy(e.id, id, sizeof(e.id));
	g_strlcpy(e.service, "pay", sizeof(e.service));
	g_strlcpy(e.address, "127.0.0.1:1", sizeof(e.address));
	g_strlcpy(e.domain, "d", sizeof(e.domain));
	return e;
}

static void put(struct dir *dir, const char *id, uint64_t rev)
{
	struct dir_entry e = entry(id, rev);

	dir_put(dir, &e, 0);
}

static void put_leaving(struct dir *dir, const char *id, uint64_t rev)
{
	struct dir_entry e = entry(id, rev);

	e.leaving = true;
	g_assert_true(dir_put(dir, &e, 0));
}

/* An entry that was read before a removal may arrive after it. */
static void test_late_entry_is_ignored(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 5);
	dir_remove(dir, "a", 9, 0, 0);
	put(dir, "a", 7);
	g_assert_null(dir_target_find(dir, "a"));
	put(dir, "a", 10);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_free(dir);
}

static void test_late_removal_is_ignored(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 10);
	dir_remove(dir, "a", 9, 0, 0);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* Two targets that begin to leave at the same time must change the digest, or
 * nodes that missed the change would never request it. */
static void test_digest_of_equal_changes(void)
{
	struct dir *dir = dir_new(NULL);
	uint64_t before;

	put(dir, "a", 1);
	put(dir, "b", 2);
	before = dir_digest(dir);
	put_leaving(dir, "a", 3);
	put_leaving(dir, "b", 4);
	g_assert_cmpuint(dir_digest(dir), !=, before);
	dir_free(dir);
}

/* Reports that only renew an entry change nothing for peers. */
static void test_digest_ignores_revisions(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 8);
	uint64_t before;

	put(dir, "a", 1);
	before = dir_digest(dir);
	g_assert_false(dir_put(dir, &e, 0));
	g_assert_cmpuint(dir_digest(dir), ==, before);
	dir_free(dir);
}

/* The same id with another start is another target. */
static void test_restart_is_another_target(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_target *old;
	struct dir_entry e = entry("a", 2);

	put(dir, "a", 1);
	old = dir_target_ref(dir_target_find(dir, "a"));
	e.born = 2;
	g_assert_true(dir_put(dir, &e, 0));
	g_assert_true(old->removed_from_dir);
	g_assert_true(dir_target_find(dir, "a") != old);
	dir_target_unref(old);
	dir_free(dir);
}

/* Entries that expired during an outage of the store are restored within 2 s
 * of its end; entries still missing then are removed. */
static void test_grace_after_an_outage(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 1);
	put(dir, "b", 2);
	dir_remove(dir, "a", 5, 2 * SECOND, SECOND);
	dir_remove(dir, "b", 6, 2 * SECOND, SECOND);
	g_assert_cmpuint(dir_count(dir), ==, 2);
	put(dir, "a", 7);
	dir_tick(dir, 2 * SECOND);
	g_assert_nonnull(dir_target_find(dir, "a"));
	g_assert_null(dir_target_find(dir, "b"));
	dir_free(dir);
}

/* A leaving target gets no grace time. */
static void test_no_grace_for_the_leaving(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 1);
	put_leaving(dir, "a", 2);
	dir_remove(dir, "a", 5, 2 * SECOND, SECOND);
	g_assert_null(dir_target_find(dir, "a"));
	dir_free(dir);
}

static void test_list_removes_missing_entries(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 1);
	put(dir, "b", 2);
	put(dir, "new", 20);
	dir_list_begin(dir);
	put(dir, "b", 2);
	dir_list_end(dir, 10, 0, 0);
	g_assert_null(dir_target_find(dir, "a"));
	g_assert_nonnull(dir_target_find(dir, "b"));
	/* Newer than the list. */
	g_assert_nonnull(dir_target_find(dir, "new"));
	dir_free(dir);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dir/late_entry", test_late_entry_is_ignored);
	g_test_add_func("/dir/late_removal", test_late_removal_is_ignored);
	g_test_add_func("/dir/digest_of_equal_changes",
			test_digest_of_equal_changes);
	g_test_add_func("/dir/digest_ignores_revisions",
			test_digest_ignores_revisions);
	g_test_add_func("/dir/restart", test_restart_is_another_target);
	g_test_add_func("/dir/grace", test_grace_after_an_outage);
	g_test_add_func("/dir/no_grace", test_no_grace_for_the_leaving);
	g_test_add_func("/dir/list", test_list_removes_missing_entries);
	return g_test_run();
}
