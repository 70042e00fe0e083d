#include "gry.h"

#include <math.h>

/* Prior: one target in ten is gray: log(0.1 / 0.9). */
#define PRIOR_LOG_ODDS (-2.2)
/* A gray target fails about 70 % of its requests, any other 2 %. Both are
 * conservative readings of the figures of the deployments. */
#define GRAY_FAILURE 0.7
#define ANY_FAILURE 0.02
/* log(0.7 / 0.02) and log(0.3 / 0.98) */
#define FAILED_STEP 3.5
#define SUCCESS_STEP (-1.2)
/* Answers are also cut off for other reasons: log(0.5 / 0.03). */
#define BROKEN_STEP 2.8
/* Slow work makes one request in twenty overdue at a healthy target as well:
 * log(0.4 / 0.05). */
#define OVERDUE_STEP 2.1
/* A failed connect is a crash or a network cut, hardly ever chance. */
#define UNREACHABLE_STEP 5.0
/* Weaker evidence does not restart the hold time. */
#define FAILURE_STEP_MIN 1.0
#define LOG_ODDS_MAX 6.0
#define LOG_ODDS_MIN (-3.0) /* failures soon outweigh any number of successes */
/* Successes have a half-life of 2.8 s: a fault may start at any time. */
#define SUCCESS_DECAY_US (4 * FS_US_PER_S)
/* Of the targets that failed twice, 70 % of the requests still fail after 3 s,
 * 25 % after 5 s and 10 % after 8 s. */
#define FAILURE_HOLD_US (3 * FS_US_PER_S)
#define FAILURE_DECAY_US (2 * FS_US_PER_S)

#define SLOWNESS_WEIGHT 0.1 /* of a new sample: averages about the last ten */
/* A slow episode ends as well: without answers the target is tried again. */
#define SLOWNESS_DECAY_US (5 * FS_US_PER_S)
/* The variance of single answers exceeds this; only a clearly slow target
 * counts. */
#define SLOWNESS_DEADBAND_MAX 1.6
#define SLOWNESS_REPORTED_MIN 0.75 /* lower values are chance */
#define SLOWNESS_MIN 0.3
#define SLOWNESS_MAX 6.0

void gry_init(struct gry *gry, int64_t now_us)
{
	*gry = (struct gry){
		.slowness = 1.0,
		.updated_us = now_us,
		.slowness_updated_us = now_us,
		.failed_us = INT64_MIN / 2,
		.full_us = INT64_MIN / 2,
		.wrong_server_us = INT64_MIN / 2,
	};
}

static double log_odds_at(const struct gry *gry, int64_t now_us)
{
	int64_t decay_us = SUCCESS_DECAY_US;
	int64_t from_us = gry->updated_us;

	if (gry->log_odds > 0) {
		decay_us = FAILURE_DECAY_US;
		from_us = MAX(from_us, gry->failed_us + FAILURE_HOLD_US);
	}
	return gry->log_odds *
	       exp(-(double)MAX(now_us - from_us, 0) / (double)decay_us);
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
		[GRY_SUCCESS] = SUCCESS_STEP,
		[GRY_FAILED] = FAILED_STEP,
		[GRY_BROKEN] = BROKEN_STEP,
		[GRY_OVERDUE] = OVERDUE_STEP,
		[GRY_UNREACHABLE] = UNREACHABLE_STEP,
	};

	gry->has_outcome = true;
	if (outcome == GRY_FULL)
		gry->full_us = now_us;
	else if (outcome == GRY_WRONG_SERVER)
		gry->wrong_server_us = now_us;
	gry->log_odds =
		CLAMP(log_odds_at(gry, now_us) + weight * steps[outcome],
		      LOG_ODDS_MIN, LOG_ODDS_MAX);
	gry->updated_us = now_us;
	if (outcome == GRY_SUCCESS)
		gry->consecutive_failures = 0;
	if (weight * steps[outcome] < FAILURE_STEP_MIN)
		return;
	gry->failed_us = now_us;
	gry->consecutive_failures++;
}

static double slowness_at(const struct gry *gry, int64_t now_us)
{
	int64_t age_us = MAX(now_us - gry->slowness_updated_us, 0);

	return 1.0 +
	       (gry->slowness - 1.0) * exp(-(double)age_us / SLOWNESS_DECAY_US);
}

double gry_slowness(const struct gry *gry, int64_t now_us)
{
	double slowness = slowness_at(gry, now_us);

	if (slowness > 1.0 && slowness < SLOWNESS_DEADBAND_MAX)
		return 1.0;
	return MAX(slowness, SLOWNESS_REPORTED_MIN);
}

void gry_record_response_time(struct gry *gry, int64_t took_us, int64_t mean_us,
			      int64_t now_us)
{
	double ratio;

	if (mean_us <= 0)
		return;
	gry->slowness = slowness_at(gry, now_us);
	gry->slowness_updated_us = now_us;
	ratio = CLAMP((double)took_us / (double)mean_us, SLOWNESS_MIN,
		      SLOWNESS_MAX);
	gry->slowness += SLOWNESS_WEIGHT * (ratio - gry->slowness);
}

static double gray_probability(const struct gry *gry, int64_t now_us)
{
	return 1.0 / (1.0 + exp(-(PRIOR_LOG_ODDS + log_odds_at(gry, now_us))));
}

double gry_failure_probability(const struct gry *gry, int64_t now_us)
{
	double gray = gray_probability(gry, now_us);

	return gray * GRAY_FAILURE + (1.0 - gray) * ANY_FAILURE;
}

bool gry_is_suspected(const struct gry *gry, int64_t now_us)
{
	/* Evidence only decays. */
	if (gry->log_odds <= -PRIOR_LOG_ODDS)
		return false;
	return gray_probability(gry, now_us) > 0.5;
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
