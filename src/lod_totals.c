#include "lod_totals.h"

/* Hubs count a row as new to all for this long. */
#define YOUNG_US (2 * FS_US_PER_S)
/* A changed row is sent again for this long, as datagrams are lost. */
#define RESEND_US (3 * FS_US_PER_S)
#define EPOCH_USED (1U << 31) /* no epoch is zero */
#define SENT_UNUSED_US (10 * FS_US_PER_S)
#define RECEIVED_UNUSED_US (20 * FS_US_PER_S)

/** The last row of an organisation that was received. */
struct received {
	struct lod_quota row;
	/* of the epoch before: two hubs may believe that they are active */
	struct lod_quota before;
	int64_t at_us;
};

void lod_totals_init(struct lod_totals *totals, uint32_t epoch, bool hub)
{
	*totals = (struct lod_totals){.epoch = epoch, .hub = hub};
	totals->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
}

void lod_totals_clear(struct lod_totals *totals)
{
	g_clear_pointer(&totals->rows, g_hash_table_unref);
}

static void set_pending(struct lod_totals *totals, struct lod_total *total,
			bool pending)
{
	totals->pending += pending;
	totals->pending -= total->pending;
	total->pending = pending;
	if (pending)
		return;
	totals->low -= total->low;
	total->low = false;
}

void lod_totals_mark_low(struct lod_totals *totals, struct lod_total *total)
{
	if (total->low || !total->pending)
		return;
	total->low = true;
	totals->low++;
}

static struct lod_total *total_of(struct lod_totals *totals,
				  uint64_t organisation, int64_t now_us)
{
	struct lod_total *total =
		g_hash_table_lookup(totals->rows, &organisation);

	if (!total) {
		total = g_new0(struct lod_total, 1);
		total->row.organisation = organisation;
		total->row.epoch = ++totals->epoch | EPOCH_USED;
		total->began_us = now_us;
		total->sent_us = INT64_MIN / 2;
		g_hash_table_insert(totals->rows, &total->row.organisation,
				    total);
	}
	return total;
}

static void add_signed(uint64_t *total, int64_t n)
{
	*total = n < 0 && (uint64_t)-n > *total ? 0 : *total + (uint64_t)n;
}

struct lod_total *lod_totals_add(struct lod_totals *totals,
				 const struct lod_totals_change *change,
				 int64_t now_us)
{
	struct lod_total *total =
		total_of(totals, change->organisation, now_us);

	total->row.limit = change->limit;
	add_signed(&total->row.admitted, change->admitted);
	add_signed(&total->row.asked, change->asked);
	total->row.asked = MAX(total->row.asked, total->row.admitted);
	total->changed_us = now_us;
	set_pending(totals, total, true);
	return total;
}

void lod_totals_continue(struct lod_totals *totals, const struct lod_quota *row)
{
	struct lod_total *total =
		g_hash_table_lookup(totals->rows, &row->organisation);

	if (!total)
		return;
	total->row = *row;
	total->began_us = INT64_MIN / 2;
	total->sent_admitted = row->admitted;
	total->sent_asked = row->asked;
	set_pending(totals, total, false);
}

/* Returns what receivers that don't know a row have from others, or missed. */
static uint64_t known_part(const struct lod_totals *totals,
			   const struct lod_total *total, int64_t heard_us,
			   int64_t now_us)
{
	if (totals->hub)
		return now_us - total->began_us < YOUNG_US ?
			       0 :
			       total->row.admitted;
	return total->sent_us <= heard_us ? total->sent_admitted :
					    total->row.known;
}

static int by_urgency(const void *a, const void *b)
{
	const struct lod_total *x = *(struct lod_total *const *)a;
	const struct lod_total *y = *(struct lod_total *const *)b;

	if (x->low != y->low)
		return x->low ? -1 : 1;
	return x->sent_us < y->sent_us ? -1 : x->sent_us > y->sent_us;
}

void lod_totals_move(struct lod_totals *totals, GArray *out, bool low_only,
		     int64_t heard_us, int64_t now_us)
{
	g_autoptr(GPtrArray) pending = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, totals->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lod_total *total = value;

		if (total->low || (total->pending && !low_only))
			g_ptr_array_add(pending, value);
	}
	g_ptr_array_sort(pending, by_urgency);
	for (guint i = 0; i < pending->len && i < LOD_QUOTAS_MAX; i++) {
		struct lod_total *total = g_ptr_array_index(pending, i);

		total->row.known = known_part(totals, total, heard_us, now_us);
		total->row.low = total->low;
		g_array_append_val(out, total->row);
		total->sent_us = now_us;
		total->sent_admitted = total->row.admitted;
		total->sent_asked = total->row.asked;
		set_pending(totals, total, false);
	}
}

void lod_totals_sweep(struct lod_totals *totals, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, totals->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lod_total *total = value;
		int64_t unchanged_us = now_us - total->changed_us;

		if (unchanged_us <= RESEND_US)
			set_pending(totals, total, true);
		if (unchanged_us <= SENT_UNUSED_US)
			continue;
		set_pending(totals, total, false);
		g_hash_table_iter_remove(&iter);
	}
}

void lod_streams_init(struct lod_streams *streams)
{
	*streams = (struct lod_streams){.heard_us = INT64_MIN / 2};
	streams->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
}

void lod_streams_clear(struct lod_streams *streams)
{
	g_clear_pointer(&streams->rows, g_hash_table_unref);
}

bool lod_streams_accept(struct lod_streams *streams,
			const struct lod_packet *packet)
{
	if (streams->sender == packet->sender &&
	    (streams->incarnation > packet->incarnation ||
	     (streams->incarnation == packet->incarnation &&
	      (int32_t)(packet->serial - streams->serial) <= 0)))
		return false;
	streams->sender = packet->sender;
	streams->incarnation = packet->incarnation;
	streams->serial = packet->serial;
	return true;
}

static struct received *received_of(struct lod_streams *streams,
				    const struct lod_quota *row)
{
	struct received *last =
		g_hash_table_lookup(streams->rows, &row->organisation);

	if (!last) {
		last = g_new0(struct received, 1);
		last->row.organisation = row->organisation;
		g_hash_table_insert(streams->rows, &last->row.organisation,
				    last);
	}
	return last;
}

struct lod_totals_change lod_streams_receive(struct lod_streams *streams,
					     const struct lod_quota *row,
					     bool rebase, int64_t now_us)
{
	struct received *last = received_of(streams, row);
	struct lod_totals_change change = {.organisation = row->organisation,
					   .limit = row->limit};

	if (last->row.epoch != row->epoch) {
		const struct lod_quota other = last->row;

		last->row = last->before;
		last->before = other;
	}
	if (last->row.epoch == row->epoch) {
		change.admitted = (int64_t)(row->admitted - last->row.admitted);
		change.asked = (int64_t)(row->asked - last->row.asked);
	} else {
		change.admitted = (int64_t)(row->admitted - row->known);
		change.asked = row->known ? MAX(change.admitted, 0) :
					    (int64_t)row->asked;
	}
	if (rebase)
		change.admitted = change.asked = 0;
	last->row = *row;
	last->at_us = now_us;
	return change;
}

const struct lod_quota *lod_streams_find(const struct lod_streams *streams,
					 uint64_t organisation)
{
	const struct received *last =
		g_hash_table_lookup(streams->rows, &organisation);

	return last ? &last->row : NULL;
}

void lod_streams_sweep(struct lod_streams *streams, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, streams->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now_us - ((struct received *)value)->at_us >
		    RECEIVED_UNUSED_US)
			g_hash_table_iter_remove(&iter);
}
