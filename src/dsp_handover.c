#include "dsp_impl.h"

#define HANDOVER_KEYS_MAX 4096 /* of one message, far below FS_FRAME_MAX */

/** Messages being put together, one per shard. */
struct handover {
	struct dsp *dsp;
	GHashTable *messages; /* shard handle to struct msg; NULL: not needed */
	int64_t now_us;
};

/* The node that dispatches a shard in place of this one, or 0. */
static node_id other_owner(const struct dsp *dsp, const struct shd_shard *shard)
{
	node_id id = shd_owner(shard, dsp->view, 0);

	if (id == dsp->node->self && dsp->stopping)
		id = shd_owner(shard, dsp->view, 1);
	return id == dsp->node->self ? 0 : id;
}

static char *name_of(const struct dsp *dsp, const struct shd_shard *shard)
{
	return g_strdup_printf("%s/%s/%u", shard->region,
			       dsp->cfg->services[shard->service].name,
			       shard->index);
}

/* Notes who owns a shard; returns whether that node needs its keys now. */
static bool note_owner(struct dsp *dsp, const struct shd_shard *shard,
		       node_id owner)
{
	g_autofree char *name = name_of(dsp, shard);
	const node_id *known = g_hash_table_lookup(dsp->handed, name);

	if ((known ? *known : 0) == owner)
		return false;
	if (owner)
		g_hash_table_replace(dsp->handed, g_steal_pointer(&name),
				     g_memdup2(&owner, sizeof(owner)));
	else
		g_hash_table_remove(dsp->handed, name);
	return owner != 0;
}

static struct msg *message_new(const struct dsp *dsp,
			       const struct shd_shard *shard, node_id to)
{
	struct msg *m = msg_new(MSG_HANDOVER, to, MSG_TASK_DISPATCH);

	m->handover.service = g_strdup(dsp->cfg->services[shard->service].name);
	m->handover.region = g_strdup(shard->region);
	m->handover.shard = shard->index;
	return m;
}

static void message_add(struct msg *m, const char *text, bool in_flight,
			int64_t age_us)
{
	struct msg_key key = {
		.key = g_strdup(text),
		.in_flight = in_flight,
		.age_us = age_us,
	};

	g_array_append_val(m->handover.keys, key);
}

static void message_send(struct dsp *dsp, struct msg *m)
{
	dsp_count(dsp, "handovers_sent", NULL);
	bus_send(dsp->node->bus, m);
}

static struct msg *message_of(struct handover *h, handle shard)
{
	void *key = GUINT_TO_POINTER(shard);
	const struct shd_shard *s = &h->dsp->map->shards[shard];
	struct msg *m = NULL;
	node_id owner;

	if (g_hash_table_lookup_extended(h->messages, key, NULL, (void **)&m))
		return m;
	owner = other_owner(h->dsp, s);
	if (note_owner(h->dsp, s, owner))
		m = message_new(h->dsp, s, owner);
	g_hash_table_insert(h->messages, key, m);
	return m;
}

static handle shard_of(const struct dsp *dsp, const char *service,
		       uint32_t index)
{
	return shd_find(dsp->map, dsp->cfg, service, dsp->node->set.region,
			index);
}

static void add_key(void *arg, const struct key_entry *entry)
{
	struct handover *h = arg;
	handle shard = shard_of(h->dsp, entry->service, entry->shard);
	struct msg *m = shard == FS_NONE ? NULL : message_of(h, shard);
	struct msg *next;

	if (!m)
		return;
	message_add(m, entry->key, entry->in_flight,
		    h->now_us - entry->taken_us);
	if (m->handover.keys->len < HANDOVER_KEYS_MAX)
		return;
	next = message_new(h->dsp, &h->dsp->map->shards[shard], m->to);
	g_hash_table_insert(h->messages, GUINT_TO_POINTER(shard), next);
	message_send(h->dsp, m);
}

void dsp_handover_send(struct dsp *dsp, int64_t now_us)
{
	struct handover h = {.dsp = dsp, .now_us = now_us};
	GHashTableIter iter;
	struct msg *m;

	if (!dsp->cfg || !dsp->view)
		return;
	h.messages = g_hash_table_new(NULL, NULL);
	key_each(dsp->keys, add_key, &h);
	g_hash_table_iter_init(&iter, h.messages);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&m)) {
		if (m)
			message_send(dsp, m);
	}
	g_hash_table_unref(h.messages);
}

void dsp_handover_key(const struct dsp_run *run, bool in_flight, int64_t now_us)
{
	const struct msg_request *request = &run->m->request;
	struct dsp *dsp = run->dsp;
	handle shard;
	node_id owner;
	struct msg *m;

	if (!dsp->view)
		return;
	shard = shard_of(dsp, request->service, request->shard);
	if (shard == FS_NONE)
		return;
	owner = other_owner(dsp, &dsp->map->shards[shard]);
	if (!owner)
		return;
	m = message_new(dsp, &dsp->map->shards[shard], owner);
	message_add(m, request->key, in_flight, now_us - run->taken_us);
	message_send(dsp, m);
}

void dsp_handover_receive(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	const struct msg_handover *handover = &m->handover;

	for (guint i = 0; handover->keys && i < handover->keys->len; i++) {
		const struct msg_key *key =
			&g_array_index(handover->keys, struct msg_key, i);
		struct key_entry entry = {
			.service = handover->service,
			.key = key->key,
			.shard = handover->shard,
			.in_flight = key->in_flight,
			.taken_us = now_us - MAX(key->age_us, 0),
		};

		if (key_merge(dsp->keys, &entry, now_us))
			dsp_count(dsp, "handover_keys_lost", NULL);
	}
	dsp_count(dsp, "handovers_taken", NULL);
}
