/**
 * @file adm.h
 * @brief Admission: may a request queue at a target now, is it parked here for a
 * moment, or is it refused? Pure.
 *
 * While callers ask for more than the targets can do, a queue without a bound
 * makes every answer late: the queue stays as long as the load does, and all
 * who come later wait behind it. So a request joins a queue only if its answer
 * is still likely within the route's objective. Whoever can't is parked until a
 * slot is free, but not for long, and then refused while the caller has time to
 * come back.
 */
#ifndef ADM_H
#define ADM_H

#include "fs_types.h"

enum adm_decision {
	ADM_SEND,
	ADM_PARK, /* look again in a moment */
	ADM_REFUSE,
};

/** What is known of a request and of the best target for it. */
struct adm_input {
	int64_t age_us;	      /* since it came */
	int64_t left_us;      /* until its deadline */
	int64_t objective_us; /* of its route, from when it came */
	int64_t mean_us;      /* mean time of the service's work */
	int64_t wait_us;      /* for a slot at the best target */
	bool room;	      /* there is a target that is not full */
	bool offered;	      /* a target had it before, and it may go on */
};

enum adm_decision adm_decide(const struct adm_input *n);

/** Returns when a refused caller should come back, apart from chance. */
int64_t adm_retry_after(const struct adm_input *n);

#endif
