/**
 * @file fed_role.h
 * @brief Decides whether a node reads the platform's store. Pure.
 *
 * In each failure domain the live member with the highest weight reads, the
 * chosen reader; the next ones take over in turn when no heartbeat arrives. All
 * other nodes read only while they receive no heartbeat of any fresh reader. A
 * node that starts lists everything once, so that it can serve, and then waits
 * for a heartbeat. If the whole fleet starts for the first time, there is nothing
 * to serve yet: only the readers list.
 */
#ifndef FED_ROLE_H
#define FED_ROLE_H

#include "fs_types.h"

/* A node that has just started knows few members: it is not chosen yet. */
#define FED_SETTLE_US (1200 * FS_US_PER_MS)
/* A node without a fresh reader for this long reads for itself. Leaves half of
 * the 2 s within which a change has to be in force for the node's own calls. */
#define FED_READER_TIMEOUT_US (1200 * FS_US_PER_MS)
/* The next ones in weight read after this time without a heartbeat in their
 * domain, one after the other: they are heard before the others begin. */
#define FED_STANDBYS 2
#define FED_STANDBY_TIMEOUT_US (700 * FS_US_PER_MS)
#define FED_STANDBY_STEP_US (150 * FS_US_PER_MS)
/* A reader that is no longer chosen continues while its successor, which may
 * just have started, settles and lists. */
#define FED_HANDOVER_US (2500 * FS_US_PER_MS)
/* A node whose own complete list is younger than this does not start to read:
 * after a start, heartbeats of readers arrive within this time. Shorter than the
 * gap that looks like an outage of the store (FED_STORE_GAP_US). */
#define FED_LIST_FRESH_US (1800 * FS_US_PER_MS)
/* The same after the first start of a fleet, when all nodes settle at once. */
#define FED_FIRST_START_US (2500 * FS_US_PER_MS)
/* Hysteresis: a node stops reading only after readers have been present for
 * this long, so that it does not flap. */
#define FED_READ_HYSTERESIS_US (1 * FS_US_PER_S)

/** State of a node's role. */
struct fed_role {
	int64_t started_us;
	int64_t last_rx_us;   /* last heartbeat of a fresh reader */
	int64_t local_rx_us;  /* same, in this domain */
	int64_t listed_us;    /* last complete list of its own */
	int64_t no_reader_us; /* last time without a fresh reader */
	int64_t chosen_us;    /* last time chosen */
	bool first_start;     /* the whole fleet starts with this node */
	bool listed;	      /* listed_us is set */
	bool first;	      /* no member has a higher weight */
	bool chosen;	      /* broadcasts what it reads */
	bool reading;	      /* polls the store, chosen or not */
};

void fed_role_init(struct fed_role *role, bool first_start, int64_t now_us);

/**
 * Updates the role.
 * @param rank  members of this node's domain with a higher weight
 * @param stopping  the node is about to leave
 * @return whether the node started or stopped reading
 */
bool fed_role_update(struct fed_role *role, uint32_t rank, bool stopping,
		     int64_t now_us);

#endif
