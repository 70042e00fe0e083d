#include "dir_ring.h"

void dir_ring_add(GPtrArray *ring, struct dir_target *target)
{
	guint low = 0;
	guint high = ring->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		const struct dir_target *t = g_ptr_array_index(ring, middle);

		if (t->hash > target->hash)
			high = middle;
		else
			low = middle + 1;
	}
	g_ptr_array_insert(ring, (gint)low, target);
}
