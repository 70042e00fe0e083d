#include "mem_core_priv.h"

#define HEADER_SIZE 88 /* bytes of a packet without updates, at most */

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

static gint by_sends_left(gconstpointer a, gconstpointer b)
{
	const struct mem_node *x = *(struct mem_node *const *)a;
	const struct mem_node *y = *(struct mem_node *const *)b;

	if (x->sends_left != y->sends_left)
		return x->sends_left < y->sends_left ? 1 : -1;
	return x->m.id < y->m.id ? -1 : x->m.id > y->m.id;
}

/* Adds the updates that were sent least so far, as many as fit. */
static void add_pending(struct mem_core *core, struct mem_packet *packet)
{
	size_t size = HEADER_SIZE;

	for (guint i = 0; i < packet->updates->len; i++)
		size += mem_update_size(
			&g_array_index(packet->updates, struct mem_update, i));
	g_ptr_array_sort(core->hot, by_sends_left);
	for (guint i = 0; i < core->hot->len; i++) {
		struct mem_node *node = g_ptr_array_index(core->hot, i);
		struct mem_update update =
			mem_node_update(node, node->send_full);
		size_t added = mem_update_size(&update);

		if (size + added > MEM_PAYLOAD_MAX)
			break;
		size += added;
		g_array_append_val(packet->updates, update);
		node->sends_left--;
	}
	for (guint i = core->hot->len; i > 0; i--) {
		struct mem_node *node = g_ptr_array_index(core->hot, i - 1);

		if (!node->sends_left)
			g_ptr_array_remove_index(core->hot, i - 1);
	}
}

void mem_send_end(struct mem_core *core, struct mem_packet *packet,
		  const struct sockaddr_in *to)
{
	add_pending(core, packet);
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
	mem_send_end(core, &packet, &node->m.peer);
}

/* Three times the binary logarithm of the number of members. */
static uint32_t sends_for(uint32_t members)
{
	return 3 * (32 - (uint32_t)__builtin_clz(members + 1));
}

void mem_send_enqueue(struct mem_core *core, struct mem_node *node, bool full)
{
	if (!node->sends_left) {
		g_ptr_array_add(core->hot, node);
		node->send_full = false;
	}
	node->send_full = node->send_full || full;
	node->sends_left = sends_for(core->table.present);
	core->push = true;
}

static void push(struct mem_core *core, uint32_t fanout)
{
	for (uint32_t i = 0; i < fanout; i++) {
		struct mem_node *node = mem_random_live(core);
		struct mem_packet packet;

		if (!node)
			return;
		mem_send_begin(core, &packet, MEM_GOSSIP);
		mem_send_end(core, &packet, &node->m.peer);
	}
}

void mem_send_leaving(struct mem_core *core)
{
	push(core, MEM_LEAVE_FANOUT);
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
	if (core->push && core->push_tokens) {
		core->push = false;
		core->push_tokens--;
		push(core, MEM_PUSH_FANOUT);
	}
}
