#include "mem.h"

#include <string.h>

#include "shd.h"

struct mem_view *mem_view_ref(const struct mem_view *view)
{
	struct mem_view *writable = (struct mem_view *)view;

	writable->refs++;
	return writable;
}

void mem_view_unref(struct mem_view *view)
{
	if (view && --view->refs == 0)
		g_free(view);
}

/** What decides between the members of a failure domain. */
struct precedence {
	uint32_t link_mbps; /* hubs send most of the traffic between nodes */
	uint64_t weight;
};

static struct precedence precedence_of(uint64_t key, const struct mem_member *m)
{
	return (struct precedence){m->link_mbps, shd_weight(key, m->id)};
}

static bool goes_before(struct precedence a, struct precedence b)
{
	return a.link_mbps != b.link_mbps ? a.link_mbps > b.link_mbps :
					    a.weight > b.weight;
}

uint32_t mem_view_hubs(const struct mem_view *view, const char *domain,
		       node_id hubs[2])
{
	uint64_t key = fs_node_id(domain);
	struct precedence best[2] = {{0, 0}, {0, 0}};
	uint32_t alive = 0;

	hubs[0] = hubs[1] = 0;
	for (uint32_t i = 0; i < view->count; i++) {
		const struct mem_member *m = &view->members[i];
		struct precedence own = precedence_of(key, m);

		if (m->state != MEM_ALIVE || strcmp(m->domain, domain) != 0)
			continue;
		alive++;
		if (goes_before(own, best[0])) {
			hubs[1] = hubs[0];
			best[1] = best[0];
			hubs[0] = m->id;
			best[0] = own;
		} else if (goes_before(own, best[1])) {
			hubs[1] = m->id;
			best[1] = own;
		}
	}
	return alive;
}

uint32_t mem_view_rank(const struct mem_view *view, const char *domain,
		       node_id id)
{
	uint64_t key = fs_node_id(domain);
	const struct mem_member *self = mem_view_find(view, id);
	struct precedence own = {0, shd_weight(key, id)};
	uint32_t rank = 0;

	if (self)
		own = precedence_of(key, self);
	for (uint32_t i = 0; i < view->count; i++) {
		const struct mem_member *m = &view->members[i];

		if (m->id != id && m->state == MEM_ALIVE &&
		    !strcmp(m->domain, domain))
			rank += goes_before(precedence_of(key, m), own);
	}
	return rank;
}

const struct mem_member *mem_view_find(const struct mem_view *view, node_id id)
{
	uint32_t low = 0;
	uint32_t high = view->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (view->members[middle].id == id)
			return &view->members[middle];
		if (view->members[middle].id < id)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}
