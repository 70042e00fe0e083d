/* A failure domain of gateways, each behind a link of 20 Mbit/s, in one process:
 * how soon a new configuration is in force at all of them, and what it costs the
 * links. */
#include <stdlib.h>
#include <string.h>

#include "fed_impl.h"
#include "fleet_kvs.h"
#include "fs_log.h"
#include "shd.h"

#define NODES 88
#define LINK_BYTES_PER_S (20 * 1000 * 1000 / 8)
#define HOP_US (1 * FS_US_PER_MS)
/* With the digest that carries it, in a fleet under load: a reader sends them over
 * most of its link. */
#define HEARTBEAT_BYTES 2300
/* The reader and its standbys reach the store. */
#define STORE_NODES 3
/* A change is in force everywhere within this time. */
#define CONFIG_BOUND_US (3 * FS_US_PER_S)
#define ROUTES 1900
#define NOT_YET INT64_MAX

/** One gateway; only the feed task is real. */
struct member {
	struct node node;
	struct dir *dir;
	struct fed *fed;
	int64_t out_free_us; /* its link is busy until then, either way */
	int64_t in_free_us;
	uint64_t config_bytes; /* of configurations sent */
	bool dead;
};

/** A message on its way. */
struct transfer {
	ev_timer timer;
	struct member *to;
	struct msg *m;
};

static struct {
	struct ev_loop *loop;
	struct shelf shelf;   /* the store */
	struct shelf refused; /* what the other nodes see of it */
	struct member members[NODES];
	struct mem_view *view;
	struct member *reader;
} fleet;

/* A configuration begins with its version. */
static struct cfg *decode_config(const char *text, size_t size)
{
	(void)size;
	return atoi(text) > 0 ? cfg_new(text, (uint64_t)atoi(text)) : NULL;
}

static bool decode_target(const struct kvs_item *item, struct dir_entry *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->id, item->key + strlen("t/"), sizeof(out->id));
	g_strlcpy(out->service, "pay", sizeof(out->service));
	g_strlcpy(out->address, "127.0.0.1:1", sizeof(out->address));
	out->rev.number = item->rev;
	out->slots = 4;
	return true;
}

static struct member *find(node_id id)
{
	for (uint32_t i = 0; i < NODES; i++) {
		if (fleet.members[i].node.self == id)
			return &fleet.members[i];
	}
	return NULL;
}

static void on_arrival(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct transfer *t = timer->data;

	(void)loop;
	(void)events;
	if (t->to->dead)
		msg_free(t->m);
	else
		bus_deliver(t->to->node.bus, t->m);
	g_free(t);
}

/* Sends bytes through the links of both ends, behind what they carry already. */
static void transmit(struct member *from, struct member *to, struct msg *m,
		     size_t bytes, int64_t now_us)
{
	int64_t took_us = (int64_t)bytes * FS_US_PER_S / LINK_BYTES_PER_S;
	struct transfer *t;

	if (from->dead || to->dead) {
		msg_free(m);
		return;
	}
	from->out_free_us = MAX(from->out_free_us, now_us) + took_us;
	to->in_free_us =
		MAX(to->in_free_us + took_us, from->out_free_us + HOP_US);
	t = g_new0(struct transfer, 1);
	t->to = to;
	t->m = m;
	m->from = from->node.self;
	ev_timer_init(&t->timer, on_arrival,
		      (double)(to->in_free_us - now_us) / FS_US_PER_S, 0);
	t->timer.data = t;
	ev_now_update(fleet.loop);
	ev_timer_start(fleet.loop, &t->timer);
}

static void send_remote(void *arg, struct msg *m, int64_t now_us)
{
	struct member *from = arg;
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	g_assert_cmpint(msg_encode(m, bytes), ==, 0);
	if (m->type != MSG_FEED_ENTRIES && m->type != MSG_FEED_REQUEST)
		from->config_bytes += bytes->len;
	transmit(from, find(m->to), m, bytes->len, now_us);
}

/* The load exchange: the reader's heartbeat reaches all nodes. */
static void exchange_heartbeat(void *task, struct msg *m, int64_t now_us)
{
	struct member *from = task;

	if (m->type != MSG_FEED_HEARTBEAT || !from->fed->role.chosen)
		return;
	for (uint32_t i = 0; i < NODES; i++) {
		struct member *to = &fleet.members[i];
		struct msg *copy;

		if (to == from)
			continue;
		copy = msg_new(MSG_FEED_HEARTBEAT, to->node.self,
			       MSG_TASK_CONFIG);
		copy->feed_heartbeat = m->feed_heartbeat;
		copy->feed_heartbeat.reader = from->node.self;
		copy->feed_heartbeat.local = true;
		transmit(from, to, copy, HEARTBEAT_BYTES, now_us);
	}
}

static const struct bus_task_ops exchange_ops = {
	.name = "load",
	.receive = exchange_heartbeat,
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void run(int64_t us)
{
	for (int64_t end_us = fs_now_us() + us; fs_now_us() < end_us;) {
		ev_timer timer;

		ev_timer_init(&timer, on_timer, 0.005, 0);
		ev_timer_start(fleet.loop, &timer);
		ev_run(fleet.loop, 0);
		ev_timer_stop(fleet.loop, &timer);
		shelf_answer(&fleet.shelf);
		shelf_answer(&fleet.refused);
	}
}

static int compare_members(const void *a, const void *b)
{
	const struct mem_member *left = a;
	const struct mem_member *right = b;

	return left->id < right->id ? -1 : left->id > right->id;
}

static void make_view(void)
{
	fleet.view = g_malloc0(sizeof(*fleet.view) +
			       NODES * sizeof(struct mem_member));
	fleet.view->refs = 1;
	fleet.view->count = NODES;
	for (uint32_t i = 0; i < NODES; i++) {
		struct mem_member *m = &fleet.view->members[i];

		m->id = fleet.members[i].node.self;
		m->state = MEM_ALIVE;
		g_strlcpy(m->name, fleet.members[i].node.set.name, FS_NAME_MAX);
		g_strlcpy(m->domain, "z", FS_DOMAIN_MAX);
	}
	qsort(fleet.view->members, NODES, sizeof(struct mem_member),
	      compare_members);
}

static void open_member(struct member *member, uint32_t i)
{
	g_snprintf(member->node.set.name, FS_NAME_MAX, "n%u", i);
	g_strlcpy(member->node.set.domain, "z", FS_DOMAIN_MAX);
	node_open(&member->node);
}

static void begin_member(struct member *member)
{
	bool reaches_store = mem_view_rank(fleet.view, "z", member->node.self) <
			     STORE_NODES;
	struct fed_platform platform = {
		.kvs = shelf_kvs(reaches_store ? &fleet.shelf : &fleet.refused),
		.config_key = "c/config",
		.config_prefix = "c/",
		.target_prefix = "t/",
		.node_prefix = "n/",
		.decode_config = decode_config,
		.decode_target = decode_target,
	};

	bus_attach_remote(member->node.bus, send_remote, member);
	bus_attach(member->node.bus, MSG_TASK_LOAD, &exchange_ops, member);
	member->dir = dir_new(NULL);
	member->fed = fed_new(&member->node, &platform, member->dir);
}

static void find_reader(void)
{
	fleet.reader = NULL;
	for (uint32_t i = 0; i < NODES; i++) {
		struct member *member = &fleet.members[i];

		if (!member->dead &&
		    !mem_view_rank(fleet.view, "z", member->node.self))
			fleet.reader = member;
	}
	g_assert_nonnull(fleet.reader);
}

static void put_config(uint64_t version, uint32_t routes)
{
	g_autoptr(GString) text = g_string_new(NULL);
	uint64_t random = 1;

	g_string_printf(text, "%" G_GUINT64_FORMAT, version);
	for (uint32_t i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			",[\"r-%07x\",\"host%u.example\",\"/p%05x/\",\"safe\","
			"%" G_GUINT64_FORMAT
			",1500,2,null,2,\"wuno96b\",\"%06x\"]",
			(uint32_t)fs_random(&random) & 0xfffffff, i % 8,
			(uint32_t)fs_random(&random) & 0xfffff,
			i == 3 ? 2000 + version : 2500,
			(uint32_t)fs_random(&random) & 0xffffff);
	shelf_put(&fleet.shelf, "c/config", text->str);
}

static uint32_t count_at(uint64_t version)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < NODES; i++) {
		const struct member *member = &fleet.members[i];
		const struct cfg *cfg = fed_config(member->fed);

		n += member->dead || (cfg && cfg->version >= version);
	}
	return n;
}

/* Returns how long it takes until a version is in force at all live nodes. */
static int64_t time_until_at_all(uint64_t version, int64_t from_us)
{
	while (fs_now_us() - from_us < 2 * CONFIG_BOUND_US) {
		run(10 * FS_US_PER_MS);
		if (count_at(version) == NODES)
			return fs_now_us() - from_us;
	}
	g_test_message("version %" G_GUINT64_FORMAT " at %u of %u nodes",
		       version, count_at(version), NODES);
	return NOT_YET;
}

static void fleet_begin(void)
{
	memset(&fleet, 0, sizeof(fleet));
	fleet.loop = ev_default_loop(0);
	shelf_begin(&fleet.shelf);
	shelf_begin(&fleet.refused);
	fleet.refused.refuse = FS_E_UNAVAILABLE;
	shelf_put(&fleet.shelf, "t/s0", "ready");
	put_config(5, 16);
	for (uint32_t i = 0; i < NODES; i++)
		open_member(&fleet.members[i], i);
	make_view();
	for (uint32_t i = 0; i < NODES; i++)
		begin_member(&fleet.members[i]);
	for (uint32_t i = 0; i < NODES; i++)
		bus_send_all(fleet.members[i].node.bus, MSG_VIEW, fleet.view);
	find_reader();
	run(3 * FS_US_PER_S);
	g_assert_cmpuint(count_at(5), ==, NODES);
}

static void fleet_end(void)
{
	for (uint32_t i = 0; i < NODES; i++)
		fleet.members[i].dead = true;
	/* Transfers under way end at dead members. */
	run(FS_US_PER_S / 10);
	for (uint32_t i = 0; i < NODES; i++) {
		struct member *member = &fleet.members[i];

		fed_free(member->fed);
		dir_free(member->dir);
		bus_attach(member->node.bus, MSG_TASK_CONFIG, NULL, NULL);
		bus_attach(member->node.bus, MSG_TASK_LOAD, NULL, NULL);
	}
	mem_view_unref(fleet.view);
	shelf_end(&fleet.shelf);
	shelf_end(&fleet.refused);
}

/* Kills a node; it stays in the view of the others. */
static void kill_member(struct member *member)
{
	struct kvs *kvs = &member->fed->platform.kvs;

	member->dead = true;
	node_remove_tick(&member->node, member->fed);
	kvs->ops->cancel(kvs->store, &member->fed->targets);
	kvs->ops->cancel(kvs->store, &member->fed->config);
	kvs->ops->cancel(kvs->store, member->fed);
}

/* 1,900 routes come at once: guards against a reader that sends the whole text to
 * each node of its domain over its one link, and again while it is under way. Half
 * of the text for each node allows for compression alone. */
static void test_many_routes_at_once(void)
{
	uint64_t bytes = 0;
	int64_t now_us;

	fleet_begin();
	now_us = fs_now_us();
	put_config(7, ROUTES);
	g_assert_cmpint(time_until_at_all(7, now_us), <, CONFIG_BOUND_US);
	for (uint32_t i = 0; i < NODES; i++)
		bytes += fleet.members[i].config_bytes;
	g_assert_cmpuint(bytes, <,
			 NODES * strlen(fed_config(fleet.reader->fed)->text) /
				 2);
	fleet_end();
}

/* One time-out of a text with 1,900 routes changes: guards against a change whose
 * cost grows with the text. */
static void test_small_change_of_a_large_text(void)
{
	uint64_t before;
	int64_t now_us;

	fleet_begin();
	put_config(7, ROUTES);
	g_assert_cmpint(time_until_at_all(7, fs_now_us()), <, NOT_YET);
	run(FS_US_PER_S);
	before = fleet.reader->config_bytes;
	now_us = fs_now_us();
	put_config(9, ROUTES);
	g_assert_cmpint(time_until_at_all(9, now_us), <, CONFIG_BOUND_US);
	/* A hundredth of the link in that time. */
	g_assert_cmpuint(fleet.reader->config_bytes - before, <,
			 LINK_BYTES_PER_S / 100);
	fleet_end();
}

/* Changes of a large text come faster than they spread: guards against a series in
 * which each waits for the ones before. */
static void test_series_of_changes(void)
{
	int64_t now_us = 0;

	fleet_begin();
	put_config(7, ROUTES);
	for (uint64_t version = 8; version <= 14; version++) {
		run(150 * FS_US_PER_MS);
		now_us = fs_now_us();
		put_config(version, ROUTES);
	}
	g_assert_cmpint(time_until_at_all(14, now_us), <, CONFIG_BOUND_US);
	fleet_end();
}

/* The reader is killed while 1,900 routes are on their way: guards against nodes
 * that only it could tell. */
static void test_reader_lost_in_the_middle(void)
{
	int64_t now_us;

	fleet_begin();
	now_us = fs_now_us();
	put_config(7, ROUTES);
	run(150 * FS_US_PER_MS);
	kill_member(fleet.reader);
	g_assert_cmpint(time_until_at_all(7, now_us), <, CONFIG_BOUND_US);
	fleet_end();
}

/* A tenth of the nodes is lost in the same moment, and is still in the view: guards
 * against nodes behind a lost one that wait for it. */
static void test_nodes_lost_in_the_middle(void)
{
	int64_t now_us;

	fleet_begin();
	now_us = fs_now_us();
	put_config(7, ROUTES);
	run(120 * FS_US_PER_MS);
	for (uint32_t i = 0; i < NODES / 10; i++) {
		struct member *member = &fleet.members[10 * i];

		if (member != fleet.reader)
			kill_member(member);
	}
	g_assert_cmpint(time_until_at_all(7, now_us), <, CONFIG_BOUND_US);
	fleet_end();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/fed_spread/many_routes_at_once",
			test_many_routes_at_once);
	g_test_add_func("/fed_spread/small_change_of_a_large_text",
			test_small_change_of_a_large_text);
	g_test_add_func("/fed_spread/series_of_changes",
			test_series_of_changes);
	g_test_add_func("/fed_spread/reader_lost_in_the_middle",
			test_reader_lost_in_the_middle);
	g_test_add_func("/fed_spread/nodes_lost_in_the_middle",
			test_nodes_lost_in_the_middle);
	return g_test_run();
}
