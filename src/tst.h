/**
 * @file tst.h
 * @brief State of a target by its own statements: that it leaves, the limit that it
 * names, and until when it wants nothing. Pure.
 *
 * A target's own word goes before what others think of it, and is no failure: it
 * changes neither its health nor what is expected of it. A new instance of a server
 * begins with no statements.
 */
#ifndef TST_H
#define TST_H

#include "lim.h"

/** Statements of one target, as one node knows them. */
struct tst {
	struct lim limit;
	bool leaving;	       /* stays so until the instance ends */
	int64_t not_before_us; /* this node's requests are turned away until then */
};

/** Whether, and why not, a request may be sent. */
enum tst_verdict {
	TST_ACCEPTS,
	TST_LEAVING,
	TST_NOT_BEFORE,
	TST_LIMITED,
};

/**
 * Applies a statement.
 * @param own  from an answer to this node. Others are not bound by what a target
 *             says of when to come back, and their statements do not bind it.
 * @return whether peers should know of a change
 */
bool tst_apply(struct tst *tst, const struct stm *stm, bool own,
	       int64_t stated_us, int64_t now_us);

/** Returns whether anything was stated that still holds. */
bool tst_has_statement(const struct tst *tst, int64_t now_us);

/** Decides on one request. @param query  its draw, for a limit */
enum tst_verdict tst_decide(const struct tst *tst,
			    const struct lim_query *query, int64_t now_us);

#endif
