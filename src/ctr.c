#include "ctr.h"

#include <math.h>
#include <string.h>

#include "fs_log.h"

#define SUB_BITS 3 /* eight buckets per power of two */

/** One histogram: counts per bucket. */
struct ctr_histogram {
	char *name;
	uint64_t count;
	uint64_t sum_us;
	uint64_t buckets[CTR_BUCKETS];
};

/** One counter. */
struct ctr_counter {
	char *name;
	uint64_t value;
};

struct ctr {
	GArray *counters;      /* struct ctr_counter */
	GPtrArray *histograms; /* struct ctr_histogram */
	GHashTable *counter_names;
	GHashTable *histogram_names;
};

struct ctr *ctr_new(void)
{
	struct ctr *ctr = g_new0(struct ctr, 1);

	ctr->counters = g_array_new(FALSE, TRUE, sizeof(struct ctr_counter));
	ctr->histograms = g_ptr_array_new();
	ctr->counter_names = g_hash_table_new(g_str_hash, g_str_equal);
	ctr->histogram_names = g_hash_table_new(g_str_hash, g_str_equal);
	return ctr;
}

void ctr_free(struct ctr *ctr)
{
	if (!ctr)
		return;
	g_hash_table_unref(ctr->counter_names);
	g_hash_table_unref(ctr->histogram_names);
	for (guint i = 0; i < ctr->counters->len; i++)
		g_free(g_array_index(ctr->counters, struct ctr_counter, i).name);
	for (guint i = 0; i < ctr->histograms->len; i++) {
		struct ctr_histogram *h = g_ptr_array_index(ctr->histograms, i);

		g_free(h->name);
		g_free(h);
	}
	g_array_unref(ctr->counters);
	g_ptr_array_unref(ctr->histograms);
	g_free(ctr);
}

handle ctr_counter(struct ctr *ctr, const char *name)
{
	struct ctr_counter counter = {0};
	void *found;

	if (g_hash_table_lookup_extended(ctr->counter_names, name, NULL,
					 &found))
		return GPOINTER_TO_UINT(found);
	if (ctr->counters->len == CTR_MAX - 1)
		name = "ctr_overflow";
	else if (ctr->counters->len >= CTR_MAX)
		return CTR_MAX - 1;
	counter.name = g_strdup(name);
	g_array_append_val(ctr->counters, counter);
	g_hash_table_insert(ctr->counter_names, counter.name,
			    GUINT_TO_POINTER(ctr->counters->len - 1));
	return ctr->counters->len - 1;
}

handle ctr_histogram(struct ctr *ctr, const char *name)
{
	struct ctr_histogram *histogram;
	void *found;

	if (g_hash_table_lookup_extended(ctr->histogram_names, name, NULL,
					 &found))
		return GPOINTER_TO_UINT(found);
	if (ctr->histograms->len == CTR_MAX - 1)
		name = "ctr_overflow";
	else if (ctr->histograms->len >= CTR_MAX)
		return CTR_MAX - 1;
	histogram = g_new0(struct ctr_histogram, 1);
	histogram->name = g_strdup(name);
	g_ptr_array_add(ctr->histograms, histogram);
	g_hash_table_insert(ctr->histogram_names, histogram->name,
			    GUINT_TO_POINTER(ctr->histograms->len - 1));
	return ctr->histograms->len - 1;
}

void ctr_add(struct ctr *ctr, handle counter, uint64_t n)
{
	g_array_index(ctr->counters, struct ctr_counter, counter).value += n;
}

uint64_t ctr_get(const struct ctr *ctr, handle counter)
{
	return g_array_index(ctr->counters, struct ctr_counter, counter).value;
}

void ctr_count(struct ctr *ctr, const char *name, uint64_t n)
{
	ctr_add(ctr, ctr_counter(ctr, name), n);
}

/* Values below 8 us have a bucket each; above, the top three bits after the
 * highest choose among the eight buckets of that power of two. */
static uint32_t bucket_of(int64_t us)
{
	uint64_t v = us < 0 ? 0 : (uint64_t)us;
	uint32_t top;
	uint32_t bucket;

	if (v < (1 << SUB_BITS))
		return (uint32_t)v;
	top = 63 - (uint32_t)__builtin_clzll(v);
	bucket = ((top - SUB_BITS + 1) << SUB_BITS) |
		 (uint32_t)((v >> (top - SUB_BITS)) & ((1 << SUB_BITS) - 1));
	return MIN(bucket, CTR_BUCKETS - 1);
}

static int64_t bucket_upper_us(uint32_t bucket)
{
	uint32_t power;
	int64_t mantissa;

	if (bucket < (1 << SUB_BITS))
		return bucket;
	power = (bucket >> SUB_BITS) - 1;
	mantissa = (1 << SUB_BITS) | (bucket & ((1 << SUB_BITS) - 1));
	return ((mantissa + 1) << power) - 1;
}

void ctr_observe(struct ctr *ctr, handle histogram, int64_t us)
{
	struct ctr_histogram *h = g_ptr_array_index(ctr->histograms, histogram);

	h->count++;
	h->sum_us += us < 0 ? 0 : (uint64_t)us;
	h->buckets[bucket_of(us)]++;
}

static int64_t quantile(const struct ctr_histogram *h, double q)
{
	uint64_t rank = (uint64_t)ceil(q * (double)h->count);
	uint64_t seen = 0;

	for (uint32_t i = 0; i < CTR_BUCKETS && h->count; i++) {
		seen += h->buckets[i];
		if (seen >= rank)
			return bucket_upper_us(i);
	}
	return 0;
}

int64_t ctr_quantile(const struct ctr *ctr, handle histogram, double q)
{
	return quantile(g_ptr_array_index(ctr->histograms, histogram), q);
}

void ctr_text(const struct ctr *ctr, GString *out)
{
	for (guint i = 0; i < ctr->counters->len; i++) {
		const struct ctr_counter *c =
			&g_array_index(ctr->counters, struct ctr_counter, i);

		g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n",
				       c->name, c->value);
	}
	for (guint i = 0; i < ctr->histograms->len; i++) {
		const struct ctr_histogram *h =
			g_ptr_array_index(ctr->histograms, i);

		g_string_append_printf(out,
				       "%s_count %" G_GUINT64_FORMAT
				       "\n%s_p50_us %" G_GINT64_FORMAT
				       "\n%s_p99_us %" G_GINT64_FORMAT "\n",
				       h->name, h->count, h->name,
				       quantile(h, 0.5), h->name,
				       quantile(h, 0.99));
	}
}

void ctr_json(const struct ctr *ctr, GString *out)
{
	g_string_append(out, "{\"counters\":{");
	for (guint i = 0; i < ctr->counters->len; i++) {
		const struct ctr_counter *c =
			&g_array_index(ctr->counters, struct ctr_counter, i);

		if (i)
			g_string_append_c(out, ',');
		fs_json_string(out, c->name);
		g_string_append_printf(out, ":%" G_GUINT64_FORMAT, c->value);
	}
	g_string_append(out, "},\"histograms\":{");
	for (guint i = 0; i < ctr->histograms->len; i++) {
		const struct ctr_histogram *h =
			g_ptr_array_index(ctr->histograms, i);

		if (i)
			g_string_append_c(out, ',');
		fs_json_string(out, h->name);
		g_string_append_printf(out,
				       ":{\"count\":%" G_GUINT64_FORMAT
				       ",\"sum_us\":%" G_GUINT64_FORMAT
				       ",\"p50_us\":%" G_GINT64_FORMAT
				       ",\"p99_us\":%" G_GINT64_FORMAT "}",
				       h->count, h->sum_us, quantile(h, 0.5),
				       quantile(h, 0.99));
	}
	g_string_append(out, "}}");
}
