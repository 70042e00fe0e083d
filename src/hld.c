#include "hld.h"

#include <glib.h>

void hld_init(struct hld *hld, uint64_t memory_bytes)
{
	uint64_t left = memory_bytes > HLD_PROCESS_BYTES ?
				memory_bytes - HLD_PROCESS_BYTES :
				0;

	*hld = (struct hld){
		.bound = (size_t)MAX(left / HLD_DIVISOR,
				     memory_bytes / HLD_SMALL_DIVISOR),
	};
}

void hld_set(struct hld *hld, struct hld_item *item, size_t bytes)
{
	hld->held += bytes;
	hld->held -= item->bytes;
	hld->most = MAX(hld->most, hld->held);
	item->bytes = bytes;
}

static size_t free_bytes(const struct hld *hld, size_t bound)
{
	return hld->held < bound ? bound - hld->held : 0;
}

static size_t long_bound(const struct hld *hld)
{
	return hld->bound / 100 * HLD_LONG_PERCENT;
}

bool hld_has_room(const struct hld *hld, size_t bytes)
{
	return bytes <= free_bytes(hld, hld->bound);
}

bool hld_may_begin(const struct hld *hld, size_t bytes, bool long_answer)
{
	return bytes <=
	       free_bytes(hld, long_answer ? long_bound(hld) : hld->bound);
}

size_t hld_window(const struct hld *hld)
{
	size_t part = free_bytes(hld, long_bound(hld)) / HLD_WINDOW_DIVISOR;

	return CLAMP(part, HLD_WINDOW_MIN, HLD_WINDOW_MAX);
}

bool hld_press(struct hld *hld)
{
	bool begins = !hld->pressed;

	hld->pressed = true;
	return begins;
}

bool hld_calm(struct hld *hld)
{
	bool ends = hld->pressed && hld->held < hld->bound / HLD_CALM_DIVISOR;

	hld->pressed = hld->pressed && !ends;
	return ends;
}
