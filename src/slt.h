/**
 * @file slt.h
 * @brief Slots and admission: who may start, wait, or must be refused now.
 *
 * Pure. A request is refused early when the queue is full or when it would
 * not be answered within its deadline. The expected wait is the time until
 * the answer: what waits ahead, times the recent time a request holds a slot,
 * divided by the slots in use, plus the time that the request itself needs.
 *
 * What a request needs is the 90th percentile of its route's recent answers,
 * but never more than half of its deadline: a route whose answers are often
 * slower than its deadline would otherwise be refused for ever, with no new
 * answer to learn from. For the same reason a request that finds a free slot
 * is only held to that need, which a fresh one always meets.
 */
#ifndef SLT_H
#define SLT_H

#include "fs_err.h"
#include "fs_types.h"

#define SLT_TIMES 64			  /* recent times kept */
#define SLT_RETRY_AFTER_MIN_US 1000000LL  /* least advice in Retry-After */
#define SLT_RETRY_AFTER_MAX_US 30000000LL /* longest advice */

/** The last SLT_TIMES times of something; all zero when empty. */
struct slt_times {
	int64_t us[SLT_TIMES];
	uint32_t count; /* how many of them are set */
	uint32_t next;	/* the one to replace */
	int64_t sum;
};

/** Notes a time in us. */
void slt_times_add(struct slt_times *times, int64_t us);

/** Returns the mean in us, 0 if nothing is known. */
int64_t slt_times_mean(const struct slt_times *times);

/** Returns the time below which @p permille of them lie, 0 if unknown. */
int64_t slt_times_quantile(const struct slt_times *times, uint32_t permille);

/** The numbers of an admission; they are the evidence of its record. */
struct slt_inputs {
	int64_t waiting;    /* in the queue, all priorities */
	int64_t queue;	    /* as many may wait */
	int64_t ahead;	    /* waiting ones that run before this one */
	int64_t usable;	    /* slots of servers that may take it */
	int64_t free_slots; /* of those, not taken */
	int64_t hold_us;    /* recent time that a request holds a slot */
	int64_t service_time_us; /* what this request needs, see slt_service_time() */
	int64_t remaining_us; /* until its deadline */
};

/** Returns what a request needs from its start to its answer. */
int64_t slt_service_time(const struct slt_times *route, int64_t deadline_us);

/** Returns the expected time until the answer. */
int64_t slt_expected_wait(const struct slt_inputs *n);

/** The rule queue_full. */
bool slt_queue_full(int64_t waiting, int64_t queue);

/** The rule wait_too_long. */
bool slt_wait_too_long(int64_t expected_wait_us, int64_t remaining_us);

/** The rule no_target. */
bool slt_no_target(int64_t usable);

/**
 * Decides on an arrival.
 * @return 0 to let it start or wait; FS_E_NO_TARGET, FS_E_WAIT_TOO_LONG or
 *         FS_E_QUEUE_FULL
 */
int slt_admit(const struct slt_inputs *n);

/** Returns after which time an arrival may do better, within the bounds. */
int64_t slt_retry_after(const struct slt_inputs *n);

/** What is known of one server when a request is to start. */
struct slt_server {
	uint32_t in_flight;
	uint32_t allowed; /* by hlt_concurrency_limit(), at most its slots */
	bool leaving;
	bool last; /* kept for the floor: used when no other has room */
};

/** Returns whether a server has room. */
bool slt_has_capacity(const struct slt_server *server);

/**
 * Chooses the server with the lowest share of its allowed slots in use; one
 * that is marked as last only if no other has room. The
 * failure domain plays no part: slots are what is scarce, and filling the
 * near ones first would save 1 ms at the price of longer queues there.
 * @param start  index at which to begin, so that ties rotate
 * @param avoid  bits of servers that were tried before
 * @return the index, or FS_NONE if none has room
 */
uint32_t slt_choose(const struct slt_server *servers, uint32_t count,
		    uint32_t start, uint32_t avoid);

#endif
