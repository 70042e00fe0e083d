#include <string.h>
#include <xxhash.h>

#include "ent.h"

/** Eligible nodes in descending order of rendezvous weight. */
struct candidates {
	const struct mem_member *members[FS_NODES_MAX];
	uint64_t weights[FS_NODES_MAX];
	uint32_t count;
};

static void insert_by_weight(struct candidates *c,
			     const struct mem_member *member, uint64_t weight)
{
	uint32_t i = c->count++;

	for (; i > 0 && c->weights[i - 1] < weight; i--) {
		c->weights[i] = c->weights[i - 1];
		c->members[i] = c->members[i - 1];
	}
	c->weights[i] = weight;
	c->members[i] = member;
}

static void collect_candidates(struct candidates *c,
			       const struct mem_view *view, uint64_t key,
			       node_id excluded, const char *region)
{
	for (uint32_t i = 0; i < view->count && c->count < FS_NODES_MAX; i++) {
		const struct mem_member *m = &view->members[i];

		if (m->state != MEM_ALIVE || m->id == excluded ||
		    !m->caller.sin_port ||
		    (region && strcmp(m->region, region) != 0))
			continue;
		insert_by_weight(c, m, shd_weight(key, m->id));
	}
}

static bool has_domain(const struct mem_member *const *chosen, uint32_t count,
		       const char *domain)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(chosen[i]->domain, domain))
			return true;
	}
	return false;
}

/* Selects the highest weight of each failure domain first, then the highest
 * of the others. */
static uint32_t select_over_domains(struct candidates *c,
				    const struct mem_member **out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->count && n < ENT_ENTRIES_MAX; i++) {
		if (has_domain(out, n, c->members[i]->domain))
			continue;
		out[n++] = c->members[i];
		c->members[i] = NULL;
	}
	for (uint32_t i = 0; i < c->count && n < ENT_ENTRIES_MAX; i++) {
		if (c->members[i])
			out[n++] = c->members[i];
	}
	return n;
}

uint32_t ent_entries_pick(const struct mem_view *view, const char *caller,
			  node_id excluded,
			  const struct mem_member *out[ENT_ENTRIES_MAX])
{
	const struct mem_member *self = mem_view_find(view, view->self);
	struct candidates *c = g_new0(struct candidates, 1);
	uint64_t key = XXH64(caller, strlen(caller), 0);
	uint32_t count;

	collect_candidates(c, view, key, excluded, self ? self->region : NULL);
	if (!c->count)
		collect_candidates(c, view, key, excluded, NULL);
	count = select_over_domains(c, out);
	g_free(c);
	return count;
}
