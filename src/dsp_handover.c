#include "dsp_impl.h"

/* The node that dispatches a shard when this one does not. */
static node_id other_owner(const struct dsp *dsp, const struct shd_shard *shard)
{
	node_id id = shd_owner(shard, dsp->view, 0);

	if (id == dsp->node->self && dsp->stopping)
		id = shd_owner(shard, dsp->view, 1);
	return id == dsp->node->self ? 0 : id;
}

/** Hand-over messages being put together, one per shard. */
struct handover {
	struct dsp *dsp;
	GHashTable *messages; /* shard handle to struct msg */
	int64_t now_us;
};

static struct msg *message_of(struct handover *h, handle shard)
{
	const struct shd_shard *s = &h->dsp->map->shards[shard];
	struct msg *m =
		g_hash_table_lookup(h->messages, GUINT_TO_POINTER(shard));
	node_id to;

	if (m)
		return m;
	to = other_owner(h->dsp, s);
	if (!to)
		return NULL;
	m = msg_new(MSG_HANDOVER, to, MSG_TASK_DISPATCH);
	m->handover.service = g_strdup(h->dsp->cfg->services[s->service].name);
	m->handover.region = g_strdup(s->region);
	m->handover.shard = s->index;
	g_hash_table_insert(h->messages, GUINT_TO_POINTER(shard), m);
	return m;
}

static void add_key(void *arg, const struct key_entry *entry)
{
	struct handover *h = arg;
	struct dsp *dsp = h->dsp;
	struct msg_key key = {
		.in_flight = entry->in_flight,
		.age_us = h->now_us - entry->taken_us,
	};
	handle shard = shd_find(dsp->map, dsp->cfg, entry->service,
				dsp->node->set.region, entry->shard);
	struct msg *m;

	if (shard == FS_NONE)
		return;
	m = message_of(h, shard);
	if (!m)
		return;
	key.key = g_strdup(entry->key);
	g_array_append_val(m->handover.keys, key);
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
		dsp_count(dsp, "handovers_sent", NULL);
		bus_send(dsp->node->bus, m);
	}
	g_hash_table_unref(h.messages);
}

void dsp_handover_take(struct dsp *dsp, const struct msg *m, int64_t now_us)
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
			.taken_us = now_us - key->age_us,
		};

		if (key_merge(dsp->keys, &entry, now_us))
			dsp_count(dsp, "handover_keys_lost", NULL);
	}
	dsp_count(dsp, "handovers_taken", NULL);
}
