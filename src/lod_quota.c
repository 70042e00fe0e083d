#include "lod_impl.h"

#include "quo.h"

/* Intervals between reports of a node and digests of a hub. Those of urgent rows
 * grow with the domain, so that a hub receives and sends at most 500 datagrams/s
 * for them. */
#define URGENT_REPORT_US (20 * FS_US_PER_MS)
#define URGENT_DIGEST_US (40 * FS_US_PER_MS)
#define URGENT_PER_NODE_US (2 * FS_US_PER_MS)
#define REPORT_US (300 * FS_US_PER_MS)
#define REPORT_PER_NODE_US (5 * FS_US_PER_MS)
#define DIGEST_US (500 * FS_US_PER_MS)
/* Two datagrams from node to node through a hub. */
#define TRANSIT_US (60 * FS_US_PER_MS)
#define SWEEP_US FS_US_PER_S
/* Members that are not heard of count as cut off for this long. A minority keeps
 * to its part for ever. */
#define LOST_MEMBERS_US (300 * FS_US_PER_S)
/* Below this share of members in touch they give out a part of the limits only. */
#define SHARE_OF_ALL 0.95
/* A node that has just started may not have found the others yet. */
#define JOIN_US (3 * FS_US_PER_S)

/** A member that told that it leaves. */
struct departure {
	uint64_t incarnation;
	bool ended; /* it is dead, and shares the limits no more */
};

/** Limits of organisations, as one node takes part in them. */
struct lod_quotas {
	struct quo *quo;
	struct lod_totals own;
	struct lod_totals hub;
	GHashTable *peers;	/* as a hub: node_id * to struct lod_streams */
	GHashTable *domains;	/* hash to struct lod_streams */
	GHashTable *departures; /* node_id * to struct departure */
	int64_t started_us;
	int64_t report_us;	/* last report of any rows */
	int64_t full_report_us; /* that left no row behind */
	int64_t digest_us;
	int64_t full_digest_us;
	int64_t swept_us;
	bool was_active; /* as a hub */
	uint32_t alive;	 /* members in touch, this one included */
	uint32_t known;	 /* members that share the limits */
	int64_t known_us;
};

static void streams_free(void *data)
{
	lod_streams_clear(data);
	g_free(data);
}

void lod_quota_open(struct lod *lod, int64_t now_us)
{
	const struct set *set = &lod->node->set;
	const struct quo_rule rule = {
		.window_us = set->quota_window_us,
		.overage = set->quota_overage,
		.slack = set->quota_slack,
	};
	struct lod_quotas *q = g_new0(struct lod_quotas, 1);
	uint32_t epoch = (uint32_t)lod->node->incarnation;

	q->quo = quo_new(&rule, set->first_start,
			 lod->node->self ^ lod->node->incarnation, now_us);
	lod_totals_init(&q->own, epoch, false);
	lod_totals_init(&q->hub, epoch, true);
	q->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 streams_free);
	q->domains = g_hash_table_new_full(NULL, NULL, NULL, streams_free);
	q->departures = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	q->started_us = q->known_us = now_us;
	q->alive = q->known = 1;
	lod->quotas = q;
}

void lod_quota_close(struct lod *lod)
{
	struct lod_quotas *q = lod->quotas;

	quo_free(q->quo);
	lod_totals_clear(&q->own);
	lod_totals_clear(&q->hub);
	g_hash_table_unref(q->peers);
	g_hash_table_unref(q->domains);
	g_hash_table_unref(q->departures);
	g_free(q);
}

static struct lod_streams *streams_of(GHashTable *table, const void *key,
				      size_t key_size)
{
	struct lod_streams *streams = g_hash_table_lookup(table, key);

	if (!streams) {
		streams = g_new0(struct lod_streams, 1);
		lod_streams_init(streams);
		g_hash_table_insert(table,
				    key_size ? g_memdup2(key, key_size) :
					       (void *)key,
				    streams);
	}
	return streams;
}

static struct lod_streams *domain_streams(struct lod *lod, uint32_t domain)
{
	return streams_of(lod->quotas->domains, GUINT_TO_POINTER(domain), 0);
}

static int64_t urgent_us(const struct lod *lod, int64_t least_us)
{
	return MAX(least_us, lod->domain_nodes * URGENT_PER_NODE_US);
}

static int64_t report_us(const struct lod *lod)
{
	return MAX(REPORT_US, lod->domain_nodes * REPORT_PER_NODE_US);
}

/* Notes that a member told that it leaves, or has ended or come back since.
 * @return by how many the members that share the limits change */
static int note_departure(struct lod_quotas *q, const struct mem_member *m)
{
	struct departure *d = g_hash_table_lookup(q->departures, &m->id);
	bool left = m->state != MEM_ALIVE && d &&
		    d->incarnation == m->incarnation;
	bool ended = left && m->state == MEM_DEAD;
	int change = d ? d->ended - ended : 0;

	if (d && !left)
		g_hash_table_remove(q->departures, &m->id);
	else if (d)
		d->ended = ended;
	if (left || m->state != MEM_LEAVING)
		return change;
	d = g_new0(struct departure, 1);
	d->incarnation = m->incarnation;
	g_hash_table_insert(q->departures, g_memdup2(&m->id, sizeof(m->id)), d);
	return change;
}

/* Counts the members in touch, and those that share the limits: members that are
 * lost may be cut off and give out their part, those that left have none. */
static void count_members(struct lod *lod, int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	int64_t known = q->known;

	q->alive = 0;
	for (uint32_t i = 0; lod->view && i < lod->view->count; i++) {
		q->alive += lod->view->members[i].state != MEM_DEAD;
		known += note_departure(q, &lod->view->members[i]);
	}
	q->alive = MAX(q->alive, 1);
	q->known = (uint32_t)MAX(known, 1);
	if (q->alive >= q->known)
		q->known_us = now_us;
	else if (q->alive * 2 <= q->known ||
		 now_us - q->known_us < LOST_MEMBERS_US)
		return;
	q->known = q->alive;
}

static double share_in_touch(const struct lod *lod, int64_t now_us)
{
	const struct lod_quotas *q = lod->quotas;
	const struct set *set = &lod->node->set;
	double share = (double)q->alive / q->known;

	if (q->known == 1 && set->seed_count && !set->first_start &&
	    now_us - q->started_us < JOIN_US)
		return 0.0;
	return share < SHARE_OF_ALL ? share : 1.0;
}

static void set_fleet(struct lod *lod, int64_t now_us)
{
	const struct lod_quotas *q = lod->quotas;
	bool hub = lod->view && lod_hub_is_active(lod, now_us);
	/* When the whole fleet starts, nobody has been heard yet. */
	int64_t first_us = lod->node->set.first_start ? q->started_us : 0;
	const struct quo_fleet fleet = {
		.share = share_in_touch(lod, now_us),
		.nodes = q->alive,
		.delay_us = urgent_us(lod, URGENT_REPORT_US) +
			    urgent_us(lod, URGENT_DIGEST_US) + TRANSIT_US,
		.slow_us = (report_us(lod) + DIGEST_US) / 2 + TRANSIT_US,
		.heard_us = hub ? now_us : MAX(lod->hub_last_rx_us, first_us),
		.known = q->known,
	};

	quo_set_fleet(q->quo, &fleet, now_us);
}

/* Adds to a total that is sent, and finds out whether that is urgent. */
static void add(struct lod *lod, struct lod_totals *totals,
		const struct lod_totals_change *change, bool low,
		uint32_t senders, int64_t now_us)
{
	struct lod_total *total = lod_totals_add(totals, change, now_us);
	int64_t unreported = (int64_t)(total->row.asked - total->sent_asked);

	low = low || quo_is_low(lod->quotas->quo, change->organisation,
				unreported, senders, now_us);
	if (!low)
		return;
	lod_totals_mark_low(totals, total);
	lod_schedule_flush(lod, now_us + URGENT_REPORT_US, now_us);
}

static void add_own(struct lod *lod, uint64_t organisation,
		    const struct quo_limit *limit, int64_t admitted,
		    int64_t asked, int64_t now_us)
{
	const struct lod_totals_change change = {organisation, *limit, admitted,
						 asked};

	add(lod, &lod->quotas->own, &change, false, lod->quotas->alive, now_us);
}

static struct quo_limit limit_of(const struct cfg_organisation *organisation)
{
	return (struct quo_limit){organisation->rate, organisation->burst};
}

int64_t lod_quota_take(struct lod *lod,
		       const struct cfg_organisation *organisation,
		       int64_t now_us)
{
	const struct quo_limit limit = limit_of(organisation);
	uint64_t key = quo_key(organisation->name);
	int64_t wait_us = quo_take(lod->quotas->quo, key, &limit, now_us);

	add_own(lod, key, &limit, wait_us ? 0 : 1, 1, now_us);
	return wait_us;
}

void lod_quota_return(struct lod *lod,
		      const struct cfg_organisation *organisation,
		      int64_t now_us)
{
	const struct quo_limit limit = limit_of(organisation);
	uint64_t key = quo_key(organisation->name);

	quo_return(lod->quotas->quo, key, now_us);
	add_own(lod, key, &limit, -1, 0, now_us);
}

struct quo_level lod_quota_level(const struct lod *lod, const char *name,
				 int64_t now_us)
{
	return quo_level(lod->quotas->quo, quo_key(name), now_us);
}

uint32_t lod_quota_buckets(const struct lod *lod)
{
	return quo_size(lod->quotas->quo);
}

/* A standby goes on with the totals of the active hub. */
static void continue_total(struct lod *lod, uint64_t organisation,
			   int64_t now_us)
{
	struct lod_totals *totals = &lod->quotas->hub;
	const struct lod_totals_change none = {.organisation = organisation};
	const struct lod_quota *last;

	if (lod_hub_is_active(lod, now_us) ||
	    g_hash_table_contains(totals->rows, &organisation))
		return;
	last = lod_streams_find(domain_streams(lod, lod->domain), organisation);
	if (!last)
		return;
	lod_totals_add(totals, &none, now_us);
	lod_totals_continue(totals, last);
}

static void receive_report(struct lod *lod, const struct lod_packet *packet,
			   int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	struct lod_streams *streams;

	if (!lod_is_hub(lod))
		return;
	streams = streams_of(q->peers, &packet->sender, sizeof(packet->sender));
	if (!lod_streams_accept(streams, packet))
		return;
	streams->heard_us = now_us;
	for (guint i = 0; i < packet->quotas->len; i++) {
		const struct lod_quota *row =
			&g_array_index(packet->quotas, struct lod_quota, i);
		const struct lod_totals_change change =
			lod_streams_receive(streams, row, false, now_us);

		if (!change.admitted && !change.asked)
			continue;
		continue_total(lod, row->organisation, now_us);
		add(lod, &q->hub, &change, row->low,
		    MAX(g_hash_table_size(lod->domains), 1), now_us);
	}
}

static void apply_digest(struct lod *lod, const struct lod_packet *packet,
			 int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	struct lod_streams *streams = domain_streams(lod, packet->domain);
	bool own = packet->domain == lod->domain;
	bool passive = own && !lod_hub_is_active(lod, now_us);
	bool rebase = now_us - streams->heard_us > QUO_ALONE_US;

	if (!lod_streams_accept(streams, packet))
		return;
	set_fleet(lod, now_us);
	for (guint i = 0; i < packet->quotas->len; i++) {
		const struct lod_quota *row =
			&g_array_index(packet->quotas, struct lod_quota, i);
		const struct lod_totals_change change =
			lod_streams_receive(streams, row, rebase, now_us);
		const struct quo_report report = {
			.organisation = row->organisation,
			.limit = row->limit,
			.admitted = change.admitted,
			.asked = change.asked,
			.own = own,
		};

		if (passive)
			lod_totals_continue(&q->hub, row);
		quo_report(q->quo, &report, now_us);
	}
}

void lod_quota_receive(struct lod *lod, const struct lod_packet *packet,
		       int64_t now_us)
{
	if (packet->type == LOD_QUOTA_REPORT)
		receive_report(lod, packet, now_us);
	else
		apply_digest(lod, packet, now_us);
}

void lod_quota_heard(struct lod *lod, uint32_t domain, int64_t now_us)
{
	struct lod_streams *streams = domain_streams(lod, domain);

	/* Totals that were missed can't be told from old ones. */
	if (now_us - streams->heard_us > QUO_ALONE_US)
		g_hash_table_remove_all(streams->rows);
	streams->heard_us = now_us;
	if (domain == lod->domain)
		set_fleet(lod, now_us);
}

static void send_report(struct lod *lod, bool low_only, int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	g_autoptr(GByteArray) data = g_byte_array_new();
	/* What a hub has from itself is told by its own digests. */
	int64_t heard_us = MAX(lod->hub_last_rx_us, q->digest_us);
	struct lod_packet packet;

	lod_start_packet(lod, &packet, LOD_QUOTA_REPORT);
	lod_totals_move(&q->own, packet.quotas, low_only, heard_us, now_us);
	receive_report(lod, &packet, now_us);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, now_us, data)) {
		lod_send_to_node(lod, data, lod->hubs[0]);
		lod_send_to_node(lod, data, lod->hubs[1]);
	}
	lod_packet_clear(&packet);
	q->report_us = now_us;
	if (!q->own.pending)
		q->full_report_us = now_us;
}

static void broadcast_digest(struct lod *lod, bool low_only, int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	lod_start_packet(lod, &packet, LOD_QUOTA_DIGEST);
	lod_totals_move(&q->hub, packet.quotas, low_only, 0, now_us);
	if (!lod_wire_encode(&packet, lod->node->set.fleet_key, now_us, data)) {
		lod_broadcast_domain(lod, data);
		lod_send_to_other_hubs(lod, data);
	}
	apply_digest(lod, &packet, now_us);
	lod_packet_clear(&packet);
	q->digest_us = now_us;
	if (!q->hub.pending)
		q->full_digest_us = now_us;
}

/* Returns whether rows are to be sent now. */
static bool is_due(const struct lod_totals *totals, int64_t since_us,
		   int64_t urgent, int64_t since_full_us, int64_t usual_us,
		   bool *low_only)
{
	*low_only = since_full_us < usual_us;
	return since_us >= urgent &&
	       (totals->low || (totals->pending && !*low_only));
}

int64_t lod_quota_flush(struct lod *lod, int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	int64_t report_urgent_us = urgent_us(lod, URGENT_REPORT_US);
	int64_t digest_urgent_us = urgent_us(lod, URGENT_DIGEST_US);
	bool hub = lod_is_hub(lod) && lod_hub_is_active(lod, now_us);
	int64_t next_us = 0;
	bool low_only;

	if (is_due(&q->own, now_us - q->report_us, report_urgent_us,
		   now_us - q->full_report_us, report_us(lod), &low_only))
		send_report(lod, low_only, now_us);
	/* What has been reported to a hub goes on with its last digest. */
	if (q->was_active && !hub && q->hub.pending)
		broadcast_digest(lod, false, now_us);
	q->was_active = hub;
	if (hub && is_due(&q->hub, now_us - q->digest_us, digest_urgent_us,
			  now_us - q->full_digest_us, DIGEST_US, &low_only))
		broadcast_digest(lod, low_only, now_us);
	if (q->own.low)
		next_us = q->report_us + report_urgent_us;
	if (hub && q->hub.low &&
	    (!next_us || q->digest_us + digest_urgent_us < next_us))
		next_us = q->digest_us + digest_urgent_us;
	return next_us;
}

static void sweep(struct lod *lod, int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;
	GHashTableIter iter;
	void *key;
	void *value;

	q->swept_us = now_us;
	lod_totals_sweep(&q->own, now_us);
	lod_totals_sweep(&q->hub, now_us);
	g_hash_table_iter_init(&iter, q->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lod_streams_sweep(value, now_us);
	g_hash_table_iter_init(&iter, q->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lod_streams *streams = value;

		lod_streams_sweep(streams, now_us);
		if (!g_hash_table_size(streams->rows))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, q->departures);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!mem_view_find(lod->view, *(node_id *)key))
			g_hash_table_iter_remove(&iter);
	quo_expire(q->quo, now_us);
}

void lod_quota_tick(struct lod *lod, int64_t now_us)
{
	struct lod_quotas *q = lod->quotas;

	count_members(lod, now_us);
	set_fleet(lod, now_us);
	if (!lod->view)
		return;
	if (now_us - q->swept_us >= SWEEP_US)
		sweep(lod, now_us);
	lod_quota_flush(lod, now_us);
}
