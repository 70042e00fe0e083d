/**
 * @file stm.h
 * @brief What a target states of itself in the head of an answer.
 *
 * The adapter of a platform reads it from the header fields; all decisions go by
 * these fields alone.
 */
#ifndef STM_H
#define STM_H

#include "fs_types.h"

/** Statement of one answer. */
struct stm {
	bool has_limit;	    /* the target names how much it takes */
	double limit_per_s; /* requests a second, of all nodes together */
};

#endif
