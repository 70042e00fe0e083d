/**
 * @file lod_impl.h
 * @brief Parts of the load exchange that its files share.
 */
#ifndef LOD_IMPL_H
#define LOD_IMPL_H

#include "lod.h"
#include "lod_counts.h"
#include "lod_feed.h"
#include "lod_queue.h"
#include "lod_totals.h"
#include "lod_wire.h"

/* Least interval between reports of a node. It grows with the domain, so that
 * a hub receives at most 200 reports/s. */
#define LOD_REPORT_INTERVAL_US (200 * FS_US_PER_MS)
#define LOD_REPORT_INTERVAL_PER_NODE_US (5 * FS_US_PER_MS)
/* Mean age of the counts in a digest that arrives. */
#define LOD_COUNTS_DELAY_US (LOD_REPORT_INTERVAL_US / 2)
#define LOD_REFRESH_INTERVAL_US \
	(1000 * FS_US_PER_MS) /* resend of unchanged counts */
#define LOD_DIGEST_INTERVAL_US \
	(200 * FS_US_PER_MS) /* between digests of a hub */
/* Least interval between reports of failures. Other nodes keep sending to the
 * target until they receive the report. */
#define LOD_URGENT_REPORT_INTERVAL_US (20 * FS_US_PER_MS)
/* A hub sends a digest to each node of its domain: the interval grows with
 * them, so that it sends at most 500 urgent datagrams/s. */
#define LOD_URGENT_DIGEST_INTERVAL_US (40 * FS_US_PER_MS)
#define LOD_URGENT_DIGEST_PER_NODE_US (2 * FS_US_PER_MS)
/* Sends to limited targets and their statements: interval between digests, and the
 * time that datagrams need from node to node at most, usually. */
#define LOD_STATEMENT_INTERVAL_US (60 * FS_US_PER_MS)
#define LOD_STATEMENT_PER_NODE_US (5 * FS_US_PER_MS)
#define LOD_STATEMENT_TRANSIT_US (60 * FS_US_PER_MS)
/* The standby hub of another domain gets one in so many digests: one each
 * 0.8 s at LOD_DIGEST_INTERVAL_US, so that its data is hardly older than
 * LOD_HUB_TIMEOUT_US. */
#define LOD_STANDBY_DIGEST_RATIO 4u
/* The standby becomes active after this time without a digest of the hub. */
#define LOD_HUB_TIMEOUT_US (700 * FS_US_PER_MS)

/** Another node of this failure domain, as a hub knows it. */
struct lod_peer {
	uint64_t incarnation;
	uint32_t serial;
	int64_t last_rx_us;
	GHashTable *counts; /* target hash to requests */
};

/** Latest digest and counts of a failure domain. */
struct lod_domain {
	uint32_t hash;
	uint64_t incarnation; /* of the sender of the latest digest */
	node_id hub;
	uint32_t serial;
	struct lod_counts counts; /* requests in that domain */
};

/** The newest digest of each type that was forwarded for a hub. */
struct lod_forwarded {
	uint64_t incarnation;
	uint32_t serial[LOD_TYPE_COUNT];
	int64_t at_us;
};

/** Mean latency of successful answers of a service. */
struct lod_mean_latency {
	double us;
	uint32_t count;
};

/** Fleet-wide requests for a service. */
struct lod_service_stats {
	struct bud budget;
	double unserved; /* share of requests, over about one second */
	struct rnk ranks;
	struct rnk own_ranks; /* of this node alone */
};

/** What a hub last broadcast of a target. */
struct lod_last_broadcast {
	uint32_t requests;
	int64_t at_us;
	int64_t sent_us; /* last request sent from this domain, as reported */
};

struct lod {
	struct node *node;
	struct dir *dir;
	struct mem_view *view;
	uint32_t domain; /* hash of this node's failure domain */
	int fd;
	uint16_t port; /* network order; the same on all nodes */
	ev_io io;
	uint32_t serial;
	/* This node */
	GHashTable *reported_counts;	/* target hash to requests */
	GHashTable *unreported_targets; /* target hashes for the next report */
	struct lod_queue evidence;	/* to be reported */
	ev_timer flush_timer;		/* sends failures between ticks */
	GHashTable *service_counts;	/* see lod_add_service_counts() */
	/* target hash to struct lod_statement, to be reported */
	GHashTable *statements;
	bool changed;
	bool urgent; /* evidence waits that is to be reported at once */
	int64_t reported_us;
	/* The fleet, from digests */
	GHashTable *domains;   /* hash to struct lod_domain */
	GHashTable *forwarded; /* node_id * to struct lod_forwarded */
	/* as a hub: node_id * to double *, lod_judge.c */
	GHashTable *path_fault_shares;
	GHashTable *mean_latencies; /* service name to struct lod_mean_latency */
	GHashTable *service_stats; /* service hash to struct lod_service_stats */
	struct bud_rule rule;
	/* As a hub */
	node_id hubs[2]; /* of this domain: active and standby */
	uint32_t domain_nodes;
	GHashTable *peers; /* node_id * to struct lod_peer */
	/* target hash to struct lod_last_broadcast */
	GHashTable *last_broadcasts;
	struct lod_queue hub_evidence;	/* to be broadcast */
	GHashTable *hub_service_counts; /* the same of the domain */
	GHashTable *hub_statements;	/* to be broadcast */
	int64_t digest_us;
	int64_t statement_digest_us;
	int64_t use_logged_us;
	uint32_t digests_sent;
	int64_t hub_last_rx_us; /* last digest of this domain's hub */
	int64_t counts_rx_us;  /* last digest of this domain, also an own one */
	int64_t counts_lag_us; /* of the counts behind it, on average */
	struct lod_feed_sources feeds;
	struct lod_quotas *quotas;
	handle sent, received, refused;
	handle counts_left; /* counts that did not fit in a datagram */
};

/** Names a service or failure domain in datagrams. */
static inline uint32_t lod_name_hash(const char *name)
{
	return (uint32_t)fs_node_id(name);
}

/* Health evaluation (lod_judge.c) */

/** Applies outcomes to a target. Unknown targets are ignored. @param own
 *  observed by this node */
void lod_evidence_apply(struct lod *lod, const struct lod_evidence *e,
			bool own);
/** Queues an outcome, with priority if its target is degraded. */
void lod_evidence_enqueue(const struct lod *lod, struct lod_queue *queue,
			  const struct lod_evidence *e);
/** Updates the share of path failures among a node's outcomes.
 *  @return whether the outcome is to be forwarded */
bool lod_evidence_is_reliable(struct lod *lod, const struct lod_evidence *e);

/* This domain's hub (lod_hub.c) */
void lod_hub_select(struct lod *lod);
void lod_hub_receive_report(struct lod *lod, const struct lod_packet *packet,
			    int64_t now_us);
void lod_hub_tick(struct lod *lod, int64_t now_us);
/** Broadcasts a digest if failures or successes of degraded targets wait.
 *  @return when to call again, 0: none wait */
int64_t lod_hub_flush(struct lod *lod, int64_t now_us);

/** Returns whether this node is a hub of its domain, active or not. */
bool lod_is_hub(const struct lod *lod);
/** Sends a digest to the active hubs of the other domains, and one in
 *  LOD_STANDBY_DIGEST_RATIO to their standbys. */
void lod_send_to_other_hubs(struct lod *lod, const GByteArray *data);

/* Statements of targets (lod_statement.c) */

/** Reports sends and statements, and broadcasts them as a hub.
 *  @return when to call again, 0: none wait */
int64_t lod_statement_flush(struct lod *lod, int64_t now_us);
void lod_statement_receive(struct lod *lod, const struct lod_packet *packet,
			   int64_t now_us);

/* Limits of organisations (lod_quota.c) */
void lod_quota_open(struct lod *lod, int64_t now_us);
void lod_quota_close(struct lod *lod);
void lod_quota_tick(struct lod *lod, int64_t now_us);
/** Reports totals, and broadcasts them as a hub.
 *  @return when to call again, 0: no urgent ones wait */
int64_t lod_quota_flush(struct lod *lod, int64_t now_us);
void lod_quota_receive(struct lod *lod, const struct lod_packet *packet,
		       int64_t now_us);
/** Takes note of a digest of a domain, whatever it carries. */
void lod_quota_heard(struct lod *lod, uint32_t domain, int64_t now_us);

/** Periodically logs how the targets of each service are used (lod_use.c). */
void lod_log_service_use(struct lod *lod, int64_t now_us);

/* Datagrams (lod_net.c) */
int lod_net_open(struct lod *lod);
void lod_net_close(struct lod *lod);
void lod_send_to_node(struct lod *lod, const GByteArray *data, node_id to);
void lod_broadcast_domain(struct lod *lod, const GByteArray *data);

/** Returns whether this node is the active hub of its domain. */
bool lod_hub_is_active(const struct lod *lod, int64_t now_us);

/* This node (lod.c) */

/** Starts a packet from this node. */
void lod_start_packet(struct lod *lod, struct lod_packet *packet,
		      enum lod_type type);

/** Applies a digest that a hub sent or forwarded. */
void lod_apply_digest(struct lod *lod, const struct lod_packet *packet,
		      int64_t now_us);

/** Schedules a flush of pending failures before the next tick. */
void lod_schedule_flush(struct lod *lod, int64_t at_us, int64_t now_us);

/* Counts of services (lod_service.c) */

/** Returns an empty table for lod_add_service_counts(). */
GHashTable *lod_service_counts_new(void);
/** Adds counts to those of the same service and rank in a table. */
void lod_add_service_counts(GHashTable *table,
			    const struct lod_service_counts *service_counts);
/** Moves rows of a table to a packet, as many as fit; others come next time. */
void lod_service_move_counts(GHashTable *from, GArray *to);
/** Returns an empty table of struct lod_service_stats. */
GHashTable *lod_service_stats_new(void);
/** Applies a row of a digest. */
void lod_service_apply(struct lod *lod, const struct lod_service_counts *counts,
		       int64_t now_us);

#endif
