/**
 * @file rty.h
 * @brief The retry rule and the retry budget. Pure.
 *
 * A service's budget is a share of its requests plus a small rate, so that
 * retries do not overload an unhealthy service: over any time, retries are at
 * most RTY_BURST_MAX_MILLI / 1000, plus RTY_RATE_MILLI / 1000 a second, plus
 * retry_percent of the requests.
 */
#ifndef RTY_H
#define RTY_H

#include "aud.h"
#include "fs_err.h"
#include "fs_types.h"

#define RTY_COST_MILLI 1000	  /* one retry, in thousandths */
#define RTY_BURST_MAX_MILLI 10000 /* most that accumulates */
#define RTY_RATE_MILLI 1000	  /* added per second */

/** A budget in thousandths of a retry. */
struct rty_budget {
	int64_t milli;
	int64_t updated_us;
};

/** Initialises a budget to its maximum. */
void rty_budget_init(struct rty_budget *budget, int64_t now_us);

/** Adds the share of one request to the budget. */
void rty_budget_earn(struct rty_budget *budget, uint32_t retry_percent,
		     int64_t now_us);

/** Returns the budget that is left, in thousandths of a retry. */
int64_t rty_budget_milli(struct rty_budget *budget, int64_t now_us);

/** Spends one retry that rty_allowed() has granted. */
void rty_budget_spend(struct rty_budget *budget);

/** Inputs of a decision, which its audit record lists as evidence. */
struct rty_input {
	int64_t repeatable;   /* 1: the route is repeatable */
	int64_t written;      /* 1: a byte may have reached a target */
	int64_t begun;	      /* 1: part of an answer was forwarded */
	int64_t tries;	      /* so far */
	int64_t tries_max;    /* at most */
	int64_t budget_milli; /* of the service */
	int64_t remaining_us; /* until the deadline */
	int64_t usable;	      /* other servers that may serve it */
};

/**
 * The retry rule. A request that is not repeatable is retried only while no
 * byte of it can have reached a target.
 */
bool rty_allowed(const struct rty_input *n);

/** Adds the inputs and the choice to an audit record of the rule. */
void rty_add_input(struct aud_record *rec, const struct rty_input *n,
		   bool allowed);

#endif
