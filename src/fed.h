/**
 * @file fed.h
 * @brief Feed task: configuration and directory of targets, from the
 * platform's key-value service to every node.
 *
 * One node of each failure domain reads the service: the one with the highest
 * weight among those that live, which is also the hub of the load exchange. It
 * tells the others of its domain of changes over links. How fresh it is goes
 * with the digests of that exchange, several times a second and to all. A node
 * that hears of no fresh reader for FED_READER_TIMEOUT_US reads for itself until it does.
 * So no node has to be elected or replaced, a lost reader costs nothing, and a
 * node that the service turns away still learns from its peers; from those of
 * another domain only if its own has no fresh reader, as bytes between domains
 * are dear.
 *
 * A reader lists the targets once, then watches for changes. What it tells is
 * merged by revision (dir.h); a digest shows when something was missed.
 *
 * A configuration is in force once it is decoded. An older version is never
 * taken in one run of the process.
 *
 * Readers also keep a key with their address, under a lease, so that a node
 * whose seeds are all gone finds the others.
 */
#ifndef FED_H
#define FED_H

#include "kvs.h"
#include "node.h"

/** Where the platform keeps things, and how they are read. */
struct fed_platform {
	struct kvs kvs;
	const char *config_key;	   /* the configuration, whole */
	const char *config_prefix; /* watched for it */
	const char *target_prefix; /* one key for each server, by its id */
	const char *node_prefix;   /* ours: one key for each node */
	/** Decodes a configuration. @return NULL if it is malformed */
	struct cfg *(*decode_config)(const char *text, size_t size);
	/** Decodes a server's entry. @return false if it is none */
	bool (*decode_target)(const struct kvs_item *item,
			      struct dir_entry *out);
};

struct fed;

/** Makes the task. @param dir  owned by the caller, changed by the task */
struct fed *fed_new(struct node *node, const struct fed_platform *platform,
		    struct dir *dir);
void fed_free(struct fed *fed);

/** Returns the configuration in force, or NULL. */
struct cfg *fed_config(const struct fed *fed);

/** Returns whether configuration and directory are known. */
bool fed_is_ready(const struct fed *fed);

#endif
