/**
 * @file hlt_params.h
 * @brief Thresholds of the judge, one column per word of "detection".
 *
 * The word stands in the operators' text, so that a recorded judgement can be
 * recomputed from the text. docs/CONFIG.md lists the table.
 */
#ifndef HLT_PARAMS_H
#define HLT_PARAMS_H

#include "cfg.h"

/** Thresholds; shares are per 1000. */
struct hlt_params {
	/* Evidence */
	int64_t window_us;	/* outcomes older than this do not count */
	int64_t overdue_min_us; /* no request is overdue earlier */
	int64_t overdue_factor; /* overdue past so many times the 95th
				 * percentile of the shard's recent answers */
	/* steer_stall */
	int64_t stall_overdue;	/* requests overdue at least */
	int64_t stall_permille; /* of those in flight */
	int64_t stall_quiet_us; /* and no good answer for this long */
	/* steer_errors */
	int64_t errors_bad;	 /* bad outcomes at least */
	int64_t errors_permille; /* of all outcomes */
	/* steer_slow */
	int64_t slow_factor;   /* slow: so many times the shard's median */
	int64_t slow_min_us;   /* no answer is slow earlier */
	int64_t slow_answers;  /* slow answers at least */
	int64_t slow_permille; /* of all answers */
	/* steer_connect */
	int64_t connect_failures; /* in a row */
	/* From one level to the next */
	int64_t trial_after_us;	     /* suspect until a trial */
	int64_t trial_after_hard_us; /* the same after a stall or no connect */
	int64_t trial_spacing_us;    /* between single requests on trial */
	int64_t eject_after_us;	     /* sick until an ejection is asked for */
	int64_t eject_bad;	     /* bad outcomes at least until then */
	int64_t eject_recent_us;     /* the last one not longer ago */
	/* Back; times double with each relapse, up to 1 << shift_max */
	int64_t clear_good;    /* good answers in a row */
	int64_t clear_us;      /* without a bad one */
	int64_t idle_clear_us; /* the same if no work came that could tell */
	int64_t return_good;   /* of an ejected server: good trials */
	int64_t return_us;     /* without a bad one */
	int64_t ejected_spacing_us; /* between trials while ejected */
	int64_t shift_max;
	int64_t relapse_us; /* sick again within this is a relapse */
	/* Common cause */
	int64_t common_permille; /* more sick servers than this: common */
};

/** Returns the column of a word. */
const struct hlt_params *hlt_params_of(enum cfg_detection detection);

#endif
