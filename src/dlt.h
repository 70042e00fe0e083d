/**
 * @file dlt.h
 * @brief Compressed texts, whole or as the difference from another text (zstd).
 *
 * Both carry a checksum of the text, so a difference that is applied to another
 * base than the one it was made from is found out.
 *
 * Limits: texts of at most DLT_TEXT_MAX bytes, without NUL.
 */
#ifndef DLT_H
#define DLT_H

#include "fs_err.h"
#include "fs_types.h"

#define DLT_TEXT_MAX (1024 * 1024) /* bytes, the largest value of the store */

/**
 * Compresses a text.
 * @param base  the receiver has it; NULL: the result is the whole text
 * @return NULL if the text is too long
 */
GBytes *dlt_encode(const char *base, const char *text);

/**
 * Restores a text.
 * @param base  what it was encoded with
 * @param text  out: owned by the caller; NULL on error
 * @return 0, or FS_E_PROTOCOL if the bytes are malformed or of another base
 */
int dlt_decode(const char *base, GBytes *bytes, char **text);

#endif
