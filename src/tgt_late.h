/**
 * @file tgt_late.h
 * @brief Postpones a time limit while answers that came before it are being read. Pure.
 *
 * A process that was paused or busy finds that a limit has passed while answers wait
 * unread in its sockets. The limit is acted upon after a turn of the event loop in which
 * nothing was read: libcurl reads each socket that is readable once a turn, before
 * timers run.
 *
 * The sockets themselves are not asked. The kernel reports a reset once: whoever peeks
 * at a socket takes it away from libcurl, which then reads an orderly end of stream.
 */
#ifndef TGT_LATE_H
#define TGT_LATE_H

#include <stdbool.h>
#include <stdint.h>

#include "fs_limits.h"

#define TGT_HEADER_BYTES_MAX \
	(64 * 1024) /* bytes of an answer's header fields */
/* Turns of the loop after a time limit in which what has arrived is still read:
 * libcurl reads 16 KiB of an answer in a turn. */
#define TGT_LATE_TURNS_MAX \
	((FS_ANSWER_WHOLE_MAX + TGT_HEADER_BYTES_MAX) / (16 * 1024) + 2)

/** Turns that one limit has been postponed by; zeroed at first. */
struct tgt_late {
	unsigned int turns;
	int64_t bytes_read; /* when the limit was last postponed */
};

/**
 * Returns whether a limit that has passed is postponed by one more turn of the loop.
 * @param bytes_read  bytes of the answers that were read so far
 */
bool tgt_late_postpones(struct tgt_late *late, int64_t bytes_read);

#endif
