/**
 * @file fed.h
 * @brief Feed task: distributes the configuration and the directory of targets
 * from the platform's key-value service to every node.
 *
 * One node of each failure domain, the reader, reads the service: the live
 * member with the highest weight, which is also the hub of the load
 * exchange. It broadcasts changes to its domain over links. Its heartbeats
 * travel with the digests of the load exchange, several times a second and to
 * all nodes. A node that has received no heartbeat of a fresh reader for
 * FED_READER_TIMEOUT_US reads for itself until one arrives. No election or
 * failover is needed, and a node that the service refuses is updated by its
 * peers. Peers of another domain are queried only if the own domain has no
 * fresh reader, as traffic between domains is expensive.
 *
 * A reader lists the targets once, then watches for changes. Broadcast changes
 * are merged by era and revision (dir.h); a digest mismatch reveals missed ones
 * (anti-entropy).
 *
 * An answer that states a newer era tells that the store was restored from a copy:
 * the reader lists everything anew and tells its domain; heartbeats carry the era
 * too. Answers of an older era are void, and so is the first one of an era that is
 * newer by more than one. An answer that states none counts as one of the known
 * era.
 *
 * A new configuration goes to the domain as its difference from the version
 * before (cfh.h), along a relay tree if it is long (spr.h). A node that hears of a
 * newer version and does not get it asks one peer at a time for what it lacks.
 *
 * A configuration is in force once it is decoded. A process never goes back to
 * an older version.
 *
 * Readers also register their address under a lease, so that a node whose seeds
 * are all unreachable finds the others.
 */
#ifndef FED_H
#define FED_H

#include "kvs.h"
#include "node.h"

/** Keys of the platform's store and decoders of their values. */
struct fed_platform {
	struct kvs kvs;
	const char *config_key;	   /* the complete configuration */
	const char *config_prefix; /* watched for changes of config_key */
	const char *target_prefix; /* one key for each server, by its id */
	const char *node_prefix;   /* one key for each node of the fleet */
	/** Decodes a configuration. @return NULL if it is malformed */
	struct cfg *(*decode_config)(const char *text, size_t size);
	/** Decodes a server's entry. @return false if it is not valid */
	bool (*decode_target)(const struct kvs_item *item,
			      struct dir_entry *out);
};

struct fed;

/** Creates the task. @param dir  owned by the caller, updated by the task */
struct fed *fed_new(struct node *node, const struct fed_platform *platform,
		    struct dir *dir);
void fed_free(struct fed *fed);

/** Returns the configuration in force, or NULL. */
struct cfg *fed_config(const struct fed *fed);

/** Returns whether configuration and directory are known. */
bool fed_is_ready(const struct fed *fed);

#endif
