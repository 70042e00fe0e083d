#include "fs_name.h"

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#define HASH_TEXT_BYTES 18 /* "~", 16 digits, NUL */

static bool needs_escape(char c)
{
	return g_ascii_iscntrl(c) || c == '"' || c == '\\';
}

static bool is_fit(const char *name, size_t size)
{
	if (strlen(name) >= size || !g_utf8_validate(name, -1, NULL))
		return false;
	for (const char *c = name; *c; c++) {
		if (needs_escape(*c))
			return false;
	}
	return true;
}

void fs_name_fit(const char *name, char *out, size_t size)
{
	size_t kept = MIN(strlen(name), size - HASH_TEXT_BYTES);

	if (is_fit(name, size)) {
		g_strlcpy(out, name, size);
		return;
	}
	for (size_t i = 0; i < kept; i++)
		out[i] = g_ascii_isgraph(name[i]) && !needs_escape(name[i]) ?
				 name[i] :
				 '_';
	g_snprintf(out + kept, HASH_TEXT_BYTES, "~%016" PRIx64,
		   (uint64_t)XXH64(name, strlen(name), 0));
}
