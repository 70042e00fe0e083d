/**
 * @file lim.h
 * @brief Requests a second that a target takes from the whole fleet. Pure.
 *
 * A limit may be far below one request a second and node, so it can't be divided
 * among them. All nodes keep the same bucket of a target instead: it fills at the
 * limit and is emptied by the sends of all nodes, which report them to each other.
 * Sends of the last moments are not known yet, so while there is something in the
 * bucket each request draws whether it may go there, at the odds of what the bucket
 * holds to the requests that the fleet has for it in that time. What is sent beyond
 * is taken from the following time, so the fleet keeps the limit on average and
 * exceeds it by what crosses on the way.
 *
 * Without the reports of others a node draws by the rates alone.
 */
#ifndef LIM_H
#define LIM_H

#include "stm.h"

/* A target with a lower limit gets a request in this time nevertheless: its answers
 * tell when the limit ends. */
#define LIM_PER_S_MIN 0.1
/* What the bucket holds at most: the sends of this time, or one. */
#define LIM_BURST_US FS_US_PER_S

/** The bucket of one target, at one node. */
struct lim {
	bool named;
	double per_s;
	int64_t stated_us; /* when the target stated that, or nothing */
	double level; /* requests that may be sent; negative: too many were */
	int64_t level_us;
	uint32_t unreported; /* sends of this node that no report had yet */
};

/** What a draw goes by. */
struct lim_query {
	double rate; /* requests a second that the fleet has for the service */
	double waiting;	  /* requests of the fleet that wait for a target */
	int64_t delay_us; /* until nodes know of each other's sends */
	bool reported;	  /* the reports of other nodes arrive */
	uint64_t draw;	  /* random, the same for a request for DELAY_US */
};

/**
 * Applies a statement, unless it is older than the last one.
 * @return whether the limit is another one now
 */
bool lim_state(struct lim *lim, const struct stm *stm, int64_t stated_us,
	       int64_t now_us);

/** Counts a send of this node. */
void lim_send(struct lim *lim, int64_t now_us);

/** Counts reported sends. @param own  those of this node may be among them */
void lim_report(struct lim *lim, uint32_t sends, bool own, int64_t now_us);

/** Returns whether a request may be sent to the target. */
bool lim_allows(const struct lim *lim, const struct lim_query *query,
		int64_t now_us);

#endif
