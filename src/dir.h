/**
 * @file dir.h
 * @brief Directory of targets: which servers there are, by what they reported.
 *
 * The platform's key-value service holds one entry for each live server. A
 * directory merges entries by their revision, whichever way they come: a list,
 * a watch, or a peer that has read them. A removal is remembered for a while,
 * so that an older entry which arrives late does not bring a server back.
 *
 * Entries whose lease ran out while the service was away come back soon after
 * it does. A removal that is seen within the grace time after an outage
 * therefore takes effect only at the end of it.
 *
 * Pure: no sockets, no clock. Limits: DIR_TARGETS_MAX targets.
 */
#ifndef DIR_H
#define DIR_H

#include <netinet/in.h>

#include "fs_err.h"
#include "fs_types.h"

#define DIR_TARGETS_MAX 20000 /* three times the design size */
#define DIR_TOMBSTONE_RETENTION_US \
	(60 * FS_US_PER_S) /* longer than any delay */

/** One server's entry, decoded. */
struct dir_entry {
	char id[FS_NAME_MAX];
	char service[FS_NAME_MAX];
	char address[FS_ADDRESS_MAX]; /* "ip:port" */
	char domain[FS_DOMAIN_MAX];   /* failure domain */
	uint64_t born;		      /* start of the process, ms since 1970 */
	uint64_t rev;		      /* of the entry in the store */
	uint32_t slots;		      /* requests it runs at once */
	int64_t cold_us;	      /* stays slow that long after its start */
	bool leaving;		      /* takes no new work */
};

/** A target in use. Kept alive by whoever holds a reference. */
struct dir_target {
	int refs;
	uint32_t hash; /* of id and start; names it in messages */
	struct dir_entry entry;
	int64_t warm_us;    /* it is slow until then */
	int64_t missing_us; /* removed within a grace time that ends then */
	int64_t joined_us;  /* when this directory learned of it */
	bool listed;	    /* seen by the list being read */
	bool gone;	    /* no longer in the directory */
	void *judge; /* what its user keeps of it, freed by free_user_data */
};

/** All targets of one service. */
struct dir_service {
	char *name;
	GPtrArray *targets; /* struct dir_target */
};

struct dir;

/** Called for each target that leaves the directory. */
typedef void (*dir_removed_fn)(void *arg, const struct dir_target *target,
			       uint64_t rev);

/** Makes a directory. @param free_user_data frees dir_target.judge */
struct dir *dir_new(GDestroyNotify free_user_data);
void dir_free(struct dir *dir);

/** Names the function that is told of targets that are gone. */
void dir_on_removed(struct dir *dir, dir_removed_fn fn, void *arg);

/** Returns the service @p name, or NULL if it has no target. */
const struct dir_service *dir_find(const struct dir *dir, const char *name);

/** Returns a target by its id or hash, or NULL. */
struct dir_target *dir_target_find(const struct dir *dir, const char *id);
struct dir_target *dir_target_by_hash(const struct dir *dir, uint32_t hash);

struct dir_target *dir_target_ref(struct dir_target *target);
void dir_target_unref(struct dir_target *target);

/**
 * Takes an entry.
 * @return whether it changed what others have to know
 */
bool dir_put(struct dir *dir, const struct dir_entry *entry, int64_t now_us);

/**
 * Takes a removal.
 * @param grace_until_us  the target stays in use until then
 */
void dir_remove(struct dir *dir, const char *id, uint64_t rev,
		int64_t grace_until_us, int64_t now_us);

/** Begins to take a complete list of entries. */
void dir_list_begin(struct dir *dir);

/** Ends it: removes what was not put since, and is not newer than the list. */
void dir_list_end(struct dir *dir, uint64_t rev, int64_t grace_until_us,
		  int64_t now_us);

/** Removes what was only kept for its grace time. */
void dir_tick(struct dir *dir, int64_t now_us);

/** Returns a hash over everything that others have to know. */
uint64_t dir_digest(const struct dir *dir);

/** Calls @p fn for each target; it must not change the directory. */
void dir_each(const struct dir *dir,
	      void (*fn)(void *arg, const struct dir_target *target),
	      void *arg);

/** Calls @p fn for each removal that is remembered. */
void dir_each_tombstone(const struct dir *dir,
			void (*fn)(void *arg, const char *id, uint64_t rev),
			void *arg);

/** Returns how many targets there are. */
uint32_t dir_count(const struct dir *dir);

#endif
