#include <string.h>

#include "mem_core_priv.h"

/* The suspicion timeout grows with the logarithm of the member count, above
 * 64 members. */
#define SUSPICION_BASE_LOG2 6
#define DIRECT_FAILURES_MAX 2 /* in a row: no direct path */
#define FAR_RELAYS 2	      /* relays in a third failure domain */

int64_t mem_suspicion_timeout_us(const struct mem_core *core)
{
	int log = 31 - __builtin_clz(core->table.present + 1);

	return FS_SUSPECT_US +
	       MAX(0, log - SUSPICION_BASE_LOG2) * FS_GOSSIP_PERIOD_US;
}

static struct mem_check *find_check(struct mem_core *core, node_id target)
{
	for (guint i = 0; i < MEM_CHECKS_MAX; i++)
		if (core->checks[i].target == target)
			return &core->checks[i];
	return NULL;
}

static void start_check(struct mem_core *core, struct mem_node *node,
			int64_t now_us)
{
	struct mem_check *check = find_check(core, 0);

	if (!check || find_check(core, node->m.id))
		return;
	check->target = node->m.id;
	check->sequence = ++core->sequence;
	check->sent_us = now_us;
	check->indirect = false;
	check->relayed = false;
	node->recheck = false;
	mem_send_ping(core, node, check->sequence);
}

static void shuffle(struct mem_core *core)
{
	for (guint i = core->ring->len; i > 1; i--) {
		node_id *a = &g_array_index(core->ring, node_id, i - 1);
		node_id *b = &g_array_index(core->ring, node_id,
					    mem_random_below(core, i));
		node_id swapped = *a;

		*a = *b;
		*b = swapped;
	}
}

void mem_check_add_to_ring(struct mem_core *core, struct mem_node *node)
{
	guint later = core->ring->len - MIN(core->ring_next, core->ring->len);
	guint position = core->ring->len - mem_random_below(core, later + 1);

	if (node->in_ring)
		return;
	node->in_ring = true;
	g_array_insert_val(core->ring, position, node->m.id);
}

/* Returns the next present member and removes dead ones from the ring. */
static struct mem_node *next_in_ring(struct mem_core *core)
{
	bool restarted = false;

	while (core->ring->len) {
		struct mem_node *node;

		if (core->ring_next >= core->ring->len) {
			if (restarted)
				return NULL;
			shuffle(core);
			core->ring_next = 0;
			restarted = true;
		}
		node = mem_table_find(
			&core->table,
			g_array_index(core->ring, node_id, core->ring_next));
		if (node && mem_node_present(node)) {
			core->ring_next++;
			return node;
		}
		if (node)
			node->in_ring = false;
		g_array_remove_index(core->ring, core->ring_next);
	}
	return NULL;
}

static struct mem_node *next_recheck(struct mem_core *core)
{
	guint n = core->table.nodes->len;
	guint start = mem_random_below(core, n);

	for (guint i = 0; i < n; i++) {
		struct mem_node *node =
			g_ptr_array_index(core->table.nodes, (start + i) % n);

		if (node->recheck && mem_node_present(node))
			return node;
	}
	return NULL;
}

/* Sends a PING_REQ on @p target to an alive member that is not in @p relays. */
static bool send_ping_req(struct mem_core *core, const struct mem_check *check,
			  const struct mem_node *target, bool far,
			  GArray *relays)
{
	guint n = core->table.nodes->len;
	guint start = mem_random_below(core, n);

	for (guint i = 0; i < n; i++) {
		struct mem_node *node =
			g_ptr_array_index(core->table.nodes, (start + i) % n);
		struct mem_packet packet;
		bool skipped = node == target || node == core->self ||
			       node->m.state != MEM_ALIVE;

		if (far && (!strcmp(node->m.domain, core->self->m.domain) ||
			    !strcmp(node->m.domain, target->m.domain)))
			continue;
		for (guint k = 0; k < relays->len; k++)
			skipped = skipped || g_array_index(relays, node_id,
							   k) == node->m.id;
		if (skipped)
			continue;
		g_array_append_val(relays, node->m.id);
		mem_send_begin(core, &packet, MEM_PING_REQ);
		packet.sequence = check->sequence;
		packet.subject = target->m.id;
		mem_send_end(core, &packet, node, &node->m.peer);
		return true;
	}
	return false;
}

/* A partition often affects an entire failure domain, so FAR_RELAYS of the
 * relays are preferably outside the domains of this node and of the target. */
static void send_ping_reqs(struct mem_core *core, struct mem_check *check,
			   const struct mem_node *target)
{
	g_autoptr(GArray) relays = g_array_new(FALSE, FALSE, sizeof(node_id));

	check->indirect = true;
	for (int i = 0; i < FS_GOSSIP_INDIRECT; i++)
		if (i >= FAR_RELAYS ||
		    !send_ping_req(core, check, target, true, relays))
			send_ping_req(core, check, target, false, relays);
}

static void set_direct(struct mem_core *core, struct mem_node *node,
		       bool direct)
{
	if (node->m.direct == direct)
		return;
	node->m.direct = direct;
	core->changed = true;
}

/* Handles a check without a direct ack; without an indirect one either, the
 * member becomes suspect. */
static void fail_check(struct mem_core *core, struct mem_check *check,
		       struct mem_node *node, int64_t now_us)
{
	node->direct_failures++;
	node->recheck = true;
	if (node->direct_failures >= DIRECT_FAILURES_MAX)
		set_direct(core, node, false);
	if (!check->relayed && node->m.state != MEM_SUSPECT)
		mem_declare_state(core, node, MEM_SUSPECT, now_us);
	check->target = 0;
}

/* If no datagram arrived since the ping, the fault may be local: the check then
 * stays open until MEM_RX_TIMEOUT_US after the ping. */
static bool may_conclude(const struct mem_core *core,
			 const struct mem_check *check, int64_t now_us)
{
	return check->relayed || core->last_rx_us > check->sent_us ||
	       now_us - check->sent_us > MEM_RX_TIMEOUT_US;
}

static void expire_check(struct mem_core *core, struct mem_check *check,
			 int64_t now_us)
{
	struct mem_node *node = mem_table_find(&core->table, check->target);
	int64_t waited_us = now_us - check->sent_us;

	if (!node || !mem_node_present(node)) {
		check->target = 0;
		return;
	}
	if (waited_us >= FS_GOSSIP_ACK_US && !check->indirect)
		send_ping_reqs(core, check, node);
	if (waited_us >= FS_GOSSIP_ACK_US + MEM_INDIRECT_TIMEOUT_US &&
	    may_conclude(core, check, now_us))
		fail_check(core, check, node, now_us);
}

static void expire_suspects(struct mem_core *core, int64_t now_us)
{
	if (!core->table.suspects)
		return;
	for (guint i = 0; i < core->table.nodes->len; i++) {
		struct mem_node *node = g_ptr_array_index(core->table.nodes, i);

		if (node->m.state == MEM_SUSPECT &&
		    now_us >= node->suspect_until_us)
			mem_declare_state(core, node, MEM_DEAD, now_us);
	}
}

void mem_check_tick(struct mem_core *core, int64_t now_us)
{
	struct mem_node *node;

	for (guint i = 0; i < MEM_CHECKS_MAX; i++)
		if (core->checks[i].target)
			expire_check(core, &core->checks[i], now_us);
	expire_suspects(core, now_us);
	if (now_us < core->next_ping_us)
		return;
	core->next_ping_us = now_us + FS_GOSSIP_PERIOD_US;
	node = next_in_ring(core);
	if (node)
		start_check(core, node, now_us);
	node = next_recheck(core);
	if (node)
		start_check(core, node, now_us);
}

void mem_check_reset(struct mem_core *core, int64_t now_us)
{
	memset(core->checks, 0, sizeof(core->checks));
	for (guint i = 0; i < core->table.nodes->len; i++) {
		struct mem_node *node = g_ptr_array_index(core->table.nodes, i);

		if (node->m.state == MEM_SUSPECT)
			node->suspect_until_us =
				now_us + mem_suspicion_timeout_us(core);
	}
	core->last_rx_us = now_us;
	core->next_ping_us = now_us + FS_GOSSIP_PERIOD_US;
}

/* Forwards an ack to the member that requested the ping. */
static void forward_ack(struct mem_core *core, const struct mem_packet *packet,
			int64_t now_us)
{
	for (guint i = 0; i < MEM_RELAYS_MAX; i++) {
		struct mem_relay *relay = &core->relays[i];
		struct mem_packet answer;

		if (relay->target != packet->sender ||
		    relay->sequence != packet->sequence)
			continue;
		relay->target = 0;
		if (now_us > relay->expires_us)
			return;
		mem_send_begin(core, &answer, MEM_ACK);
		answer.sequence = relay->requester_sequence;
		answer.subject = packet->sender;
		mem_send_end(core, &answer, NULL, &relay->requester);
		return;
	}
}

void mem_check_receive_ack(struct mem_core *core,
			   const struct mem_packet *packet, int64_t now_us)
{
	struct mem_check *check = find_check(core, packet->subject);
	struct mem_node *node = mem_table_find(&core->table, packet->subject);

	if (packet->subject == packet->sender)
		forward_ack(core, packet, now_us);
	if (!check || !node || check->sequence != packet->sequence ||
	    !packet->subject)
		return;
	if (packet->subject != packet->sender) {
		check->relayed = true;
		return;
	}
	if (packet->incarnation < node->m.incarnation)
		return;
	check->target = 0;
	node->direct_failures = 0;
	node->recheck = false;
	set_direct(core, node, true);
}

void mem_check_receive_ping_req(struct mem_core *core,
				const struct mem_packet *packet, int64_t now_us)
{
	struct mem_node *node = mem_table_find(&core->table, packet->subject);
	struct mem_relay *relay = NULL;

	for (guint i = 0; i < MEM_RELAYS_MAX && !relay; i++)
		if (!core->relays[i].target ||
		    now_us > core->relays[i].expires_us)
			relay = &core->relays[i];
	if (!node || node == core->self || !relay)
		return;
	relay->target = node->m.id;
	relay->sequence = ++core->sequence;
	relay->requester = packet->peer;
	relay->requester_sequence = packet->sequence;
	relay->expires_us = now_us + MEM_RELAY_TIMEOUT_US;
	mem_send_ping(core, node, relay->sequence);
}
