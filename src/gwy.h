/**
 * @file gwy.h
 * @brief Gateway task: accepts callers' requests and proxies each to a target.
 *
 * Every node dispatches by itself: it knows all targets from the directory,
 * its own load on them, and the load that nodes of its failure domain report.
 * A request passes through one node of the fleet, so that the loss of another
 * node does not cut it, and its answer crosses failure domains only when the
 * target is in another one.
 *
 * A request that is not repeatable is written once. It goes to another target
 * only if the first one states that it has not run it, or if nothing was
 * written. A refusal states "not run" in these cases only.
 *
 * Limits: a node's connections and the bytes of buffered bodies, from its
 * settings.
 */
#ifndef GWY_H
#define GWY_H

#include "dir.h"
#include "node.h"
#include "stm.h"
#include "tgt.h"

struct gwy;

/** Header fields of the platform's requests and answers. */
struct gwy_fields {
	struct tgt_dialect target;
	const char *instance;	  /* the server that a request is meant for */
	const char *not_run;	  /* in an answer: the request has not run */
	const char *organisation; /* tells a target the caller's organisation */
	/** Reads what a target states of itself. */
	void (*read_statement)(uint32_t status, const GArray *headers,
			       struct stm *out);
};

/** Creates the task; binds node->caller. @param dir  owned by the caller */
struct gwy *gwy_new(struct node *node, const struct gwy_fields *fields,
		    struct dir *dir);
void gwy_free(struct gwy *gwy);

#endif
