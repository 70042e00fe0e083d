#include "cfg_show.h"

#include <string.h>
#include <xxhash.h>

#include "fs_json.h"

uint32_t cfg_show_key(const char *key)
{
	return (uint32_t)XXH64(key, strlen(key), 0);
}

/* Returns the length of a quoted string, to the end of the text if it is open. */
static size_t quoted_length(const char *quoted)
{
	const char *at = quoted + 1;

	while (*at && *at != '"')
		at += at[0] == '\\' && at[1] ? 2 : 1;
	return (size_t)(at - quoted) + (*at == '"');
}

/* Returns what a quoted string stands for, to be freed, or NULL. */
static char *unquote(const char *quoted, size_t length)
{
	g_autofree char *list = g_strdup_printf("[%.*s]", (int)length, quoted);
	g_autoptr(JsonNode) root = NULL;
	JsonArray *array;

	if (!memchr(quoted, '\\', length))
		return length < 2 ? NULL : g_strndup(quoted + 1, length - 2);
	root = fs_json_parse(list, -1);
	array = root && JSON_NODE_HOLDS_ARRAY(root) ?
			json_node_get_array(root) :
			NULL;
	return array && json_array_get_length(array) == 1 ?
		       g_strdup(json_array_get_string_element(array, 0)) :
		       NULL;
}

static void append_string(const struct cfg *cfg, const char *quoted,
			  size_t length, GString *out)
{
	g_autofree char *text = unquote(quoted, length);

	if (!text)
		g_string_append(out, "\"(hidden)\"");
	else if (cfg_find_key(cfg, text) != FS_NONE)
		g_string_append_printf(out, "\"(key %08x)\"",
				       cfg_show_key(text));
	else
		g_string_append_len(out, quoted, (gssize)length);
}

char *cfg_show_text(const struct cfg *cfg)
{
	const char *at = cfg->text ? cfg->text : "";
	GString *out;

	if (!cfg->needs_keys)
		return g_strdup(at);
	out = g_string_new(NULL);
	while (*at) {
		size_t length = strcspn(at, "\"");

		g_string_append_len(out, at, (gssize)length);
		at += length;
		if (!*at)
			break;
		length = quoted_length(at);
		append_string(cfg, at, length, out);
		at += length;
	}
	return g_string_free(out, FALSE);
}
