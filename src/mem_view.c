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

uint32_t mem_view_hubs(const struct mem_view *view, const char *domain,
		       node_id hubs[2])
{
	uint64_t key = fs_node_id(domain);
	uint64_t weights[2] = {0, 0};
	uint32_t alive = 0;

	hubs[0] = hubs[1] = 0;
	for (uint32_t i = 0; i < view->count; i++) {
		const struct mem_member *m = &view->members[i];
		uint64_t weight = shd_weight(key, m->id);

		if (m->state != MEM_ALIVE || strcmp(m->domain, domain) != 0)
			continue;
		alive++;
		if (weight > weights[0]) {
			hubs[1] = hubs[0];
			weights[1] = weights[0];
			hubs[0] = m->id;
			weights[0] = weight;
		} else if (weight > weights[1]) {
			hubs[1] = m->id;
			weights[1] = weight;
		}
	}
	return alive;
}

uint32_t mem_view_rank(const struct mem_view *view, const char *domain,
		       node_id id)
{
	uint64_t key = fs_node_id(domain);
	uint64_t own = shd_weight(key, id);
	uint32_t rank = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		const struct mem_member *m = &view->members[i];

		if (m->id != id && m->state == MEM_ALIVE &&
		    !strcmp(m->domain, domain))
			rank += shd_weight(key, m->id) > own;
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
