/**
 * @file ent.h
 * @brief Entry task: accepts callers' requests and answers them.
 *
 * A request is checked, routed and sent to the dispatcher of a shard, whose
 * answer or refusal is passed on to the caller. A refusal by the entry itself
 * has the outcome "not run" only if the request was sent to no dispatcher, or
 * if the dispatcher confirmed that it was not run; else "unknown".
 *
 * A request id is sent to a node at most once, so that the id and the sending
 * node identify the request of an answer.
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

/* To receive a request. */
#define ENT_READ_TIMEOUT_US (20 * FS_US_PER_S)

/* From the deadline to the cancel. */
#define ENT_DEADLINE_GRACE_US (250 * FS_US_PER_MS)

/* From the cancel to its confirmation. */
#define ENT_CANCEL_TIMEOUT_US (150 * FS_US_PER_MS)

/* From the loss of a link to the cancel. */
#define ENT_LINK_LOSS_GRACE_US FS_US_PER_S

/* Propagation delay of the state "leaving". */
#define ENT_LEAVE_PROPAGATION_US (2 * FS_US_PER_S)

/* Without an open request before the stop. */
#define ENT_IDLE_BEFORE_STOP_US (200 * FS_US_PER_MS)

/* Callers may read their last answers for so long, if no grace time is set. */
#define ENT_STOP_GRACE_US (30 * FS_US_PER_S)
/* The stop ends this much before the grace time. */
#define ENT_STOP_MARGIN_US (500 * FS_US_PER_MS)

enum ent_state {
	ENT_READING,	/* receiving from the caller */
	ENT_SENT,	/* sent to a dispatcher */
	ENT_CANCELLING, /* a cancel was sent to the dispatcher */
	ENT_STREAMING,	/* forwarding the answer in pieces */
	ENT_ENDED,	/* the complete answer or a refusal is set */
};

/** Body of a streamed answer between dispatcher and caller. */
struct ent_stream {
	GQueue pieces;	      /* GBytes */
	size_t head_consumed; /* bytes of the first piece that MHD has read */
	size_t buffered;      /* bytes of all pieces that MHD has not read */
	uint64_t received;    /* offset of the next piece */
	int64_t length;	      /* -1: not announced */
	uint32_t unreported_bytes; /* bytes read by MHD, credit not sent yet */
	bool last;		   /* the last piece was received */
	bool aborted;		   /* the rest is not delivered */
};

/** One request of a caller, until MHD has completed it. */
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
	bool head_checked; /* the header fields were checked */
	int err;	   /* found while the body was read */
	uint32_t body_max;
	uint64_t body_bytes; /* received, including those past the limit */
	/* Routing */
	struct cfg *cfg;
	handle route;
	handle service;
	handle shard;
	node_id node; /* that the request was last sent to */
	node_id tried_nodes[ENT_NODES_MAX];
	uint32_t tried_nodes_count;
	uint32_t tries; /* nodes that may have run it */
	uint32_t moves; /* to another shard */
	bool ambiguous; /* the dispatcher of a lost link may have run it */
	/* The answer */
	bool suspended;
	struct MHD_Response *response;
	unsigned int status;
	struct ent_stream stream;
	bool succeeded; /* no server error */
	char *server;
	uint32_t target_attempts; /* attempts, as the dispatcher reported */
	bool end_recorded;
	/* Watchers */
	ev_timer timer;
	struct htd_gone gone; /* detects a disconnect while suspended */
};

struct ent {
	struct node *node;
	struct htd *htd;
	struct cfg *cfg;
	struct shd_map *map;
	struct ent_load *loads; /* by shard */
	struct mem_view *view;
	GHashTable *requests;	  /* counter to struct ent_request */
	GHashTable *link_down_us; /* node_id to int64_t: last link loss */
	GHashTable *budgets;	  /* service name to struct rty_budget */
	GRand *random;
	uint64_t counter;
	uint32_t open_requests; /* requests that MHD has not completed */
	size_t body_bytes;
	int64_t stop_us; /* answers with this node expire; 0: not stopping */
	int64_t idle_since_us;	  /* since when no request is open */
	int64_t deliver_until_us; /* of the stop: callers may read until then */
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

/** Starts or restarts the timer of a request. */
void ent_request_start_timer(struct ent_request *req, int64_t after_us);

/**
 * Records the end of a request once, for the burn counts and the response
 * time histogram.
 * @param cause  of the failure; NULL: the target answered completely
 */
void ent_request_record_end(struct ent_request *req, const char *cause,
			    int64_t now_us);

/** Removes a request from the table; later replies to it are dropped. */
void ent_request_end(struct ent_request *req);

/* From callers (ent_http.c, ent_own.c). */

extern const struct htd_ops ent_http_ops;

/** Answers a request for one of the fleet's own paths. Returns whether it was
 * one. */
bool ent_own_answer_path(struct ent_request *req);

/* To dispatchers (ent_send.c). */

/** Routes a completely received request and sends it. */
void ent_send_first(struct ent_request *req, int64_t now_us);

/** Sends a request to another dispatcher. Returns false if there is none. */
bool ent_send_next(struct ent_request *req, bool same_shard, int64_t now_us);

/** Sends a cancel to the dispatcher of a request. */
void ent_send_cancel(struct ent_request *req);

void ent_send_credit(struct ent_request *req, uint32_t bytes);

/* From dispatchers (ent_reply.c, ent_stream.c, ent_lost.c). */

void ent_reply_answer(struct ent *ent, struct msg *m, int64_t now_us);
void ent_reply_piece(struct ent *ent, struct msg *m, int64_t now_us);
void ent_reply_refusal(struct ent *ent, struct msg *m, int64_t now_us);

/** Finds the request of a reply. Counts a late reply and returns NULL if there
 * is none. */
struct ent_request *ent_reply_find(struct ent *ent, const struct req_id *id,
				   node_id from);

/** Starts a streamed answer. */
void ent_stream_begin(struct ent_request *req, const struct msg_answer *answer);
void ent_stream_piece(struct ent_request *req, uint64_t offset, GBytes *data,
		      bool last, int64_t now_us);

/** Aborts a stream so that the caller detects the truncation. */
void ent_stream_abort(struct ent_request *req, const char *reason,
		      int64_t now_us);
void ent_stream_clear(struct ent_stream *stream);

/** The timer of a request has expired. */
void ent_lost_timeout(struct ent_request *req, int64_t now_us);

/** The link to a node is down. */
void ent_lost_link(struct ent *ent, node_id node, int64_t now_us);

/** The caller has closed its connection. */
void ent_lost_caller(struct ent_request *req);

/* Answers (ent_answer.c). */

/** Sets the refusal of @p err as the answer. */
void ent_answer_refuse(struct ent_request *req, int err,
		       enum fs_outcome outcome, int64_t retry_after_us,
		       int64_t now_us);

/** Sets @p response as the answer and takes ownership of it. */
void ent_answer_set_response(struct ent_request *req,
			     struct MHD_Response *response, unsigned int status,
			     enum fs_outcome outcome);

/** Adds the header fields of a target. Returns false if one is invalid or
 * all together are too large. */
bool ent_answer_headers(struct MHD_Response *response, const GArray *headers);

/* Records (ent_record.c). */

/** Records a refusal by the entry with up to two numbers; a NULL name ends
 * them. */
void ent_record_refusal(const struct ent_request *req, enum aud_rule rule,
			int err, const char *name1, int64_t value1,
			const char *name2, int64_t value2, int64_t now_us);

/** Records whether a request is retried at another dispatcher after a link
 * loss. */
void ent_record_retry(const struct ent_request *req, bool allowed,
		      const struct rty_input *input, int64_t now_us);

/* Entry addresses (ent_entries.c). */

#define ENT_ENTRIES_MAX 4 /* addresses in one answer */

/**
 * Selects the entry addresses for a caller: rendezvous hashing over the live
 * nodes of this node's region, spread over failure domains. If that region has
 * none, the live nodes of all regions are candidates.
 * @param excluded  node to skip, or 0
 * @return number of addresses in @p out
 */
uint32_t ent_entries_pick(const struct mem_view *view, const char *caller,
			  node_id excluded,
			  const struct mem_member *out[ENT_ENTRIES_MAX]);

/* Planned stop (ent_stop.c). */

void ent_stop_begin(struct ent *ent, int64_t now_us);

#endif
