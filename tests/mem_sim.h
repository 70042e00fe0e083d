/* Runs many instances of the membership's state machine in virtual time. A
 * datagram takes LATENCY_MS; cuts, loss and pauses are set by the tests. */
#ifndef MEM_SIM_H
#define MEM_SIM_H

#include <arpa/inet.h>
#include <string.h>

#include "mem_core.h"
#include "mem_wire.h"

#define SIM_MAX 420
#define SIM_SLOTS 16 /* ms that a datagram may be under way */
#define SIM_LATENCY_MS 2
#define SIM_IP_UDP 28 /* bytes of the headers below a datagram */
#define SIM_BACKLOG 2000

struct sim;

struct sim_node {
	struct sim *sim;
	struct mem_core *core;
	struct mem_member self;
	bool down;   /* killed */
	bool paused; /* stopped, datagrams wait */
	GPtrArray *waiting;
	uint64_t bytes, datagrams; /* sent */
	int64_t config_due_ms;	   /* a text asked for arrives then */
	uint64_t config_due;
};

struct sim_datagram {
	uint32_t from;
	uint32_t to;
	GByteArray *data;
};

struct sim {
	int64_t now_ms;
	uint32_t count;
	struct sim_node nodes[SIM_MAX];
	GArray *slots[SIM_SLOTS]; /* struct sim_datagram */
	/* Returns whether a datagram is lost. */
	bool (*lost)(struct sim *sim, uint32_t from, uint32_t to);
	/* Looks at each datagram that is sent; may be NULL. */
	void (*inspect)(struct sim *sim, uint32_t from, uint32_t to,
			const struct mem_packet *packet);
	bool drop_waiting; /* a paused node's socket keeps nothing */
	uint64_t random;
	uint32_t domains; /* of each region */
	uint32_t regions;
};

static inline int64_t sim_us(const struct sim *sim)
{
	return (sim->now_ms + 1000) * 1000;
}

static inline uint64_t sim_random(struct sim *sim)
{
	sim->random =
		sim->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return sim->random >> 33;
}

static inline void sim_send(void *arg, const struct sockaddr_in *to,
			    const uint8_t *data, size_t size)
{
	struct sim_node *node = arg;
	struct sim *sim = node->sim;
	uint32_t from = (uint32_t)(node - sim->nodes);
	uint32_t receiver = (uint32_t)ntohs(to->sin_port) - 1;
	GArray *slot = sim->slots[(sim->now_ms + SIM_LATENCY_MS) % SIM_SLOTS];
	struct sim_datagram *d;

	node->bytes += size + MEM_SIGNATURE_SIZE + SIM_IP_UDP;
	node->datagrams++;
	if (sim->inspect) {
		struct mem_packet packet;

		mem_wire_decode(data, size, &packet);
		sim->inspect(sim, from, receiver, &packet);
		mem_packet_clear(&packet);
	}
	if (receiver >= sim->count ||
	    (sim->lost && sim->lost(sim, from, receiver)))
		return;
	g_array_set_size(slot, slot->len + 1);
	d = &g_array_index(slot, struct sim_datagram, slot->len - 1);
	d->from = from;
	d->to = receiver;
	d->data = g_byte_array_sized_new((guint)size);
	g_byte_array_append(d->data, data, (guint)size);
}

/* Starts a node, or starts it again with a new incarnation. */
static inline void sim_start(struct sim *sim, uint32_t i, uint64_t incarnation)
{
	struct sim_node *node = &sim->nodes[i];
	struct mem_member *self = &node->self;

	mem_core_free(node->core);
	memset(self, 0, sizeof(*self));
	g_snprintf(self->name, sizeof(self->name), "entry-pnw-%03u", i);
	g_snprintf(self->region, sizeof(self->region), "region-%u",
		   i % sim->regions);
	g_snprintf(self->domain, sizeof(self->domain), "region-%u-%c",
		   i % sim->regions,
		   'a' + (int)(i / sim->regions % sim->domains));
	self->id = fs_node_id(self->name);
	self->incarnation = incarnation;
	self->peer.sin_family = AF_INET;
	self->peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	self->peer.sin_port = htons((uint16_t)(i + 1));
	self->caller = self->peer;
	self->operator= self->peer;
	node->sim = sim;
	node->down = false;
	node->config_due = 0;
	node->core = mem_core_new(self, sim_random(sim), sim_send, node);
	for (uint32_t seed = 0; seed < 3; seed++)
		mem_core_add_seed(
			node->core,
			&(struct sockaddr_in){
				.sin_family = AF_INET,
				.sin_addr = self->peer.sin_addr,
				.sin_port = htons((uint16_t)(seed + 1)),
			});
}

static inline struct sim *sim_new(uint32_t count, uint32_t regions,
				  uint32_t domains, uint64_t seed)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->count = count;
	sim->random = seed;
	sim->regions = regions;
	sim->domains = domains;
	for (uint32_t i = 0; i < SIM_SLOTS; i++)
		sim->slots[i] =
			g_array_new(FALSE, TRUE, sizeof(struct sim_datagram));
	for (uint32_t i = 0; i < count; i++) {
		sim->nodes[i].waiting = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_byte_array_unref);
		sim_start(sim, i, 1000000 + i);
	}
	return sim;
}

static inline void sim_free(struct sim *sim)
{
	for (uint32_t i = 0; i < SIM_SLOTS; i++) {
		for (guint k = 0; k < sim->slots[i]->len; k++)
			g_byte_array_unref(g_array_index(sim->slots[i],
							 struct sim_datagram, k)
						   .data);
		g_array_unref(sim->slots[i]);
	}
	for (uint32_t i = 0; i < sim->count; i++) {
		mem_core_free(sim->nodes[i].core);
		g_ptr_array_unref(sim->nodes[i].waiting);
	}
	g_free(sim);
}

/* A node that hears of a newer version has its text 20 ms later. */
static inline void sim_fetch_config(struct sim *sim, struct sim_node *node)
{
	uint64_t version;

	if (!mem_core_pop_hint(node->core, &version) ||
	    node->config_due >= version)
		return;
	node->config_due = version;
	node->config_due_ms = sim->now_ms + 20;
}

static inline void sim_deliver(struct sim *sim, struct sim_node *node,
			       const GByteArray *data)
{
	g_assert_cmpint(mem_core_receive(node->core, data->data, data->len,
					 sim_us(sim)),
			==, 0);
	sim_fetch_config(sim, node);
}

static inline void sim_arrive(struct sim *sim, struct sim_datagram *d)
{
	struct sim_node *node = &sim->nodes[d->to];

	if (node->paused && !sim->drop_waiting &&
	    node->waiting->len < SIM_BACKLOG) {
		g_ptr_array_add(node->waiting, d->data);
		return;
	}
	if (!node->down && !node->paused)
		sim_deliver(sim, node, d->data);
	g_byte_array_unref(d->data);
}

static inline void sim_resume(struct sim *sim, uint32_t i)
{
	struct sim_node *node = &sim->nodes[i];

	node->paused = false;
	for (guint k = 0; k < node->waiting->len; k++)
		sim_deliver(sim, node, g_ptr_array_index(node->waiting, k));
	g_ptr_array_set_size(node->waiting, 0);
}

static inline void sim_step(struct sim *sim)
{
	GArray *slot = sim->slots[sim->now_ms % SIM_SLOTS];
	const int64_t tick_ms = MEM_TICK_US / 1000;

	for (guint k = 0; k < slot->len; k++)
		sim_arrive(sim, &g_array_index(slot, struct sim_datagram, k));
	g_array_set_size(slot, 0);
	for (uint32_t i = (uint32_t)(sim->now_ms % tick_ms); i < sim->count;
	     i += (uint32_t)tick_ms) {
		struct sim_node *node = &sim->nodes[i];

		if (!node->down && !node->paused)
			mem_core_tick(node->core, sim_us(sim));
	}
	for (uint32_t i = 0; i < sim->count; i++) {
		struct sim_node *node = &sim->nodes[i];

		if (node->config_due && sim->now_ms == node->config_due_ms)
			mem_core_set_config(node->core, node->config_due,
					    sim_us(sim));
	}
	sim->now_ms++;
}

static inline void sim_run(struct sim *sim, int64_t ms)
{
	for (int64_t end = sim->now_ms + ms; sim->now_ms < end;)
		sim_step(sim);
}

/* Returns what node @p i holds of node @p k. */
static inline enum mem_state sim_state(struct sim *sim, uint32_t i, uint32_t k,
				       bool *direct)
{
	struct mem_view *view = mem_core_peek(sim->nodes[i].core);
	const struct mem_member *m = mem_view_find(view, sim->nodes[k].self.id);
	enum mem_state state = m ? m->state : MEM_DEAD;

	if (direct)
		*direct = m && m->direct;
	mem_view_unref(view);
	return state;
}

/* Returns how many running nodes hold @p k in the given state. */
static inline uint32_t sim_count_state(struct sim *sim, uint32_t k,
				       enum mem_state state)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++)
		if (i != k && !sim->nodes[i].down)
			n += sim_state(sim, i, k, NULL) == state;
	return n;
}

/* Returns how many running nodes hold every running node as alive. */
static inline uint32_t sim_count_converged(struct sim *sim)
{
	uint32_t up = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < sim->count; i++)
		up += !sim->nodes[i].down;
	for (uint32_t i = 0; i < sim->count; i++)
		n += !sim->nodes[i].down &&
		     mem_core_alive(sim->nodes[i].core) == up;
	return n;
}

/* Runs until all running nodes hold each other as alive; returns ms. */
static inline int64_t sim_converge(struct sim *sim, int64_t limit_ms)
{
	int64_t start = sim->now_ms;
	uint32_t up = 0;

	for (uint32_t i = 0; i < sim->count; i++)
		up += !sim->nodes[i].down;
	while (sim->now_ms - start < limit_ms) {
		sim_run(sim, 100);
		if (sim_count_converged(sim) == up)
			break;
	}
	return sim->now_ms - start;
}

/* Runs until @p n nodes hold @p k in a state; returns ms. */
static inline int64_t sim_run_until(struct sim *sim, uint32_t k,
				    enum mem_state state, uint32_t n,
				    int64_t limit_ms)
{
	int64_t start = sim->now_ms;

	while (sim->now_ms - start < limit_ms &&
	       sim_count_state(sim, k, state) < n)
		sim_run(sim, 100);
	return sim->now_ms - start;
}

#endif
