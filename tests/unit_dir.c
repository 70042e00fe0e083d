/* The directory of targets: entries and removals in any order, outages. */
#include <string.h>

#include "dir.h"

#define SECOND FS_US_PER_S
#define AT(n) ((struct rev){.era = 1, .number = (n)})
/* In the store after its restoration */
#define LATER(n) ((struct rev){.era = 2, .number = (n)})

static struct dir_entry entry(const char *id, uint64_t rev)
{
	struct dir_entry e = {.rev = AT(rev), .write.born = 1, .slots = 4};

	g_strlcpy(e.id, id, sizeof(e.id));
	g_strlcpy(e.service, "pay", sizeof(e.service));
	g_strlcpy(e.address, "127.0.0.1:1", sizeof(e.address));
	g_strlcpy(e.domain, "d", sizeof(e.domain));
	return e;
}

static enum dir_effect put_at(struct dir *dir, const char *id, struct rev rev,
			      bool leaving)
{
	struct dir_entry e = entry(id, rev.number);

	e.rev = rev;
	e.leaving = leaving;
	return dir_put(dir, &e, 0);
}

static void expect_at(struct dir *dir, const char *id, struct rev rev,
		      bool leaving, enum dir_effect effect)
{
	enum dir_effect got = put_at(dir, id, rev, leaving);

	g_assert_cmpint(got, ==, effect);
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
	g_assert_cmpint(dir_put(dir, &e, 0), ==, DIR_CHANGED);
}

/* An entry that was read before a removal may arrive after it. */
static void test_late_entry_is_ignored(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 5);
	dir_remove(dir, "a", AT(9), 0, 0);
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
	dir_remove(dir, "a", AT(9), 0, 0);
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
	g_assert_cmpint(dir_put(dir, &e, 0), ==, DIR_UNCHANGED);
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
	e.write.born = 2;
	g_assert_cmpint(dir_put(dir, &e, 0), ==, DIR_CHANGED);
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
	dir_remove(dir, "a", AT(5), 2 * SECOND, SECOND);
	dir_remove(dir, "b", AT(6), 2 * SECOND, SECOND);
	g_assert_cmpuint(dir_count(dir), ==, 2);
	put(dir, "a", 7);
	dir_tick(dir, 2 * SECOND);
	g_assert_nonnull(dir_target_find(dir, "a"));
	g_assert_null(dir_target_find(dir, "b"));
	dir_free(dir);
}

/* Guards against an entry from before a removal that brings the target back,
 * because the removal took effect after a grace time only. */
static void test_late_entry_after_the_grace(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 5);
	dir_remove(dir, "a", AT(9), SECOND, 0);
	dir_tick(dir, SECOND);
	put(dir, "a", 7);
	g_assert_null(dir_target_find(dir, "a"));
	put(dir, "a", 10);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* A peer sends what it knew before a removal that is deferred here: guards against a
 * removal that is forgotten. The entry that the server writes again is later. */
static void test_known_entry_in_the_grace(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 5);
	put(dir, "b", 6);
	dir_remove(dir, "a", AT(9), SECOND, 0);
	dir_remove(dir, "b", AT(10), SECOND, 0);
	put(dir, "a", 5);
	put(dir, "a", 7);
	put(dir, "b", 11);
	dir_tick(dir, SECOND);
	g_assert_null(dir_target_find(dir, "a"));
	g_assert_nonnull(dir_target_find(dir, "b"));
	dir_free(dir);
}

/* A leaving target gets no grace time. */
static void test_no_grace_for_the_leaving(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 1);
	put_leaving(dir, "a", 2);
	dir_remove(dir, "a", AT(5), 2 * SECOND, SECOND);
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
	dir_list_end(dir, AT(10), 0, 0);
	g_assert_null(dir_target_find(dir, "a"));
	g_assert_nonnull(dir_target_find(dir, "b"));
	/* Newer than the list. */
	g_assert_nonnull(dir_target_find(dir, "new"));
	dir_free(dir);
}

/* The store was restored and its revisions have gone back: guards against a
 * target that is leaving and stays in use, as its entry looks old. */
static void test_newer_era_is_later(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 90);
	expect_at(dir, "a", LATER(60), true, DIR_CHANGED);
	g_assert_true(dir_target_find(dir, "a")->entry.leaving);
	dir_remove(dir, "a", LATER(61), 0, 0);
	g_assert_null(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* A peer does not know of the restoration yet: guards against one that turns
 * back a node which does. */
static void test_older_era_is_earlier(void)
{
	struct dir *dir = dir_new(NULL);

	put_at(dir, "a", LATER(60), false);
	put_at(dir, "b", LATER(61), true);
	dir_remove(dir, "a", AT(90), 0, 0);
	g_assert_nonnull(dir_target_find(dir, "a"));
	expect_at(dir, "b", AT(91), false, DIR_UNCHANGED);
	g_assert_true(dir_target_find(dir, "b")->entry.leaving);
	dir_list_begin(dir);
	dir_list_end(dir, AT(95), 0, 0);
	g_assert_cmpuint(dir_count(dir), ==, 2);
	dir_remove(dir, "b", LATER(70), 0, 0);
	expect_at(dir, "b", AT(99), false, DIR_UNCHANGED);
	dir_free(dir);
}

/* Guards against a target that is lost with the copy and outlives each list of
 * the restored store, because its revision is higher. */
static void test_list_of_a_newer_era_removes(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 90);
	put(dir, "b", 91);
	dir_list_begin(dir);
	put_at(dir, "b", LATER(50), false);
	dir_list_end(dir, LATER(60), SECOND, 0);
	g_assert_cmpuint(dir_count(dir), ==, 2);
	dir_tick(dir, SECOND);
	g_assert_null(dir_target_find(dir, "a"));
	g_assert_nonnull(dir_target_find(dir, "b"));
	dir_free(dir);
}

/* Guards against a server that starts in the restored store and is not used,
 * because its id had been removed at a higher revision. */
static void test_new_instance_in_a_newer_era(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 0);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	e.write.born = 2;
	e.rev = LATER(60);
	g_assert_cmpint(dir_put(dir, &e, 0), ==, DIR_CHANGED);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* A removal is told again, by a list or a peer with a later revision: guards
 * against a new instance under the id that is then taken for a leftover. */
static void test_repeated_removal_keeps_the_start(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 0);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	dir_remove(dir, "a", AT(91), 0, 0);
	expect_at(dir, "a", LATER(60), false, DIR_LEFTOVER);
	dir_remove(dir, "a", LATER(61), 0, 0);
	e.write.born = 2;
	e.rev = (struct rev){.era = 3, .number = 40};
	g_assert_cmpint(dir_put(dir, &e, 0), ==, DIR_CHANGED);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* The copy of a restored store is from before a server began to leave: guards
 * against one that gets work again, until it has written its entry again. */
static void test_leftover_does_not_end_leaving(void)
{
	struct dir *dir = dir_new(NULL);

	put_at(dir, "a", AT(90), true);
	put_at(dir, "a", LATER(60), false);
	g_assert_true(dir_target_find(dir, "a")->entry.leaving);
	/* The same from a peer, or by another list. */
	put_at(dir, "a", LATER(60), false);
	g_assert_true(dir_target_find(dir, "a")->entry.leaving);
	put_at(dir, "a", LATER(70), false);
	g_assert_false(dir_target_find(dir, "a")->entry.leaving);
	dir_free(dir);
}

/* The copy is from before a server left: guards against one that is used again.
 * One that lives writes again, and counts then. */
static void test_leftover_does_not_revive(void)
{
	struct dir *dir = dir_new(NULL);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	dir_remove(dir, "unseen", AT(91), 0, 0);
	for (int i = 0; i < 2; i++) {
		put_at(dir, "a", LATER(60), false);
		put_at(dir, "unseen", LATER(61), false);
		g_assert_cmpuint(dir_count(dir), ==, 0);
	}
	put_at(dir, "a", LATER(75), false);
	put_at(dir, "unseen", LATER(76), false);
	g_assert_cmpuint(dir_count(dir), ==, 2);
	dir_free(dir);
}

/* A server was removed while it did not reach the store, and its entry in the copy
 * is right, so it does not change: guards against one that is never used again.
 * Had it left, its lease would have ended by then. */
static void test_leftover_that_lasts_is_alive(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 60);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	e.rev = LATER(60);
	dir_put(dir, &e, SECOND);
	dir_put(dir, &e, DIR_LEFTOVER_US);
	g_assert_null(dir_target_find(dir, "a"));
	dir_put(dir, &e, SECOND + DIR_LEFTOVER_US);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_remove(dir, "a", LATER(61), 0, 0);
	dir_put(dir, &e, 3 * DIR_LEFTOVER_US);
	g_assert_null(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* A node that started in the restored store defers the removal of a leftover, and
 * tells of it until then: guards against a peer that uses a server which it knew to
 * have left. */
static void test_leftover_that_a_peer_keeps(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 60);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	dir_note_era(dir, 2, 0);
	e.rev = LATER(60);
	dir_put(dir, &e, SECOND);
	dir_put(dir, &e, 7 * SECOND);
	g_assert_null(dir_target_find(dir, "a"));
	dir_free(dir);
}

static void copy_tombstone(void *arg, const char *id, struct rev rev,
			   struct dir_write last)
{
	dir_merge_removal(arg, id, rev, last, 0, SECOND);
}

/* A peer tells of the removal after it has seen the leftover: guards against a
 * node that takes this for a removal in the restored store, and uses the server,
 * which lives, a minute later than its peer. */
static void test_leftover_that_lasts_at_a_peer(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir *peer = dir_new(NULL);
	struct dir_entry e = entry("a", 60);

	put(dir, "a", 80);
	put(peer, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	dir_remove(peer, "a", AT(90), 0, 0);
	e.rev = LATER(60);
	dir_put(dir, &e, SECOND);
	dir_each_tombstone(dir, copy_tombstone, peer);
	dir_put(dir, &e, SECOND + DIR_LEFTOVER_US);
	dir_put(peer, &e, SECOND + DIR_LEFTOVER_US);
	g_assert_nonnull(dir_target_find(dir, "a"));
	g_assert_nonnull(dir_target_find(peer, "a"));
	dir_free(peer);
	dir_free(dir);
}

/* A node that has just started knows of a removal by a peer alone. The server starts
 * again under its id after a restoration: guards against one that is not used there,
 * and against a peer that drops it at this node's word. */
static void test_new_start_after_a_removal_told(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir *started = dir_new(NULL);
	struct dir_entry e = entry("a", 60);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	dir_remove(started, "b", AT(91), 0, 0);
	dir_each_tombstone(dir, copy_tombstone, started);
	e.rev = LATER(60);
	e.write.born = 2;
	dir_put(dir, &e, SECOND);
	dir_put(started, &e, SECOND);
	g_assert_nonnull(dir_target_find(started, "a"));
	/* Whether its start is later than the removed one's is not known. */
	e = entry("b", 0);
	e.rev = LATER(61);
	dir_put(dir, &e, SECOND);
	dir_put(started, &e, SECOND);
	g_assert_null(dir_target_find(started, "b"));
	dir_each_tombstone(started, copy_tombstone, dir);
	g_assert_cmpuint(dir_count(dir), ==, 2);
	dir_free(started);
	dir_free(dir);
}

/* A leftover's lease ends, and the store is restored once more before the server
 * starts again under its id: guards against a node that no longer knows which start
 * had been removed, and does not use the new one. */
static void test_new_start_after_a_leftover_ended(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 60);

	put(dir, "a", 80);
	dir_remove(dir, "a", AT(90), 0, 0);
	e.rev = LATER(60);
	dir_put(dir, &e, 0);
	dir_remove(dir, "a", LATER(61), 0, SECOND);
	e.rev = (struct rev){.era = 3, .number = 50};
	e.write.born = 2;
	dir_put(dir, &e, 2 * SECOND);
	g_assert_nonnull(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* A server started again under its id after the copy was made: guards against a
 * process that is gone in place of the one that runs. */
static void test_leftover_of_an_earlier_instance(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 90);

	e.write.born = 2;
	dir_put(dir, &e, 0);
	put_at(dir, "a", LATER(60), false);
	g_assert_cmpuint(dir_target_find(dir, "a")->entry.write.born, ==, 2);
	/* Gone from the restored store: the entry has to be removable. */
	dir_remove(dir, "a", LATER(65), 0, 0);
	g_assert_null(dir_target_find(dir, "a"));
	dir_free(dir);
}

/* The copy tells a longer warm-up than is left: guards against a target that is
 * taken as slow once more. */
static void test_leftover_does_not_restart_the_warm_up(void)
{
	struct dir *dir = dir_new(NULL);
	struct dir_entry e = entry("a", 90);

	dir_put(dir, &e, SECOND);
	e.rev = LATER(60);
	e.cold_us = 5 * SECOND;
	dir_put(dir, &e, 2 * SECOND);
	g_assert_cmpint(dir_target_find(dir, "a")->warm_us, ==, SECOND);
	dir_free(dir);
}

static struct dir_entry written(uint64_t rev, uint64_t born, uint64_t count,
				bool leaving)
{
	struct dir_entry e = entry("a", rev);

	e.write = (struct dir_write){.born = born, .count = count};
	e.leaving = leaving;
	return e;
}

static enum dir_effect put_written(struct dir *dir, uint64_t rev, uint64_t born,
				   uint64_t count, bool leaving)
{
	struct dir_entry e = written(rev, born, count, leaving);

	return dir_put(dir, &e, 0);
}

/* Guards against a write that the store executes seconds late, and which ends that the
 * server leaves: requests reached it, and were lost when it exited. */
static void test_late_write_of_a_leaving_server(void)
{
	struct dir *dir = dir_new(NULL);

	put_written(dir, 5, 1, 7, false);
	put_written(dir, 6, 1, 9, true);
	g_assert_cmpint(put_written(dir, 7, 1, 8, false), ==, DIR_LEFTOVER);
	g_assert_true(dir_target_find(dir, "a")->entry.leaving);
	/* A list has it as well, and removes nothing that it names. */
	dir_list_begin(dir);
	g_assert_cmpint(put_written(dir, 7, 1, 8, false), ==, DIR_UNCHANGED);
	dir_list_end(dir, AT(7), 0, 0);
	g_assert_true(dir_target_find(dir, "a")->entry.leaving);
	/* What the server writes next counts. */
	put_written(dir, 8, 1, 10, false);
	g_assert_false(dir_target_find(dir, "a")->entry.leaving);
	dir_free(dir);
}

/* Guards against the same once the server has gone. */
static void test_late_write_of_a_removed_server(void)
{
	struct dir *dir = dir_new(NULL);

	put_written(dir, 6, 1, 9, true);
	dir_remove(dir, "a", AT(7), 0, 0);
	g_assert_cmpint(put_written(dir, 8, 1, 8, false), ==, DIR_LEFTOVER);
	g_assert_null(dir_target_find(dir, "a"));
	/* It was cut off from the store, and is back. */
	g_assert_cmpint(put_written(dir, 9, 1, 10, false), ==, DIR_CHANGED);
	dir_free(dir);
}

/* Guards against a late write of an earlier start that replaces the later one. Its
 * counts start anew. */
static void test_late_write_of_an_earlier_start(void)
{
	struct dir *dir = dir_new(NULL);

	put_written(dir, 5, 1, 90, false);
	put_written(dir, 6, 2, 1, true);
	g_assert_cmpint(put_written(dir, 7, 1, 91, false), ==, DIR_LEFTOVER);
	g_assert_cmpuint(dir_target_find(dir, "a")->entry.write.born, ==, 2);
	g_assert_true(dir_target_find(dir, "a")->entry.leaving);
	dir_free(dir);
}

/* Guards against a node that has seen the late write alone, and keeps to it though a
 * peer tells of the later one, or of the removal, with an earlier revision. */
static void test_peer_knows_a_later_write(void)
{
	const struct dir_write last = {.born = 1, .count = 9};
	struct dir *dir = dir_new(NULL);

	put_written(dir, 7, 1, 8, false);
	g_assert_cmpint(put_written(dir, 6, 1, 9, true), ==, DIR_CHANGED);
	g_assert_cmpuint(dir_target_find(dir, "a")->entry.rev.number, ==, 7);
	dir_free(dir);
	dir = dir_new(NULL);
	put_written(dir, 7, 1, 8, false);
	dir_merge_removal(dir, "a", AT(6), last, 0, 0);
	g_assert_null(dir_target_find(dir, "a"));
	g_assert_cmpint(put_written(dir, 7, 1, 8, false), ==, DIR_LEFTOVER);
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
	g_test_add_func("/dir/late_entry_after_the_grace",
			test_late_entry_after_the_grace);
	g_test_add_func("/dir/known_entry_in_the_grace",
			test_known_entry_in_the_grace);
	g_test_add_func("/dir/no_grace", test_no_grace_for_the_leaving);
	g_test_add_func("/dir/list", test_list_removes_missing_entries);
	g_test_add_func("/dir/newer_era_is_later", test_newer_era_is_later);
	g_test_add_func("/dir/older_era_is_earlier", test_older_era_is_earlier);
	g_test_add_func("/dir/list_of_a_newer_era_removes",
			test_list_of_a_newer_era_removes);
	g_test_add_func("/dir/new_instance_in_a_newer_era",
			test_new_instance_in_a_newer_era);
	g_test_add_func("/dir/repeated_removal_keeps_the_start",
			test_repeated_removal_keeps_the_start);
	g_test_add_func("/dir/leftover_does_not_end_leaving",
			test_leftover_does_not_end_leaving);
	g_test_add_func("/dir/leftover_does_not_revive",
			test_leftover_does_not_revive);
	g_test_add_func("/dir/leftover_that_a_peer_keeps",
			test_leftover_that_a_peer_keeps);
	g_test_add_func("/dir/leftover_that_lasts_is_alive",
			test_leftover_that_lasts_is_alive);
	g_test_add_func("/dir/leftover_that_lasts_at_a_peer",
			test_leftover_that_lasts_at_a_peer);
	g_test_add_func("/dir/new_start_after_a_removal_told",
			test_new_start_after_a_removal_told);
	g_test_add_func("/dir/new_start_after_a_leftover_ended",
			test_new_start_after_a_leftover_ended);
	g_test_add_func("/dir/leftover_of_an_earlier_instance",
			test_leftover_of_an_earlier_instance);
	g_test_add_func("/dir/leftover_does_not_restart_the_warm_up",
			test_leftover_does_not_restart_the_warm_up);
	g_test_add_func("/dir/late_write_of_a_leaving_server",
			test_late_write_of_a_leaving_server);
	g_test_add_func("/dir/late_write_of_a_removed_server",
			test_late_write_of_a_removed_server);
	g_test_add_func("/dir/late_write_of_an_earlier_start",
			test_late_write_of_an_earlier_start);
	g_test_add_func("/dir/peer_knows_a_later_write",
			test_peer_knows_a_later_write);
	return g_test_run();
}
