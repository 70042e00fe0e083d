/**
 * @file dsp_impl.h
 * @brief Objects of the dispatch task, and the functions its files share.
 *
 * A run is one request that was taken and not yet ended. It waits in the queue
 * of its shard, or runs at one server, or is a stream whose last bytes wait
 * for credit of the entry. A shard object is made when there is work for it,
 * and made anew when the configuration changes; what is known of a server by
 * name, above all its requests in flight, outlives that.
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

#define DSP_TICK_US 100000LL	   /* between looks at all shards */
#define DSP_STOP_IDLE_US 500000LL  /* idle so long before MSG_STOPPED */
#define DSP_CONNECT_ATTEMPTS_MAX 3 /* connections for one unwritten request */
#define DSP_HEADERS_TIMEOUT_MIN_US \
	500000LL			 /* least time for a try's first byte */
#define DSP_HEADERS_TIMEOUT_FACTOR 4	 /* times the service's slow answers */
#define DSP_HEADERS_TIMEOUT_PERMILLE 990 /* which answers count as slow */
#define DSP_STREAM_PIECE_BYTES 32768U	 /* bytes of one MSG_PIECE at most */
#define DSP_ATTEMPTS_MAX 8		 /* servers tried for one request */
#define DSP_STREAM_GRACE_US 1000000LL /* past the deadline, for a slow caller */

struct dsp_drain;

/** One server by its name, over changes of the configuration. */
struct dsp_server {
	char *name;
	int refs;
	uint32_t in_flight;
	bool told;		 /* the list of VMs says that it is leaving */
	bool drained;		 /* it said so itself */
	struct dsp_drain *drain; /* whether it still says so */
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
	struct slt_times hold; /* how long requests held a slot of late */
	uint32_t rotate;       /* where ties begin */
};

/** One request that was taken. */
struct dsp_run {
	struct req_id id; /* first: the key of dsp.runs */
	struct dsp *dsp;
	struct dsp_shard *shard;
	struct que_item item;
	struct msg *m; /* the MSG_REQUEST */
	node_id from;
	enum cfg_priority priority;
	int64_t taken_us;
	int64_t deadline_us;
	int64_t allowed_us; /* the route's whole deadline */
	bool repeatable;
	bool keyed; /* its key is taken */
	uint32_t tries_max;
	uint32_t tries;
	struct dsp_server
		*tried[DSP_ATTEMPTS_MAX]; /* the last one is the present */
	bool written;			  /* by a try that has ended */
	int err;			  /* of the last such try */

	/* The exchange in progress */
	struct tgt *tgt;
	bool running; /* it holds a slot */
	uint32_t token;
	int64_t started_us;

	/* A streamed answer */
	bool begun;
	bool ended;	 /* the target has sent all of it */
	uint64_t sent;	 /* bytes */
	uint64_t credit; /* bytes that may be sent in all */
};

/** What is known of a route's good answers. */
struct dsp_route {
	struct slt_times whole; /* until the whole answer */
	struct slt_times head;	/* until its header fields */
};

struct dsp {
	struct node *node;
	struct tgt_pool *pool;
	struct cfg *cfg;
	struct shd_map *map;
	struct mem_view *view;
	GHashTable *shards;  /* key to struct dsp_shard */
	GHashTable *servers; /* name to struct dsp_server */
	GHashTable *told;    /* names of servers told to be leaving */
	GHashTable *budgets; /* service to struct rty_budget */
	GHashTable *routes;  /* name to struct dsp_route */
	GHashTable *records; /* service to the last struct msg_record */
	GHashTable *runs;    /* struct dsp_run by id */
	struct dsp_seen *seen;
	struct key_table *keys;
	GHashTable *handed; /* shard key to node_id that has its keys */
	GHashTable *owned;  /* shards that this node dispatches, by name */
	bool owners_changed;
	int64_t owners_us; /* when they were last looked at */
	ev_timer tick;
	int64_t ticked_us;
	int64_t busy_us; /* when a run was last here */
	bool stopping;
	bool told_stopped;
};

/* dsp_shard.c: shards and servers */

/** Returns the object of a shard, made if need be, or NULL if the
 *  configuration in force has no such shard. */
struct dsp_shard *dsp_shard_get(struct dsp *dsp, const char *service,
				const char *region, uint32_t index,
				int64_t now_us);
void dsp_shard_free(struct dsp_shard *shard);
/** Makes all shard objects anew from the configuration in force. */
void dsp_shard_rebuild(struct dsp *dsp, struct cfg *cfg, int64_t now_us);
/** Returns the index of a server within its shard, or FS_NONE. */
uint32_t dsp_shard_index(const struct dsp_shard *shard,
			 const struct dsp_server *server);
/** Fills in what slt_choose() needs. */
void dsp_shard_slots(const struct dsp_shard *shard, bool repeatable,
		     int64_t now_us, struct slt_server *out);
/** Tells how busy a shard is; NULL: not known. */
struct msg_load dsp_shard_load(const struct dsp_shard *shard, int64_t now_us);
const struct cfg_service *dsp_shard_service(const struct dsp_shard *shard);
/** Returns whether a server of the shard takes no new work. */
bool dsp_server_leaving(const struct dsp_shard *shard, uint32_t i);
void dsp_server_unref(struct dsp *dsp, struct dsp_server *server);

/* dsp_admit.c: arrivals */

/** Takes MSG_REQUEST; the parts of the message may be stolen. */
void dsp_admit(struct dsp *dsp, struct msg *m, int64_t now_us);
/** Fills in the numbers of an admission. */
void dsp_admit_inputs(const struct dsp_run *run, int64_t now_us,
		      struct slt_inputs *n);

/** Returns what is known of a run's route, made if need be. */
struct dsp_route *dsp_route_of(const struct dsp_run *run);
/** Returns the retry budget of a service. */
struct rty_budget *dsp_budget_of(struct dsp *dsp, const char *service,
				 int64_t now_us);

/* dsp_run.c: from the queue to the end */

/** Returns the server of the present or last try, or NULL. */
struct dsp_server *dsp_run_server(const struct dsp_run *run);
/** Returns how many servers other than the tried ones may take the run; the
 *  last one counts as well if @p same. */
uint32_t dsp_run_count_alternatives(const struct dsp_run *run, bool same,
				    int64_t now_us);
/** Waits for another try, before all others of its priority. */
void dsp_run_requeue(struct dsp_run *run, int err, int64_t now_us);

/** Starts whatever can be started, after dropping what is too late. */
void dsp_run_start_queued(struct dsp_shard *shard, int64_t now_us);
/** Frees a run that has ended; its key and id are settled. */
void dsp_run_end(struct dsp_run *run, enum fs_outcome outcome, int64_t now_us);
/** Ends a run with a refusal. */
void dsp_run_refuse(struct dsp_run *run, int err, enum fs_outcome outcome,
		    int64_t retry_after_us, int64_t now_us);
/** Refuses a run that waits, with a record; an error of a try that was written
 *  goes before @p err. */
void dsp_run_refuse_queued(struct dsp_run *run, int err, int64_t now_us);
/** Returns what may be said of a run that ends without an answer. */
enum fs_outcome dsp_run_outcome(const struct dsp_run *run);

/* dsp_exchange.c: one try at one server */

/** Starts a try at server @p i of the shard. */
void dsp_exchange_begin(struct dsp_run *run, uint32_t i, int64_t now_us);
/** Stops the try in progress, if any, and frees its slot. */
void dsp_exchange_stop(struct dsp_run *run, int64_t now_us);
/** Returns whether the run may be tried again now. */
bool dsp_exchange_may_retry(struct dsp_run *run, bool written, bool same,
			    int64_t now_us, struct rty_input *n);

/* dsp_stream.c: long answers */
void dsp_stream_begin(struct dsp_run *run, int64_t now_us);
void dsp_stream_send(struct dsp_run *run, int64_t now_us);
void dsp_stream_credit(struct dsp_run *run, uint32_t bytes, int64_t now_us);

/* dsp_cancel.c */
void dsp_cancel(struct dsp *dsp, const struct msg *m, int64_t now_us);
/** Messages to a node may have been lost: its streams have a gap. */
void dsp_cancel_streams(struct dsp *dsp, node_id node, int64_t now_us);
/** Withdraws all that came from nodes that are dead by the view. */
void dsp_cancel_dead(struct dsp *dsp, int64_t now_us);

/* dsp_reply.c: messages to entries */
void dsp_reply_refusal(struct dsp *dsp, node_id to, const struct req_id *id,
		       const struct msg_refusal *refusal);
void dsp_reply_answer(struct dsp_run *run, enum fs_outcome outcome, bool last,
		      int64_t now_us);

/* dsp_audit.c: records */
void dsp_audit_refusal(const struct dsp_run *run, int err,
		       const struct slt_inputs *n, int64_t now_us);
/** A refusal of a request that was not taken. */
void dsp_audit_reject(struct dsp *dsp, const struct msg_request *request,
		      int err, int64_t now_us);
void dsp_audit_retry(const struct dsp_run *run, const struct rty_input *n,
		     bool allowed, int64_t now_us);
void dsp_audit_drain(struct dsp *dsp, const char *service, const char *server,
		     const char *choice, int64_t now_us);

/* dsp_judge.c: health */
void dsp_health_tick(struct dsp_shard *shard, int64_t now_us);
void dsp_health_record(struct dsp *dsp, struct msg *m, int64_t now_us);
/** Applies the known record of the service to a new shard object. */
void dsp_health_apply_record(struct dsp_shard *shard, int64_t now_us);
void dsp_health_probe(struct dsp *dsp, const struct msg *m, int64_t now_us);

/** Tells the judges of shards whether a service they depend on is sick, as far
 *  as this node knows. */
void dsp_health_dependencies(struct dsp *dsp);

/* dsp_owner.c */

/** Records shards that this node has begun or ceased to dispatch. */
void dsp_owner_tick(struct dsp *dsp, int64_t now_us);

/* dsp_leave.c: leaving targets and planned stops */
void dsp_leave_targets(struct dsp *dsp, const struct msg *m, int64_t now_us);
/** The server said in an answer whether it is leaving. */
void dsp_leave_answer(struct dsp_shard *shard, struct dsp_server *server,
		      bool draining, int64_t now_us);
/** Asks servers that said they are leaving whether that still holds. */
void dsp_drain_tick(struct dsp *dsp, int64_t now_us);
void dsp_drain_free(struct dsp_drain *drain);
/** Returns whether a server that said it is leaving may be used again.
 *  @param gone      it has refused a connection since
 *  @param clean_us  it has answered without the signal for so long */
bool dsp_drain_has_ended(bool gone, int64_t clean_us);
void dsp_leave_stop(struct dsp *dsp, int64_t now_us);
void dsp_leave_tick(struct dsp *dsp, int64_t now_us);

/* dsp_handover.c: idempotency keys follow the owner of their shard */

/** Sends the keys of shards that have got another owner to that node. */
void dsp_handover_send(struct dsp *dsp, int64_t now_us);
/** Tells another owner of a key that was taken or spent here. */
void dsp_handover_key(const struct dsp_run *run, bool in_flight,
		      int64_t now_us);
void dsp_handover_receive(struct dsp *dsp, const struct msg *m, int64_t now_us);

/* dsp_status.c */
void dsp_status_write(const void *task, GString *out, int64_t now_us);

/** Counts an event of the dispatcher, by service if it is not NULL. */
void dsp_count(struct dsp *dsp, const char *event, const char *service);

#endif
