#include "cfg_record.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "fs_json.h"
#include "fs_log.h"

static const char *text_member(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(node);
}

static bool parse_put(JsonObject *object, struct cfg_put *out)
{
	JsonNode *version = json_object_get_member(object, "version");
	const char *id = text_member(object, "change_id");
	const char *by = text_member(object, "by");

	if (!version || json_node_get_value_type(version) != G_TYPE_INT64 ||
	    json_node_get_int(version) <= 0)
		return false;
	out->version = (uint64_t)json_node_get_int(version);
	g_strlcpy(out->change_id, id ? id : "", sizeof(out->change_id));
	g_strlcpy(out->by, by ? by : "", sizeof(out->by));
	return true;
}

static bool parse_history(JsonObject *object, struct cfg_record *out)
{
	JsonNode *node = json_object_get_member(object, "history");
	JsonArray *list;

	if (!node)
		return true;
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	list = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(list) &&
			  out->history_count < CFG_HISTORY_MAX;
	     i++) {
		JsonNode *entry = json_array_get_element(list, i);

		if (!JSON_NODE_HOLDS_OBJECT(entry) ||
		    !parse_put(json_node_get_object(entry),
			       &out->history[out->history_count]))
			return false;
		out->history_count++;
	}
	return true;
}

int cfg_record_parse(const char *json, struct cfg_record *out)
{
	g_autoptr(JsonObject) object = fs_json_parse_object(json, -1);
	const char *text;

	memset(out, 0, sizeof(*out));
	if (!object)
		return FS_E_PROTOCOL;
	text = text_member(object, "text");
	if (!text || !parse_put(object, &out->put) ||
	    !parse_history(object, out))
		return FS_E_PROTOCOL;
	out->text = g_strdup(text);
	return 0;
}

static void put_json(const struct cfg_put *put, GString *out)
{
	g_string_append_printf(
		out, "\"version\":%" PRIu64 ",\"change_id\":", put->version);
	fs_json_string(out, put->change_id);
	g_string_append(out, ",\"by\":");
	fs_json_string(out, put->by);
}

void cfg_record_json(const struct cfg_record *record, GString *out)
{
	g_string_append_c(out, '{');
	put_json(&record->put, out);
	g_string_append(out, ",\"text\":");
	fs_json_string(out, record->text);
	g_string_append(out, ",\"history\":[");
	for (uint32_t i = 0; i < record->history_count; i++) {
		g_string_append(out, i ? ",{" : "{");
		put_json(&record->history[i], out);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}");
}

void cfg_record_clear(struct cfg_record *record)
{
	g_free(record->text);
	memset(record, 0, sizeof(*record));
}

void cfg_record_next(struct cfg_record *out, const struct cfg_record *before,
		     const char *change_id, const char *by, const char *text)
{
	memset(out, 0, sizeof(*out));
	out->put.version = before ? before->put.version + 1 : 1;
	g_strlcpy(out->put.change_id, change_id, sizeof(out->put.change_id));
	g_strlcpy(out->put.by, by, sizeof(out->put.by));
	out->text = g_strdup(text);
	if (!before)
		return;
	out->history[out->history_count++] = before->put;
	for (uint32_t i = 0;
	     i < before->history_count && out->history_count < CFG_HISTORY_MAX;
	     i++)
		out->history[out->history_count++] = before->history[i];
}

static enum cfg_put_state compare(const struct cfg_put *there,
				  const struct cfg_put *put)
{
	return strcmp(there->change_id, put->change_id) ? CFG_PUT_NOT :
							  CFG_PUT_DONE;
}

enum cfg_put_state cfg_record_tells(const struct cfg_record *record,
				    const struct cfg_put *put)
{
	if (record->put.version < put->version)
		return CFG_PUT_WAITING;
	if (record->put.version == put->version)
		return compare(&record->put, put);
	for (uint32_t i = 0; i < record->history_count; i++) {
		if (record->history[i].version == put->version)
			return compare(&record->history[i], put);
	}
	return CFG_PUT_UNKNOWN;
}
