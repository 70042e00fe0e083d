/**
 * @file lod_totals.h
 * @brief Running totals of admitted requests, as sent and as received. Pure.
 *
 * A total is sent again with each change, so a lost datagram loses nothing: the next
 * one makes it good. A total that begins anew has another epoch. A receiver that has
 * not seen the epoch counts what the sender takes to be untold, and goes on from
 * there. Rows are kept for organisations in use only: those sent shorter than those
 * received, so that no receiver takes a row that goes on for one that begins.
 */
#ifndef LOD_TOTALS_H
#define LOD_TOTALS_H

#include "lod_wire.h"

/** Changes of an organisation's totals. */
struct lod_totals_change {
	uint64_t organisation;
	struct quo_limit limit;
	int64_t admitted; /* negative: more were given back */
	int64_t asked;
};

/** One total that is sent. */
struct lod_total {
	struct lod_quota row;
	int64_t began_us;
	int64_t changed_us;
	int64_t sent_us;
	uint64_t sent_admitted;
	uint64_t sent_asked;
	bool pending;
	bool low; /* pending, and urgent */
};

/** Totals that a node or hub sends. */
struct lod_totals {
	GHashTable *rows; /* organisation to struct lod_total */
	uint32_t epoch;	  /* of the newest row */
	uint32_t pending;
	uint32_t low;
	bool hub;
};

/** The last totals that were received from one node or failure domain. */
struct lod_streams {
	GHashTable *rows; /* organisation to last row and time */
	node_id sender;
	uint64_t incarnation;
	uint32_t serial;
	int64_t heard_us;
};

/** @param epoch  differs from those of this node's earlier processes */
void lod_totals_init(struct lod_totals *totals, uint32_t epoch, bool hub);
void lod_totals_clear(struct lod_totals *totals);

/** Adds to a total, which begins if there is none. */
struct lod_total *lod_totals_add(struct lod_totals *totals,
				 const struct lod_totals_change *change,
				 int64_t now_us);

/** Marks a pending total as urgent. */
void lod_totals_mark_low(struct lod_totals *totals, struct lod_total *total);

/** Continues a total that another hub sent, if this one has it. */
void lod_totals_continue(struct lod_totals *totals,
			 const struct lod_quota *row);

/**
 * Moves pending rows to a datagram, urgent and oldest ones first.
 * @param out       struct lod_quota, up to LOD_QUOTAS_MAX are appended
 * @param low_only  only urgent ones
 * @param heard_us  receivers know what was sent by then; not for hubs
 */
void lod_totals_move(struct lod_totals *totals, GArray *out, bool low_only,
		     int64_t heard_us, int64_t now_us);

/** Makes totals that changed lately pending again, and drops unused ones; to be
 *  called about once a second. */
void lod_totals_sweep(struct lod_totals *totals, int64_t now_us);

void lod_streams_init(struct lod_streams *streams);
void lod_streams_clear(struct lod_streams *streams);

/** Takes note of a datagram. @return false if a newer one of its sender came */
bool lod_streams_accept(struct lod_streams *streams,
			const struct lod_packet *packet);

/** Returns what a received row adds to the last one. @param rebase  it begins
 *  anew, and nothing is counted */
struct lod_totals_change lod_streams_receive(struct lod_streams *streams,
					     const struct lod_quota *row,
					     bool rebase, int64_t now_us);

/** Returns the last row of an organisation, or NULL. */
const struct lod_quota *lod_streams_find(const struct lod_streams *streams,
					 uint64_t organisation);

/** Drops rows of organisations that are not in use. */
void lod_streams_sweep(struct lod_streams *streams, int64_t now_us);

#endif
