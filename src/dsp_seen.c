#include "dsp_seen.h"

struct seen_id {
	struct req_id id; /* first: the key of the hash table */
	enum dsp_seen_state state;
	enum fs_outcome outcome;
	int64_t at_us;
	GList link;
};

struct dsp_seen {
	uint32_t max;
	GHashTable *ids; /* struct seen_id */
	GQueue order;	 /* oldest first */
};

guint dsp_id_hash(gconstpointer id)
{
	const struct req_id *r = id;
	uint64_t h = r->node ^ (r->incarnation * 0x9e3779b97f4a7c15ULL) ^
		     (r->counter * 0xc2b2ae3d27d4eb4fULL);

	return (guint)(h ^ (h >> 32));
}

gboolean dsp_id_equal(gconstpointer a, gconstpointer b)
{
	return req_id_equal(a, b);
}

struct dsp_seen *dsp_seen_new(uint32_t max)
{
	struct dsp_seen *seen = g_new0(struct dsp_seen, 1);

	seen->max = max;
	seen->ids =
		g_hash_table_new_full(dsp_id_hash, dsp_id_equal, g_free, NULL);
	g_queue_init(&seen->order);
	return seen;
}

void dsp_seen_free(struct dsp_seen *seen)
{
	if (!seen)
		return;
	g_hash_table_unref(seen->ids);
	g_free(seen);
}

static void drop(struct dsp_seen *seen, struct seen_id *s)
{
	g_queue_unlink(&seen->order, &s->link);
	g_hash_table_remove(seen->ids, s);
}

void dsp_seen_add(struct dsp_seen *seen, const struct req_id *id,
		  enum dsp_seen_state state, enum fs_outcome outcome,
		  int64_t now_us)
{
	struct seen_id *s = g_hash_table_lookup(seen->ids, id);

	if (s)
		drop(seen, s);
	while (g_hash_table_size(seen->ids) >= seen->max)
		drop(seen, seen->order.head->data);
	s = g_new0(struct seen_id, 1);
	s->id = *id;
	s->state = state;
	s->outcome = outcome;
	s->at_us = now_us;
	s->link.data = s;
	g_hash_table_add(seen->ids, s);
	g_queue_push_tail_link(&seen->order, &s->link);
}

enum dsp_seen_state dsp_seen_find(const struct dsp_seen *seen,
				  const struct req_id *id,
				  enum fs_outcome *outcome)
{
	const struct seen_id *s = g_hash_table_lookup(seen->ids, id);

	if (!s)
		return DSP_SEEN_NEVER;
	if (outcome)
		*outcome = s->outcome;
	return s->state;
}

void dsp_seen_expire(struct dsp_seen *seen, int64_t now_us)
{
	while (seen->order.head) {
		struct seen_id *s = seen->order.head->data;

		if (now_us - s->at_us < DSP_SEEN_TTL_US)
			return;
		drop(seen, s);
	}
}
