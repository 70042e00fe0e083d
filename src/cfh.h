/**
 * @file cfh.h
 * @brief History of a configuration text: the newest version, and the steps
 * that lead to it from recent ones.
 *
 * A step is the difference between two versions (dlt.h), so what a node sends to
 * another one grows with the change. A receiver whose version is not among the
 * recent ones gets the whole text. Pure.
 *
 * Limits: CFH_STEPS_MAX steps of CFH_BYTES_MAX bytes together.
 */
#ifndef CFH_H
#define CFH_H

#include "dlt.h"

#define CFH_STEPS_MAX 16
#define CFH_BYTES_MAX (512 * 1024)

/** Leads from one version of the text to a later one. */
struct cfh_step {
	uint64_t version;
	uint64_t base; /* version that it starts from; 0: none, a whole text */
	GBytes *bytes; /* dlt.h */
};

struct cfh {
	uint64_t version; /* the newest one; 0: there is none */
	char *text;
	GArray *steps; /* struct cfh_step; each begins where the last ended */
	size_t step_bytes;
	GBytes *whole; /* the text compressed, or NULL until it is needed */
};

void cfh_init(struct cfh *history);
void cfh_clear(struct cfh *history);

/** Creates an array of struct cfh_step that owns their bytes. */
GArray *cfh_steps_new(void);

/** Adds a reference to a step to an array of steps. */
void cfh_steps_add(GArray *steps, const struct cfh_step *step);

/** Adds a newer text. @return 0, or FS_E_INVALID if it is too long */
int cfh_put(struct cfh *history, uint64_t version, const char *text);

/**
 * Applies a step from another node; one to a version that is not newer is ignored.
 * @return 0; FS_E_STALE if its base is not the newest version here; FS_E_PROTOCOL
 *         if it is malformed or its base had another text
 */
int cfh_apply(struct cfh *history, const struct cfh_step *step);

/** Appends the steps to the newest version from @p known, 0 if the receiver has
 *  none; nothing if there is no newer one. */
void cfh_steps_since(struct cfh *history, uint64_t known, GArray *steps);

/** Returns the step that led to the newest version, or NULL. */
const struct cfh_step *cfh_last_step(const struct cfh *history);

#endif
