/**
 * @file ejc_impl.h
 * @brief Inside of the eject task: one object per service, path checks.
 */
#ifndef EJC_IMPL_H
#define EJC_IMPL_H

#include "flr_sync.h"
#include "node.h"
#include "shd.h"

#define EJC_WITNESSES 2				/* nodes asked about a path */
#define EJC_PATH_TIMEOUT_US 2500000		/* for their answers */
#define EJC_PATH_CACHE_US 30000000		/* an answer holds so long */
#define EJC_REFUSAL_DEDUP_US (60 * FS_US_PER_S) /* same refusal: one record */

/** Whether other failure domains reach a server. */
struct ejc_path {
	uint64_t serial; /* of the question */
	int64_t asked_us;
	bool open;	   /* still waiting for answers */
	int64_t witnesses; /* nodes asked */
	int64_t told;	   /* of these, answered */
	int64_t reached;   /* of these, reached it */
};

/** What is kept of one server. */
struct ejc_server {
	struct ejc_path path;
	enum aud_rule judged;  /* rule of the wish that waits for the path */
	enum aud_rule refused; /* rule of the last refusal recorded */
	int64_t refused_us;
};

/** The record of one service in this node's region. */
struct ejc_service {
	struct ejc *ejc;
	char *name;
	char *key; /* in the platform */
	struct flr_sync *sync;
	GHashTable *servers; /* name to struct ejc_server */
	int64_t told_us;     /* confirmation that dispatch was told of last */
	bool told;	     /* dispatch has a record that may be in force */
};

struct ejc {
	struct node *node;
	struct cfg *cfg;
	struct mem_view *view;
	GHashTable *services; /* name to struct ejc_service */
	uint64_t serial;      /* of the last question about a path */
	ev_timer tick;
};

struct ejc_service *ejc_service_new(struct ejc *ejc, const char *name);
void ejc_service_free(void *data);

/** Makes the next call and tells dispatch of the record. */
void ejc_service_tick(struct ejc_service *service, int64_t now_us);

/** Takes a wish of the dispatcher. */
void ejc_service_request(struct ejc_service *service,
			 const struct msg_eject_ask *ask, int64_t now_us);

/** Fills in the scope of a service. @return false if it left the text */
bool ejc_scope(const struct ejc_service *service, struct flr_scope *out);

/** Returns what is kept of a server; made when missing. */
struct ejc_server *ejc_server_get(struct ejc_service *service,
				  const char *name);

/** Asks nodes of other failure domains whether they reach a server. */
void ejc_path_query(struct ejc_service *service, const char *server,
		    int64_t now_us);

/** Takes an answer. */
void ejc_path_receive(struct ejc *ejc, const struct msg_probe_told *told,
		      int64_t now_us);

/** Settles questions whose answers are all in, or late. */
void ejc_path_tick(struct ejc_service *service, int64_t now_us);

/** Whether the answers speak against an ejection: a witness reaches the
 *  server, or none of those asked has answered. Shared with the audit. */
bool ejc_rule_path(int64_t witnesses, int64_t told, int64_t reached);

/** Records a settled wish. */
void ejc_record_decision(struct ejc_service *service,
			 const struct flr_decision *decision, int64_t now_us);

/** Records that the path, not the server, is at fault. */
void ejc_record_path(struct ejc_service *service, const char *server,
		     const struct ejc_path *path, int64_t now_us);

#endif
