/**
 * @file ejc_impl.h
 * @brief Internals of the eject task: per-service state, path checks.
 */
#ifndef EJC_IMPL_H
#define EJC_IMPL_H

#include "flr_sync.h"
#include "node.h"
#include "shd.h"

#define EJC_WITNESSES 2		    /* nodes queried per path check */
#define EJC_PATH_TIMEOUT_US 2500000 /* for the answers */
#define EJC_PATH_CACHE_US 30000000  /* a refusal stays valid */
/* Repeats of a refusal within this time are not audited. */
#define EJC_REFUSAL_DEDUP_US (60 * FS_US_PER_S)

/** Path check: whether nodes of other failure domains reach a server. */
struct ejc_path {
	uint64_t serial; /* of the query */
	int64_t queried_us;
	bool pending;	   /* waiting for answers */
	int64_t witnesses; /* nodes queried */
	int64_t answered;  /* of these, answered */
	int64_t reached;   /* of these, reached it */
};

/** State of one server. */
struct ejc_server {
	struct ejc_path path;
	/* rule of the ejection request that waits for the path check */
	enum aud_rule trigger_rule;
	/* rule of the last audited refusal, or AUD_RULE_COUNT */
	enum aud_rule last_refusal;
	int64_t last_refusal_us;
};

/** State of one service in this node's region. */
struct ejc_service {
	struct ejc *ejc;
	char *name;
	char *key; /* of the record in the platform's store */
	struct flr_sync *sync;
	GHashTable *servers;  /* name to struct ejc_server */
	int64_t published_us; /* confirmed_us of the record sent last */
	bool published; /* the dispatcher has a record that may be in force */
};

struct ejc {
	struct node *node;
	struct cfg *cfg;
	struct mem_view *view;
	GHashTable *services; /* name to struct ejc_service */
	uint64_t serial;      /* of the last path check */
	ev_timer tick;
};

struct ejc_service *ejc_service_new(struct ejc *ejc, const char *name);
void ejc_service_free(void *data);

/** Performs the next call and sends changes of the record to the dispatcher. */
void ejc_service_tick(struct ejc_service *service, int64_t now_us);

/** Accepts a request of the dispatcher to eject or reinstate a server. An
 *  ejection for failed connections (AUD_R_STEER_CONNECT) needs a path check
 *  first. */
void ejc_service_request(struct ejc_service *service,
			 const struct msg_eject_request *request,
			 int64_t now_us);

/** Fills in the scope of a service.
 *  @return false if the configuration no longer has the service */
bool ejc_scope(const struct ejc_service *service, struct flr_scope *out);

/** Returns the state of a server, created on first use. */
struct ejc_server *ejc_server_get(struct ejc_service *service,
				  const char *name);

/** Starts a path check: queries nodes of other failure domains. */
void ejc_path_query(struct ejc_service *service, const char *server,
		    int64_t now_us);

/** Accepts a probe result of a witness. */
void ejc_path_receive(struct ejc *ejc, const struct msg_probe_result *result,
		      int64_t now_us);

/** Completes path checks that have all answers, a witness that reaches the
 *  server, or timed out. */
void ejc_path_tick(struct ejc_service *service, int64_t now_us);

/** Returns whether the answers rule out an ejection: a witness reaches the
 *  server, or no queried witness has answered. Replayed by the audit. */
bool ejc_rule_path(int64_t witnesses, int64_t answered, int64_t reached);

/** Writes the audit record of a completed request. */
void ejc_record_decision(struct ejc_service *service,
			 const struct flr_decision *decision, int64_t now_us);

/** Writes the audit record of an ejection refused because the network path, not
 *  the server, is at fault. */
void ejc_record_path(struct ejc_service *service, const char *server,
		     const struct ejc_path *path, int64_t now_us);

#endif
