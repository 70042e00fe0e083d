/**
 * @file gry.h
 * @brief Judges one target from the outcomes of real work: is it gray?
 *
 * A gray target passes its health checks and fails, hangs or slows a part of
 * its work for some seconds. The judge keeps the odds of that, as a logarithm:
 * each outcome moves them by how much likelier it is at a gray target than at
 * a healthy one, and with time they go back to what holds for any target. So
 * one failure at a target with little work is enough to send work elsewhere.
 * Evidence against a target is held as long as most spells last, then fades, so
 * that the target is tried again.
 *
 * Besides, the judge keeps how slow the target is relative to its service.
 *
 * Pure; outcomes may come from this node or be told by others.
 */
#ifndef GRY_H
#define GRY_H

#include "fs_types.h"

/** An outcome of one request at one target. */
enum gry_outcome {
	GRY_SUCCESS,	  /* a whole answer that is no failure */
	GRY_FAILED,	  /* a whole answer that tells of a failure */
	GRY_BROKEN,	  /* a reset, a cut, bytes that are no answer */
	GRY_OVERDUE,	  /* still nothing when the answer should be there */
	GRY_UNREACHABLE,  /* no connection */
	GRY_FULL,	  /* refused as not run: it has no room */
	GRY_WRONG_SERVER, /* another server has the address */
	GRY_OUTCOME_COUNT,
};

/** State of one target. */
struct gry {
	bool known;	     /* there was an outcome */
	double odds;	     /* natural logarithm; above what holds for any */
	double slowness;     /* time to answer relative to the service's mean */
	int64_t updated_us;  /* when odds were right */
	int64_t failed_us;   /* last outcome against the target */
	uint32_t failed_run; /* outcomes against it since the last good one */
	int64_t timed_us;    /* when slowness was */
	int64_t full_us;     /* last refused for lack of room */
	int64_t other_us;    /* last found to be another server */
};

void gry_init(struct gry *gry, int64_t now_us);

/** Takes an outcome. @param weight 1: seen here; less: told by others */
void gry_record_outcome(struct gry *gry, enum gry_outcome outcome,
			double weight, int64_t now_us);

/** Returns whether an outcome may be due to the way to the target as well. */
bool gry_may_be_path_fault(enum gry_outcome outcome);

/** Takes a time to answer. @param mean_us of the service; 0: unknown */
void gry_record_response_time(struct gry *gry, int64_t took_us, int64_t mean_us,
			      int64_t now_us);

/** Returns how much longer than usual the target takes; 1 if not clearly. */
double gry_slowness(const struct gry *gry, int64_t now_us);

/** Returns how likely a request fails there, from 0 to 1. */
double gry_failure_probability(const struct gry *gry, int64_t now_us);

/** Returns whether the target is more likely gray than not. */
bool gry_is_suspected(const struct gry *gry, int64_t now_us);

const char *gry_outcome_name(enum gry_outcome outcome);

#endif
