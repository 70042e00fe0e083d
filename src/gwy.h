/**
 * @file gwy.h
 * @brief Gateway task: takes callers' requests and sends each to a target.
 *
 * Every node dispatches for itself: it knows all targets from the directory,
 * its own load on them, and what nodes of its failure domain tell of theirs.
 * A request passes one node of the fleet, so that no other node's loss cuts
 * it, and its answer crosses failure domains only when the target does.
 *
 * A request that may not be repeated is written once; it goes to another
 * target only if the first one says that it has not run it, or nothing was
 * written. A refusal that promises "not run" is given on no other ground.
 *
 * Limits: a node's connections and the bytes of bodies it holds, from its
 * settings.
 */
#ifndef GWY_H
#define GWY_H

#include "dir.h"
#include "node.h"
#include "tgt.h"

struct gwy;

/** Header fields of the platform's requests and answers. */
struct gwy_fields {
	struct tgt_dialect target;
	const char *instance; /* names the server a request is meant for */
	const char *not_run;  /* in an answer: the request has not run */
};

/** Makes the task; binds node->caller. @param dir  owned by the caller */
struct gwy *gwy_new(struct node *node, const struct gwy_fields *fields,
		    struct dir *dir);
void gwy_free(struct gwy *gwy);

#endif
