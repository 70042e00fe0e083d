/**
 * @file ent.h
 * @brief Entry task: takes callers' requests and gives them their answers.
 *
 * A request is checked, routed, and sent to the dispatcher of a shard. Its
 * caller is answered from that dispatcher's answer or refusal. Refusals of the
 * entry's own say "not run" only if no dispatcher was sent the request, or if
 * the one that was has confirmed it; else "unknown".
 *
 * A request id is sent to a node at most once, so that an answer belongs to
 * its request by the id and the node it comes from.
 *
 * Limits: ENT_REQUESTS_MAX requests, ENT_BODY_BYTES_MAX bytes of their bodies,
 * FS_ANSWER_WINDOW bytes of each streamed answer.
 */
#ifndef ENT_H
#define ENT_H

#include "ent_check.h"
#include "ent_pick.h"
#include "htd.h"
#include "htd_gone.h"
#include "node.h"
#include "rte.h"
#include "rty.h"

#define ENT_REQUESTS_MAX 4096	      /* requests in flight */
#define ENT_BODY_BYTES_MAX (16 << 20) /* bytes of all request bodies */
#define ENT_READ_TIMEOUT_US \
	(20 * FS_US_PER_S) /* a request must arrive within */
#define ENT_DEADLINE_GRACE_US (250 * FS_US_PER_MS) /* after the deadline */
#define ENT_CANCEL_TIMEOUT_US \
	(150 * FS_US_PER_MS)		   /* for a cancel's confirmation */
#define ENT_LINK_LOSS_GRACE_US FS_US_PER_S /* after a link broke */
#define ENT_LEAVE_PROPAGATION_US \
	(2 * FS_US_PER_S) /* for the news of leaving to spread */
#define ENT_IDLE_BEFORE_STOP_US \
	(200 * FS_US_PER_MS) /* nothing in flight before an end */

enum ent_state {
	ENT_READING,	/* from the caller */
	ENT_SENT,	/* a dispatcher has it */
	ENT_CANCELLING, /* the dispatcher was asked to withdraw it */
	ENT_STREAMING,	/* part of the answer is passed on */
	ENT_ENDED,	/* the whole answer or a refusal is chosen */
};

/** Body of a streamed answer between dispatcher and caller. */
struct ent_stream {
	GQueue pieces;	   /* GBytes */
	size_t taken;	   /* bytes of the first piece that the caller has */
	size_t buffered;   /* bytes of all pieces that it does not have */
	uint64_t received; /* offset of the next piece */
	int64_t length;	   /* -1: not known before */
	uint32_t credit;   /* bytes taken and not told yet */
	bool last;	   /* the last piece has come */
	bool cut;	   /* the rest will not come */
};

/** One request of a caller, from its first line until MHD is done with it. */
struct ent_request {
	struct ent *ent;
	struct MHD_Connection *connection;
	struct req_id id;
	enum ent_state state;
	int64_t started_us;
	int64_t deadline_us;
	/* As received */
	char *target;
	char *path; /* decoded */
	char *method;
	GArray *headers;
	GByteArray *body;
	struct ent_head head;
	bool begun; /* header fields are checked */
	int err;    /* found while the body was read */
	uint32_t body_max;
	uint64_t body_bytes; /* seen, also past the limit */
	/* Where it goes */
	struct cfg *cfg;
	handle route;
	handle service;
	handle shard;
	node_id node; /* that has it now */
	node_id used[ENT_NODES_MAX];
	uint32_t used_count;
	uint32_t tries; /* nodes that may have run it */
	uint32_t moves; /* to another shard */
	bool ambiguous; /* a lost dispatcher may have run it as well */
	/* The answer */
	bool suspended;
	struct MHD_Response *response;
	unsigned int status;
	struct ent_stream stream;
	bool good; /* no server error */
	char *server;
	uint32_t targets; /* tried, as the dispatcher told */
	bool noted;
	/* Watchers */
	ev_timer timer;
	struct htd_gone gone; /* the caller's socket, while suspended */
};

struct ent {
	struct node *node;
	struct htd *htd;
	struct cfg *cfg;
	struct shd_map *map;
	struct ent_load *loads; /* by shard */
	struct mem_view *view;
	GHashTable *requests; /* counter to struct ent_request */
	GHashTable *down;     /* node_id to int64_t: last broken link */
	GHashTable *budgets;  /* service name to struct rty_budget */
	GRand *random;
	uint64_t counter;
	uint32_t open; /* requests that MHD knows */
	size_t body_bytes;
	int64_t stop_us;  /* end of the answers that name this node; 0: none */
	int64_t quiet_us; /* since when nothing is in flight */
	bool stopped;
	ev_timer stop_timer;
};

/* Requests (ent_request.c). */

struct ent_request *ent_request_new(struct ent *ent, const char *target,
				    struct MHD_Connection *connection);
void ent_request_free(struct ent_request *req);

/** Suspends the caller's connection until ent_request_resume(). */
void ent_request_suspend(struct ent_request *req);
void ent_request_resume(struct ent_request *req);

/** Starts the timer of a request, or again with another time. */
void ent_request_start_timer(struct ent_request *req, int64_t after_us);

/** Notes the end once, for the burn counts. @param cause  NULL: a whole
 *  answer of the target */
void ent_request_record_end(struct ent_request *req, const char *cause,
			    int64_t now_us);

/** The request leaves the table; later replies to it are dropped. */
void ent_request_end(struct ent_request *req);

/* From callers (ent_http.c, ent_own.c). */

extern const struct htd_ops ent_http_ops;

/** Answers the fleet's own paths. Returns whether it was one. */
bool ent_own_answer_path(struct ent_request *req);

/* To dispatchers (ent_send.c). */

/** Routes a request that was read whole and sends it. */
void ent_send_first(struct ent_request *req, int64_t now_us);

/** Offers a request to another dispatcher. Returns false if there is none. */
bool ent_send_next(struct ent_request *req, bool same_shard, int64_t now_us);

/** Withdraws a request from its dispatcher. */
void ent_send_cancel(struct ent_request *req);

void ent_send_credit(struct ent_request *req, uint32_t bytes);

/* From dispatchers (ent_reply.c, ent_stream.c, ent_lost.c). */

void ent_reply_answer(struct ent *ent, struct msg *m, int64_t now_us);
void ent_reply_piece(struct ent *ent, struct msg *m, int64_t now_us);
void ent_reply_refusal(struct ent *ent, struct msg *m, int64_t now_us);

/** Finds the request that a reply belongs to, or counts it and gives NULL. */
struct ent_request *ent_reply_find(struct ent *ent, const struct req_id *id,
				   node_id from);

/** Begins a streamed answer. */
void ent_stream_begin(struct ent_request *req, const struct msg_answer *answer);
void ent_stream_piece(struct ent_request *req, uint64_t offset, GBytes *data,
		      bool last, int64_t now_us);

/** Ends a stream so that the caller sees that it is not whole. */
void ent_stream_abort(struct ent_request *req, const char *reason,
		      int64_t now_us);
void ent_stream_clear(struct ent_stream *stream);

/** The time of a request is over. */
void ent_lost_timeout(struct ent_request *req, int64_t now_us);

/** The link to a node is down. */
void ent_lost_link(struct ent *ent, node_id node, int64_t now_us);

/** The caller has closed its connection. */
void ent_lost_caller(struct ent_request *req);

/* Answers (ent_answer.c). */

/** Makes the refusal of @p err the request's answer. */
void ent_answer_refuse(struct ent_request *req, int err,
		       enum fs_outcome outcome, int64_t retry_after_us,
		       int64_t now_us);

/** Makes @p response the request's answer and owns it from then on. */
void ent_answer_set_response(struct ent_request *req,
			     struct MHD_Response *response, unsigned int status,
			     enum fs_outcome outcome);

/** Adds a target's header fields. Returns false if one is not valid. */
bool ent_answer_headers(struct MHD_Response *response, const GArray *headers);

/* Records (ent_record.c). */

/** Records a refusal decided here, with one or two numbers; NULL ends. */
void ent_record_refusal(const struct ent_request *req, enum aud_rule rule,
			int err, const char *name1, int64_t value1,
			const char *name2, int64_t value2, int64_t now_us);

/** Records whether a request is sent to another dispatcher after a loss. */
void ent_record_retry(const struct ent_request *req, bool allowed,
		      const struct rty_input *numbers, int64_t now_us);

/* Entry addresses (ent_entries.c). */

#define ENT_ENTRIES_MAX 4 /* addresses of one answer */

/**
 * Chooses the entry addresses of a caller: rendezvous hashing over the live
 * nodes of this node's region, spread over failure domains.
 * @param without  node to leave out, or 0
 * @return how many were chosen
 */
uint32_t ent_entries_pick(const struct mem_view *view, const char *caller,
			  node_id without,
			  const struct mem_member *out[ENT_ENTRIES_MAX]);

/* Planned stop (ent_stop.c). */

void ent_stop_begin(struct ent *ent, int64_t now_us);

#endif
