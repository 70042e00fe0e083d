/**
 * @file rnk.h
 * @brief Rank of requests: who goes first while a service lacks room or retry
 * budget. Pure.
 *
 * The requests of a service fall into classes of equal rank. From what each
 * class of the fleet asked for in the last seconds follows which share of its
 * requests may use what is scarce: the more urgent first, but each class keeps
 * a part of the average. All nodes decide at once, by figures of the same age,
 * so a share is the odds of each request, not a switch.
 *
 * As long as nothing is scarce each share is 1, and so is that of the most
 * urgent class always.
 */
#ifndef RNK_H
#define RNK_H

#include "fs_types.h"

/** Classes of one service at most; further ones count with the nearest. */
#define RNK_CLASSES_MAX 16

/** What was counted of one class. */
struct rnk_counts {
	double asked;	 /* requests of callers */
	double unserved; /* of these, that ended without success */
	double no_room;	 /* of these, that found no free slot */
	double wanted;	 /* retries that were made, or lacked budget */
};

/** The requests of one rank, in the last seconds. */
struct rnk_class {
	uint32_t rank;
	struct rnk_counts recent; /* of decreasing weight with their age */
};

/** The classes of one service in order of rank. Zeroes: none. */
struct rnk {
	struct rnk_class *classes;
	uint32_t count;
	int64_t at_us; /* the time that the weights refer to */
};

/** The retry budget that the shares divide, in retries. */
struct rnk_budget {
	double left;
	double expiring; /* becomes free within the horizon */
	int64_t horizon_us;
};

/**
 * Returns the rank of a request as one number, 0 for the most urgent.
 * @param organisation  rank of its organisation, NULL if it has none
 * @param route         rank of its route
 */
uint32_t rnk_of(const uint32_t *organisation, uint32_t route);

/** Gives all counts the weight of their age, and drops classes out of use. */
void rnk_advance(struct rnk *rnk, int64_t now_us);

/** Adds counts to the class of a rank. */
void rnk_count(struct rnk *rnk, uint32_t rank, const struct rnk_counts *n,
	       int64_t now_us);

/** Returns the share of a rank's requests that may wait for room, 0 to 1. */
double rnk_room_share(struct rnk *rnk, uint32_t rank, int64_t now_us);

/** Returns the share of a rank's retries that may be made, 0 to 1. */
double rnk_retry_share(struct rnk *rnk, uint32_t rank,
		       const struct rnk_budget *budget, int64_t now_us);

/** Returns the share of a class's requests that were served, 0 to 1. */
double rnk_served_share(const struct rnk_class *c);

void rnk_clear(struct rnk *rnk);

#endif
