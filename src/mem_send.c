#include "mem_core_priv.h"

#define HEADER_SIZE 88 /* upper bound for a packet without updates, in bytes */

void mem_send_begin(struct mem_core *core, struct mem_packet *packet,
		    enum mem_type type)
{
	mem_packet_init(packet, type);
	packet->sender = core->self->m.id;
	packet->incarnation = core->self->m.incarnation;
	packet->refutation = core->self->refutation;
	packet->state = core->self->m.state;
	packet->peer = core->self->m.peer;
	packet->config_version = core->self->m.config_version;
	packet->digest = mem_table_digest(&core->table);
}

void mem_send_bare(struct mem_core *core, struct mem_packet *packet,
		   const struct sockaddr_in *to)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	mem_wire_encode(packet, bytes);
	if (bytes->len <= MEM_PAYLOAD_MAX)
		core->send(core->send_arg, to, bytes->data, bytes->len);
	mem_packet_clear(packet);
}

/* Three times the bit length of the member count: O(log n) transmissions. */
static uint32_t transmit_limit(uint32_t members)
{
	return 3 * (32 - (uint32_t)__builtin_clz(members + 1));
}

/* Returns whether an update of a member is still sent to other domains. */
static bool is_fresh(const struct mem_core *core, const struct mem_node *node)
{
	uint32_t limit = transmit_limit(core->table.present);

	if (node->m.state == MEM_LEAVING)
		return true;
	return node->transmits_left + limit / MEM_CROSS_DOMAIN_DIVISOR > limit;
}

static bool has_fresh_update(const struct mem_core *core)
{
	for (guint i = 0; i < core->pending->len; i++) {
		if (is_fresh(core, g_ptr_array_index(core->pending, i)))
			return true;
	}
	return !core->pending->len;
}

static gint by_transmits_left(gconstpointer a, gconstpointer b)
{
	const struct mem_node *x = *(struct mem_node *const *)a;
	const struct mem_node *y = *(struct mem_node *const *)b;

	if (x->transmits_left != y->transmits_left)
		return x->transmits_left < y->transmits_left ? 1 : -1;
	return x->m.id < y->m.id ? -1 : x->m.id > y->m.id;
}

/* Adds the updates with the fewest transmissions first, as many as fit. */
static void piggyback_updates(struct mem_core *core, struct mem_packet *packet,
			      bool local)
{
	size_t size = HEADER_SIZE;

	for (guint i = 0; i < packet->updates->len; i++)
		size += mem_update_size(
			&g_array_index(packet->updates, struct mem_update, i));
	g_ptr_array_sort(core->pending, by_transmits_left);
	for (guint i = 0; i < core->pending->len; i++) {
		struct mem_node *node = g_ptr_array_index(core->pending, i);
		struct mem_update update =
			mem_node_update(node, node->send_full);
		size_t added = mem_update_size(&update);

		if (!local && !is_fresh(core, node))
			continue;
		if (size + added > MEM_PAYLOAD_MAX)
			break;
		size += added;
		g_array_append_val(packet->updates, update);
		node->transmits_left--;
	}
	for (guint i = core->pending->len; i > 0; i--) {
		struct mem_node *node = g_ptr_array_index(core->pending, i - 1);

		if (!node->transmits_left)
			g_ptr_array_remove_index(core->pending, i - 1);
	}
}

void mem_send_end(struct mem_core *core, struct mem_packet *packet,
		  const struct mem_node *receiver, const struct sockaddr_in *to)
{
	piggyback_updates(core, packet,
			  !receiver || mem_is_local(core, receiver) ||
				  mem_is_alone(core));
	mem_send_bare(core, packet, to);
}

void mem_send_ping(struct mem_core *core, struct mem_node *node,
		   uint32_t sequence)
{
	struct mem_packet packet;

	mem_send_begin(core, &packet, MEM_PING);
	packet.sequence = sequence;
	if (node->m.state == MEM_SUSPECT || node->m.state == MEM_DEAD) {
		struct mem_update update = mem_node_update(node, false);

		g_array_append_val(packet.updates, update);
	}
	mem_send_end(core, &packet, node, &node->m.peer);
}

void mem_send_enqueue(struct mem_core *core, struct mem_node *node, bool full)
{
	if (!node->transmits_left) {
		g_ptr_array_add(core->pending, node);
		node->send_full = false;
	}
	node->send_full = node->send_full || full;
	node->transmits_left = transmit_limit(core->table.present);
	core->push_due = true;
}

void mem_send_withdraw(struct mem_core *core, struct mem_node *node)
{
	node->transmits_left = 0;
	g_ptr_array_remove(core->pending, node);
}

static void push_to_random(struct mem_core *core, uint32_t fanout)
{
	for (uint32_t i = 0; i < fanout; i++) {
		struct mem_node *node =
			mem_random_receiver(core, has_fresh_update(core));
		struct mem_packet packet;

		if (!node)
			return;
		mem_send_begin(core, &packet, MEM_GOSSIP);
		mem_send_end(core, &packet, node, &node->m.peer);
	}
}

void mem_send_leaving(struct mem_core *core)
{
	push_to_random(core, MEM_LEAVE_FANOUT);
}

void mem_send_pushes(struct mem_core *core, int64_t now_us)
{
	while (core->push_tokens < MEM_PUSH_BURST &&
	       now_us - core->push_refilled_us >= MEM_PUSH_REFILL_US) {
		core->push_tokens++;
		core->push_refilled_us += MEM_PUSH_REFILL_US;
	}
	if (core->push_tokens == MEM_PUSH_BURST)
		core->push_refilled_us = now_us;
	if (core->push_due && core->push_tokens) {
		core->push_due = false;
		core->push_tokens--;
		push_to_random(core, MEM_PUSH_FANOUT);
	}
}
