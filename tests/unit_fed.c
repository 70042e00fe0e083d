/* The feed task over an in-process store: which changes are applied and in what
 * order, outages of the store, and updates from peers. */
#include <stdlib.h>
#include <string.h>

#include "fed_impl.h"
#include "fleet_kvs.h"
#include "fs_log.h"

/** A feed task, its store, and the messages it sends. */
struct fixture {
	struct node node;
	struct shelf shelf;
	struct dir *dir;
	struct fed *fed;
	GPtrArray *sent; /* struct msg to other nodes */
	bool silent;	 /* the store answers nothing */
};

static struct fixture d;

/* A configuration is its version as text; "x" is malformed. */
static struct cfg *decode_config(const char *text, size_t size)
{
	(void)size;
	return atoi(text) > 0 ? cfg_new(text, (uint64_t)atoi(text)) : NULL;
}

/* An entry is "ready" or "leaving". */
static bool decode_target(const struct kvs_item *item, struct dir_entry *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->id, item->key + strlen("t/"), sizeof(out->id));
	g_strlcpy(out->service, "pay", sizeof(out->service));
	g_strlcpy(out->address, "127.0.0.1:1", sizeof(out->address));
	out->rev = item->rev;
	out->slots = 4;
	out->leaving = !strcmp(item->value, "leaving");
	return out->leaving || !strcmp(item->value, "ready");
}

static void send_remote(void *arg, struct msg *m, int64_t now_us)
{
	struct fixture *fixture = arg;

	(void)now_us;
	g_ptr_array_add(fixture->sent, m);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Runs the loop and answers pending calls of the store. */
static void run(int64_t us)
{
	for (int64_t end_us = fs_now_us() + us; fs_now_us() < end_us;) {
		ev_timer timer;

		ev_timer_init(&timer, on_timer, 0.005, 0);
		ev_timer_start(d.node.loop, &timer);
		ev_run(d.node.loop, 0);
		ev_timer_stop(d.node.loop, &timer);
		if (!d.silent)
			shelf_answer(&d.shelf);
	}
}

static void begin_task(void)
{
	struct fed_platform platform = {
		.kvs = shelf_kvs(&d.shelf),
		.config_key = "c/config",
		.config_prefix = "c/",
		.target_prefix = "t/",
		.node_prefix = "n/",
		.decode_config = decode_config,
		.decode_target = decode_target,
	};

	d.fed = fed_new(&d.node, &platform, d.dir);
}

static void begin_store(const char *config)
{
	memset(&d, 0, sizeof(d));
	g_strlcpy(d.node.set.name, "a", FS_NAME_MAX);
	g_strlcpy(d.node.set.domain, "z", FS_DOMAIN_MAX);
	node_open(&d.node);
	d.sent = g_ptr_array_new_with_free_func((GDestroyNotify)msg_free);
	bus_attach_remote(d.node.bus, send_remote, &d);
	shelf_begin(&d.shelf);
	d.dir = dir_new(NULL);
	if (config)
		shelf_put(&d.shelf, "c/config", config);
	for (int i = 0; i < 5; i++) {
		g_autofree char *key = g_strdup_printf("t/s%d", i);

		shelf_put(&d.shelf, key, "ready");
	}
}

static void begin_with_config(const char *config)
{
	begin_store(config);
	begin_task();
	/* A change, and the initial state, is in force within 2 s. */
	for (int i = 0; i < 40 && !(config ? d.node.ready : i == 4); i++)
		run(50 * FS_US_PER_MS);
}

/* A node without a reader reads on after its start; unit_fed_role covers the
 * start. */
static void begin(void)
{
	begin_with_config("5");
	run(FED_LIST_FRESH_US);
}

static void end(void)
{
	fed_free(d.fed);
	dir_free(d.dir);
	shelf_end(&d.shelf);
	g_ptr_array_unref(d.sent);
	brn_free(d.node.brn);
	aud_free(d.node.aud);
	ctr_free(d.node.ctr);
	bus_free(d.node.bus);
}

static bool has(const char *id)
{
	return dir_target_find(d.dir, id) != NULL;
}

static void test_lists_all_pages(void)
{
	begin();
	g_assert_true(fed_is_ready(d.fed));
	g_assert_true(d.node.ready);
	g_assert_cmpuint(fed_config(d.fed)->version, ==, 5);
	g_assert_cmpuint(dir_count(d.dir), ==, 5);
	end();
}

/* Without a configuration the node is not ready, even with a directory. */
static void test_not_ready_without_configuration(void)
{
	begin_with_config(NULL);
	g_assert_false(d.node.ready);
	shelf_put(&d.shelf, "c/config", "2");
	run(FS_US_PER_S / 2);
	g_assert_true(d.node.ready);
	end();
}

static void test_change_takes_effect_in_time(void)
{
	begin();
	shelf_put(&d.shelf, "t/s1", "leaving");
	shelf_put(&d.shelf, "t/s2", NULL);
	shelf_put(&d.shelf, "c/config", "9");
	run(FS_US_PER_S);
	g_assert_true(dir_target_find(d.dir, "s1")->entry.leaving);
	g_assert_false(has("s2"));
	g_assert_cmpuint(fed_config(d.fed)->version, ==, 9);
	end();
}

/* Neither the store nor a peer can return a node to an older version. */
static void test_older_version_is_ignored(void)
{
	struct msg *m;

	begin();
	shelf_put(&d.shelf, "c/config", "4");
	m = msg_new(MSG_CONFIG_TEXT, d.node.self, MSG_TASK_CONFIG);
	m->config_text.version = 3;
	m->config_text.text = g_strdup("3");
	bus_deliver(d.node.bus, m);
	shelf_put(&d.shelf, "c/config", "x");
	run(FS_US_PER_S);
	g_assert_cmpuint(fed_config(d.fed)->version, ==, 5);
	end();
}

/* Changes whose history is compacted are found by a new list. */
static void test_lost_history(void)
{
	begin();
	shelf_put(&d.shelf, "t/s3", NULL);
	shelf_put(&d.shelf, "t/new", "ready");
	shelf_compact(&d.shelf);
	run(FS_US_PER_S);
	g_assert_false(has("s3"));
	g_assert_true(has("new"));
	end();
}

/* Another writer's entry adds no target and removes none. */
static void test_foreign_entry(void)
{
	begin();
	shelf_put(&d.shelf, "t/s9", "odd");
	run(FS_US_PER_S);
	g_assert_false(has("s9"));
	g_assert_cmpuint(dir_count(d.dir), ==, 5);
	end();
}

/* Entries that expired in an outage are kept until 2 s after it; those that
 * are renewed by then stay. */
static void test_outage_removes_no_target(void)
{
	begin();
	d.shelf.refuse = FS_E_UNAVAILABLE;
	run(2 * FS_US_PER_S);
	g_assert_cmpuint(dir_count(d.dir), ==, 5);
	shelf_put(&d.shelf, "t/s0", NULL);
	shelf_put(&d.shelf, "t/s1", NULL);
	d.shelf.refuse = 0;
	run(FS_US_PER_S);
	g_assert_true(has("s0"));
	shelf_put(&d.shelf, "t/s1", "ready");
	run(5 * FS_US_PER_S / 2);
	g_assert_false(has("s0"));
	g_assert_true(has("s1"));
	end();
}

/* No heartbeats arrive for long: the node keeps reading for itself, so that a
 * removed target is noticed as soon as at a reader. */
static void test_node_without_reader_keeps_reading(void)
{
	begin();
	run(3700 * FS_US_PER_MS);
	for (int i = 0; i < 4; i++) {
		g_autofree char *key = g_strdup_printf("t/s%d", i);
		g_autofree char *id = g_strdup_printf("s%d", i);

		shelf_put(&d.shelf, key, NULL);
		run(900 * FS_US_PER_MS);
		g_assert_false(has(id));
	}
	end();
}

static void receive_heartbeat_of(uint64_t digest, uint64_t version, bool local,
				 bool fresh)
{
	struct msg *m =
		msg_new(MSG_FEED_HEARTBEAT, d.node.self, MSG_TASK_CONFIG);

	m->feed_heartbeat.digest = digest;
	m->feed_heartbeat.config_version = version;
	m->feed_heartbeat.fresh = fresh;
	m->feed_heartbeat.local = local;
	m->feed_heartbeat.reader = local ? 76 : 77;
	bus_deliver(d.node.bus, m);
}

static void receive_heartbeat(uint64_t digest, uint64_t version, bool local)
{
	receive_heartbeat_of(digest, version, local, true);
}

/* A node that receives heartbeats of a fresh reader makes no calls. */
static void test_no_calls_with_fresh_reader(void)
{
	uint64_t calls;

	begin();
	for (int i = 0; i < 40; i++) {
		receive_heartbeat(dir_digest(d.dir), 5, true);
		run(50 * FS_US_PER_MS);
	}
	calls = d.shelf.count;
	for (int i = 0; i < 20; i++) {
		receive_heartbeat(dir_digest(d.dir), 5, true);
		run(50 * FS_US_PER_MS);
	}
	g_assert_cmpuint(d.shelf.count, ==, calls);
	/* Heartbeats stop: the node reads for itself in time. */
	shelf_put(&d.shelf, "t/s1", "leaving");
	run(1800 * FS_US_PER_MS);
	g_assert_true(dir_target_find(d.dir, "s1")->entry.leaving);
	end();
}

static bool was_queried_at(enum msg_type type, node_id peer)
{
	for (guint i = 0; i < d.sent->len; i++) {
		const struct msg *m = g_ptr_array_index(d.sent, i);

		if (m->type == type && m->to == peer)
			return true;
	}
	return false;
}

/* Many nodes list at once and the store takes long for each page: guards
 * against a node that refuses callers although it knows half of the targets. */
static void test_first_page_serves(void)
{
	begin_store("5");
	d.shelf.page = 1;
	begin_task();
	for (int i = 0; i < 100 && !d.node.ready; i++)
		run(10 * FS_US_PER_MS);
	g_assert_true(d.node.ready);
	g_assert_cmpuint(dir_count(d.dir), <, 5);
	run(FS_US_PER_S / 2);
	g_assert_cmpuint(dir_count(d.dir), ==, 5);
	end();
}

static bool was_queried(enum msg_type type)
{
	return was_queried_at(type, 77);
}

/* The store fails just after a change, and this domain's reader missed it:
 * guards against a node that asks no reader of another domain until the local
 * one has been silent for long. */
static void test_other_domains_replace_a_reader_at_once(void)
{
	begin();
	for (int i = 0; i < 40; i++) {
		receive_heartbeat(dir_digest(d.dir), 5, true);
		run(50 * FS_US_PER_MS);
	}
	receive_heartbeat(12345, 8, false);
	run(20 * FS_US_PER_MS);
	g_assert_false(was_queried(MSG_FEED_REQUEST));
	receive_heartbeat_of(dir_digest(d.dir), 5, true, false);
	receive_heartbeat(12345, 8, false);
	run(20 * FS_US_PER_MS);
	g_assert_true(was_queried(MSG_FEED_REQUEST));
	g_assert_true(was_queried(MSG_CONFIG_REQUEST));
	end();
}

/* The reader itself: guards against one that trusts its last answer while the
 * store is lost and others have the change. */
static void test_reader_without_store_asks_peers(void)
{
	begin();
	run(FS_US_PER_S / 2);
	d.silent = true;
	run(FED_FRESH_US + 200 * FS_US_PER_MS);
	receive_heartbeat(12345, 5, false);
	run(20 * FS_US_PER_MS);
	g_assert_true(was_queried(MSG_FEED_REQUEST));
	end();
}

/* A node that the store refuses is updated by its peers. */
static void test_peers_replace_lost_store(void)
{
	struct msg *m;
	struct msg_removed removed = {.id = "s2", .rev = 100};

	begin();
	d.shelf.refuse = FS_E_UNAVAILABLE;
	for (int i = 0; i < 30; i++) {
		receive_heartbeat(12345, 8, false);
		run(50 * FS_US_PER_MS);
	}
	g_assert_true(was_queried(MSG_CONFIG_REQUEST));
	m = msg_new(MSG_FEED_ENTRIES, d.node.self, MSG_TASK_CONFIG);
	g_array_append_val(m->feed_entries.removed, removed);
	bus_deliver(d.node.bus, m);
	run(50 * FS_US_PER_MS);
	g_assert_false(has("s2"));
	end();
}

/* Guards against a node that waits for its own list from a silent store while
 * a peer has the changes: a leaving target stayed in use. */
static void test_peers_replace_silent_store(void)
{
	begin();
	d.silent = true;
	run(FS_US_PER_S / 2);
	for (int i = 0; i < 40; i++) {
		receive_heartbeat(dir_digest(d.dir), 5, true);
		run(50 * FS_US_PER_MS);
	}
	run(FED_READER_TIMEOUT_US + 200 * FS_US_PER_MS);
	receive_heartbeat(12345, 5, true);
	run(50 * FS_US_PER_MS);
	g_assert_true(was_queried_at(MSG_FEED_REQUEST, 76));
	end();
}

/* A reader that has just started has no record of a target removed before:
 * its complete list removes the target all the same. */
static void test_complete_list_removes_absent(void)
{
	struct msg *m;
	struct dir_entry e = {.rev = 100, .slots = 4};

	begin();
	m = msg_new(MSG_FEED_ENTRIES, d.node.self, MSG_TASK_CONFIG);
	g_strlcpy(e.id, "s3", sizeof(e.id));
	g_strlcpy(e.service, "pay", sizeof(e.service));
	g_strlcpy(e.address, "127.0.0.1:1", sizeof(e.address));
	g_array_append_val(m->feed_entries.entries, e);
	m->feed_entries.snapshot_rev = 100;
	bus_deliver(d.node.bus, m);
	run(20 * FS_US_PER_MS);
	g_assert_cmpuint(dir_count(d.dir), ==, 1);
	g_assert_true(has("s3"));
	end();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/fed/lists_all_pages", test_lists_all_pages);
	g_test_add_func("/fed/not_ready_without_configuration",
			test_not_ready_without_configuration);
	g_test_add_func("/fed/change_is_in_force_in_time",
			test_change_takes_effect_in_time);
	g_test_add_func("/fed/older_version_is_not_taken",
			test_older_version_is_ignored);
	g_test_add_func("/fed/lost_history", test_lost_history);
	g_test_add_func("/fed/foreign_entry", test_foreign_entry);
	g_test_add_func("/fed/outage_takes_no_target_away",
			test_outage_removes_no_target);
	g_test_add_func("/fed/deaf_node_goes_on_reading",
			test_node_without_reader_keeps_reading);
	g_test_add_func("/fed/fresh_reader_spares_calls",
			test_no_calls_with_fresh_reader);
	g_test_add_func("/fed/first_page_serves", test_first_page_serves);
	g_test_add_func("/fed/other_domains_replace_a_reader_at_once",
			test_other_domains_replace_a_reader_at_once);
	g_test_add_func("/fed/reader_without_store_asks_peers",
			test_reader_without_store_asks_peers);
	g_test_add_func("/fed/peers_replace_silent_store",
			test_peers_replace_silent_store);
	g_test_add_func("/fed/peers_tell_what_the_store_does_not",
			test_peers_replace_lost_store);
	g_test_add_func("/fed/whole_answer_removes_what_it_lacks",
			test_complete_list_removes_absent);
	return g_test_run();
}
