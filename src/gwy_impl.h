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
#include "htd.h"
#include "htd_gone.h"
#include "lod.h"

#define GWY_ATTEMPTS_MAX 6 /* sends of one request; a route allows fewer */

/* A caller's clock runs while the answer travels to it. */
#define GWY_DEADLINE_MARGIN_US (25 * FS_US_PER_MS)
/* Requests without a route's limit and without the caller's. */
#define GWY_DEADLINE_DEFAULT_US (30 * FS_US_PER_S)
/* A node that has just started knows its configuration in a tenth of this; a
 * request that meets it before is held that long. */
#define GWY_DEFER_MAX_US (800 * FS_US_PER_MS)
/* Less time than this left: no target can answer. */
#define GWY_TIME_LEFT_MIN_US (20 * FS_US_PER_MS)

struct gwy_request;

/** One send of a request. */
struct gwy_attempt {
	struct gwy_request *req;
	struct dir_target *target; /* referenced */
	struct tgt *tgt;	   /* NULL: ended */
	int64_t started_us;
	int64_t wait_us; /* for a slot there, as expected when it was sent */
	bool held;	 /* counts among the target's requests */
	bool overdue;	 /* told so already */
	int err;	 /* how it ended */
	uint32_t status;
	bool not_run; /* the target said so, or nothing was written */
	int64_t took_us;
};

enum gwy_state {
	GWY_READING,   /* header fields and body come in */
	GWY_DEFERRED,  /* until this node knows its configuration */
	GWY_WAITING,   /* at targets */
	GWY_STREAMING, /* the answer goes out as it comes in */
	GWY_ENDED,     /* the answer is complete, or there will be none */
};

/** One request of a caller. */
struct gwy_request {
	struct gwy *gwy;
	struct MHD_Connection *connection;
	enum gwy_state state;
	bool begun;
	bool suspended;
	bool logged;
	/* The request */
	char *target;	     /* path and query as received */
	char *id;	     /* the caller's request id */
	char *path;	     /* decoded, for the choice of a route */
	int64_t body_length; /* as announced; -1: not told */
	struct msg *m; /* MSG_REQUEST: method, host, target, fields, body */
	GByteArray *body;
	int64_t started_us;
	int64_t deadline_us;
	int64_t client_us; /* time the caller gives, 0: not told */
	struct cfg *cfg;
	handle route;
	handle service;
	int err; /* found while the body came in */
	/* Sends */
	struct gwy_attempt tries[GWY_ATTEMPTS_MAX];
	uint32_t try_count;
	uint32_t running; /* tries under way */
	uint32_t sent;	  /* tries that may count as sent to a server */
	bool may_have_run;
	bool parked;	      /* waits here until a target has room */
	const char *no_retry; /* why it was not sent again, for the log */
	ev_timer timer;
	struct htd_gone gone; /* the caller's connection, while suspended */
	/* The answer */
	struct MHD_Response *response;
	unsigned int status;
	struct gwy_attempt *stream; /* whose body is being passed on */
	bool stream_ended;
	bool stream_failed;
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
	GHashTable *sizes;   /* route name to double *, mean answer bytes */
	struct bud_rule budget_rule;
	GHashTable *requests; /* struct gwy_request */
	uint64_t random;
	uint64_t counter; /* of requests without an id */
	size_t body_bytes;
	size_t body_bytes_max;
	uint32_t alive;	     /* members, this one included */
	double domain_share; /* of them, those of this failure domain */
	bool stopping;
	int64_t started_us;
	int64_t stop_us; /* when the stop began */
	ev_timer stop_timer;
	bool quiesced;
};

/* Callers (gwy_http.c) */

/** Goes on with a held request if the node is ready, or refuses it. */
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
/** Stops all sends: no answer of theirs is wanted any more. */
void gwy_request_cancel_attempts(struct gwy_request *req);
/** Writes the one line of the log that tells how a request went. */
void gwy_request_log(struct gwy_request *req, const char *outcome,
		     int64_t now_us);

/* Choosing a target (gwy_choose.c) */
uint64_t gwy_random(struct gwy *gwy);
/** Returns the time within which an answer is worth most. */
int64_t gwy_choose_objective(const struct gwy_request *req);
/** Chooses among the targets that were not tried yet. */
struct bal_choice gwy_choose(struct gwy_request *req, int64_t now_us);
/** Returns whether a wait can't be met before the deadline. */
bool gwy_choose_wait_exceeds_deadline(const struct gwy_request *req,
				      int64_t wait_us, int64_t now_us);

/* Answers that do not come (gwy_overdue.c) */
/** Returns after how long an answer is overdue, the wait for a slot apart. */
int64_t gwy_overdue_us(const struct gwy_request *req);
/** Returns the last moment at which a second send may still help. */
int64_t gwy_overdue_hedge_latest_us(const struct gwy_request *req);
/** Notes what is overdue now as evidence. */
void gwy_overdue_report(struct gwy_request *req, int64_t now_us);
/** Returns whether a second send beside the first one is worth its cost. */
bool gwy_overdue_should_hedge(struct gwy_request *req, int64_t now_us);

/* Sending (gwy_send.c) */
/** Sends a request once more, if the rule of retries allows it. */
bool gwy_send_retry(struct gwy_request *req, int64_t now_us);
/** Sends a complete request for the first time. */
void gwy_send_first(struct gwy_request *req, int64_t now_us);
/** Something is due: the deadline, or an answer that does not come. */
void gwy_send_timer(struct gwy_request *req, int64_t now_us);
/** Ends a try's hold on its target. */
void gwy_send_release_slot(struct gwy_attempt *t);

/* Answers (gwy_answer.c) */
/** Passes on a target's whole answer. */
void gwy_answer_buffered(struct gwy_attempt *t, int64_t now_us);
/** Answers for the fleet. @param retry_after_us 0: no advice */
void gwy_answer_refuse(struct gwy_request *req, int err, int64_t retry_after_us,
		       int64_t now_us);
/** Returns the mean size of the answers of a request's route, 0 if unknown. */
int64_t gwy_answer_mean_bytes(const struct gwy_request *req);
/** Begins to pass on an answer while it comes in. */
void gwy_answer_stream(struct gwy_attempt *t, int64_t now_us);

/* Planned stop (gwy_stop.c) */
void gwy_stop_begin(struct gwy *gwy, int64_t now_us);
void gwy_stop_end(struct gwy *gwy);

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
