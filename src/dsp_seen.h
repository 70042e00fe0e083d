/**
 * @file dsp_seen.h
 * @brief Ids of ended requests, so that a dispatcher runs none twice.
 *
 * The id of an ended request is kept with its outcome for DSP_SEEN_TTL_US. At
 * most DSP_SEEN_MAX ids are kept; the oldest is evicted first. A request with
 * such an id is a duplicate and is dropped.
 *
 * A cancel may arrive for an unknown id: the request never arrived, or it was
 * run, answered and evicted, or it was run before this node's last restart.
 * These cases cannot be distinguished, not even by the age of the entry's
 * request, since the entry may have been paused. The outcome is therefore
 * FS_UNKNOWN, and the id is kept as cancelled so that the request is refused
 * if it still arrives. For a known id, FS_NOT_RUN is sent if that was its
 * outcome, else FS_UNKNOWN.
 *
 * Pure.
 */
#ifndef DSP_SEEN_H
#define DSP_SEEN_H

#include "fs_types.h"

#define DSP_SEEN_MAX 16384	    /* ids */
#define DSP_SEEN_TTL_US 120000000LL /* lifetime of an id */

enum dsp_seen_state {
	DSP_SEEN_NEVER,
	DSP_SEEN_ENDED,	    /* its outcome is known */
	DSP_SEEN_NOT_OWNER, /* refused as not owner; accepted if forced */
	DSP_SEEN_CANCELLED, /* cancelled before it arrived */
};

struct dsp_seen;

/** Creates a table. @param max  capacity in ids */
struct dsp_seen *dsp_seen_new(uint32_t max);
void dsp_seen_free(struct dsp_seen *seen);

/** Adds an id, or replaces its state and outcome. */
void dsp_seen_add(struct dsp_seen *seen, const struct req_id *id,
		  enum dsp_seen_state state, enum fs_outcome outcome,
		  int64_t now_us);

/**
 * Looks an id up.
 * @param outcome  out: its outcome, unless DSP_SEEN_NEVER; may be NULL
 */
enum dsp_seen_state dsp_seen_find(const struct dsp_seen *seen,
				  const struct req_id *id,
				  enum fs_outcome *outcome);

/** Removes ids that were added DSP_SEEN_TTL_US ago or earlier. */
void dsp_seen_expire(struct dsp_seen *seen, int64_t now_us);

/** Hash and equality of struct req_id for GHashTable. */
guint dsp_id_hash(gconstpointer id);
gboolean dsp_id_equal(gconstpointer a, gconstpointer b);

#endif
