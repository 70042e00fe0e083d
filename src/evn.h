/**
 * @file evn.h
 * @brief Even load from old figures. Pure.
 *
 * A node knows its own requests at a target as they are, and those of the others as
 * they were some tenths of a second ago. Two corrections keep nodes from choosing
 * the same target:
 *
 * The requests of others are predicted. Those that a figure counts end with time,
 * and as many others begin: at first where older figures sent them, then at the
 * targets that this figure shows as least used. That is the level to which targets
 * are filled.
 *
 * The targets and the nodes of a failure domain stand on a ring, evenly spaced. Of
 * targets with like load a node prefers those near its own place. So a target gets
 * most of its requests from few nodes, whose own counts are exact.
 *
 * Callers need not use all nodes alike. A target whose figures stay above the mean
 * gets a surcharge that grows slowly, so that nodes from farther along the ring take
 * over a part of the work, and one that stays below the mean a discount.
 */
#ifndef EVN_H
#define EVN_H

#include "fs_types.h"

/** Parts of a slot that figures are sorted by, and how many such parts. */
#define EVN_PARTS_PER_SLOT 8
#define EVN_PARTS 32

/** Targets that a node chooses from alike. */
enum evn_group {
	EVN_OWN_DOMAIN,
	EVN_OTHER_DOMAINS,
	EVN_GROUPS,
};

/** Requests of others at targets with about the same load. */
struct evn_part {
	double requests;
	double slots;
};

/** Figures of a service and what follows from their age. */
struct evn {
	double early; /* share of requests left from before the figure reached
		       * the nodes */
	double late;  /* share left of those since then */
	double mean[EVN_GROUPS];  /* requests of others per slot */
	double level[EVN_GROUPS]; /* least predicted ones per slot */
	struct evn_part parts[EVN_GROUPS][EVN_PARTS];
};

/**
 * Begins with figures.
 * @param age_us   since they were taken
 * @param mean_us  mean time that a request stays at a target, above 0
 */
void evn_begin(struct evn *evn, int64_t age_us, int64_t mean_us);

/** Adds the figure of a target. @param slots  above 0 */
void evn_add(struct evn *evn, enum evn_group group, uint32_t requests,
	     uint32_t slots);

/** Predicts, once all figures are added. */
void evn_end(struct evn *evn);

/** Returns the requests of others predicted at a target that was added. */
double evn_predict(const struct evn *evn, enum evn_group group,
		   uint32_t requests, uint32_t slots);

/**
 * Returns the surcharge of a target that was added.
 * @param surcharge  as computed before, in requests
 * @param past_us    since then
 */
double evn_surcharge(const struct evn *evn, enum evn_group group,
		     uint32_t requests, uint32_t slots, double surcharge,
		     int64_t past_us);

/**
 * Returns what a node's preference for other targets counts, in requests.
 * @param place   of the node on the ring, 0 to 1
 * @param target  place of the target, 0 to 1
 */
double evn_preference(double place, double target);

#endif
