/**
 * @file rty.h
 * @brief Whether a failed request is tried again, and the budget for that.
 *
 * Pure. A service's budget is a share of its requests plus a small rate, so
 * that a sick service is never sent a storm: over any time, retries are at
 * most RTY_BURST_MAX_MILLI / 1000, plus RTY_RATE_MILLI / 1000 a second, plus
 * retry_percent of the requests.
 */
#ifndef RTY_H
#define RTY_H

#include "aud.h"
#include "fs_err.h"
#include "fs_types.h"

#define RTY_COST_MILLI 1000	  /* one retry, in thousandths */
#define RTY_BURST_MAX_MILLI 10000 /* kept at most for later */
#define RTY_RATE_MILLI 1000	  /* added each second */

/** A budget in thousandths of a retry. */
struct rty_budget {
	int64_t milli;
	int64_t updated_us;
};

/** Fills a budget at its start. */
void rty_budget_init(struct rty_budget *budget, int64_t now_us);

/** Adds the share of one request. */
void rty_budget_earn(struct rty_budget *budget, uint32_t retry_percent,
		     int64_t now_us);

/** Returns what is left in thousandths of a retry. */
int64_t rty_budget_milli(struct rty_budget *budget, int64_t now_us);

/** Takes one retry, which rty_allowed() has granted. */
void rty_budget_spend(struct rty_budget *budget);

/** The numbers of a decision; they are the evidence of its record. */
struct rty_input {
	int64_t repeatable;   /* 1: the route may be repeated */
	int64_t written;      /* 1: a byte may have reached a target */
	int64_t begun;	      /* 1: part of an answer was passed on */
	int64_t tries;	      /* so far */
	int64_t tries_max;    /* at most */
	int64_t budget_milli; /* of the service */
	int64_t remaining_us; /* until the deadline */
	int64_t usable;	      /* other servers that may take it */
};

/**
 * The rule of retries. A request that is not repeatable is only tried again
 * while no byte of it can have reached a target.
 */
bool rty_allowed(const struct rty_input *n);

/** Adds the numbers and the choice to a record of the rule. */
void rty_add_input(struct aud_record *rec, const struct rty_input *n,
		   bool allowed);

#endif
