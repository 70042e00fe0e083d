#include "lod_impl.h"

void lod_hub_select(struct lod *lod)
{
	lod->domain_nodes =
		mem_view_hubs(lod->view, lod->node->set.domain, lod->hubs);
}

bool lod_is_hub(const struct lod *lod)
{
	return lod->hubs[0] == lod->node->self ||
	       lod->hubs[1] == lod->node->self;
}

bool lod_hub_is_active(const struct lod *lod, int64_t now_us)
{
	if (lod->hubs[0] == lod->node->self)
		return true;
	return lod->hubs[1] == lod->node->self &&
	       now_us - lod->hub_last_rx_us > LOD_HUB_TIMEOUT_US;
}

/* Returns the interval between digests while failures wait. */
static int64_t urgent_interval_us(const struct lod *lod)
{
	return MAX(LOD_URGENT_DIGEST_INTERVAL_US,
		   lod->domain_nodes * LOD_URGENT_DIGEST_PER_NODE_US);
}

static struct lod_peer *peer_of(struct lod *lod, node_id id)
{
	struct lod_peer *peer = g_hash_table_lookup(lod->peers, &id);

	if (!peer) {
		peer = g_new0(struct lod_peer, 1);
		peer->counts = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(lod->peers, g_memdup2(&id, sizeof(id)),
				    peer);
	}
	return peer;
}

static struct lod_last_broadcast *last_broadcast_of(struct lod *lod,
						    void *target)
{
	struct lod_last_broadcast *last =
		g_hash_table_lookup(lod->last_broadcasts, target);

	if (!last) {
		last = g_new0(struct lod_last_broadcast, 1);
		last->sent_us = INT64_MIN / 2;
		g_hash_table_insert(lod->last_broadcasts, target, last);
	}
	return last;
}

static void record_reported_send(struct lod *lod,
				 const struct lod_target_count *c,
				 int64_t now_us)
{
	struct lod_last_broadcast *last;

	if (c->sent_ago_us >= LOD_SENT_AGO_MAX_US)
		return;
	last = last_broadcast_of(lod, GUINT_TO_POINTER(c->target));
	last->sent_us = MAX(last->sent_us, now_us - c->sent_ago_us);
}

void lod_hub_receive_report(struct lod *lod, const struct lod_packet *packet,
			    int64_t now_us)
{
	struct lod_peer *peer = peer_of(lod, packet->sender);

	/* Datagrams may arrive out of order. */
	if (peer->incarnation > packet->incarnation ||
	    (peer->incarnation == packet->incarnation &&
	     (int32_t)(packet->serial - peer->serial) <= 0))
		return;
	peer->incarnation = packet->incarnation;
	peer->serial = packet->serial;
	peer->last_rx_us = now_us;
	if (packet->sender != lod->node->self)
		lod_feed_report(&lod->feeds, &packet->feed, packet->sender,
				now_us);
	g_hash_table_remove_all(peer->counts);
	for (guint i = 0; i < packet->counts->len; i++) {
		const struct lod_target_count *c = &g_array_index(
			packet->counts, struct lod_target_count, i);

		if (c->requests)
			g_hash_table_insert(peer->counts,
					    GUINT_TO_POINTER(c->target),
					    GUINT_TO_POINTER(c->requests));
		record_reported_send(lod, c, now_us);
	}
	for (guint i = 0; i < packet->evidence->len; i++) {
		const struct lod_evidence *e = &g_array_index(
			packet->evidence, struct lod_evidence, i);

		if (lod_evidence_is_reliable(lod, e))
			lod_evidence_enqueue(lod, &lod->hub_evidence, e);
	}
	if (lod_queue_pending(&lod->hub_evidence))
		lod_schedule_flush(
			lod, lod->digest_us + urgent_interval_us(lod), now_us);
	for (guint i = 0; i < packet->service_counts->len; i++)
		lod_add_service_counts(lod->hub_service_counts,
				       &g_array_index(packet->service_counts,
						      struct lod_service_counts,
						      i));
}

static void add_counts(GHashTable *totals, GHashTable *counts)
{
	GHashTableIter iter;
	void *target;
	void *requests;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &target, &requests)) {
		guint sum =
			GPOINTER_TO_UINT(g_hash_table_lookup(totals, target));

		g_hash_table_insert(
			totals, target,
			GUINT_TO_POINTER(sum + GPOINTER_TO_UINT(requests)));
	}
}

static GHashTable *total_counts(struct lod *lod, int64_t now_us)
{
	GHashTable *totals = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, lod->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lod_peer *peer = value;

		if (now_us - peer->last_rx_us > LOD_COUNT_EXPIRY_US)
			g_hash_table_iter_remove(&iter);
		else
			add_counts(totals, peer->counts);
	}
	return totals;
}

/* Adds a count that changed or is due to be resent. */
static void add_if_due(struct lod *lod, GArray *pending, void *target,
		       uint32_t requests, int64_t now_us)
{
	const struct lod_last_broadcast *last = last_broadcast_of(lod, target);
	struct lod_pending_count w = {
		.target = GPOINTER_TO_UINT(target),
		.requests = requests,
		.broadcast_us = last->at_us,
	};

	if (last->requests != requests || last->sent_us > last->at_us ||
	    now_us - last->at_us >= LOD_REFRESH_INTERVAL_US)
		g_array_append_val(pending, w);
}

static void find_pending(struct lod *lod, GArray *pending, int64_t now_us)
{
	g_autoptr(GHashTable) totals = total_counts(lod, now_us);
	GHashTableIter iter;
	void *target;
	void *value;

	g_hash_table_iter_init(&iter, totals);
	while (g_hash_table_iter_next(&iter, &target, &value))
		add_if_due(lod, pending, target, GPOINTER_TO_UINT(value),
			   now_us);
	/* A target without requests is broadcast once, then removed after
	 * LOD_REFRESH_INTERVAL_US. */
	g_hash_table_iter_init(&iter, lod->last_broadcasts);
	while (g_hash_table_iter_next(&iter, &target, &value)) {
		struct lod_last_broadcast *last = value;

		if (g_hash_table_contains(totals, target))
			continue;
		if (last->requests || last->sent_us > last->at_us)
			add_if_due(lod, pending, target, 0, now_us);
		else if (now_us - last->at_us >= LOD_REFRESH_INTERVAL_US)
			g_hash_table_iter_remove(&iter);
	}
}

static void add_due_counts(struct lod *lod, struct lod_packet *packet,
			   int64_t now_us)
{
	g_autoptr(GArray) pending =
		g_array_new(FALSE, FALSE, sizeof(struct lod_pending_count));

	find_pending(lod, pending, now_us);
	ctr_add(lod->node->ctr, lod->counts_left,
		lod_counts_select_oldest(pending, LOD_COUNTS_MAX));
	for (guint i = 0; i < pending->len; i++) {
		const struct lod_pending_count *w =
			&g_array_index(pending, struct lod_pending_count, i);
		struct lod_last_broadcast *last =
			last_broadcast_of(lod, GUINT_TO_POINTER(w->target));
		struct lod_target_count c = {
			.target = w->target,
			.requests = w->requests,
			.sent_ago_us = now_us - last->sent_us,
		};

		last->requests = w->requests;
		last->at_us = now_us;
		g_array_append_val(packet->counts, c);
	}
}

/* Standbys forward no digests while they are passive. */
void lod_send_to_other_hubs(struct lod *lod, const GByteArray *data)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_add(seen, lod->node->set.domain);
	for (uint32_t i = 0; i < lod->view->count; i++) {
		const char *domain = lod->view->members[i].domain;
		node_id hubs[2];

		if (!g_hash_table_add(seen, (void *)domain))
			continue;
		mem_view_hubs(lod->view, domain, hubs);
		lod_send_to_node(lod, data, hubs[0]);
		if (lod->digests_sent % LOD_STANDBY_DIGEST_RATIO == 0)
			lod_send_to_node(lod, data, hubs[1]);
	}
}

static void broadcast_digest(struct lod *lod, int64_t now_us)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	lod_start_packet(lod, &packet, LOD_DIGEST);
	packet.feed = lod_feed_select(&lod->feeds, now_us);
	add_due_counts(lod, &packet, now_us);
	lod_queue_dequeue(&lod->hub_evidence, packet.evidence,
			  LOD_EVIDENCE_MAX);
	lod_service_move_counts(lod->hub_service_counts, packet.service_counts);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, now_us, data)) {
		lod_broadcast_domain(lod, data);
		lod_send_to_other_hubs(lod, data);
		lod->digests_sent++;
	}
	lod_apply_digest(lod, &packet, now_us);
	lod_packet_clear(&packet);
	lod->digest_us = now_us;
}

void lod_hub_tick(struct lod *lod, int64_t now_us)
{
	if (!lod_is_hub(lod))
		return;
	/* While passive, the standby drops what the active hub broadcasts. */
	if (!lod_hub_is_active(lod, now_us)) {
		lod_queue_discard(&lod->hub_evidence);
		g_hash_table_remove_all(lod->hub_service_counts);
		return;
	}
	lod_log_service_use(lod, now_us);
	if (now_us - lod->digest_us >= LOD_DIGEST_INTERVAL_US)
		broadcast_digest(lod, now_us);
}

int64_t lod_hub_flush(struct lod *lod, int64_t now_us)
{
	int64_t due_us = lod->digest_us + urgent_interval_us(lod);

	if (!lod_is_hub(lod) || !lod_hub_is_active(lod, now_us) ||
	    !lod_queue_pending(&lod->hub_evidence))
		return 0;
	if (now_us < due_us)
		return due_us;
	broadcast_digest(lod, now_us);
	return lod_queue_pending(&lod->hub_evidence) ?
		       now_us + urgent_interval_us(lod) :
		       0;
}
