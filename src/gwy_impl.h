/**
 * @file gwy_impl.h
 * @brief Parts of the gateway task that its files share.
 */
#ifndef GWY_IMPL_H
#define GWY_IMPL_H

#include "adm.h"
#include "bal.h"
#include "bud.h"
#include "fed.h"
#include "gwy.h"
#include "hld.h"
#include "htd.h"
#include "htd_gone.h"
#include "lod.h"
#include "rty.h"

#define GWY_ATTEMPTS_MAX 6 /* attempts per request; a route allows fewer */

/* The caller's time-out includes the transfer of the answer. */
#define GWY_DEADLINE_MARGIN_US (25 * FS_US_PER_MS)
/* For requests without a limit of the route or of the caller. */
#define GWY_DEADLINE_DEFAULT_US (30 * FS_US_PER_S)
/* Until this long after its start a node defers requests while it has no
 * configuration or directory. When all nodes of a large fleet start at once,
 * loading them takes a second. */
#define GWY_DEFER_MAX_US (1200 * FS_US_PER_MS)
/* No attempt starts with less time left: no target can answer in it. */
#define GWY_TIME_LEFT_MIN_US (20 * FS_US_PER_MS)
/* Another node takes the request of a caller that leaves a stopping one. */
#define GWY_STOPPING_RETRY_AFTER_US (10 * FS_US_PER_MS)

struct gwy_request;

/** One attempt to have a request served. */
struct gwy_attempt {
	struct gwy_request *req;
	struct dir_target *target; /* referenced */
	struct tgt *tgt;	   /* NULL once freed */
	int64_t started_us;
	int64_t wait_us; /* expected wait for a slot, at the start */
	bool in_flight;	 /* occupies a slot at the target */
	bool overdue;	 /* reported as overdue */
	int err;	 /* how it ended */
	uint32_t status;
	bool not_run; /* stated by the target, or nothing was written */
	int64_t took_us;
	bool reused; /* its connection had been used before */
	enum tgt_framing framing;
	int64_t body_bytes; /* of the answer, that were read */
	bool bytes_behind;  /* see struct tgt_result */
};

enum gwy_state {
	GWY_READING,   /* receiving header fields and body */
	GWY_DEFERRED,  /* until this node has its configuration */
	GWY_WAITING,   /* attempts are in flight */
	GWY_STREAMING, /* the answer is forwarded as it arrives */
	GWY_ENDED,     /* the answer is complete, or there will be none */
};

/** One request of a caller. */
struct gwy_request {
	struct gwy *gwy;
	struct MHD_Connection *connection;
	enum gwy_state state;
	bool headers_received;
	bool suspended;
	bool logged;
	bool no_chunks; /* see struct ent_head */
	/* The request */
	char *target;	     /* path and query as received */
	char *id;	     /* the caller's request id */
	char *path;	     /* decoded, for the choice of a route */
	int64_t body_length; /* Content-Length; -1: unknown */
	struct msg *m;	  /* MSG_REQUEST: method, host, target, fields, body */
	GByteArray *body; /* NULL once it is complete, in m */
	int64_t started_us;
	int64_t read_us; /* when its last byte was read */
	int64_t deadline_us;
	int64_t client_timeout_us; /* the caller's time-out; 0: none */
	struct cfg *cfg;
	handle route;
	handle service;
	handle organisation;   /* FS_NONE: of none, or no key is needed */
	const char *key_fault; /* see struct org_caller */
	int err;	       /* found while the body was received */
	/* Attempts */
	struct gwy_attempt attempts[GWY_ATTEMPTS_MAX];
	uint32_t attempt_count;
	uint32_t attempts_in_flight; /* attempts that have not ended */
	uint32_t attempts_sent; /* attempts that may have reached a server */
	bool may_have_run;
	bool has_place; /* of those that the organisation's limit allows */
	bool parked;	/* deferred until a target has capacity */
	bool stop_prevents_retry;    /* a target was there, and nothing else */
	bool decided;		     /* its first decision was made */
	bool yielded;		     /* to more urgent ones, when refused */
	bool rank_denied;	     /* its retry, for more urgent ones */
	bool let_pass;		     /* the more urgent one that was parked */
	uint64_t draw;		     /* random number of the request */
	const char *no_retry_reason; /* why there was no retry, for the log */
	char *quota_state; /* of the limit at a refusal, for the log */
	ev_timer timer;
	unsigned int late_turns; /* see TGT_LATE_TURNS_MAX */
	/* The caller's connection, while suspended. */
	struct htd_gone disconnect_watch;
	/* The answer */
	struct MHD_Response *response;
	struct gwy_attempt *stream_attempt; /* whose body is being forwarded */
	unsigned int status;
	bool stream_ended;
	bool stream_failed;
	bool narrowed; /* the stream was kept from being read ahead */
	/* Memory */
	struct hld_item held;
	size_t expected_bytes; /* of an answer that has not come yet */
	size_t response_bytes; /* of a complete answer */
};

struct gwy {
	struct node *node;
	struct gwy_fields fields;
	struct dir *dir;
	struct htd *htd;
	struct tgt_pool *pool;
	struct lod *lod;
	struct cfg *cfg;
	struct mem_view *view;
	GHashTable *budgets; /* service name to struct bud */
	/* Route name to double *, the mean size of its answers. */
	GHashTable *mean_answer_bytes;
	struct bud_rule budget_rule;
	GHashTable *requests; /* struct gwy_request */
	uint64_t random_state;
	GPtrArray *parked;	/* requests that wait for a target */
	uint64_t id_counter;	/* of requests without an id */
	struct hld hld;		/* memory held for callers */
	uint32_t members_alive; /* live members, this one included */
	double domain_share;	/* fraction of them in this failure domain */
	double place; /* of this node among those of its failure domain */
	bool stopping;
	int64_t started_us;
	int64_t stop_us;	/* when the stop began */
	int64_t last_answer_us; /* of the stop: all requests end by then */
	int64_t exit_us;	/* of the stop: answers are sent until then */
	int64_t ending_us; /* of the first tick after last_answer_us; 0: none */
	ev_timer stop_timer;
	bool quiesced;
	bool delivering; /* the stop waits for callers that still read */
};

/* Callers (gwy_http.c) */

/** Dispatches a deferred request if the node is ready, or refuses it. */
void gwy_http_resume_deferred(struct gwy_request *req, int64_t now_us);
extern const struct htd_ops gwy_http_ops;

/* Requests (gwy_request.c) */
struct gwy_request *gwy_request_new(struct gwy *gwy, const char *target,
				    struct MHD_Connection *connection);
void gwy_request_free(struct gwy_request *req);
void gwy_request_suspend(struct gwy_request *req);
void gwy_request_resume(struct gwy_request *req);
/** Sets the one timer of a request. */
void gwy_request_timer(struct gwy_request *req, int64_t at_us, int64_t now_us);
/** Marks a request as parked, or not. */
void gwy_request_park(struct gwy_request *req, bool parked);
/** Cancels all attempts; their answers are not needed any more. */
void gwy_request_cancel_attempts(struct gwy_request *req);
/** Logs an event of a request, whose id is the caller's own text. @param fields  as
 *  for fs_log_event() */
void gwy_request_log_event(const struct gwy_request *req, GLogLevelFlags level,
			   const char *event, const char *fields);
/** Logs the outcome of a request, once. */
void gwy_request_log(struct gwy_request *req, const char *outcome,
		     int64_t now_us);

/* Choosing a target (gwy_choose.c) */
uint64_t gwy_random(struct gwy *gwy);
/** Returns the latency objective of the route, or its default, in us. */
int64_t gwy_choose_objective(const struct gwy_request *req);
/** Selects among the targets that were not attempted yet. */
struct bal_choice gwy_choose(struct gwy_request *req, int64_t now_us);
/** Selects without regard to failures and failure domains: for a request that
 *  would be refused otherwise, and may be repeated. */
struct bal_choice gwy_choose_last_resort(struct gwy_request *req,
					 int64_t now_us);
/** Returns whether the wait exceeds the time left by more than the tolerance. */
bool gwy_choose_wait_exceeds_deadline(const struct gwy_request *req,
				      int64_t wait_us, int64_t now_us);

/* Overdue answers and hedging (gwy_overdue.c) */
/** Returns after how long an answer is overdue, without the wait for a slot. */
int64_t gwy_overdue_us(const struct gwy_request *req);
/** Returns the latest time at which a hedge is likely answered in time. */
int64_t gwy_overdue_hedge_latest_us(const struct gwy_request *req);
/** Reports newly overdue attempts as evidence. */
void gwy_overdue_report(struct gwy_request *req, int64_t now_us);
/** Returns whether a hedge beside the first attempt is worth its cost. */
bool gwy_overdue_should_hedge(struct gwy_request *req, int64_t now_us);

/* Deadlines (gwy_deadline.c) */
/** Returns the error of a request that ends at its deadline. */
int gwy_deadline_err(const struct gwy_request *req);
/** Ends a request whose deadline has passed. */
void gwy_deadline_passed(struct gwy_request *req, int64_t now_us);

/* Limits of organisations (gwy_quota.c) */

/** Takes a place of a request's organisation.
 *  @return 0, or the time in us until a place is likely */
int64_t gwy_quota_take(struct gwy_request *req, int64_t now_us);
/** Gives the place back if the request has not run. */
void gwy_quota_release(struct gwy_request *req, int64_t now_us);
/** Appends the organisations' buckets in use as a JSON value. */
void gwy_quota_status(const struct gwy *gwy, GString *out, int64_t now_us);

/* Retry budget (gwy_budget.c) */

/** Returns this node's share of the budget of a request's service. */
struct bud *gwy_budget_of(struct gwy_request *req);
/** Returns the rate of callers' requests that this node has for the service. */
double gwy_budget_request_rate(struct gwy_request *req, int64_t now_us);
/** Returns the budget for a retry of a request, in thousandths of a retry. */
int64_t gwy_budget_milli(struct gwy_request *req, int64_t now_us);

/* Attempts (gwy_send.c) */
/** Retries a request or parks it, if the retry rule allows it. */
bool gwy_send_retry(struct gwy_request *req, int64_t now_us);
/** Starts the first attempt for a complete request. */
void gwy_send_first(struct gwy_request *req, int64_t now_us);
/** Sends a parked request, as capacity may be free now, or ends it. */
void gwy_send_parked(struct gwy_request *req, int64_t now_us);
/** Frees the slot of an attempt at its target. */
void gwy_send_release_slot(struct gwy_attempt *t);

/* Rank (gwy_rank.c) */
/** Returns whether the requests of the service differ in rank. */
bool gwy_rank_matters(const struct gwy_request *req);
/** Returns the rank of a request (rnk.h). */
uint32_t gwy_rank_of(const struct gwy_request *req);
/** Counts for the service, by rank if it matters. @param counts  of the request
 *  alone; service and rank are set here */
void gwy_rank_count(const struct gwy_request *req,
		    struct lod_service_counts counts);
/** Returns the share of the rank's requests that may wait for room. */
double gwy_rank_room_share(const struct gwy_request *req, int64_t now_us);
/** Returns whether a request leaves scarce room to more urgent ones. */
bool gwy_rank_yields(const struct gwy_request *req, double room_share);
/** Returns whether a retry leaves enough for those of more urgent requests.
 *  @param left  retries that this node may make */
bool gwy_rank_may_retry(const struct gwy_request *req, double left,
			int64_t now_us);
/** Counts a retry that lacks nothing but budget. @param n  inputs of its rule */
void gwy_rank_count_denied(const struct gwy_request *req,
			   const struct rty_input *n);
/** Lets the most urgent of the parked requests decide before this one, which is
 *  parked for a moment. @return false: there is none, or it has decided */
bool gwy_rank_lets_pass(struct gwy_request *req, int64_t now_us);

/* Time limits (gwy_timer.c) */
/** Sets the timer of a request with attempts in flight to its next decision. */
void gwy_timer_set(struct gwy_request *req, int64_t now_us);
/** Handles the deadline, overdue answers and parked requests. */
void gwy_timer_passed(struct gwy_request *req, int64_t now_us);

/* Outcomes of attempts (gwy_outcome.c) */
/** Reports the end of an attempt as evidence on its target. */
void gwy_outcome_report(struct gwy_attempt *t);
/** Reports what the target states of itself in an answer's header fields. */
void gwy_outcome_report_statement(struct gwy_attempt *t, const GArray *headers,
				  int64_t now_us);

/* Answers (gwy_answer.c) */
/** Forwards a completely buffered answer of a target. */
void gwy_answer_buffered(struct gwy_attempt *t, int64_t now_us);
/** Answers with an error of the fleet. @param retry_after_us 0: no advice */
void gwy_answer_refuse(struct gwy_request *req, int err, int64_t retry_after_us,
		       int64_t now_us);
/** Returns the mean size of the answers of a request's route, 0 if unknown. */
int64_t gwy_answer_mean_bytes(const struct gwy_request *req);
/** Returns the last attempt that brought a complete answer of a target which can
 *  be forwarded, or NULL. */
struct gwy_attempt *gwy_answer_find(struct gwy_request *req);
/** Starts to forward an answer while it arrives. */
void gwy_answer_stream(struct gwy_attempt *t, int64_t now_us);

/* Memory held for callers (gwy_held.c) */
/** Counts anew what a request holds, after a change. */
void gwy_held_update(struct gwy_request *req);
/** Releases what a request holds. */
void gwy_held_release(struct gwy_request *req);
/** Checks whether a body may grow to so many bytes. @return 0 or FS_E_ENTRY_FULL */
int gwy_held_check_body(struct gwy_request *req, size_t bytes);
/** Sets memory aside for the answer to a complete request.
 *  @return 0 or FS_E_ENTRY_FULL */
int gwy_held_reserve(struct gwy_request *req);
/** Some of an answer arrived. Returns whether so many bytes of a stream may be
 *  buffered. */
bool gwy_held_check_answer(struct gwy_request *req, size_t bytes);
/** Appends the state as one JSON value. */
void gwy_held_write_status(const struct gwy *gwy, GString *out);

/* Planned stop (gwy_stop.c) */
void gwy_stop_begin(struct gwy *gwy, int64_t now_us);
void gwy_stop_end(struct gwy *gwy);
/** Limits the deadline of a request to the end of the stop, if there is one. */
void gwy_stop_limit_deadline(struct gwy_request *req);
/** Returns the Retry-After of a refusal for a lack of this node: the caller of a
 *  stopping node goes to another one. */
int64_t gwy_stop_retry_after(const struct gwy *gwy, int64_t usual_us);
/** Returns whether a request was read after callers were to use other nodes, or during
 *  the stop if its answer is long: none that the exit might break off is begun then. */
bool gwy_stop_is_late(const struct gwy_request *req);

/* Returns whether the deadline of a request is the end of a planned stop. */
static inline bool gwy_ends_with_node(const struct gwy_request *req)
{
	return req->gwy->stopping &&
	       req->deadline_us >= req->gwy->last_answer_us;
}

static inline const struct cfg_route *
gwy_route_of(const struct gwy_request *req)
{
	return &req->cfg->routes[req->route];
}

static inline const char *gwy_service_name(const struct gwy_request *req)
{
	return req->cfg->services[req->service].name;
}

#endif
