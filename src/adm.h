/**
 * @file adm.h
 * @brief Admission control: a request joins a target's queue, is parked here
 * briefly, or is refused. Pure.
 *
 * Under overload an unbounded queue makes every answer late: it stays as long
 * as the load does, and all later requests wait behind it. So a request joins a
 * queue only if its answer is still likely within the route's objective. Any
 * other request is parked until a slot is free, but not for long, and is then
 * refused while the caller has time to retry.
 *
 * Requests with short deadlines can't be parked. So that they are not starved,
 * a request that can be parked joins only short queues, and longer ones when
 * its parking time is over.
 *
 * A request that yields to more urgent ones joins only the shortest queues, and
 * is not parked: a part of its rank is refused in any case (rnk.h), and is told
 * so at once.
 */
#ifndef ADM_H
#define ADM_H

#include "fs_types.h"

enum adm_decision {
	ADM_SEND,
	ADM_PARK, /* decide again shortly */
	ADM_REFUSE,
};

/** State of a request and of the best target for it. */
struct adm_input {
	int64_t age_us;	      /* since it arrived */
	int64_t left_us;      /* until its deadline */
	int64_t objective_us; /* of its route, from its arrival */
	int64_t mean_us;      /* mean service time */
	int64_t wait_us;      /* expected, for a slot at the best target */
	bool has_capacity;    /* a target has free slots */
	bool attempted;	      /* it had an attempt, and a retry is allowed */
	bool refusable;	      /* "not run" would be true */
	/* Of a request that is not the most urgent one (rnk.h) */
	bool yields;	   /* it leaves scarce room to more urgent ones */
	double room_share; /* of its rank; of use only if it yields */
};

enum adm_decision adm_decide(const struct adm_input *n);

/** Returns whether all slots are taken, and not only for a moment. */
bool adm_lacks_room(const struct adm_input *n);

/**
 * Returns whether an attempt is likely to end in the time left, on a node that
 * exits at its deadline. Another node has more time for the request, so one that
 * can be refused as not run needs better odds than a retry.
 */
bool adm_ends_before_exit(const struct adm_input *n);

/** Returns the time until a refused caller should retry, without jitter, in us. */
int64_t adm_retry_after(const struct adm_input *n);

#endif
