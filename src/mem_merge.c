#include "mem_core_priv.h"

#define SUSPECT_PINGS_MEAN 4 /* mean number of nodes that ping a new suspect */

static void set_state(struct mem_core *core, struct mem_node *node,
		      enum mem_state state, int64_t now_us)
{
	node->m.state = state;
	node->recontact = false;
	if (state == MEM_SUSPECT)
		node->suspect_until_us =
			now_us + mem_suspicion_timeout_us(core);
	if (state == MEM_DEAD)
		node->dead_since_us = now_us;
	mem_table_recount(&core->table);
	core->changed = true;
	core->changed_us = now_us;
	if (state != MEM_DEAD)
		mem_check_add_to_ring(core, node);
}

void mem_drop(struct mem_core *core, struct mem_node *node)
{
	g_ptr_array_remove(core->pending, node);
	mem_table_remove(&core->table, node);
	core->changed = true;
}

void mem_declare_state(struct mem_core *core, struct mem_node *node,
		       enum mem_state state, int64_t now_us)
{
	set_state(core, node, state, now_us);
	if (now_us - core->last_rx_us <= MEM_RX_TIMEOUT_US)
		mem_send_enqueue(core, node, false);
	else
		mem_send_withdraw(core, node);
}

/* Refutes that this node is suspect or dead. If the clock of the predecessor
 * process was ahead, this node takes an incarnation above the predecessor's. */
static void merge_self(struct mem_core *core, const struct mem_update *update)
{
	struct mem_node *self = core->self;

	if (update->state != MEM_SUSPECT && update->state != MEM_DEAD)
		return;
	if (update->incarnation < self->m.incarnation ||
	    (update->incarnation == self->m.incarnation &&
	     update->refutation < self->refutation))
		return;
	if (update->incarnation > self->m.incarnation) {
		self->m.incarnation = update->incarnation + 1;
		core->table.digest_stale = true;
		core->changed = true;
	}
	self->refutation = update->refutation + 1;
	mem_send_enqueue(core, self, true);
}

static bool merge_unknown(struct mem_core *core,
			  const struct mem_update *update, int64_t now_us)
{
	struct mem_node *node;

	if (update->state == MEM_DEAD)
		return false;
	if (!update->full)
		return true;
	if (core->table.nodes->len >= FS_NODES_MAX) {
		node = mem_table_longest_dead(&core->table);
		if (!node)
			return false;
		mem_drop(core, node);
	}
	node = mem_table_add(&core->table, &update->member);
	node->refutation = update->refutation;
	node->m.direct = true;
	set_state(core, node, update->state, now_us);
	mem_send_enqueue(core, node, true);
	return false;
}

static void apply_full(struct mem_core *core, struct mem_node *node,
		       const struct mem_update *update)
{
	bool direct = node->m.direct;
	uint64_t version = node->m.config_version;

	if (update->incarnation != node->m.incarnation) {
		node->direct_failures = 0;
		node->recheck = false;
		direct = true;
		version = 0;
	}
	node->m = update->member;
	node->m.direct = direct;
	node->m.config_version = MAX(version, update->member.config_version);
	core->table.digest_stale = true;
}

/* Pings a member that was reported as suspect, on a random few nodes only. */
static void ping_suspect(struct mem_core *core, struct mem_node *node)
{
	if (mem_random_below(core, core->table.present) < SUSPECT_PINGS_MEAN)
		mem_send_ping(core, node, ++core->sequence);
}

bool mem_merge(struct mem_core *core, const struct mem_update *update,
	       int64_t now_us)
{
	struct mem_node *node = mem_table_find(&core->table, update->id);
	struct mem_update known;

	if (!node)
		return merge_unknown(core, update, now_us);
	if (node == core->self) {
		merge_self(core, update);
		return false;
	}
	known = mem_node_update(node, false);
	if (!mem_update_supersedes(update, &known)) {
		if (node->m.state == MEM_DEAD && update->state != MEM_DEAD &&
		    update->incarnation == node->m.incarnation &&
		    !node->recontact) {
			node->recontact = true;
			core->table.recontacts++;
		}
		return false;
	}
	if (update->incarnation > node->m.incarnation && !update->full)
		return update->state != MEM_DEAD;
	if (update->full)
		apply_full(core, node, update);
	node->refutation = update->refutation;
	set_state(core, node, update->state, now_us);
	mem_send_enqueue(core, node, update->full);
	if (update->state == MEM_SUSPECT)
		ping_suspect(core, node);
	return false;
}
