#include "gry.h"

#include <math.h>

/* Of all targets about one in ten is gray at a time: log(0.1 / 0.9). */
#define PRIOR_ODDS (-2.2)
/* A gray target fails about seven in ten requests, any target two in a
 * hundred. Both figures are cautious readings of the deployments' own. */
#define GRAY_FAILURE 0.7
#define ANY_FAILURE 0.02
/* log(0.7 / 0.02) and log(0.3 / 0.98) */
#define FAILED_STEP 3.5
#define GOOD_STEP (-1.2)
/* Answers break off for other reasons too: log(0.5 / 0.03). */
#define BROKEN_STEP 2.8
/* Slow work is overdue as well, at one request in twenty: log(0.4 / 0.05). */
#define OVERDUE_STEP 2.1
/* A connection that can't be made: a crash or a cut, hardly ever chance. */
#define UNREACHABLE_STEP 5.0
/* Weaker evidence than this does not start the time anew. */
#define AGAINST_STEP 1.0
#define ODDS_MAX 6.0
#define ODDS_MIN (-3.0) /* good work is soon outweighed by failures */
/* What speaks for a target is half forgotten in 2.8 s: spells begin at any
 * time. */
#define MEMORY_US (4 * FS_US_PER_S)
/* Of the targets that failed twice, seven in ten requests still fail three
 * seconds later, one in four after five and one in ten after eight. */
#define HOLD_US (3 * FS_US_PER_S)
#define FADE_US (2 * FS_US_PER_S)

#define SLOWNESS_WEIGHT 0.1 /* of one more answer: the last ten or so */
/* A slow spell passes as well: without answers the target is tried again. */
#define SLOWNESS_MEMORY_US (5 * FS_US_PER_S)
/* Single answers differ by more than this; only what is clearly slow counts. */
#define SLOWNESS_DEAD 1.6
#define SLOWNESS_FAST 0.75 /* faster than this is chance */
#define SLOWNESS_MIN 0.3
#define SLOWNESS_MAX 6.0

void gry_init(struct gry *gry, int64_t now_us)
{
	*gry = (struct gry){
		.slowness = 1.0,
		.updated_us = now_us,
		.timed_us = now_us,
		.failed_us = INT64_MIN / 2,
		.full_us = INT64_MIN / 2,
		.other_us = INT64_MIN / 2,
	};
}

static double odds_at(const struct gry *gry, int64_t now_us)
{
	int64_t memory_us = MEMORY_US;
	int64_t from_us = gry->updated_us;

	if (gry->odds > 0) {
		memory_us = FADE_US;
		from_us = MAX(from_us, gry->failed_us + HOLD_US);
	}
	return gry->odds *
	       exp(-(double)MAX(now_us - from_us, 0) / (double)memory_us);
}

bool gry_may_be_path_fault(enum gry_outcome outcome)
{
	return outcome == GRY_BROKEN || outcome == GRY_OVERDUE ||
	       outcome == GRY_UNREACHABLE;
}

void gry_record_outcome(struct gry *gry, enum gry_outcome outcome,
			double weight, int64_t now_us)
{
	static const double steps[GRY_OUTCOME_COUNT] = {
		[GRY_SUCCESS] = GOOD_STEP,
		[GRY_FAILED] = FAILED_STEP,
		[GRY_BROKEN] = BROKEN_STEP,
		[GRY_OVERDUE] = OVERDUE_STEP,
		[GRY_UNREACHABLE] = UNREACHABLE_STEP,
	};

	gry->known = true;
	if (outcome == GRY_FULL)
		gry->full_us = now_us;
	else if (outcome == GRY_WRONG_SERVER)
		gry->other_us = now_us;
	gry->odds = CLAMP(odds_at(gry, now_us) + weight * steps[outcome],
			  ODDS_MIN, ODDS_MAX);
	gry->updated_us = now_us;
	if (outcome == GRY_SUCCESS)
		gry->failed_run = 0;
	if (weight * steps[outcome] < AGAINST_STEP)
		return;
	gry->failed_us = now_us;
	gry->failed_run++;
}

static double slowness_at(const struct gry *gry, int64_t now_us)
{
	int64_t gap_us = MAX(now_us - gry->timed_us, 0);

	return 1.0 + (gry->slowness - 1.0) *
			     exp(-(double)gap_us / SLOWNESS_MEMORY_US);
}

double gry_slowness(const struct gry *gry, int64_t now_us)
{
	double slowness = slowness_at(gry, now_us);

	if (slowness > 1.0 && slowness < SLOWNESS_DEAD)
		return 1.0;
	return MAX(slowness, SLOWNESS_FAST);
}

void gry_record_response_time(struct gry *gry, int64_t took_us, int64_t mean_us,
			      int64_t now_us)
{
	double ratio;

	if (mean_us <= 0)
		return;
	gry->slowness = slowness_at(gry, now_us);
	gry->timed_us = now_us;
	ratio = CLAMP((double)took_us / (double)mean_us, SLOWNESS_MIN,
		      SLOWNESS_MAX);
	gry->slowness += SLOWNESS_WEIGHT * (ratio - gry->slowness);
}

static double gray_share(const struct gry *gry, int64_t now_us)
{
	return 1.0 / (1.0 + exp(-(PRIOR_ODDS + odds_at(gry, now_us))));
}

double gry_failure_probability(const struct gry *gry, int64_t now_us)
{
	double gray = gray_share(gry, now_us);

	return gray * GRAY_FAILURE + (1.0 - gray) * ANY_FAILURE;
}

bool gry_is_suspected(const struct gry *gry, int64_t now_us)
{
	return gray_share(gry, now_us) > 0.5;
}

const char *gry_outcome_name(enum gry_outcome outcome)
{
	static const char *const names[GRY_OUTCOME_COUNT] = {
		[GRY_SUCCESS] = "good",
		[GRY_FAILED] = "failed",
		[GRY_BROKEN] = "broken",
		[GRY_OVERDUE] = "overdue",
		[GRY_UNREACHABLE] = "unreachable",
		[GRY_FULL] = "full",
		[GRY_WRONG_SERVER] = "other",
	};

	return names[outcome];
}
