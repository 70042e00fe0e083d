#include "lod_queue.h"

void lod_queue_init(struct lod_queue *queue)
{
	queue->failures = g_array_new(FALSE, TRUE, sizeof(struct lod_evidence));
	queue->degraded_successes =
		g_array_new(FALSE, TRUE, sizeof(struct lod_evidence));
	queue->successes =
		g_array_new(FALSE, TRUE, sizeof(struct lod_evidence));
	queue->dropped = 0;
}

void lod_queue_clear(struct lod_queue *queue)
{
	g_clear_pointer(&queue->failures, g_array_unref);
	g_clear_pointer(&queue->degraded_successes, g_array_unref);
	g_clear_pointer(&queue->successes, g_array_unref);
}

/* Adds to the row of the same target and outcome, if there is one. */
static bool merge_row(GArray *rows, const struct lod_evidence *e,
		      bool same_origin)
{
	for (guint i = 0; i < rows->len; i++) {
		struct lod_evidence *row =
			&g_array_index(rows, struct lod_evidence, i);

		if (row->target != e->target || row->outcome != e->outcome ||
		    (same_origin && row->origin != e->origin))
			continue;
		row->count += e->count;
		row->latency_sum_us += e->latency_sum_us;
		return true;
	}
	return false;
}

void lod_queue_add(struct lod_queue *queue, const struct lod_evidence *e,
		   bool degraded)
{
	GArray *successes = degraded ? queue->degraded_successes :
				       queue->successes;

	if (e->outcome == GRY_SUCCESS) {
		if (!merge_row(successes, e, false))
			g_array_append_val(successes, *e);
		return;
	}
	if (merge_row(queue->failures, e, true))
		return;
	if (queue->failures->len < LOD_QUEUE_FAILURES_MAX)
		g_array_append_val(queue->failures, *e);
	else
		queue->dropped += e->count;
}

static void move_rows(GArray *from, GArray *to, guint max)
{
	guint capacity = max > to->len ? max - to->len : 0;
	guint n = MIN(from->len, capacity);

	if (!n)
		return;
	g_array_append_vals(to, from->data, n);
	g_array_remove_range(from, 0, n);
}

void lod_queue_dequeue(struct lod_queue *queue, GArray *out, guint max)
{
	move_rows(queue->failures, out, max);
	move_rows(queue->degraded_successes, out, max);
	move_rows(queue->successes, out, max);
	g_array_set_size(queue->successes, 0);
}

void lod_queue_discard(struct lod_queue *queue)
{
	g_array_set_size(queue->failures, 0);
	g_array_set_size(queue->degraded_successes, 0);
	g_array_set_size(queue->successes, 0);
}

guint lod_queue_pending(const struct lod_queue *queue)
{
	return queue->failures->len + queue->degraded_successes->len;
}
