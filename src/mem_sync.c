#include "mem_core_priv.h"

#define CONTACTS_AT_ONCE 3
#define RECONTACTS_AT_ONCE 2
#define SYNC_ENTRIES 48 /* compact updates of one datagram */
#define FULL_BYTES 1200 /* of full updates in one datagram */

static int compare_nodes(gconstpointer a, gconstpointer b)
{
	const struct mem_node *x = *(struct mem_node *const *)a;
	const struct mem_node *y = *(struct mem_node *const *)b;

	return x->m.id < y->m.id ? -1 : x->m.id > y->m.id;
}

/* Returns the present members in the order of their ids. */
static GPtrArray *present_nodes(const struct mem_core *core)
{
	GPtrArray *nodes = g_ptr_array_new();

	for (guint i = 0; i < core->table.nodes->len; i++) {
		struct mem_node *node = g_ptr_array_index(core->table.nodes, i);

		if (mem_node_present(node))
			g_ptr_array_add(nodes, node);
	}
	g_ptr_array_sort(nodes, compare_nodes);
	return nodes;
}

/* Tells who this node is, and asks for all that the other one knows. */
static void send_join(struct mem_core *core, const struct sockaddr_in *to)
{
	struct mem_update self = mem_node_update(core->self, true);
	struct mem_packet packet;

	mem_send_begin(core, &packet, MEM_SYNC);
	packet.low = 0;
	packet.high = UINT64_MAX;
	g_array_append_val(packet.updates, self);
	mem_send_bare(core, &packet, to);
}

/* Sends the whole table in compact form; the ranges leave no gap. */
static void send_table(struct mem_core *core, const struct sockaddr_in *to)
{
	g_autoptr(GPtrArray) nodes = present_nodes(core);
	node_id low = 0;
	guint i = 0;

	while (i < nodes->len) {
		guint end = MIN(i + SYNC_ENTRIES, nodes->len);
		struct mem_packet packet;

		mem_send_begin(core, &packet, MEM_SYNC);
		packet.low = low;
		for (; i < end; i++) {
			const struct mem_node *node =
				g_ptr_array_index(nodes, i);
			struct mem_update update = mem_node_update(node, false);

			g_array_append_val(packet.updates, update);
			packet.high = node->m.id;
		}
		if (end == nodes->len)
			packet.high = UINT64_MAX;
		low = packet.high + 1;
		mem_send_bare(core, &packet, to);
	}
}

/** Full updates on their way to one member. */
struct bundle {
	struct mem_packet packet;
	size_t size;
};

static void bundle_flush(struct mem_core *core, struct bundle *bundle,
			 const struct sockaddr_in *to)
{
	if (bundle->size)
		mem_send_bare(core, &bundle->packet, to);
	bundle->size = 0;
}

static void bundle_add(struct mem_core *core, struct bundle *bundle,
		       const struct mem_node *node,
		       const struct sockaddr_in *to)
{
	struct mem_update update = mem_node_update(node, true);
	size_t added = mem_update_size(&update);

	if (bundle->size + added > FULL_BYTES)
		bundle_flush(core, bundle, to);
	if (!bundle->size)
		mem_send_begin(core, &bundle->packet, MEM_MEMBERS);
	bundle->size += added;
	g_array_append_val(bundle->packet.updates, update);
}

/* Sends what the other one lacks of the range, or knows an older state of.
 * What this node lacks was pulled when the updates were merged. */
void mem_sync_receive(struct mem_core *core, const struct mem_packet *packet)
{
	g_autoptr(GPtrArray) nodes = present_nodes(core);
	g_autoptr(GHashTable)
		told = g_hash_table_new(g_int64_hash, g_int64_equal);
	struct bundle bundle = {0};

	for (guint i = 0; i < packet->updates->len; i++) {
		struct mem_update *update =
			&g_array_index(packet->updates, struct mem_update, i);

		g_hash_table_insert(told, &update->id, update);
	}
	for (guint i = 0; i < nodes->len; i++) {
		const struct mem_node *node = g_ptr_array_index(nodes, i);
		struct mem_update known = mem_node_update(node, false);
		const struct mem_update *update =
			g_hash_table_lookup(told, &node->m.id);

		if (node->m.id < packet->low || node->m.id > packet->high)
			continue;
		if (!update || mem_update_supersedes(&known, update))
			bundle_add(core, &bundle, node, &packet->peer);
	}
	bundle_flush(core, &bundle, &packet->peer);
}

void mem_sync_answer_pull(struct mem_core *core,
			  const struct mem_packet *packet)
{
	struct bundle bundle = {0};

	for (guint i = 0; i < packet->updates->len; i++) {
		const struct mem_update *asked =
			&g_array_index(packet->updates, struct mem_update, i);
		const struct mem_node *node =
			mem_table_find(&core->table, asked->id);

		if (node && mem_node_present(node))
			bundle_add(core, &bundle, node, &packet->peer);
	}
	bundle_flush(core, &bundle, &packet->peer);
}

void mem_sync_on_mismatch(struct mem_core *core, const struct sockaddr_in *to,
			  int64_t now_us)
{
	if (now_us < core->next_sync_us ||
	    now_us - core->changed_us < MEM_SYNC_SETTLE_US)
		return;
	core->next_sync_us = now_us + MEM_SYNC_INTERVAL_MIN_US;
	send_table(core, to);
}

static bool is_present_at(const struct mem_core *core,
			  const struct sockaddr_in *address)
{
	for (guint i = 0; i < core->table.nodes->len; i++) {
		const struct mem_node *node =
			g_ptr_array_index(core->table.nodes, i);

		if (mem_node_present(node) &&
		    node->m.peer.sin_port == address->sin_port &&
		    node->m.peer.sin_addr.s_addr == address->sin_addr.s_addr)
			return true;
	}
	return false;
}

static void contact_some(struct mem_core *core, guint limit)
{
	guint n = core->contacts->len;
	guint start = n ? mem_random_below(core, n) : 0;
	guint sent = 0;

	for (guint i = 0; i < n && sent < limit; i++) {
		const struct sockaddr_in *address = &g_array_index(
			core->contacts, struct sockaddr_in, (start + i) % n);

		if (is_present_at(core, address))
			continue;
		send_join(core, address);
		sent++;
	}
}

/* Pings up to @p limit dead members; those held alive elsewhere only, if
 * @p wanted. */
static void contact_dead(struct mem_core *core, guint limit, bool wanted)
{
	guint n = core->table.nodes->len;
	guint start = mem_random_below(core, n);

	for (guint i = 0; i < n && limit; i++) {
		struct mem_node *node =
			g_ptr_array_index(core->table.nodes, (start + i) % n);

		if (mem_node_present(node) || (wanted && !node->recontact))
			continue;
		if (node->recontact) {
			node->recontact = false;
			core->table.recontacts--;
		}
		mem_send_ping(core, node, ++core->sequence);
		limit--;
	}
}

static void forget_dead(struct mem_core *core, int64_t now_us)
{
	for (guint i = core->table.nodes->len; i > 0; i--) {
		struct mem_node *node =
			g_ptr_array_index(core->table.nodes, i - 1);

		if (mem_node_present(node) ||
		    now_us - node->died_us < MEM_DEAD_RETENTION_US)
			continue;
		mem_drop(core, node);
	}
}

void mem_sync_tick(struct mem_core *core, int64_t now_us)
{
	bool alone = core->table.present <= 1;

	if (core->table.recontacts)
		contact_dead(core, RECONTACTS_AT_ONCE, true);
	if (now_us < core->next_contact_us)
		return;
	core->next_contact_us =
		now_us +
		(alone ? MEM_CONTACT_PERIOD_ALONE_US : MEM_CONTACT_PERIOD_US) /
			2 +
		mem_random_below(core, alone ? MEM_CONTACT_PERIOD_ALONE_US :
					       MEM_CONTACT_PERIOD_US);
	contact_some(core, alone ? CONTACTS_AT_ONCE : 1);
	contact_dead(core, 1, false);
	forget_dead(core, now_us);
}
