/**
 * @file slt.h
 * @brief Slots and admission control: start, queue or refuse a request.
 *
 * All functions are pure. A request is refused early when the queue is full or
 * when its answer is not expected within its deadline. The expected wait is the
 * time until the answer: the queue ahead that no free slot covers, times the
 * mean time a request occupies a slot, divided by the usable slots, plus the
 * service time of the request itself.
 *
 * The service time is estimated as the 90th percentile of the route's recent
 * answer times, capped at half of the deadline: a route whose answers are often
 * slower than its deadline would otherwise be refused for good, with no new
 * samples to correct the estimate. For the same reason a request that finds a
 * free slot is checked against its service time only, which a request with its
 * complete deadline left always meets.
 */
#ifndef SLT_H
#define SLT_H

#include "fs_err.h"
#include "fs_types.h"

#define SLT_TIMES 64			  /* samples kept */
#define SLT_RETRY_AFTER_MIN_US 1000000LL  /* lower bound of Retry-After */
#define SLT_RETRY_AFTER_MAX_US 30000000LL /* upper bound of Retry-After */

/** Ring buffer of the last SLT_TIMES durations; all zero when empty. */
struct slt_times {
	int64_t us[SLT_TIMES];
	uint32_t count; /* samples in use */
	uint32_t next;	/* index to overwrite */
	int64_t sum;
};

/** Adds a sample in us. */
void slt_times_add(struct slt_times *times, int64_t us);

/** Returns the mean in us, 0 without samples. */
int64_t slt_times_mean(const struct slt_times *times);

/** Returns the quantile @p permille in us, 0 without samples. */
int64_t slt_times_quantile(const struct slt_times *times, uint32_t permille);

/** Inputs of an admission decision, also written to its audit record. */
struct slt_inputs {
	int64_t waiting;	 /* in the queue, all priorities */
	int64_t queue;		 /* limit of waiting */
	int64_t ahead;		 /* waiting requests that run first */
	int64_t usable;		 /* slots of eligible servers */
	int64_t free_slots;	 /* unoccupied ones of these */
	int64_t slot_time_us;	 /* mean time that a request occupies a slot */
	int64_t service_time_us; /* estimate, see slt_service_time() */
	int64_t remaining_us;	 /* until its deadline */
};

/** Returns the estimated time in us from a request's start to its answer. */
int64_t slt_service_time(const struct slt_times *route, int64_t deadline_us);

/** Returns the expected time until the answer, in us. */
int64_t slt_expected_wait(const struct slt_inputs *n);

/** The rule queue_full. */
bool slt_queue_full(int64_t waiting, int64_t queue);

/** The rule wait_too_long. */
bool slt_wait_too_long(int64_t expected_wait_us, int64_t remaining_us);

/** The rule no_target. */
bool slt_no_target(int64_t usable);

/**
 * Decides whether to admit a new request.
 * @return 0 to start or queue it; FS_E_NO_TARGET, FS_E_WAIT_TOO_LONG or
 *         FS_E_QUEUE_FULL
 */
int slt_admit(const struct slt_inputs *n);

/** Returns the Retry-After of a refused request in us, within its bounds. */
int64_t slt_retry_after(const struct slt_inputs *n);

/** Load of one server when a request is to start. */
struct slt_server {
	uint32_t in_flight;
	uint32_t allowed; /* by hlt_concurrency_limit(), at most its slots */
	bool leaving;
	bool last_resort; /* in use only to keep the floor */
};

/** Returns whether a server has a free slot. */
bool slt_has_capacity(const struct slt_server *server);

/**
 * Chooses the server with the lowest utilisation of its allowed slots; a
 * last-resort server only if no other has capacity. The failure domain is
 * ignored: slots are the scarce resource, and filling the near servers first
 * would save 1 ms but cause longer queues there.
 * @param start  first index to consider; rotates the tie-break
 * @param avoid  bit mask of servers that were tried before
 * @return the index, or FS_NONE if none has capacity
 */
uint32_t slt_choose(const struct slt_server *servers, uint32_t count,
		    uint32_t start, uint32_t avoid);

#endif
