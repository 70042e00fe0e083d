#include "dlt.h"

#include <string.h>
#include <zstd.h>

/* The fastest one; higher levels save little on configurations. */
#define LEVEL 1
/* Covers a base and a text of DLT_TEXT_MAX each. */
#define WINDOW_LOG 21
/* Entries for the base's positions: finds long runs of a text of 1 MB. */
#define HASH_LOG 17

G_DEFINE_AUTOPTR_CLEANUP_FUNC(ZSTD_CCtx, ZSTD_freeCCtx)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(ZSTD_DCtx, ZSTD_freeDCtx)

GBytes *dlt_encode(const char *base, const char *text)
{
	g_autoptr(ZSTD_CCtx) context = ZSTD_createCCtx();
	size_t size = strlen(text);
	size_t room = ZSTD_compressBound(size);
	g_autofree char *out = NULL;
	size_t written;

	if (!context || size > DLT_TEXT_MAX)
		return NULL;
	out = g_malloc(room);
	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, WINDOW_LOG);
	ZSTD_CCtx_setParameter(context, ZSTD_c_hashLog, HASH_LOG);
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	if (base)
		ZSTD_CCtx_refPrefix(context, base, strlen(base));
	written = ZSTD_compress2(context, out, room, text, size);
	return ZSTD_isError(written) ? NULL : g_bytes_new(out, written);
}

int dlt_decode(const char *base, GBytes *bytes, char **text)
{
	g_autoptr(ZSTD_DCtx) context = ZSTD_createDCtx();
	size_t size;
	const void *data = g_bytes_get_data(bytes, &size);
	unsigned long long length = ZSTD_getFrameContentSize(data, size);
	g_autofree char *out = NULL;
	size_t written;

	*text = NULL;
	/* Also excludes an unknown length and a malformed frame, which are the
	 * two largest numbers. */
	if (!context || length > DLT_TEXT_MAX)
		return FS_E_PROTOCOL;
	out = g_malloc(length + 1);
	if (base)
		ZSTD_DCtx_refPrefix(context, base, strlen(base));
	written = ZSTD_decompressDCtx(context, out, length, data, size);
	if (ZSTD_isError(written) || written != length ||
	    memchr(out, '\0', length))
		return FS_E_PROTOCOL;
	out[length] = '\0';
	*text = g_steal_pointer(&out);
	return 0;
}
