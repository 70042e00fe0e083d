/**
 * @file dir.h
 * @brief Directory of targets: the servers that exist, by their own reports.
 *
 * The platform's key-value service holds one entry for each live server. A
 * directory merges entries, whatever their source: a list, a watch, or a peer that
 * has read them. Servers count their writes, and the service may execute one seconds
 * late, after the next: of two entries of a server that with the later start or the
 * higher count is the newer, whatever their revisions. Entries without a count are
 * ordered by era and revision (rev.h). A removal leaves a tombstone for some time,
 * so that an older entry which arrives late does not bring a server back.
 *
 * In a restored store the first sight of a server may be a leftover: its entry as
 * it was when the copy was made. It neither ends that the server leaves, nor
 * brings back one that has left or an earlier start of it. Only its revision is
 * taken over: whatever the server writes next is later. DIR_LEFTOVER_US after the
 * restoration no entry of a removed server is a leftover: the lease of one that
 * left has ended by then.
 *
 * Entries whose lease expired during an outage of the service are restored
 * soon after it ends. A removal within the grace time after an outage
 * therefore takes effect only at the end of that time.
 *
 * Pure: no sockets, no clock. Limits: DIR_TARGETS_MAX targets.
 */
#ifndef DIR_H
#define DIR_H

#include <netinet/in.h>

#include "fs_err.h"
#include "fs_types.h"
#include "rev.h"

#define DIR_TARGETS_MAX 20000 /* three times the design size */
#define DIR_TOMBSTONE_RETENTION_US \
	(60 * FS_US_PER_S) /* longer than any delay of an entry */

/* Entries of silent servers are removed after three intervals of 1.5 s, and a peer
 * may defer that by the grace time of 2.2 s. */
#define DIR_LEFTOVER_US (8 * FS_US_PER_S)

/** The place of an entry among those that its server wrote. */
struct dir_write {
	uint64_t born;	/* start of the process, ms since 1970 */
	uint64_t count; /* writes since then; 0: not known */
};

/** One server's entry, decoded. */
struct dir_entry {
	char id[FS_TARGET_ID_MAX];
	char service[FS_NAME_MAX];
	char address[FS_ADDRESS_MAX]; /* "ip:port" */
	char domain[FS_DOMAIN_MAX];   /* failure domain */
	struct dir_write write;	      /* that made it */
	struct rev rev;		      /* of the entry in the store */
	uint32_t slots;		      /* concurrent requests */
	int64_t cold_us;	      /* warm-up time after the start */
	bool leaving;		      /* accepts no new work */
};

/** A target in use; reference-counted. */
struct dir_target {
	int refs;
	uint32_t hash; /* of id and start; identifies it in messages */
	struct dir_entry entry;
	int64_t warm_us;    /* end of the warm-up */
	int64_t missing_us; /* end of the grace time after a removal; 0: none */
	struct rev missing_rev; /* of that removal */
	int64_t joined_us;	/* when this directory added it */
	bool listed;		/* seen by the list being read */
	bool removed_from_dir;	/* no longer in the directory */
	void *user_data;	/* state of its user, freed by free_user_data */
};

/** All targets of one service. */
struct dir_service {
	char *name;
	GPtrArray *targets; /* struct dir_target */
	GPtrArray *ring;    /* the same by hash, in one order on all nodes */
};

struct dir;

/** Called for each target that is removed from the directory. */
typedef void (*dir_removed_fn)(void *arg, const struct dir_target *target,
			       struct rev rev);

/**
 * Creates a directory.
 * @param free_user_data  frees dir_target.user_data
 */
struct dir *dir_new(GDestroyNotify free_user_data);
void dir_free(struct dir *dir);

/** Sets the callback for removed targets. */
void dir_on_removed(struct dir *dir, dir_removed_fn fn, void *arg);

/** Returns the service @p name, or NULL if it has no target. */
const struct dir_service *dir_find(const struct dir *dir, const char *name);

/** Returns a target by its id or hash, or NULL. */
struct dir_target *dir_target_find(const struct dir *dir, const char *id);
struct dir_target *dir_target_by_hash(const struct dir *dir, uint32_t hash);

struct dir_target *dir_target_ref(struct dir_target *target);
void dir_target_unref(struct dir_target *target);

/** Notes that the store is in @p era; entries and removals tell of it as well. */
void dir_note_era(struct dir *dir, uint64_t era, int64_t now_us);

/** Effect of an entry. */
enum dir_effect {
	DIR_UNCHANGED,
	DIR_CHANGED,  /* the content that peers need */
	DIR_LEFTOVER, /* ignored, but for its revision */
};

/** Applies an entry. */
enum dir_effect dir_put(struct dir *dir, const struct dir_entry *entry,
			int64_t now_us);

/**
 * Applies a removal.
 * @param grace_until_us  the target stays in use until then
 */
void dir_remove(struct dir *dir, const char *id, struct rev rev,
		int64_t grace_until_us, int64_t now_us);

#define DIR_BORN_UNKNOWN UINT64_MAX

/**
 * Applies a removal that a peer knows of. If the peer has since taken an entry for a
 * leftover, the removal has the entry's revision; it then counts only if the peer
 * knew that start of the server.
 * @param last  of the server's writes that the peer knew; its start may be
 *              DIR_BORN_UNKNOWN
 */
void dir_merge_removal(struct dir *dir, const char *id, struct rev rev,
		       struct dir_write last, int64_t grace_until_us,
		       int64_t now_us);

/** Starts a complete list of entries. */
void dir_list_begin(struct dir *dir);

/**
 * Ends the list: removes targets that were not put since its start and are not
 * newer than it.
 */
void dir_list_end(struct dir *dir, struct rev rev, int64_t grace_until_us,
		  int64_t now_us);

/** Extends the grace time of removals that are deferred. */
void dir_defer(struct dir *dir, int64_t grace_until_us);

/** Gives up removals that are deferred. */
void dir_keep(struct dir *dir);

/** Removes targets whose grace time has ended, and expired tombstones.
 * @param now_us  earlier than the present while the service is away */
void dir_tick(struct dir *dir, int64_t now_us);

/** Returns a hash of the content that peers need. */
uint64_t dir_digest(const struct dir *dir);

/** Calls @p fn for each target; it must not change the directory. */
void dir_each(const struct dir *dir,
	      void (*fn)(void *arg, const struct dir_target *target),
	      void *arg);

typedef void (*dir_tombstone_fn)(void *arg, const char *id, struct rev rev,
				 struct dir_write last);

/** Calls @p fn for each tombstone, with what dir_merge_removal() takes. */
void dir_each_tombstone(const struct dir *dir, dir_tombstone_fn fn, void *arg);

/** Returns how many targets there are. */
uint32_t dir_count(const struct dir *dir);

#endif
