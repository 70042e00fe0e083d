/* Who reads the store, for one failure domain in virtual time: nodes of known
 * ranks, and heartbeats that reach all of them. No network, no clock. */
#include <glib.h>

#include "fed_role.h"

#define MS FS_US_PER_MS
#define SECOND FS_US_PER_S

enum {
	NODES = 100,
};
#define TICK_US (50 * MS)
#define LIST_US (100 * MS)	/* a complete list */
#define HEARTBEAT_US (200 * MS) /* between digests of the hub */

struct node_state {
	struct fed_role role;
	int64_t reading_us; /* start of the list in progress */
	uint32_t lists;
	int64_t watching_us; /* time spent reading after the list */
};

struct domain {
	struct node_state nodes[NODES];
	bool dead[NODES];
	bool deaf[NODES];
	int64_t now_us;
};

static void domain_begin(struct domain *d, bool first_start)
{
	*d = (struct domain){.now_us = SECOND};
	for (int i = 0; i < NODES; i++)
		fed_role_init(&d->nodes[i].role, first_start, d->now_us);
}

static bool is_fresh_reader(const struct domain *d, int i)
{
	const struct node_state *n = &d->nodes[i];

	return !d->dead[i] && n->role.chosen &&
	       d->now_us - n->reading_us >= LIST_US;
}

static void deliver_heartbeats(struct domain *d)
{
	bool fresh = false;

	for (int i = 0; i < NODES; i++)
		fresh |= is_fresh_reader(d, i);
	for (int i = 0; i < NODES && fresh; i++) {
		if (!d->deaf[i])
			d->nodes[i].role.last_rx_us =
				d->nodes[i].role.local_rx_us = d->now_us;
	}
}

/* The rank among all members, dead ones included: membership notices a loss
 * seconds later. */
static void step_node(struct domain *d, int i)
{
	struct node_state *n = &d->nodes[i];

	if (fed_role_update(&n->role, (uint32_t)i, false, d->now_us) &&
	    n->role.reading) {
		n->reading_us = d->now_us;
		n->lists++;
	}
	if (!n->role.reading || d->now_us - n->reading_us < LIST_US)
		return;
	n->role.listed = true;
	n->role.listed_us = n->reading_us + LIST_US;
	n->watching_us += TICK_US;
}

static void domain_run(struct domain *d, int64_t us)
{
	for (int64_t end_us = d->now_us + us; d->now_us < end_us;
	     d->now_us += TICK_US) {
		if (d->now_us % HEARTBEAT_US == 0)
			deliver_heartbeats(d);
		for (int i = 0; i < NODES; i++)
			if (!d->dead[i])
				step_node(d, i);
	}
}

/* All nodes start at once: guards against a stream of watches from each of
 * them until the first reader is heard. */
static void common_start_costs_one_list_each(void)
{
	struct domain d;

	domain_begin(&d, false);
	domain_run(&d, 10 * SECOND);
	for (int i = 1 + FED_STANDBYS; i < NODES; i++) {
		g_assert_cmpuint(d.nodes[i].lists, ==, 1);
		g_assert_cmpint(d.nodes[i].watching_us, <=, 2 * TICK_US);
		g_assert_false(d.nodes[i].role.reading);
	}
	g_assert_true(d.nodes[0].role.chosen);
}

/* The whole fleet starts for the first time: guards against a list from each of
 * its nodes while the store is still empty. */
static void first_start_costs_few_lists(void)
{
	struct domain d;
	uint32_t lists = 0;

	domain_begin(&d, true);
	domain_run(&d, 10 * SECOND);
	for (int i = 0; i < NODES; i++)
		lists += d.nodes[i].lists;
	g_assert_cmpuint(lists, <=, 1 + FED_STANDBYS);
	g_assert_true(d.nodes[0].role.chosen);
}

/* The reader dies: guards against all nodes of its domain reading until
 * membership has noticed. */
static void standby_spares_the_others(void)
{
	struct domain d;

	domain_begin(&d, false);
	domain_run(&d, 10 * SECOND);
	d.dead[0] = true;
	domain_run(&d, 1200 * MS);
	g_assert_true(is_fresh_reader(&d, 1));
	domain_run(&d, 10 * SECOND);
	for (int i = 1 + FED_STANDBYS; i < NODES; i++)
		g_assert_cmpuint(d.nodes[i].lists, ==, 1);
}

/* Guards against a node out of reach of all readers that stops reading: it
 * would go on with a directory of its start. */
static void node_out_of_reach_reads_in_time(void)
{
	struct domain d;
	int64_t before_us;

	domain_begin(&d, false);
	d.deaf[7] = true;
	domain_run(&d, 3 * SECOND);
	g_assert_true(d.nodes[7].role.reading);
	before_us = d.nodes[7].watching_us;
	domain_run(&d, 5 * SECOND);
	g_assert_cmpint(d.nodes[7].watching_us - before_us, ==, 5 * SECOND);
	d.deaf[8] = true;
	domain_run(&d, FED_READER_TIMEOUT_US + HEARTBEAT_US);
	g_assert_true(d.nodes[8].role.reading);
}

/* A node that stops hands over before it leaves. */
static void stopping_node_is_not_chosen(void)
{
	struct domain d;

	domain_begin(&d, false);
	domain_run(&d, 5 * SECOND);
	fed_role_update(&d.nodes[0].role, 0, true, d.now_us);
	g_assert_false(d.nodes[0].role.chosen);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fed_role/common_start_costs_one_list_each",
			common_start_costs_one_list_each);
	g_test_add_func("/fed_role/first_start_costs_few_lists",
			first_start_costs_few_lists);
	g_test_add_func("/fed_role/standby_spares_the_others",
			standby_spares_the_others);
	g_test_add_func("/fed_role/node_out_of_reach_reads_in_time",
			node_out_of_reach_reads_in_time);
	g_test_add_func("/fed_role/stopping_node_is_not_chosen",
			stopping_node_is_not_chosen);
	return g_test_run();
}
