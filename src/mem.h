/**
 * @file mem.h
 * @brief Membership: state of every node of the fleet as seen by this one.
 *
 * The membership task gossips over UDP. Other tasks receive immutable,
 * reference-counted views: a MSG_VIEW message carries a new one whenever
 * membership changes.
 *
 * Limits: FS_NODES_MAX members.
 */
#ifndef MEM_H
#define MEM_H

#include <netinet/in.h>

#include "fs_err.h"
#include "fs_types.h"

enum mem_state {
	MEM_ALIVE,
	MEM_SUSPECT, /* answers neither direct nor indirect pings */
	MEM_LEAVING, /* planned stop: finishes requests, accepts no new ones */
	MEM_DEAD,
};

/** One node as known to its peers. */
struct mem_member {
	node_id id;
	char name[FS_NAME_MAX];
	char region[FS_DOMAIN_MAX];
	char domain[FS_DOMAIN_MAX];  /* failure domain */
	uint64_t incarnation;	     /* wall clock at process start in us */
	struct sockaddr_in peer;     /* TCP links and UDP gossip */
	struct sockaddr_in caller;   /* where callers connect */
	struct sockaddr_in operator; /* operator interface */
	uint32_t link_mbps;	     /* of its VM; 0: not told */
	enum mem_state state;
	bool direct; /* answers direct pings; false: only indirect ones */
	uint64_t config_version; /* reported until the view was created; a
				  * change of it alone creates no new view */
};

/** All members, sorted by id. The node itself is one of them. */
struct mem_view {
	int refs;
	uint64_t serial; /* increases with each view of this node */
	node_id self;
	uint32_t count;
	struct mem_member members[];
};

/** Takes a reference and returns @p view. */
struct mem_view *mem_view_ref(const struct mem_view *view);

/** Releases a reference; NULL is allowed. */
void mem_view_unref(struct mem_view *view);

/**
 * Selects the hubs of a failure domain: its alive members with the two fastest links,
 * and among equal ones with the highest weights of rendezvous hashing. Equal views
 * give equal hubs.
 * @param hubs  out: active hub and its standby, 0 if there is none
 * @return number of alive members of the domain
 */
uint32_t mem_view_hubs(const struct mem_view *view, const char *domain,
		       node_id hubs[2]);

/** Returns how many alive members of a failure domain go before @p id: 0 for its
 *  hub, 1 for the standby. */
uint32_t mem_view_rank(const struct mem_view *view, const char *domain,
		       node_id id);

/** Returns the member @p id, or NULL. */
const struct mem_member *mem_view_find(const struct mem_view *view, node_id id);

#endif
