/**
 * @file dsp_seen.h
 * @brief Request ids that a dispatcher has ended, so that none is run again.
 *
 * An id that has ended is remembered with its outcome for DSP_SEEN_TTL_US, at most
 * DSP_SEEN_MAX of them, the oldest forgotten first. A request with such an id
 * is dropped.
 *
 * A cancel may come for an id that is not known. It may never have arrived
 * here; it may have been run, answered and forgotten; or it may have been run
 * by this node before its last restart. The three cannot be told apart from
 * here, whatever the age of the entry's request: the entry may itself have
 * been paused since. So the answer is FS_UNKNOWN, and the id is remembered as
 * withdrawn, so that the request is refused should it still arrive. For an id
 * that is remembered the outcome is known, and is told again.
 *
 * Pure.
 */
#ifndef DSP_SEEN_H
#define DSP_SEEN_H

#include "fs_types.h"

#define DSP_SEEN_MAX 16384	    /* ids remembered */
#define DSP_SEEN_TTL_US 120000000LL /* for at most so long */

enum dsp_seen_state {
	DSP_SEEN_NEVER,
	DSP_SEEN_ENDED,	    /* its outcome is known */
	DSP_SEEN_NOT_OWNER, /* refused for another owner; may come forced */
	DSP_SEEN_CANCELLED, /* cancelled before it came */
};

struct dsp_seen;

/** Makes a table. @param max  ids at most */
struct dsp_seen *dsp_seen_new(uint32_t max);
void dsp_seen_free(struct dsp_seen *seen);

/** Remembers that an id has ended, or replaces what is known of it. */
void dsp_seen_add(struct dsp_seen *seen, const struct req_id *id,
		  enum dsp_seen_state state, enum fs_outcome outcome,
		  int64_t now_us);

/**
 * Looks an id up.
 * @param outcome  out: how it ended, if that is known; may be NULL
 */
enum dsp_seen_state dsp_seen_find(const struct dsp_seen *seen,
				  const struct req_id *id,
				  enum fs_outcome *outcome);

/** Forgets ids that ended DSP_SEEN_TTL_US ago. */
void dsp_seen_expire(struct dsp_seen *seen, int64_t now_us);

/** Hash and equality of struct req_id for GHashTable. */
guint dsp_id_hash(gconstpointer id);
gboolean dsp_id_equal(gconstpointer a, gconstpointer b);

#endif
