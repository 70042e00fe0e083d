/**
 * @file node.h
 * @brief State shared by the tasks of one daemon, and its event loop.
 */
#ifndef NODE_H
#define NODE_H

#include <ev.h>

#include "aud.h"
#include "brn.h"
#include "bus.h"
#include "ctr.h"
#include "plt.h"
#include "set.h"

#define NODE_STATUS_MAX 12
#define NODE_TICKS_MAX 8
/* One timer for all periodic work reduces wake-ups on small machines. */
#define NODE_TICK_US (100 * FS_US_PER_MS)

/** A section of the operator interface's status page. */
struct node_status {
	const char *name; /* member of the JSON object */
	/** Appends one JSON value. */
	void (*write)(const void *task, GString *out, int64_t now_us);
	const void *task;
};

/** Periodic work of a task. */
struct node_tick {
	void (*fn)(void *task, int64_t now_us);
	void *task;
};

/** Shared by the tasks of one process; set up once, before they start. */
struct node {
	struct ev_loop *loop;
	struct set set;
	node_id self;
	uint64_t incarnation; /* start of the process, wall clock in us */
	struct bus *bus;
	struct ctr *ctr;
	struct aud *aud;
	struct plt *platform;
	struct brn *brn;
	struct node_status status[NODE_STATUS_MAX];
	uint32_t status_count;
	struct node_tick ticks[NODE_TICKS_MAX];
	uint32_t tick_count;
	ev_timer tick;
	bool ready;		   /* a configuration is in force */
	bool stopping;		   /* a planned stop has begun */
	struct sockaddr_in caller; /* bound addresses */
	struct sockaddr_in peer;
	struct sockaddr_in operator;
};

/** Creates the shared objects from node->set, without the platform client. */
void node_open(struct node *node);

/** Frees the shared objects, after the tasks. */
void node_close(struct node *node);

/** Adds a section to the status page. */
void node_add_status(struct node *node, const char *name,
		     void (*write)(const void *task, GString *out,
				   int64_t now_us),
		     const void *task);

/** Calls @p fn every NODE_TICK_US from now on. */
void node_add_tick(struct node *node, void (*fn)(void *task, int64_t now_us),
		   void *task);

/** Stops the periodic calls for @p task. */
void node_remove_tick(struct node *node, const void *task);

/** Begins a planned stop, as SIGTERM does; idempotent. */
void node_begin_stop(struct node *node);

/*
 * Tasks. Creating one binds its sockets and attaches it to the bus; it is freed
 * after the loop has ended. A NULL result means that it could not start; the
 * reason is in the log.
 *
 * A task with requests in flight (entry, dispatch) answers MSG_STOP by
 * MSG_STOPPED to MSG_TASK_NODE once they have ended; the others run until the
 * process ends. The dispatch task gets MSG_STOP once more when the entry task has
 * stopped; it begins no request after its answer to that.
 */
struct ent *ent_new(struct node *node); /* callers; binds node->caller */
void ent_free(struct ent *ent);
struct dsp *dsp_new(struct node *node); /* slots, queues, targets */
void dsp_free(struct dsp *dsp);
struct lnk *lnk_new(struct node *node); /* peer links; binds node->peer */
void lnk_free(struct lnk *lnk);
struct mem *mem_new(struct node *node); /* gossip; uses node->peer, UDP */
void mem_free(struct mem *mem);
struct prb *prb_new(struct node *node); /* probes of targets */
void prb_free(struct prb *prb);
struct ejc *ejc_new(struct node *node); /* ejection records */
void ejc_free(struct ejc *ejc);
struct cnf *cnf_new(struct node *node); /* configuration, VM list */
void cnf_free(struct cnf *cnf);
struct opi *opi_new(struct node *node); /* operators; binds node->operator */
void opi_free(struct opi *opi);

#endif
