/**
 * @file bal_impl.h
 * @brief Parts of the selection of a target that its files share.
 */
#ifndef BAL_IMPL_H
#define BAL_IMPL_H

#include "bal.h"

/* Work slows down with load: by about a third at the last slot. */
#define BAL_LOAD_SLOWDOWN 0.3
/* A target in its warm-up takes about twice as long. */
#define BAL_WARM_UP_FACTOR 2.0
#define BAL_MEAN_DEFAULT_US (300 * FS_US_PER_MS) /* until the mean is known */

/** Returns whether a target may get this request at all. */
bool bal_is_eligible(const struct dir_target *target,
		     const struct bal_query *query);

/** Returns whether a target refused a request, and has hardly fewer since. */
bool bal_is_full(const struct dir_target *target, int64_t now_us);

/** Returns whether a statement of the target forbids this request. */
bool bal_is_limited(const struct dir_target *target,
		    const struct bal_query *query);

/** Returns whether a target takes no new work. */
bool bal_is_leaving(const struct dir_target *target);

/** Counts a target that takes nothing. */
void bal_note_closed(const struct dir_target *target,
		     const struct bal_query *query, struct bal_choice *choice);

/** Returns the next random number, from 0 to below 1. */
double bal_random(uint64_t *state);

/** Selects a target by predicted load (bal_even.c). */
struct bal_choice bal_choose_even(const struct dir_service *service,
				  const struct bal_query *query,
				  uint64_t *random);

#endif
