/**
 * @file hlt_params.h
 * @brief Thresholds of health evaluation, one column per value of "detection".
 *
 * The value stands in the configuration, so that a recorded decision can be
 * recomputed from it. docs/CONFIG.md lists the table.
 */
#ifndef HLT_PARAMS_H
#define HLT_PARAMS_H

#include "cfg.h"

/** Thresholds; shares are per 1000. */
struct hlt_params {
	/* Evidence */
	int64_t window_us;	/* older outcomes do not count */
	int64_t overdue_min_us; /* lower bound of the overdue limit */
	int64_t overdue_factor; /* overdue limit: multiple of the 95th
				 * percentile of the recent latencies */
	/* steer_stall */
	int64_t stall_overdue;	/* overdue requests, minimum */
	int64_t stall_permille; /* of those in flight */
	int64_t stall_quiet_us; /* minimum time without a success */
	/* steer_errors */
	int64_t errors_bad;	 /* failures, minimum */
	int64_t errors_permille; /* of all outcomes */
	/* steer_slow */
	int64_t slow_factor;   /* slow answer: multiple of the median */
	int64_t slow_min_us;   /* lower bound of a slow answer */
	int64_t slow_answers;  /* slow answers, minimum */
	int64_t slow_permille; /* of all answers */
	/* steer_connect */
	int64_t connect_failures; /* in a row */
	/* Escalation */
	int64_t trial_after_us;	     /* time as suspected before a trial */
	int64_t trial_after_hard_us; /* the same if stalled or not connected */
	int64_t trial_spacing_us;    /* between single requests on trial */
	int64_t eject_after_us;	     /* time as unhealthy before an ejection */
	int64_t eject_bad;	     /* failures by then, minimum */
	int64_t eject_recent_us;     /* maximum age of the last failure */
	/* Recovery; times double with each relapse, up to 1 << shift_max */
	int64_t clear_good;	    /* consecutive successes */
	int64_t clear_us;	    /* time without a failure */
	int64_t idle_clear_us;	    /* the same if no work came as evidence */
	int64_t return_good;	    /* successful trials of an ejected server */
	int64_t return_us;	    /* time without a failure */
	int64_t ejected_spacing_us; /* between trials while ejected */
	int64_t shift_max;
	int64_t relapse_us; /* unhealthy again within this time is a relapse */
	/* Common cause */
	int64_t common_permille; /* larger unhealthy shares: common cause */
};

/** Returns the thresholds of a value of "detection". */
const struct hlt_params *hlt_params_of(enum cfg_detection detection);

#endif
