#include "mem_core.h"

#include <string.h>

#include "mem_core_priv.h"

#define PULL_MAX 60 /* members per datagram */
#define CONTACTS_MAX FS_NODES_MAX

uint64_t mem_random(struct mem_core *core)
{
	return fs_random(&core->random);
}

uint32_t mem_random_below(struct mem_core *core, uint32_t limit)
{
	return limit ? (uint32_t)(mem_random(core) % limit) : 0;
}

bool mem_is_local(const struct mem_core *core, const struct mem_node *node)
{
	return !strcmp(node->m.domain, core->self->m.domain);
}

static bool is_receiver(const struct mem_core *core,
			const struct mem_node *node, bool local)
{
	return node != core->self &&
	       (node->m.state == MEM_ALIVE || node->m.state == MEM_LEAVING) &&
	       (!local || mem_is_local(core, node));
}

bool mem_is_alone(const struct mem_core *core)
{
	for (guint i = 0; i < core->table.nodes->len; i++) {
		if (is_receiver(core, g_ptr_array_index(core->table.nodes, i),
				true))
			return false;
	}
	return true;
}

/* Returns a random member that is alive or leaving; of this failure domain if
 * @p local is set. */
static struct mem_node *random_live(struct mem_core *core, bool local)
{
	guint n = core->table.nodes->len;
	guint start = mem_random_below(core, n);

	for (guint i = 0; i < n; i++) {
		struct mem_node *node =
			g_ptr_array_index(core->table.nodes, (start + i) % n);

		if (is_receiver(core, node, local))
			return node;
	}
	return NULL;
}

struct mem_node *mem_random_receiver(struct mem_core *core, bool any)
{
	struct mem_node *node = any ? NULL : random_live(core, true);

	return node ? node : random_live(core, false);
}

struct mem_core *mem_core_new(const struct mem_member *self, uint64_t seed,
			      mem_send_fn send, void *arg)
{
	struct mem_core *core = g_new0(struct mem_core, 1);

	mem_table_init(&core->table);
	core->self = mem_table_add(&core->table, self);
	core->self->m.state = MEM_ALIVE;
	core->self->m.direct = true;
	core->send = send;
	core->send_arg = arg;
	core->random = seed;
	core->sequence = (uint32_t)mem_random(core);
	core->ring = g_array_new(FALSE, FALSE, sizeof(node_id));
	core->pending = g_ptr_array_new();
	core->contacts = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	core->push_tokens = MEM_PUSH_BURST;
	core->changed = true;
	return core;
}

void mem_core_free(struct mem_core *core)
{
	if (!core)
		return;
	mem_table_clear(&core->table);
	g_array_unref(core->ring);
	g_ptr_array_unref(core->pending);
	g_array_unref(core->contacts);
	g_free(core);
}

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static void add_contact(struct mem_core *core,
			const struct sockaddr_in *address)
{
	if (same_address(address, &core->self->m.peer) ||
	    core->contacts->len >= CONTACTS_MAX)
		return;
	for (guint i = 0; i < core->contacts->len; i++)
		if (same_address(address,
				 &g_array_index(core->contacts,
						struct sockaddr_in, i)))
			return;
	g_array_append_val(core->contacts, *address);
}

void mem_core_add_seed(struct mem_core *core, const struct sockaddr_in *address)
{
	g_array_set_size(core->contacts, core->contact_seeds);
	add_contact(core, address);
	core->contact_seeds = core->contacts->len;
}

void mem_core_set_vm_contacts(struct mem_core *core,
			      const struct sockaddr_in *addresses,
			      uint32_t count)
{
	g_array_set_size(core->contacts, core->contact_seeds);
	for (uint32_t i = 0; i < count; i++)
		add_contact(core, &addresses[i]);
}

void mem_core_tick(struct mem_core *core, int64_t now_us)
{
	if (!core->last_tick_us) {
		core->last_rx_us = now_us;
		core->push_refilled_us = now_us;
		core->next_ping_us =
			now_us + mem_random_below(core, FS_GOSSIP_PERIOD_US);
	} else if (now_us - core->last_tick_us > MEM_PAUSE_MIN_US) {
		mem_check_reset(core, now_us);
	}
	core->last_tick_us = now_us;
	mem_check_tick(core, now_us);
	mem_sync_tick(core, now_us);
	if (core->leave_repeats) {
		core->leave_repeats--;
		mem_send_leaving(core);
	}
	mem_send_pushes(core, now_us);
}

static void send_ack(struct mem_core *core, const struct mem_packet *packet)
{
	const struct mem_node *node =
		mem_table_find(&core->table, packet->sender);
	struct mem_packet ack;

	mem_send_begin(core, &ack, MEM_ACK);
	ack.sequence = packet->sequence;
	ack.subject = core->self->m.id;
	if (node &&
	    (node->m.state == MEM_SUSPECT || node->m.state == MEM_DEAD)) {
		struct mem_update update = mem_node_update(node, false);

		g_array_append_val(ack.updates, update);
	}
	mem_send_end(core, &ack, node, &packet->peer);
}

static void send_pull(struct mem_core *core, const struct sockaddr_in *to,
		      const GArray *wanted)
{
	struct mem_packet packet;

	if (!wanted->len)
		return;
	mem_send_begin(core, &packet, MEM_PULL);
	g_array_append_vals(packet.updates, wanted->data,
			    MIN(wanted->len, PULL_MAX));
	mem_send_bare(core, &packet, to);
}

static void record_config_version(struct mem_core *core,
				  const struct mem_packet *packet)
{
	struct mem_node *node = mem_table_find(&core->table, packet->sender);

	if (!node || node->m.incarnation != packet->incarnation)
		return;
	node->m.config_version =
		MAX(node->m.config_version, packet->config_version);
	if (packet->config_version > core->self->m.config_version &&
	    packet->config_version >= core->hint_version) {
		core->hint = packet->sender;
		core->hint_version = packet->config_version;
	}
}

/* Merges the updates and the header, and pulls the full updates it lacks. */
static void merge_updates(struct mem_core *core,
			  const struct mem_packet *packet, int64_t now_us)
{
	g_autoptr(GArray)
		wanted = g_array_new(FALSE, TRUE, sizeof(struct mem_update));
	struct mem_update sender = {
		.id = packet->sender,
		.incarnation = packet->incarnation,
		.refutation = packet->refutation,
		.state = packet->state,
	};

	for (guint i = 0; i < packet->updates->len; i++) {
		const struct mem_update *update =
			&g_array_index(packet->updates, struct mem_update, i);
		struct mem_update missing = {.id = update->id};

		if (packet->type != MEM_PULL && mem_merge(core, update, now_us))
			g_array_append_val(wanted, missing);
	}
	if (mem_merge(core, &sender, now_us))
		g_array_append_val(wanted, sender);
	send_pull(core, &packet->peer, wanted);
}

static void handle_packet(struct mem_core *core,
			  const struct mem_packet *packet, int64_t now_us)
{
	switch (packet->type) {
	case MEM_PING:
		send_ack(core, packet);
		break;
	case MEM_ACK:
		mem_check_receive_ack(core, packet, now_us);
		break;
	case MEM_PING_REQ:
		mem_check_receive_ping_req(core, packet, now_us);
		break;
	case MEM_SYNC:
		mem_sync_receive(core, packet);
		break;
	case MEM_PULL:
		mem_sync_answer_pull(core, packet);
		break;
	default:
		break;
	}
	if ((packet->type == MEM_PING || packet->type == MEM_ACK) &&
	    packet->digest != mem_table_digest(&core->table))
		mem_sync_on_mismatch(core, &packet->peer, now_us);
}

int mem_core_receive(struct mem_core *core, const uint8_t *data, size_t size,
		     int64_t now_us)
{
	struct mem_packet packet;
	int err = mem_wire_decode(data, size, &packet);

	if (!err && packet.sender != core->self->m.id) {
		core->last_rx_us = now_us;
		merge_updates(core, &packet, now_us);
		record_config_version(core, &packet);
		handle_packet(core, &packet, now_us);
		mem_send_pushes(core, now_us);
	}
	mem_packet_clear(&packet);
	return err;
}

void mem_core_leave(struct mem_core *core)
{
	if (core->self->m.state == MEM_LEAVING)
		return;
	core->self->m.state = MEM_LEAVING;
	core->self->refutation++;
	core->changed = true;
	core->leave_repeats = MEM_LEAVE_REPEATS;
	mem_send_enqueue(core, core->self, false);
	mem_send_leaving(core);
}

void mem_core_set_config(struct mem_core *core, uint64_t version,
			 int64_t now_us)
{
	if (version <= core->self->m.config_version)
		return;
	core->self->m.config_version = version;
	core->push_due = true;
	mem_send_pushes(core, now_us);
}

bool mem_core_changed(const struct mem_core *core)
{
	return core->changed;
}

struct mem_view *mem_core_view(struct mem_core *core)
{
	core->changed = false;
	return mem_table_view(&core->table, core->self->m.id,
			      ++core->view_serial);
}

struct mem_view *mem_core_peek(const struct mem_core *core)
{
	return mem_table_view(&core->table, core->self->m.id, 0);
}

node_id mem_core_pop_hint(struct mem_core *core, uint64_t *version)
{
	node_id hint = core->hint;

	*version = core->hint_version;
	core->hint = 0;
	core->hint_version = 0;
	return *version > core->self->m.config_version ? hint : 0;
}

uint32_t mem_core_alive(const struct mem_core *core)
{
	uint32_t alive = 0;

	for (guint i = 0; i < core->table.nodes->len; i++) {
		const struct mem_node *node =
			g_ptr_array_index(core->table.nodes, i);

		alive += node->m.state == MEM_ALIVE;
	}
	return alive;
}
