#include "que.h"

void que_push(struct que *que, struct que_item *item,
	      enum cfg_priority priority)
{
	item->link.data = item;
	item->priority = priority;
	item->queued = true;
	g_queue_push_tail_link(&que->waiting[priority], &item->link);
	que->count++;
}

void que_push_front(struct que *que, struct que_item *item,
		    enum cfg_priority priority)
{
	item->link.data = item;
	item->priority = priority;
	item->queued = true;
	g_queue_push_head_link(&que->waiting[priority], &item->link);
	que->count++;
}

void que_remove(struct que *que, struct que_item *item)
{
	if (!item->queued)
		return;
	g_queue_unlink(&que->waiting[item->priority], &item->link);
	item->queued = false;
	que->count--;
}

struct que_item *que_first(const struct que *que, que_match_fn match, void *arg)
{
	for (int p = 0; p < CFG_PRIORITY_COUNT; p++) {
		for (GList *l = que->waiting[p].head; l; l = l->next) {
			if (match(arg, l->data))
				return l->data;
		}
	}
	return NULL;
}

struct que_item *que_find_evictable(const struct que *que,
				    enum cfg_priority priority)
{
	for (int p = CFG_PRIORITY_COUNT - 1; p > (int)priority; p--) {
		if (que->waiting[p].tail)
			return que->waiting[p].tail->data;
	}
	return NULL;
}

uint32_t que_count_ahead(const struct que *que, enum cfg_priority priority)
{
	uint32_t n = 0;

	for (int p = 0; p <= (int)priority; p++)
		n += que->waiting[p].length;
	return n;
}
