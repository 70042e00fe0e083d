#include "lod_counts.h"
#include "lod_wire.h"

/** In-flight requests at one target. */
struct row {
	uint32_t requests;
	int64_t updated_us;
};

void lod_counts_init(struct lod_counts *counts)
{
	counts->rows = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void lod_counts_clear(struct lod_counts *counts)
{
	g_clear_pointer(&counts->rows, g_hash_table_unref);
}

void lod_counts_put(struct lod_counts *counts, uint32_t target,
		    uint32_t requests, int64_t now_us)
{
	void *key = GUINT_TO_POINTER(target);
	struct row *row = g_hash_table_lookup(counts->rows, key);

	if (!requests) {
		g_hash_table_remove(counts->rows, key);
		return;
	}
	if (!row) {
		row = g_new0(struct row, 1);
		g_hash_table_insert(counts->rows, key, row);
	}
	row->requests = requests;
	row->updated_us = now_us;
}

uint32_t lod_counts_get(const struct lod_counts *counts, uint32_t target)
{
	const struct row *row =
		g_hash_table_lookup(counts->rows, GUINT_TO_POINTER(target));

	return row ? row->requests : 0;
}

void lod_counts_expire(struct lod_counts *counts, int64_t before_us,
		       GArray *expired)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, counts->rows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint32_t target = GPOINTER_TO_UINT(key);

		if (((struct row *)value)->updated_us >= before_us)
			continue;
		g_array_append_val(expired, target);
		g_hash_table_iter_remove(&iter);
	}
}

int64_t lod_counts_lag_us(const struct lod_counts *counts, guint in_digest,
			  int64_t interval_us)
{
	if (in_digest < LOD_COUNTS_MAX)
		return 0;
	return interval_us * g_hash_table_size(counts->rows) / LOD_COUNTS_MAX /
	       2;
}

static int by_age(const void *a, const void *b)
{
	const struct lod_pending_count *x = a;
	const struct lod_pending_count *y = b;

	return x->broadcast_us < y->broadcast_us ?
		       -1 :
		       x->broadcast_us > y->broadcast_us;
}

guint lod_counts_select_oldest(GArray *pending, guint max)
{
	guint dropped = pending->len > max ? pending->len - max : 0;

	if (!dropped)
		return 0;
	g_array_sort(pending, by_age);
	g_array_set_size(pending, max);
	return dropped;
}
