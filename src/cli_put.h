/**
 * @file cli_put.h
 * @brief Puts a configuration by compare-and-swap and settles the outcome.
 *
 * A put whose reply is lost may have been done, and may yet be done. It is
 * repeated with the same change id at the same revision, which can take
 * effect once only, and the record is read back, until one of both tells. If
 * the platform stays away for too long the outcome is ambiguous, never a
 * guess.
 */
#ifndef CLI_PUT_H
#define CLI_PUT_H

#include "cfg_record.h"

/** The platform's key "config", and the time. */
struct cli_put_ops {
	/**
	 * Reads the record.
	 * @param record    out: to be cleared by the caller if 0 is returned
	 * @return 0, FS_E_NOT_FOUND (revision is 0), FS_E_UNAVAILABLE or
	 *         FS_E_PROTOCOL
	 */
	int (*get)(void *arg, uint64_t *revision, struct cfg_record *record);
	/**
	 * Writes at a revision.
	 * @return 0, FS_E_CONFLICT, FS_E_UNAVAILABLE (not written),
	 *         FS_E_AMBIGUOUS, FS_E_PROTOCOL (refused)
	 */
	int (*put)(void *arg, uint64_t revision, const char *json, size_t size);
	/** Waits before a repetition. @return false if the time is over */
	bool (*wait)(void *arg);
};

/** One put. */
struct cli_put {
	const char *text;
	const char *by;
	const char *change_id;
	uint64_t expect; /* version in force that is expected; 0: any */
};

/** Its outcome. */
struct cli_put_result {
	uint64_t version;	  /* of the put, or of what is in force */
	GPtrArray *problems;	  /* struct cfg_problem: why it is refused */
	struct cfg_record record; /* in force before, or in conflict */
	bool replaced;		  /* accepted, and replaced since */
};

/**
 * Checks and puts a text.
 * @param result  out: to be cleared by the caller in every case
 * @return 0 accepted, FS_E_CONFIG refused by the checks, FS_E_CONFLICT another
 *         text was put, FS_E_UNAVAILABLE nothing was written, FS_E_AMBIGUOUS,
 *         FS_E_PROTOCOL the platform holds or says something else
 */
int cli_put_run(const struct cli_put_ops *ops, void *arg,
		const struct cli_put *put, struct cli_put_result *result);

void cli_put_clear(struct cli_put_result *result);

#endif
