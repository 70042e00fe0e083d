/**
 * @file fs_name.h
 * @brief Fits names that others choose into the fleet's own.
 *
 * Names of a platform may be longer than the fleet's tables and messages hold. A
 * name that does not fit keeps its beginning, followed by a hash of the whole: equal
 * names stay equal, different ones differ but for a collision of 64 bits.
 */
#ifndef FS_NAME_H
#define FS_NAME_H

#include <stddef.h>

/* Bytes that a shortened name needs: some of its own, the hash, and the NUL. */
#define FS_NAME_FIT_MIN 24

/**
 * Writes a name into @p out. A name with characters that a log line can't hold as
 * they are is shortened as well.
 * @param size  of @p out, at least FS_NAME_FIT_MIN bytes
 */
void fs_name_fit(const char *name, char *out, size_t size);

#endif
