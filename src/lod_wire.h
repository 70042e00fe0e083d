/**
 * @file lod_wire.h
 * @brief Datagrams of the load exchange, encoded with msgpack and signed.
 *
 * A report comes from a node, a digest from a hub. Both carry the same kinds
 * of rows; rows that do not fit go with the next datagram, except for successes
 * of other than degraded targets (lod_queue.h).
 */
#ifndef LOD_WIRE_H
#define LOD_WIRE_H

#include "fs_types.h"
#include "gry.h"
#include "quo.h"
#include "stm.h"

enum lod_type {
	LOD_REPORT = 1, /* of one node, to its hub */
	LOD_DIGEST,	/* of one failure domain, to all nodes */
	/* The same for statements of targets */
	LOD_STATEMENT_REPORT,
	LOD_STATEMENT_DIGEST,
	/* The same for limits of organisations */
	LOD_QUOTA_REPORT,
	LOD_QUOTA_DIGEST,
	LOD_TYPE_COUNT,
};

/** Requests at a target. */
struct lod_target_count {
	uint32_t target; /* dir_target.hash */
	uint32_t requests;
	int64_t sent_ago_us; /* since the last send; LOD_SENT_AGO_MAX_US or
			      * more: unknown */
};

/** Outcomes at a target, observed by one node. */
struct lod_evidence {
	node_id origin;
	uint32_t target;
	enum gry_outcome outcome;
	uint32_t count;
	int64_t latency_sum_us; /* of successes */
};

/** Requests and retries for a service, or for those of one rank. */
struct lod_service_counts {
	uint32_t service; /* hash of its name */
	uint32_t requests;
	uint32_t retries;
	uint32_t unserved;
	/* Only of services whose requests differ in rank */
	bool ranked;
	uint32_t rank;	  /* rnk_of() */
	uint32_t no_room; /* requests that found no free slot */
	uint32_t denied;  /* retries, for lack of budget */
	/* Not sent */
	uint32_t left_out; /* packets that had no room for it */
};

/** Sends to a target that names a limit, or its newest statement. */
struct lod_statement {
	uint32_t target; /* dir_target.hash */
	uint32_t sends;	 /* since the last report or digest */
	struct stm stm;
	int64_t stated_us; /* LOD_STATED_AGO_MAX_US ago or more: none */
};

/** Running totals of an organisation with a limit (lod_totals.h). */
struct lod_quota {
	uint64_t organisation; /* quo_key() */
	uint32_t epoch;	       /* differs if the totals began anew */
	uint64_t admitted;     /* less those given back */
	uint64_t asked;	       /* not less than admitted */
	uint64_t known;	       /* part that receivers have in another way */
	struct quo_limit limit;
	bool low; /* the bucket may run empty soon */
};

/** State of a feed task; see fed.h and lod_feed.h. */
struct lod_feed {
	uint64_t digest;
	uint64_t config_version;
	uint64_t era;
	bool fresh;
	node_id reader; /* 0: the sender of the packet */
};

/** One datagram. */
struct lod_packet {
	enum lod_type type;
	node_id sender;
	uint64_t incarnation;
	uint32_t serial;
	uint32_t domain; /* hash of the sender's failure domain */
	struct lod_feed feed;
	GArray *counts;		/* struct lod_target_count */
	GArray *evidence;	/* struct lod_evidence */
	GArray *service_counts; /* struct lod_service_counts */
	GArray *statements;	/* struct lod_statement */
	GArray *quotas;		/* struct lod_quota */
};

/** Times since the last send are encoded in these steps, and as unknown from
 *  the last step on, so that they take at most two bytes of each row. */
#define LOD_SENT_AGO_STEP_US (10 * FS_US_PER_MS)
#define LOD_SENT_AGO_MAX_US (255 * LOD_SENT_AGO_STEP_US)

/** The same of statements. */
#define LOD_STATED_AGO_STEP_US (10 * FS_US_PER_MS)
#define LOD_STATED_AGO_MAX_US (2000 * LOD_STATED_AGO_STEP_US)

/** Rows that fit in one datagram at their largest size. */
#define LOD_COUNTS_MAX 48
#define LOD_EVIDENCE_MAX 24
#define LOD_SERVICE_COUNTS_MAX 16
/** The same in a datagram of statements. */
#define LOD_STATEMENTS_MAX 64
/** The same in a datagram of limits. */
#define LOD_QUOTAS_MAX 24

void lod_packet_init(struct lod_packet *packet, enum lod_type type);
void lod_packet_clear(struct lod_packet *packet);

/** Encodes and signs; times become ages. @param out  bytes are appended
 *  @return 0 or an error */
int lod_wire_encode(const struct lod_packet *packet, const char *key,
		    int64_t now_us, GByteArray *out);

/** Checks and decodes; ages become times. @param packet  out: to be cleared, also
 *  after an error @return 0 or FS_E_PROTOCOL */
int lod_wire_decode(const uint8_t *data, size_t size, const char *key,
		    int64_t now_us, struct lod_packet *packet);

#endif
