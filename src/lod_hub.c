#include "lod_impl.h"

#include "shd.h"

static bool may_be_hub(const struct lod *lod, const struct mem_member *m)
{
	return m->state == MEM_ALIVE &&
	       lod_service_hash(m->domain) == lod->domain;
}

/* The two live members of the domain with the highest weights. */
void lod_hub_choose(struct lod *lod)
{
	uint64_t best[2] = {0, 0};
	uint64_t key = lod->domain;

	lod->hubs[0] = lod->hubs[1] = 0;
	lod->domain_nodes = 0;
	for (uint32_t i = 0; i < lod->view->count; i++) {
		const struct mem_member *m = &lod->view->members[i];
		uint64_t weight = shd_weight(key, m->id);

		if (!may_be_hub(lod, m))
			continue;
		lod->domain_nodes++;
		if (weight > best[0]) {
			lod->hubs[1] = lod->hubs[0];
			best[1] = best[0];
			lod->hubs[0] = m->id;
			best[0] = weight;
		} else if (weight > best[1]) {
			lod->hubs[1] = m->id;
			best[1] = weight;
		}
	}
}

static bool is_hub(const struct lod *lod)
{
	return lod->hubs[0] == lod->node->self ||
	       lod->hubs[1] == lod->node->self;
}

/* Returns the node that digests for another domain go to. */
static node_id hub_of(const struct lod *lod, uint32_t domain)
{
	uint64_t best = 0;
	node_id hub = 0;

	for (uint32_t i = 0; i < lod->view->count; i++) {
		const struct mem_member *m = &lod->view->members[i];
		uint64_t weight = shd_weight(domain, m->id);

		if (m->state == MEM_ALIVE &&
		    lod_service_hash(m->domain) == domain && weight > best) {
			best = weight;
			hub = m->id;
		}
	}
	return hub;
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

void lod_hub_report(struct lod *lod, const struct lod_packet *packet,
		    int64_t now_us)
{
	struct lod_peer *peer = peer_of(lod, packet->sender);

	/* Datagrams may overtake each other. */
	if (peer->incarnation > packet->incarnation ||
	    (peer->incarnation == packet->incarnation &&
	     (int32_t)(packet->serial - peer->serial) <= 0))
		return;
	peer->incarnation = packet->incarnation;
	peer->serial = packet->serial;
	peer->heard_us = now_us;
	g_hash_table_remove_all(peer->counts);
	for (guint i = 0; i < packet->counts->len; i++) {
		const struct lod_count *c =
			&g_array_index(packet->counts, struct lod_count, i);

		g_hash_table_insert(peer->counts, GUINT_TO_POINTER(c->target),
				    GUINT_TO_POINTER(c->requests));
	}
	for (guint i = 0; i < packet->evidence->len; i++) {
		const struct lod_evidence *e = &g_array_index(
			packet->evidence, struct lod_evidence, i);

		lod->hub_urgent |= e->outcome != GRY_GOOD;
		g_array_append_val(lod->hub_evidence, *e);
	}
	for (guint i = 0; i < packet->sends->len; i++)
		lod_add_sends(lod->hub_sends,
			      &g_array_index(packet->sends, struct lod_sends,
					     i));
}

static void add_counts(GHashTable *totals, GHashTable *counts)
{
	GHashTableIter iter;
	void *target;
	void *requests;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &target, &requests)) {
		guint sum = GPOINTER_TO_UINT(
			g_hash_table_lookup(totals, target));

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

		if (now_us - peer->heard_us > LOD_STALE_US)
			g_hash_table_iter_remove(&iter);
		else
			add_counts(totals, peer->counts);
	}
	return totals;
}

static struct lod_told *told_of(struct lod *lod, void *target)
{
	struct lod_told *told = g_hash_table_lookup(lod->told, target);

	if (!told) {
		told = g_new0(struct lod_told, 1);
		g_hash_table_insert(lod->told, target, told);
	}
	return told;
}

/* Tells what changed, and what was not told for a while. */
static void add_total(struct lod *lod, struct lod_packet *packet, void *target,
		      uint32_t requests, int64_t now_us)
{
	struct lod_told *told = told_of(lod, target);
	struct lod_count c = {GPOINTER_TO_UINT(target), requests};

	if ((told->requests == requests &&
	     now_us - told->at_us < LOD_REPEAT_US) ||
	    packet->counts->len >= LOD_COUNTS_MAX)
		return;
	told->requests = requests;
	told->at_us = now_us;
	g_array_append_val(packet->counts, c);
}

static void add_totals(struct lod *lod, struct lod_packet *packet,
		       int64_t now_us)
{
	g_autoptr(GHashTable) totals = total_counts(lod, now_us);
	GHashTableIter iter;
	void *target;
	void *value;

	g_hash_table_iter_init(&iter, totals);
	while (g_hash_table_iter_next(&iter, &target, &value))
		add_total(lod, packet, target, GPOINTER_TO_UINT(value), now_us);
	/* A target without requests is told once, then forgotten. */
	g_hash_table_iter_init(&iter, lod->told);
	while (g_hash_table_iter_next(&iter, &target, &value)) {
		struct lod_told *told = value;

		if (g_hash_table_contains(totals, target))
			continue;
		if (told->requests)
			add_total(lod, packet, target, 0, now_us);
		else if (now_us - told->at_us >= LOD_REPEAT_US)
			g_hash_table_iter_remove(&iter);
	}
}

static void move_rows(GArray *from, GArray *to, guint max)
{
	guint n = MIN(from->len, max);

	g_array_append_vals(to, from->data, n);
	if (n)
		g_array_remove_range(from, 0, n);
}

static void move_sends(GHashTable *from, GArray *to)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, from);
	while (to->len < LOD_SENDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lod_sends sends = *(struct lod_sends *)value;

		g_array_append_val(to, sends);
		g_hash_table_iter_remove(&iter);
	}
}

/* Sends a digest to this domain and to one hub of each other domain. */
static void publish(struct lod *lod, const GByteArray *data)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);

	lod_send_domain(lod, data);
	g_hash_table_add(seen, GUINT_TO_POINTER(lod->domain));
	for (uint32_t i = 0; i < lod->view->count; i++) {
		uint32_t domain = lod_service_hash(lod->view->members[i].domain);

		if (g_hash_table_add(seen, GUINT_TO_POINTER(domain)))
			lod_send(lod, data, hub_of(lod, domain));
	}
}

static void tell_digest(struct lod *lod, int64_t now_us)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	lod_begin(lod, &packet, LOD_DIGEST);
	add_totals(lod, &packet, now_us);
	move_rows(lod->hub_evidence, packet.evidence, LOD_EVIDENCE_MAX);
	move_sends(lod->hub_sends, packet.sends);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, data))
		publish(lod, data);
	lod_take_digest(lod, &packet, now_us);
	lod_packet_clear(&packet);
	lod->hub_urgent = lod->hub_evidence->len > 0;
	lod->digest_us = now_us;
}

void lod_hub_tick(struct lod *lod, int64_t now_us)
{
	bool first = lod->hubs[0] == lod->node->self;
	bool silent = now_us - lod->hub_heard_us > LOD_SILENT_US;

	if (!is_hub(lod))
		return;
	/* The second choice drops what the first one tells. */
	if (!first && !silent) {
		g_array_set_size(lod->hub_evidence, 0);
		g_hash_table_remove_all(lod->hub_sends);
		return;
	}
	if (lod->hub_urgent || now_us - lod->digest_us >= LOD_DIGEST_US)
		tell_digest(lod, now_us);
}
