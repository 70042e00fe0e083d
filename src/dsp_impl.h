/**
 * @file dsp_impl.h
 * @brief Objects of the dispatch task, and the functions its files share.
 *
 * A run is one accepted request that has not ended. It waits in the queue of
 * its shard, is in flight at one server, or is a stream whose last bytes wait
 * for credit from the entry. A shard object is created on first use and again
 * on each change of the configuration; the state of a server, above all its
 * count of requests in flight, is kept by name and outlives the change.
 */
#ifndef DSP_IMPL_H
#define DSP_IMPL_H

#include "dsp_seen.h"
#include "hlt.h"
#include "key.h"
#include "fs_log.h"
#include "node.h"
#include "que.h"
#include "rty.h"
#include "shd.h"
#include "slt.h"
#include "tgt.h"

#define DSP_TICK_US 100000LL	   /* between checks of all shards */
#define DSP_STOP_IDLE_US 500000LL  /* idle time before MSG_STOPPED */
#define DSP_CONNECT_ATTEMPTS_MAX 3 /* connections per unwritten request */
#define DSP_HEADERS_TIMEOUT_MIN_US 500000LL /* for the first byte */
#define DSP_HEADERS_TIMEOUT_FACTOR 4	    /* times slow answers */
#define DSP_HEADERS_TIMEOUT_PERMILLE 990    /* quantile of slow answers */
#define DSP_STREAM_PIECE_BYTES 32768U	    /* most bytes in one MSG_PIECE */
#define DSP_ATTEMPTS_MAX 8		    /* servers tried per request */
#define DSP_STREAM_GRACE_US 1000000LL /* past the deadline, for a slow caller */

struct dsp_drain;

/** One server, by name; outlives changes of the configuration. */
struct dsp_server {
	char *name;
	int refs;
	uint32_t in_flight;
	bool reported_leaving;	 /* by the list of VMs */
	bool signalled_draining; /* by its own answer */
	struct dsp_drain *drain; /* check whether it still drains */
};

/** One shard that has work. */
struct dsp_shard {
	struct dsp *dsp;
	char *key; /* service, region, index: its key in dsp.shards */
	struct cfg *cfg;
	const struct shd_shard *shard; /* in dsp.map */
	uint32_t count;
	struct dsp_server *servers[FS_SHARD_SERVERS_MAX];
	struct hlt_shard *hlt;
	struct que que;
	struct slt_times slot_times; /* recent slot occupancy times */
	uint32_t rotate;	     /* tie-break: first index */
};

/** One accepted request. */
struct dsp_run {
	struct req_id id; /* first: the key of dsp.runs */
	struct dsp *dsp;
	struct dsp_shard *shard;
	struct que_item item;
	struct msg *m; /* the MSG_REQUEST */
	node_id from;
	enum cfg_priority priority;
	int64_t accepted_us;
	int64_t deadline_us;
	int64_t route_deadline_us; /* relative */
	bool repeatable;
	bool holds_key; /* its idempotency key is reserved */
	uint32_t tries_max;
	uint32_t tries;
	struct dsp_server *tried[DSP_ATTEMPTS_MAX]; /* the last one is current */
	bool written; /* by an attempt that has ended */
	int err;      /* of the last such attempt */

	/* The exchange in progress */
	struct tgt *tgt;
	bool holds_slot;
	uint32_t token;
	int64_t started_us;

	/* A streamed answer */
	bool streaming;
	bool body_complete; /* the target has sent all of the body */
	uint64_t sent;	    /* bytes */
	uint64_t credit;    /* total bytes that may be sent */
};

/** Response times of a route's successful answers. */
struct dsp_route {
	struct slt_times total_times;	/* until the answer was complete */
	struct slt_times headers_times; /* until its header fields */
};

struct dsp {
	struct node *node;
	struct tgt_pool *pool;
	struct cfg *cfg;
	struct shd_map *map;
	struct mem_view *view;
	GHashTable *shards;	      /* key to struct dsp_shard */
	GHashTable *servers;	      /* name to struct dsp_server */
	GHashTable *reported_leaving; /* names of servers, by the list of VMs */
	GHashTable *budgets;	      /* service to struct rty_budget */
	GHashTable *routes;	      /* name to struct dsp_route */
	GHashTable *records;	      /* service to its last MSG_RECORD */
	GHashTable *runs;	      /* struct dsp_run by id */
	struct dsp_seen *seen;
	struct key_table *keys;
	GHashTable *handed_over; /* shard key to node_id that has its keys */
	GHashTable *owned;	 /* shards that this node dispatches, by name */
	bool owners_changed;
	int64_t owners_us; /* last check of owners */
	ev_timer tick;
	int64_t ticked_us;
	int64_t busy_us; /* last time with a run */
	bool stopping;
	bool entry_stopped; /* the next MSG_STOPPED ends the process */
	bool stopped_sent;
};

/* dsp_shard.c: shards and servers */

/** Returns the object of a shard, created if missing, or NULL if the
 *  configuration in force has no such shard. */
struct dsp_shard *dsp_shard_get(struct dsp *dsp, const char *service,
				const char *region, uint32_t index,
				int64_t now_us);
void dsp_shard_free(struct dsp_shard *shard);
/** Recreates all shard objects from @p cfg, with their state. */
void dsp_shard_rebuild(struct dsp *dsp, struct cfg *cfg, int64_t now_us);
/** Returns the index of a server within its shard, or FS_NONE. */
uint32_t dsp_shard_index(const struct dsp_shard *shard,
			 const struct dsp_server *server);
/** Fills in the servers' slots for slt_choose(). */
void dsp_shard_slots(const struct dsp_shard *shard, bool repeatable,
		     int64_t now_us, struct slt_server *out);
/** Returns the load of a shard, or zeros for NULL. */
struct msg_load dsp_shard_load(const struct dsp_shard *shard, int64_t now_us);
const struct cfg_service *dsp_shard_service(const struct dsp_shard *shard);
/** Returns whether a server of the shard accepts no new requests. */
bool dsp_server_leaving(const struct dsp_shard *shard, uint32_t i);
void dsp_server_unref(struct dsp *dsp, struct dsp_server *server);

/* dsp_admit.c: arrivals */

/** Handles MSG_REQUEST; may take ownership of the message's contents. */
void dsp_admit(struct dsp *dsp, struct msg *m, int64_t now_us);
/** Fills in the inputs of an admission decision. */
void dsp_admit_inputs(const struct dsp_run *run, int64_t now_us,
		      struct slt_inputs *n);

/** Returns the stats of a run's route, created if missing. */
struct dsp_route *dsp_route_of(const struct dsp_run *run);
/** Returns the retry budget of a service. */
struct rty_budget *dsp_budget_of(struct dsp *dsp, const char *service,
				 int64_t now_us);

/* dsp_run.c: from the queue to the end */

/** Returns the server of the current or last attempt, or NULL. */
struct dsp_server *dsp_run_server(const struct dsp_run *run);
/** Returns the number of servers that accept work, without the server of the
 *  last attempt unless @p same is set. */
uint32_t dsp_run_count_alternatives(const struct dsp_run *run, bool same,
				    int64_t now_us);
/** Queues a run for a retry, ahead of all others of its priority. */
void dsp_run_requeue(struct dsp_run *run, int err, int64_t now_us);

/** Starts queued runs while there is capacity, after refusing expired ones. */
void dsp_run_start_queued(struct dsp_shard *shard, int64_t now_us);
/** Ends and frees a run, and records the outcome for its key and id. */
void dsp_run_end(struct dsp_run *run, enum fs_outcome outcome, int64_t now_us);
/** Ends a run with a refusal. */
void dsp_run_refuse(struct dsp_run *run, int err, enum fs_outcome outcome,
		    int64_t retry_after_us, int64_t now_us);
/** Refuses a queued run and records that; the error of an attempt that was
 *  written takes precedence over @p err. */
void dsp_run_refuse_queued(struct dsp_run *run, int err, int64_t now_us);
/** Returns the outcome of a run that ends without an answer. */
enum fs_outcome dsp_run_outcome(const struct dsp_run *run);

/* dsp_exchange.c: one attempt at one server */

/** Starts an attempt at server @p i of the shard. */
void dsp_exchange_begin(struct dsp_run *run, uint32_t i, int64_t now_us);
/** Stops the attempt in progress, if any, and frees its slot. */
void dsp_exchange_stop(struct dsp_run *run, int64_t now_us);
/** Returns whether the run may be retried now.
 *  @param written  the last attempt was written to the target
 *  @param same     the last server may be used again
 *  @param n        out: inputs of the decision */
bool dsp_exchange_may_retry(struct dsp_run *run, bool written, bool same,
			    int64_t now_us, struct rty_input *n);

/* dsp_stream.c: streamed answers */
void dsp_stream_begin(struct dsp_run *run, int64_t now_us);
void dsp_stream_send(struct dsp_run *run, int64_t now_us);
void dsp_stream_credit(struct dsp_run *run, uint32_t bytes, int64_t now_us);

/* dsp_cancel.c */
void dsp_cancel(struct dsp *dsp, const struct msg *m, int64_t now_us);
/** Ends streams to a node after a lost link: pieces may be missing. */
void dsp_cancel_streams(struct dsp *dsp, node_id node, int64_t now_us);
/** Cancels all runs from nodes that are dead in the view. */
void dsp_cancel_dead(struct dsp *dsp, int64_t now_us);

/* dsp_reply.c: messages to entries */
void dsp_reply_refusal(struct dsp *dsp, node_id to, const struct req_id *id,
		       const struct msg_refusal *refusal);
void dsp_reply_answer(struct dsp_run *run, enum fs_outcome outcome, bool last,
		      int64_t now_us);

/* dsp_audit.c: records */
void dsp_audit_refusal(const struct dsp_run *run, int err,
		       const struct slt_inputs *n, int64_t now_us);
/** Records the refusal of a request that was not accepted. */
void dsp_audit_reject(struct dsp *dsp, const struct msg_request *request,
		      int err, int64_t now_us);
void dsp_audit_retry(const struct dsp_run *run, const struct rty_input *n,
		     bool allowed, int64_t now_us);
void dsp_audit_drain(struct dsp *dsp, const char *service, const char *server,
		     const char *choice, int64_t now_us);

/* dsp_judge.c: health */
void dsp_health_tick(struct dsp_shard *shard, int64_t now_us);
void dsp_health_record(struct dsp *dsp, struct msg *m, int64_t now_us);
/** Applies the stored record of the service to a new shard object. */
void dsp_health_apply_record(struct dsp_shard *shard, int64_t now_us);
void dsp_health_probe(struct dsp *dsp, const struct msg *m, int64_t now_us);

/** Sets for each shard whether a service it depends on is unhealthy, by this
 *  node's own evidence and the ejection records. */
void dsp_health_dependencies(struct dsp *dsp);

/* dsp_owner.c */

/** Records shards that this node has started or stopped dispatching. */
void dsp_owner_tick(struct dsp *dsp, int64_t now_us);

/* dsp_leave.c: leaving targets and planned stops */
void dsp_leave_targets(struct dsp *dsp, const struct msg *m, int64_t now_us);
/** Applies the draining signal of a server's answer. */
void dsp_leave_answer(struct dsp_shard *shard, struct dsp_server *server,
		      bool draining, int64_t now_us);
/** Checks whether servers that signalled draining still do. */
void dsp_drain_tick(struct dsp *dsp, int64_t now_us);
void dsp_drain_free(struct dsp_drain *drain);
/** Returns whether a server that signalled draining may be used again.
 *  @param refused   it has refused a connection since
 *  @param clear_us  time for which it has answered without the signal */
bool dsp_drain_has_ended(bool refused, int64_t clear_us);
void dsp_leave_stop(struct dsp *dsp, int64_t now_us);
/** Returns whether the process ends before a request could be run. */
bool dsp_leave_has_ended(const struct dsp *dsp);
void dsp_leave_tick(struct dsp *dsp, int64_t now_us);

/* dsp_handover.c: idempotency keys follow the owner of their shard */

/** Sends the keys of shards that have a new owner to that node. */
void dsp_handover_send(struct dsp *dsp, int64_t now_us);
/** Sends a key that was reserved or spent here to its shard's new owner. */
void dsp_handover_key(const struct dsp_run *run, bool in_flight,
		      int64_t now_us);
void dsp_handover_receive(struct dsp *dsp, const struct msg *m, int64_t now_us);

/* dsp_status.c */
void dsp_status_write(const void *task, GString *out, int64_t now_us);

/** Counts an event of the dispatcher, by service if it is not NULL. */
void dsp_count(struct dsp *dsp, const char *event, const char *service);

#endif
