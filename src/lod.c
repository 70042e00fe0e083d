#include "lod_impl.h"

void lod_start_packet(struct lod *lod, struct lod_packet *packet,
		      enum lod_type type)
{
	lod_packet_init(packet, type);
	packet->sender = lod->node->self;
	packet->incarnation = lod->node->incarnation;
	packet->serial = ++lod->serial;
	packet->domain = lod->domain;
}

void lod_in_flight_changed(struct lod *lod, struct dir_target *target)
{
	lod->changed = true;
	g_hash_table_add(lod->unreported_targets,
			 GUINT_TO_POINTER(target->hash));
}

void lod_record_outcome(struct lod *lod, struct dir_target *target,
			enum gry_outcome outcome, int64_t latency_us)
{
	struct lod_evidence e = {
		.origin = lod->node->self,
		.target = target->hash,
		.outcome = outcome,
		.count = 1,
		.latency_sum_us = outcome == GRY_SUCCESS ? latency_us : 0,
	};

	int64_t now_us = fs_now_us();

	lod->changed = true;
	lod_evidence_enqueue(lod, &lod->evidence, &e);
	lod_evidence_apply(lod, &e, true);
	if (outcome == GRY_SUCCESS || outcome == GRY_FULL)
		return;
	lod->urgent = true;
	lod_schedule_flush(
		lod, lod->reported_us + LOD_URGENT_REPORT_INTERVAL_US, now_us);
}

bool lod_is_current(const struct lod *lod, int64_t now_us)
{
	return (lod->view && lod_hub_is_active(lod, now_us)) ||
	       now_us - lod->hub_last_rx_us < LOD_HUB_TIMEOUT_US;
}

int64_t lod_counts_age_us(const struct lod *lod, int64_t now_us)
{
	return now_us - lod->counts_rx_us + lod->counts_lag_us +
	       LOD_COUNTS_DELAY_US;
}

/* Sets the in-flight requests of other nodes at a target: the sum over all
 * domains less this node's. */
static void update_others(struct lod *lod, uint32_t hash)
{
	struct dir_target *target = dir_target_by_hash(lod->dir, hash);
	uint32_t own = GPOINTER_TO_UINT(g_hash_table_lookup(
		lod->reported_counts, GUINT_TO_POINTER(hash)));
	uint32_t total = 0;
	GHashTableIter iter;
	void *value;

	if (!target)
		return;
	g_hash_table_iter_init(&iter, lod->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		total += lod_counts_get(&((struct lod_domain *)value)->counts,
					hash);
	bal_target_get(target, fs_now_us())->others = total - MIN(own, total);
}

static void record_last_send(struct lod *lod, const struct lod_target_count *c,
			     int64_t now_us)
{
	struct dir_target *target = dir_target_by_hash(lod->dir, c->target);
	struct bal_target *state;

	if (!target || c->sent_ago_us >= LOD_SENT_AGO_MAX_US)
		return;
	state = bal_target_get(target, now_us);
	state->sent_us = MAX(state->sent_us, now_us - c->sent_ago_us);
}

static struct lod_domain *domain_of(struct lod *lod, uint32_t hash)
{
	void *key = GUINT_TO_POINTER(hash);
	struct lod_domain *domain = g_hash_table_lookup(lod->domains, key);

	if (!domain) {
		domain = g_new0(struct lod_domain, 1);
		domain->hash = hash;
		lod_counts_init(&domain->counts);
		g_hash_table_insert(lod->domains, key, domain);
	}
	return domain;
}

static bool is_outdated_digest(const struct lod_domain *domain,
			       const struct lod_packet *packet)
{
	return domain->hub == packet->sender &&
	       (domain->incarnation > packet->incarnation ||
		(domain->incarnation == packet->incarnation &&
		 (int32_t)(packet->serial - domain->serial) <= 0));
}

/* Notifies the feed task of another node's feed state. */
static void notify_feed(struct lod *lod, const struct lod_packet *packet)
{
	node_id reader = packet->feed.reader ? packet->feed.reader :
					       packet->sender;
	struct msg *m;

	if (reader == lod->node->self)
		return;
	m = msg_new(MSG_FEED_HEARTBEAT, lod->node->self, MSG_TASK_CONFIG);
	m->feed_heartbeat.digest = packet->feed.digest;
	m->feed_heartbeat.config_version = packet->feed.config_version;
	m->feed_heartbeat.era = packet->feed.era;
	m->feed_heartbeat.fresh = packet->feed.fresh;
	m->feed_heartbeat.local = packet->domain == lod->domain;
	m->feed_heartbeat.reader = reader;
	bus_send(lod->node->bus, m);
}

void lod_apply_digest(struct lod *lod, const struct lod_packet *packet,
		      int64_t now_us)
{
	struct lod_domain *domain = domain_of(lod, packet->domain);

	if (is_outdated_digest(domain, packet))
		return;
	notify_feed(lod, packet);
	domain->hub = packet->sender;
	domain->incarnation = packet->incarnation;
	domain->serial = packet->serial;
	if (packet->domain == lod->domain && packet->sender != lod->node->self)
		lod->hub_last_rx_us = now_us;
	lod_quota_heard(lod, packet->domain, now_us);
	for (guint i = 0; i < packet->counts->len; i++) {
		const struct lod_target_count *c = &g_array_index(
			packet->counts, struct lod_target_count, i);

		lod_counts_put(&domain->counts, c->target, c->requests, now_us);
		update_others(lod, c->target);
		record_last_send(lod, c, now_us);
	}
	if (packet->domain == lod->domain) {
		lod->counts_rx_us = now_us;
		lod->counts_lag_us = lod_counts_lag_us(&domain->counts,
						       packet->counts->len,
						       LOD_DIGEST_INTERVAL_US);
	}
	for (guint i = 0; i < packet->evidence->len; i++) {
		const struct lod_evidence *e = &g_array_index(
			packet->evidence, struct lod_evidence, i);

		if (e->origin != lod->node->self)
			lod_evidence_apply(lod, e, false);
	}
	for (guint i = 0; i < packet->service_counts->len; i++)
		lod_service_apply(lod,
				  &g_array_index(packet->service_counts,
						 struct lod_service_counts, i),
				  now_us);
}

static void expire_counts(struct lod *lod, int64_t now_us)
{
	g_autoptr(GArray) expired = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, lod->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lod_counts_expire(&((struct lod_domain *)value)->counts,
				  now_us - LOD_COUNT_EXPIRY_US, expired);
	for (guint i = 0; i < expired->len; i++)
		update_others(lod, g_array_index(expired, uint32_t, i));
	ctr_count(lod->node->ctr, "lod_counts_lapsed", expired->len);
}

/* A target without requests is reported once, for the time of its last send. */
static void add_own_counts(struct lod *lod, struct lod_packet *packet,
			   int64_t now_us)
{
	GHashTableIter iter;
	void *hash;

	g_hash_table_remove_all(lod->reported_counts);
	g_hash_table_iter_init(&iter, lod->unreported_targets);
	while (g_hash_table_iter_next(&iter, &hash, NULL)) {
		struct dir_target *target =
			dir_target_by_hash(lod->dir, GPOINTER_TO_UINT(hash));
		struct lod_target_count c = {.target = GPOINTER_TO_UINT(hash)};

		if (!target) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (packet->counts->len >= LOD_COUNTS_MAX) {
			ctr_add(lod->node->ctr, lod->counts_left, 1);
			continue;
		}
		c.requests = bal_target_get(target, now_us)->own;
		c.sent_ago_us =
			now_us - bal_target_get(target, now_us)->sent_us;
		g_array_append_val(packet->counts, c);
		if (c.requests)
			g_hash_table_insert(lod->reported_counts, hash,
					    GUINT_TO_POINTER(c.requests));
		else
			g_hash_table_iter_remove(&iter);
	}
}

static void send_report(struct lod *lod, int64_t now_us)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	lod_start_packet(lod, &packet, LOD_REPORT);
	add_own_counts(lod, &packet, now_us);
	lod_queue_dequeue(&lod->evidence, packet.evidence, LOD_EVIDENCE_MAX);
	lod_service_move_counts(lod->service_counts, packet.service_counts);
	if (now_us - lod->feeds.own_us < LOD_FEED_MAX_AGE_US)
		packet.feed = lod->feeds.own;
	if (lod->hubs[0] == lod->node->self || lod->hubs[1] == lod->node->self)
		lod_hub_receive_report(lod, &packet, now_us);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, now_us, data)) {
		lod_send_to_node(lod, data, lod->hubs[0]);
		lod_send_to_node(lod, data, lod->hubs[1]);
	}
	lod_packet_clear(&packet);
	lod->changed = lod_queue_pending(&lod->evidence) > 0;
	lod->urgent = lod->changed;
	lod->reported_us = now_us;
}

static int64_t report_interval_us(const struct lod *lod)
{
	if (lod->urgent)
		return 0;
	if (!lod->changed)
		return LOD_REFRESH_INTERVAL_US;
	return MAX(LOD_REPORT_INTERVAL_US,
		   lod->domain_nodes * LOD_REPORT_INTERVAL_PER_NODE_US);
}

/* Returns the earlier time; 0: never. */
static int64_t sooner(int64_t a_us, int64_t b_us)
{
	return !a_us || (b_us && b_us < a_us) ? b_us : a_us;
}

/* Sends failures before the next tick: reports them, and broadcasts them as a
 * hub. */
static void on_flush(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct lod *lod = timer->data;
	int64_t now_us = fs_now_us();
	int64_t next_us;

	(void)loop;
	(void)events;
	if (!lod->view)
		return;
	if (lod->urgent)
		send_report(lod, now_us);
	next_us = lod_hub_flush(lod, now_us);
	next_us = sooner(next_us, lod_statement_flush(lod, now_us));
	next_us = sooner(next_us, lod_quota_flush(lod, now_us));
	if (lod->urgent)
		next_us = now_us + LOD_URGENT_REPORT_INTERVAL_US;
	if (next_us)
		lod_schedule_flush(lod, next_us, now_us);
}

void lod_schedule_flush(struct lod *lod, int64_t at_us, int64_t now_us)
{
	if (ev_is_active(&lod->flush_timer))
		return;
	ev_timer_set(&lod->flush_timer,
		     (double)MAX(at_us - now_us, 0) / FS_US_PER_S, 0.0);
	ev_timer_start(lod->node->loop, &lod->flush_timer);
}

static void on_tick(void *task, int64_t now_us)
{
	struct lod *lod = task;

	lod_quota_tick(lod, now_us);
	if (!lod->view)
		return;
	expire_counts(lod, now_us);
	if ((lod->changed || g_hash_table_size(lod->unreported_targets)) &&
	    now_us - lod->reported_us >= report_interval_us(lod))
		send_report(lod, now_us);
	lod_hub_tick(lod, now_us);
	lod_statement_flush(lod, now_us);
}

/* The hub learns at once that this node became a reader. */
static void set_own_feed(struct lod *lod, const struct msg_feed_heartbeat *m,
			 int64_t now_us)
{
	bool was = lod->feeds.own.fresh &&
		   now_us - lod->feeds.own_us < LOD_FEED_MAX_AGE_US;

	lod->feeds.own.digest = m->digest;
	lod->feeds.own.config_version = m->config_version;
	lod->feeds.own.era = m->era;
	lod->feeds.own.fresh = m->fresh;
	lod->feeds.own_us = now_us;
	if (!m->fresh || !lod->view || lod->hubs[0] == lod->node->self)
		return;
	lod->changed = true;
	if (!was)
		send_report(lod, now_us);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct lod *lod = task;

	if (m->type == MSG_FEED_HEARTBEAT)
		set_own_feed(lod, &m->feed_heartbeat, now_us);
	if (m->type != MSG_VIEW)
		return;
	mem_view_unref(lod->view);
	lod->view = mem_view_ref(m->view.view);
	lod_hub_select(lod);
}

static const struct bus_task_ops ops = {
	.name = "load",
	.receive = receive,
};

static void peer_free(void *data)
{
	struct lod_peer *peer = data;

	g_hash_table_unref(peer->counts);
	g_free(peer);
}

static void domain_free(void *data)
{
	struct lod_domain *domain = data;

	lod_counts_clear(&domain->counts);
	g_free(domain);
}

static void make_tables(struct lod *lod)
{
	lod->reported_counts = g_hash_table_new(NULL, NULL);
	lod->unreported_targets = g_hash_table_new(NULL, NULL);
	lod_queue_init(&lod->evidence);
	lod->service_counts = lod_service_counts_new();
	lod->statements = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	lod->hub_statements = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	lod->domains = g_hash_table_new_full(NULL, NULL, NULL, domain_free);
	lod->forwarded = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	lod->path_fault_shares = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, g_free);
	lod->mean_latencies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lod->service_stats = lod_service_stats_new();
	lod->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   peer_free);
	lod->last_broadcasts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	lod_queue_init(&lod->hub_evidence);
	lod->hub_service_counts = lod_service_counts_new();
}

struct lod *lod_new(struct node *node, struct dir *dir)
{
	struct lod *lod = g_new0(struct lod, 1);

	lod->node = node;
	lod->dir = dir;
	if (lod_net_open(lod)) {
		g_free(lod);
		return NULL;
	}
	lod->domain = lod_name_hash(node->set.domain);
	lod->rule = (struct bud_rule){
		.ratio = node->set.retry_ratio,
		.slack = node->set.retry_slack,
		.window_us = node->set.retry_window_us,
	};
	make_tables(lod);
	lod_quota_open(lod, fs_now_us());
	ev_timer_init(&lod->flush_timer, on_flush, 0.0, 0.0);
	lod->flush_timer.data = lod;
	lod->sent = ctr_counter(node->ctr, "lod_sent_datagrams");
	lod->received = ctr_counter(node->ctr, "lod_received_datagrams");
	lod->counts_left = ctr_counter(node->ctr, "lod_counts_left");
	lod->refused = ctr_counter(node->ctr, "lod_refused_datagrams");
	bus_attach(node->bus, MSG_TASK_LOAD, &ops, lod);
	node_add_tick(node, on_tick, lod);
	return lod;
}

void lod_free(struct lod *lod)
{
	if (!lod)
		return;
	ev_timer_stop(lod->node->loop, &lod->flush_timer);
	lod_net_close(lod);
	lod_quota_close(lod);
	node_remove_tick(lod->node, lod);
	g_hash_table_unref(lod->reported_counts);
	g_hash_table_unref(lod->unreported_targets);
	lod_queue_clear(&lod->evidence);
	g_hash_table_unref(lod->service_counts);
	g_hash_table_unref(lod->statements);
	g_hash_table_unref(lod->hub_statements);
	g_hash_table_unref(lod->domains);
	g_hash_table_unref(lod->forwarded);
	g_hash_table_unref(lod->path_fault_shares);
	g_hash_table_unref(lod->mean_latencies);
	g_hash_table_unref(lod->service_stats);
	g_hash_table_unref(lod->peers);
	g_hash_table_unref(lod->last_broadcasts);
	lod_queue_clear(&lod->hub_evidence);
	g_hash_table_unref(lod->hub_service_counts);
	mem_view_unref(lod->view);
	g_free(lod);
}
