#include "lod_impl.h"

/* Share of the fleet's retry budget that may be used. The rest is a margin for
 * retries of other nodes that are not received yet. */
#define BUDGET_USABLE_SHARE 0.85
/* The unserved share is a moving average over the requests of about one second,
 * within these bounds. */
#define UNSERVED_WINDOW_MIN 20.0
#define UNSERVED_WINDOW_MAX 200.0
/* A shortage is expected to go on for this part of the budget's window. */
#define HORIZON_DIVISOR 2

static guint row_hash(gconstpointer key)
{
	const struct lod_service_counts *row = key;

	return row->service ^ (row->ranked ? row->rank + 1 : 0);
}

static gboolean row_equal(gconstpointer a, gconstpointer b)
{
	const struct lod_service_counts *x = a;
	const struct lod_service_counts *y = b;

	return x->service == y->service && x->ranked == y->ranked &&
	       x->rank == y->rank;
}

GHashTable *lod_service_counts_new(void)
{
	return g_hash_table_new_full(row_hash, row_equal, NULL, g_free);
}

void lod_add_service_counts(GHashTable *table,
			    const struct lod_service_counts *service_counts)
{
	struct lod_service_counts *row =
		g_hash_table_lookup(table, service_counts);

	if (!row) {
		row = g_new0(struct lod_service_counts, 1);
		row->service = service_counts->service;
		row->ranked = service_counts->ranked;
		row->rank = service_counts->rank;
		g_hash_table_insert(table, row, row);
	}
	row->requests += service_counts->requests;
	row->retries += service_counts->retries;
	row->unserved += service_counts->unserved;
	row->no_room += service_counts->no_room;
	row->denied += service_counts->denied;
}

static int by_times_left_out(const void *a, const void *b)
{
	const struct lod_service_counts *x =
		*(const struct lod_service_counts *const *)a;
	const struct lod_service_counts *y =
		*(const struct lod_service_counts *const *)b;

	return (x->left_out < y->left_out) - (x->left_out > y->left_out);
}

void lod_service_move_counts(GHashTable *from, GArray *to)
{
	g_autoptr(GPtrArray) rows = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		g_ptr_array_add(rows, value);
	g_ptr_array_sort(rows, by_times_left_out);
	for (guint i = 0; i < rows->len; i++) {
		struct lod_service_counts *row = g_ptr_array_index(rows, i);

		if (to->len >= LOD_SERVICE_COUNTS_MAX) {
			row->left_out++;
			continue;
		}
		g_array_append_vals(to, row, 1);
		g_hash_table_remove(from, row);
	}
}

static void stats_free(void *data)
{
	struct lod_service_stats *stats = data;

	rnk_clear(&stats->ranks);
	rnk_clear(&stats->own_ranks);
	g_free(stats);
}

GHashTable *lod_service_stats_new(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, stats_free);
}

static struct lod_service_stats *service_stats_of(struct lod *lod,
						  uint32_t service)
{
	void *key = GUINT_TO_POINTER(service);
	struct lod_service_stats *stats =
		g_hash_table_lookup(lod->service_stats, key);

	if (!stats) {
		stats = g_new0(struct lod_service_stats, 1);
		g_hash_table_insert(lod->service_stats, key, stats);
	}
	return stats;
}

static void count_rank(struct rnk *ranks, const struct lod_service_counts *row,
		       int64_t now_us)
{
	const struct rnk_counts n = {
		.asked = row->requests,
		.unserved = row->unserved,
		.no_room = row->no_room,
		.wanted = (double)row->retries + row->denied,
	};

	if (row->ranked)
		rnk_count(ranks, row->rank, &n, now_us);
}

void lod_record_requests(struct lod *lod, const char *service,
			 const struct lod_service_counts *counts)
{
	struct lod_service_counts row = *counts;

	row.service = lod_name_hash(service);
	lod_add_service_counts(lod->service_counts, &row);
	lod->changed = true;
	if (row.ranked)
		count_rank(&service_stats_of(lod, row.service)->own_ranks, &row,
			   fs_now_us());
}

struct rnk *lod_ranks(struct lod *lod, const char *service, int64_t now_us)
{
	struct lod_service_stats *stats =
		service_stats_of(lod, lod_name_hash(service));

	struct rnk *ranks = lod_is_current(lod, now_us) ? &stats->ranks :
							  &stats->own_ranks;

	rnk_advance(ranks, now_us);
	return ranks;
}

double lod_retry_budget_left(struct lod *lod, const char *service,
			     const struct bud_rule *rule, int64_t now_us)
{
	struct bud_rule usable = *rule;

	usable.ratio *= BUDGET_USABLE_SHARE;
	usable.slack *= BUDGET_USABLE_SHARE;
	return bud_retries_left(
		&service_stats_of(lod, lod_name_hash(service))->budget, &usable,
		1, now_us);
}

double lod_retry_share(struct lod *lod, const char *service, uint32_t rank,
		       double own_left, int64_t now_us)
{
	struct lod_service_stats *stats =
		service_stats_of(lod, lod_name_hash(service));
	struct rnk_budget budget = {
		.left = own_left,
		.horizon_us = lod->rule.window_us / HORIZON_DIVISOR,
	};

	if (!lod_is_current(lod, now_us))
		return rnk_retry_share(&stats->own_ranks, rank, &budget,
				       now_us);
	budget.left = lod_retry_budget_left(lod, service, &lod->rule, now_us);
	budget.expiring = bud_expiring_retries(&stats->budget, &lod->rule,
					       budget.horizon_us, now_us);
	return rnk_retry_share(&stats->ranks, rank, &budget, now_us);
}

double lod_request_rate(struct lod *lod, const char *service, int64_t now_us)
{
	return bud_request_rate(
		&service_stats_of(lod, lod_name_hash(service))->budget,
		&lod->rule, now_us);
}

double lod_unserved_share(const struct lod *lod, const char *service)
{
	const struct lod_service_stats *stats = g_hash_table_lookup(
		lod->service_stats, GUINT_TO_POINTER(lod_name_hash(service)));

	return stats ? stats->unserved : 0.0;
}

void lod_service_apply(struct lod *lod, const struct lod_service_counts *counts,
		       int64_t now_us)
{
	struct lod_service_stats *stats =
		service_stats_of(lod, counts->service);

	double weight = 1.0 / CLAMP(bud_request_rate(&stats->budget, &lod->rule,
						     now_us),
				    UNSERVED_WINDOW_MIN, UNSERVED_WINDOW_MAX);

	for (uint32_t i = 0; i < counts->requests; i++)
		stats->unserved -= weight * stats->unserved;
	stats->unserved += weight * counts->unserved;
	for (uint32_t i = 0; i < counts->requests; i++)
		bud_count_request(&stats->budget, &lod->rule, now_us);
	for (uint32_t i = 0; i < counts->retries; i++)
		bud_count_retry(&stats->budget, &lod->rule, now_us);
	count_rank(&stats->ranks, counts, now_us);
}
