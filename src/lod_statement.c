#include "lod_impl.h"

#include "fs_log.h"

static struct lod_statement *row_of(GHashTable *table, uint32_t target)
{
	void *key = GUINT_TO_POINTER(target);
	struct lod_statement *row = g_hash_table_lookup(table, key);

	if (!row) {
		row = g_new0(struct lod_statement, 1);
		row->target = target;
		row->stated_us = INT64_MIN / 2;
		g_hash_table_insert(table, key, row);
	}
	return row;
}

/* Adds a row to those that wait: sends add up, the newest word on a limit counts. */
static void merge_row(GHashTable *table, const struct lod_statement *from)
{
	struct lod_statement *row = row_of(table, from->target);

	row->sends += from->sends;
	row->stm.leaving |= from->stm.leaving;
	if (from->stm.limit == STM_LIMIT_UNKNOWN ||
	    from->stated_us < row->stated_us)
		return;
	row->stated_us = from->stated_us;
	row->stm.limit = from->stm.limit;
	row->stm.limit_per_s = from->stm.limit_per_s;
}

static void log_change(struct lod *lod, const struct dir_target *target,
		       const struct stm *stm, bool own)
{
	ctr_count(lod->node->ctr, "lod_statements_changed", 1);
	fs_log_eventf("lod", G_LOG_LEVEL_INFO, "target_statement",
		      "\"target\":\"%s\",\"service\":\"%s\",\"limited\":%s,"
		      "\"per_s\":%.3f,\"leaving\":%s,\"source\":\"%s\"",
		      target->entry.id, target->entry.service,
		      stm->limit == STM_LIMIT_NAMED ? "true" : "false",
		      stm->limit_per_s, stm->leaving ? "true" : "false",
		      own ? "own" : "peer");
}

void lod_record_statement(struct lod *lod, struct dir_target *target,
			  const struct stm *stm, int64_t now_us)
{
	struct tst *tst = &bal_target_get(target, now_us)->tst;
	struct lod_statement row = {
		.target = target->hash,
		.stm = *stm,
		.stated_us = now_us,
	};
	bool changed;

	if (stm->retry_after_us > 0)
		fs_log_eventf("lod", G_LOG_LEVEL_INFO, "target_not_before",
			      "\"target\":\"%s\",\"service\":\"%s\","
			      "\"retry_after_ms\":%lld",
			      target->entry.id, target->entry.service,
			      (long long)(stm->retry_after_us / FS_US_PER_MS));
	changed = tst_apply(tst, stm, true, now_us, now_us);
	if (changed)
		log_change(lod, target, stm, true);
	/* Also while nothing changes: the newest word holds, and others may have
	 * missed the change. */
	if (!changed && !tst->limit.named && !tst->leaving)
		return;
	merge_row(lod->statements, &row);
	lod_schedule_flush(lod, now_us + LOD_URGENT_REPORT_INTERVAL_US, now_us);
}

void lod_record_send(struct lod *lod, struct dir_target *target, int64_t now_us)
{
	struct lim *lim = &bal_target_get(target, now_us)->tst.limit;

	if (!lim->named)
		return;
	lim_send(lim, now_us);
	row_of(lod->statements, target->hash)->sends++;
	lod_schedule_flush(lod, now_us + LOD_URGENT_REPORT_INTERVAL_US, now_us);
}

/* Moves rows to a packet, as far as they fit. */
static void move_rows(GHashTable *table, struct lod_packet *packet)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, table);
	while (packet->statements->len < LOD_STATEMENTS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		g_array_append_val(packet->statements,
				   *(struct lod_statement *)value);
		g_hash_table_iter_remove(&iter);
	}
}

static void receive_rows(struct lod *lod, const struct lod_packet *packet)
{
	for (guint i = 0; i < packet->statements->len; i++)
		merge_row(lod->hub_statements,
			  &g_array_index(packet->statements,
					 struct lod_statement, i));
}

static void apply_row(struct lod *lod, const struct lod_statement *row,
		      bool local, int64_t now_us)
{
	struct dir_target *target = dir_target_by_hash(lod->dir, row->target);
	struct stm stm = row->stm;
	struct tst *tst;

	if (!target)
		return;
	tst = &bal_target_get(target, now_us)->tst;
	if (row->stated_us <= now_us - LOD_STATED_AGO_MAX_US)
		stm.limit = STM_LIMIT_UNKNOWN;
	if (tst_apply(tst, &stm, false, row->stated_us, now_us))
		log_change(lod, target, &stm, false);
	lim_report(&tst->limit, row->sends, local, now_us);
}

static void apply_rows(struct lod *lod, const struct lod_packet *packet,
		       int64_t now_us)
{
	for (guint i = 0; i < packet->statements->len; i++)
		apply_row(lod,
			  &g_array_index(packet->statements,
					 struct lod_statement, i),
			  packet->domain == lod->domain, now_us);
}

/* Returns the interval between digests of statements: it grows with the domain, to each
 * node of which a hub sends them. */
static int64_t digest_interval_us(const struct lod *lod)
{
	return LOD_STATEMENT_INTERVAL_US +
	       lod->domain_nodes * LOD_STATEMENT_PER_NODE_US;
}

int64_t lod_statement_delay_us(const struct lod *lod)
{
	return LOD_URGENT_REPORT_INTERVAL_US + digest_interval_us(lod) +
	       LOD_STATEMENT_TRANSIT_US;
}

static void send_report(struct lod *lod, int64_t now_us)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	lod_start_packet(lod, &packet, LOD_STATEMENT_REPORT);
	move_rows(lod->statements, &packet);
	if (lod_is_hub(lod))
		receive_rows(lod, &packet);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, now_us, data)) {
		lod_send_to_node(lod, data, lod->hubs[0]);
		lod_send_to_node(lod, data, lod->hubs[1]);
	}
	lod_packet_clear(&packet);
}

static void broadcast_digest(struct lod *lod, int64_t now_us)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	lod_start_packet(lod, &packet, LOD_STATEMENT_DIGEST);
	move_rows(lod->hub_statements, &packet);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, now_us, data)) {
		lod_broadcast_domain(lod, data);
		lod_send_to_other_hubs(lod, data);
	}
	apply_rows(lod, &packet, now_us);
	lod_packet_clear(&packet);
	lod->statement_digest_us = now_us;
}

int64_t lod_statement_flush(struct lod *lod, int64_t now_us)
{
	int64_t due_us = lod->statement_digest_us + digest_interval_us(lod);

	if (g_hash_table_size(lod->statements))
		send_report(lod, now_us);
	if (!lod_is_hub(lod) || !lod_hub_is_active(lod, now_us))
		g_hash_table_remove_all(lod->hub_statements);
	if (!g_hash_table_size(lod->hub_statements))
		return 0;
	if (now_us < due_us)
		return due_us;
	broadcast_digest(lod, now_us);
	return g_hash_table_size(lod->hub_statements) ?
		       now_us + digest_interval_us(lod) :
		       0;
}

void lod_statement_receive(struct lod *lod, const struct lod_packet *packet,
			   int64_t now_us)
{
	if (packet->type == LOD_STATEMENT_DIGEST) {
		apply_rows(lod, packet, now_us);
		return;
	}
	receive_rows(lod, packet);
	if (g_hash_table_size(lod->hub_statements))
		lod_schedule_flush(lod, now_us, now_us);
}
