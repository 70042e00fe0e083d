/**
 * @file mem_table.h
 * @brief Table of all members known to a node, including dead ones.
 *
 * A present member is one that is not dead.
 *
 * Limits: FS_NODES_MAX members.
 */
#ifndef MEM_TABLE_H
#define MEM_TABLE_H

#include "mem_wire.h"

/** One member and its protocol state. */
struct mem_node {
	struct mem_member m;
	uint32_t refutation;
	uint32_t transmits_left; /* remaining transmissions of its update */
	bool send_full;		 /* its update is sent in full */
	int64_t suspect_until_us;
	int64_t dead_since_us;
	uint32_t direct_failures; /* consecutive direct pings without an ack */
	bool recheck;		  /* pinged again in one of the next periods */
	bool recontact; /* dead here, reported as not dead by another node */
	bool in_ring;	/* is in the ping ring */
};

struct mem_table {
	GHashTable *by_id; /* node_id to struct mem_node, owned */
	GPtrArray *nodes;  /* struct mem_node, in a stable order */
	uint64_t digest;   /* of the present members */
	bool digest_stale;
	uint32_t present;
	uint32_t suspects;
	uint32_t recontacts;
};

void mem_table_init(struct mem_table *table);
void mem_table_clear(struct mem_table *table);

struct mem_node *mem_table_find(const struct mem_table *table, node_id id);

/** Adds a member. @return NULL if the table is full */
struct mem_node *mem_table_add(struct mem_table *table,
			       const struct mem_member *member);

/** Returns the dead member with the earliest time of death, or NULL. */
struct mem_node *mem_table_longest_dead(const struct mem_table *table);

void mem_table_remove(struct mem_table *table, struct mem_node *node);

/** Recomputes the counters; called after each state change. */
void mem_table_recount(struct mem_table *table);

/** Returns the digest of the present members and their incarnations. */
uint64_t mem_table_digest(struct mem_table *table);

/** Returns the state of a member as an update. */
struct mem_update mem_node_update(const struct mem_node *node, bool full);

static inline bool mem_node_present(const struct mem_node *node)
{
	return node->m.state != MEM_DEAD;
}

/** Creates a view of all members. */
struct mem_view *mem_table_view(const struct mem_table *table, node_id self,
				uint64_t serial);

#endif
