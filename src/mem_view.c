#include "mem.h"

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
