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

enum stm_limit {
	STM_LIMIT_UNKNOWN, /* the answer does not tell */
	STM_LIMIT_NONE,
	STM_LIMIT_NAMED,
};

/** Statement of one answer. */
struct stm {
	bool leaving; /* the target ends soon and wants no new work */
	enum stm_limit limit;
	double limit_per_s; /* requests a second, of all nodes together */
	/* It turned the request away, and wants nothing from this node for that
	 * time; 0: not stated. */
	int64_t retry_after_us;
};

#endif
