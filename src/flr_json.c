#include <json-glib/json-glib.h>
#include <string.h>

#include "flr.h"
#include "fs_json.h"
#include "fs_log.h"

#define ENTRIES_MAX 1024 /* per record */

static const char *const states[] = {
	[FLR_OUT] = "out",
	[FLR_RETURNING] = "returning",
	[FLR_PAST] = "past",
};

struct flr_record *flr_record_new(void)
{
	struct flr_record *record = g_new0(struct flr_record, 1);

	record->entries = g_array_new(FALSE, TRUE, sizeof(struct flr_entry));
	return record;
}

struct flr_record *flr_record_copy(const struct flr_record *record)
{
	struct flr_record *copy = flr_record_new();

	copy->epoch = record->epoch;
	copy->config_version = record->config_version;
	if (record->entries->len)
		g_array_append_vals(copy->entries, record->entries->data,
				    record->entries->len);
	return copy;
}

void flr_record_free(struct flr_record *record)
{
	if (!record)
		return;
	g_array_unref(record->entries);
	g_free(record);
}

static void entry_json(const struct flr_entry *entry, GString *out)
{
	g_string_append(out, "{\"server\":");
	fs_json_string(out, entry->server);
	g_string_append_printf(out,
			       ",\"state\":\"%s\",\"epoch\":%" G_GUINT64_FORMAT
			       ",\"ejections\":%u,\"rule\":",
			       states[entry->state], (guint64)entry->epoch,
			       entry->ejections);
	fs_json_string(out, entry->rule);
	g_string_append(out, ",\"node\":");
	fs_json_string(out, entry->node);
	g_string_append_c(out, '}');
}

void flr_record_json(const struct flr_record *record, GString *out)
{
	g_string_append_printf(
		out,
		"{\"epoch\":%" G_GUINT64_FORMAT
		",\"config_version\":%" G_GUINT64_FORMAT ",\"entries\":[",
		(guint64)record->epoch, (guint64)record->config_version);
	for (guint i = 0; i < record->entries->len; i++) {
		if (i)
			g_string_append_c(out, ',');
		entry_json(&g_array_index(record->entries, struct flr_entry, i),
			   out);
	}
	g_string_append(out, "]}");
}

static bool get_number(JsonObject *object, const char *name, gint64 *out)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	*out = json_node_get_int(node);
	return *out >= 0;
}

static bool get_string(JsonObject *object, const char *name, char *out,
		       size_t size)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	return g_strlcpy(out, json_node_get_string(node), size) < size;
}

static bool parse_entry(JsonNode *node, struct flr_entry *entry)
{
	char state[16];
	gint64 epoch;
	gint64 ejections;
	JsonObject *object;
	unsigned int s = 0;

	memset(entry, 0, sizeof(*entry));
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	object = json_node_get_object(node);
	if (!get_string(object, "server", entry->server,
			sizeof(entry->server)) ||
	    !get_string(object, "state", state, sizeof(state)) ||
	    !get_string(object, "rule", entry->rule, sizeof(entry->rule)) ||
	    !get_string(object, "node", entry->node, sizeof(entry->node)) ||
	    !get_number(object, "epoch", &epoch) ||
	    !get_number(object, "ejections", &ejections) ||
	    ejections > UINT32_MAX)
		return false;
	while (s < G_N_ELEMENTS(states) && strcmp(states[s], state) != 0)
		s++;
	entry->state = (enum flr_state)s;
	entry->epoch = (uint64_t)epoch;
	entry->ejections = (uint32_t)ejections;
	return s < G_N_ELEMENTS(states) && *entry->server;
}

static bool parse_record(JsonNode *root, struct flr_record *record)
{
	JsonObject *object;
	JsonNode *list;
	JsonArray *entries;
	gint64 epoch;
	gint64 version;

	if (!root || !JSON_NODE_HOLDS_OBJECT(root))
		return false;
	object = json_node_get_object(root);
	list = json_object_get_member(object, "entries");
	if (!get_number(object, "epoch", &epoch) ||
	    !get_number(object, "config_version", &version) || !list ||
	    !JSON_NODE_HOLDS_ARRAY(list))
		return false;
	record->epoch = (uint64_t)epoch;
	record->config_version = (uint64_t)version;
	entries = json_node_get_array(list);
	if (json_array_get_length(entries) > ENTRIES_MAX)
		return false;
	for (guint i = 0; i < json_array_get_length(entries); i++) {
		struct flr_entry entry;

		if (!parse_entry(json_array_get_element(entries, i), &entry) ||
		    flr_find(record, entry.server))
			return false;
		g_array_append_val(record->entries, entry);
	}
	return true;
}

int flr_record_parse(const char *json, struct flr_record **out)
{
	g_autoptr(JsonNode) root = fs_json_parse(json, -1);
	struct flr_record *record;

	*out = NULL;
	if (!root)
		return FS_E_PROTOCOL;
	record = flr_record_new();
	if (!parse_record(root, record)) {
		flr_record_free(record);
		return FS_E_PROTOCOL;
	}
	*out = record;
	return 0;
}
