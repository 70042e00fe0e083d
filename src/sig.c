#include "sig.h"

#include <string.h>

#include "fs_err.h"

#define SHA256_SIZE 32

int sig_sign(const char *key, const void *data, size_t size,
	     uint8_t out[SIG_SIZE])
{
	uint8_t digest[SHA256_SIZE];
	gsize digest_size = sizeof(digest);
	GHmac *hmac;

	if (!key || !*key)
		return FS_E_INVALID;
	hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	g_hmac_update(hmac, data, (gssize)size);
	g_hmac_get_digest(hmac, digest, &digest_size);
	g_hmac_unref(hmac);
	memcpy(out, digest, SIG_SIZE);
	return 0;
}

bool sig_verify(const char *key, const void *data, size_t size,
		const uint8_t code[SIG_SIZE])
{
	uint8_t expected[SIG_SIZE];
	uint8_t difference = 0;

	if (sig_sign(key, data, size, expected))
		return false;
	for (size_t i = 0; i < SIG_SIZE; i++)
		difference |= expected[i] ^ code[i];
	return difference == 0;
}
