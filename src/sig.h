/**
 * @file sig.h
 * @brief Message authentication codes under the fleet key.
 *
 * HMAC-SHA256, cut to SIG_SIZE bytes, proves that a datagram or a handshake
 * comes from a holder of the shared fleet key. It does not tell holders apart.
 */
#ifndef SIG_H
#define SIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SIG_SIZE 16 /* bytes of a code */

/**
 * Computes the code of @p data.
 * @param key  fleet key, NUL-terminated and not empty
 * @param out  out: the code
 * @return 0, or FS_E_INVALID for an empty key
 */
int sig_sign(const char *key, const void *data, size_t size,
	     uint8_t out[SIG_SIZE]);

/** Returns whether @p code is that of @p data, in constant time. */
bool sig_verify(const char *key, const void *data, size_t size,
		const uint8_t code[SIG_SIZE]);

#endif
