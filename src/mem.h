/**
 * @file mem.h
 * @brief Membership: which nodes of the fleet live, leave, or cannot be heard.
 *
 * The membership task gossips over UDP. Other tasks see it through views: a
 * view never changes once made, is counted by reference, and comes with a
 * MSG_VIEW message whenever membership changes.
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
	MEM_SUSPECT, /* silent, also when asked through others */
	MEM_LEAVING, /* planned stop: serves what it has, takes nothing new */
	MEM_DEAD,
};

/** One node as its peers know it. */
struct mem_member {
	node_id id;
	char name[FS_NAME_MAX];
	char region[FS_DOMAIN_MAX];
	char domain[FS_DOMAIN_MAX]; /* failure domain */
	uint64_t incarnation;	    /* start of the process, wall clock in us */
	struct sockaddr_in peer;    /* TCP links and UDP gossip */
	struct sockaddr_in caller;  /* where callers connect */
	struct sockaddr_in operator; /* operator interface */
	enum mem_state state;
	bool direct; /* answers us directly; false: only others hear it */
	uint64_t config_version; /* it told of when the view was made; a
				  * new version alone makes no new view */
};

/** All members, sorted by id. The node itself is one of them. */
struct mem_view {
	int refs;
	uint64_t serial; /* grows with every view of this node */
	node_id self;
	uint32_t count;
	struct mem_member members[];
};

/** Takes a reference and returns @p view. */
struct mem_view *mem_view_ref(const struct mem_view *view);

/** Gives a reference back; NULL is allowed. */
void mem_view_unref(struct mem_view *view);

/**
 * Chooses the nodes that speak for a failure domain: those of its live members
 * with the highest weights, the same ones wherever the view is the same.
 * @param first  out: first and second choice, 0 if there is none
 * @return how many live members the domain has
 */
uint32_t mem_view_hubs(const struct mem_view *view, const char *domain,
		       node_id first[2]);

/** Returns the member @p id, or NULL. */
const struct mem_member *mem_view_find(const struct mem_view *view, node_id id);

#endif
