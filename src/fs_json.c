#include "fs_json.h"

#include <stdint.h>
#include <string.h>

/* Brackets inside strings are no nesting. */
static bool is_too_deep(const char *text, gsize size)
{
	uint32_t depth = 0;
	bool quoted = false;

	for (gsize i = 0; i < size; i++) {
		char c = text[i];

		if (quoted && c == '\\')
			i++; /* the next one is escaped */
		else if (c == '"')
			quoted = !quoted;
		else if (!quoted && (c == '[' || c == '{'))
			depth++;
		else if (!quoted && (c == ']' || c == '}') && depth)
			depth--;
		if (depth > FS_JSON_DEPTH_MAX)
			return true;
	}
	return false;
}

bool fs_json_load(JsonParser *parser, const char *text, gssize size)
{
	gsize length = size < 0 ? strlen(text) : (gsize)size;

	return !is_too_deep(text, length) &&
	       json_parser_load_from_data(parser, text, (gssize)length, NULL);
}
