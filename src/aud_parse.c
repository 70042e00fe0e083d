#include <json-glib/json-glib.h>
#include <string.h>

#include "aud_replay.h"

#include "fs_json.h"

static bool get_number(JsonObject *object, const char *name, gint64 *out)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	*out = json_node_get_int(node);
	return true;
}

static bool get_unsigned(JsonObject *object, const char *name, uint64_t *out)
{
	gint64 value;

	if (!get_number(object, name, &value) || value < 0)
		return false;
	*out = (uint64_t)value;
	return true;
}

/* An absent text is empty; one of another type or too long is an error. */
static bool get_text(JsonObject *object, const char *name, char *out,
		     size_t size)
{
	JsonNode *node = json_object_get_member(object, name);

	*out = '\0';
	if (!node)
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	return g_strlcpy(out, json_node_get_string(node), size) < size;
}

static bool parse_numbers(JsonObject *object, struct aud_record *out)
{
	JsonNode *node = json_object_get_member(object, "numbers");
	JsonObjectIter iter;
	const char *name;

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return false;
	if (json_object_get_size(json_node_get_object(node)) >
	    FS_AUDIT_EVIDENCE_MAX)
		return false;
	json_object_iter_init_ordered(&iter, json_node_get_object(node));
	while (json_object_iter_next_ordered(&iter, &name, NULL)) {
		gint64 value;

		if (!get_number(json_node_get_object(node), name, &value))
			return false;
		aud_add(out, g_intern_string(name), value);
	}
	return true;
}

static bool parse_rule(JsonObject *object, struct aud_record *out)
{
	char word[FS_NAME_MAX];

	if (!get_text(object, "kind", word, sizeof(word)))
		return false;
	out->kind = aud_kind_by_name(word);
	if (!get_text(object, "rule", word, sizeof(word)))
		return false;
	out->rule = aud_rule_by_name(word);
	return out->kind < AUD_KIND_COUNT && out->rule < AUD_RULE_COUNT;
}

static bool parse_record(JsonObject *object, struct aud_record *out)
{
	gint64 now_us;
	gint64 wall_us;

	memset(out, 0, sizeof(*out));
	if (!parse_rule(object, out) ||
	    !get_unsigned(object, "incarnation", &out->incarnation) ||
	    !get_unsigned(object, "serial", &out->serial) ||
	    !get_unsigned(object, "config_version", &out->config_version) ||
	    !get_number(object, "now_us", &now_us) ||
	    !get_number(object, "wall_us", &wall_us))
		return false;
	out->now_us = now_us;
	out->wall_us = wall_us;
	return get_text(object, "service", out->service,
			sizeof(out->service)) &&
	       get_text(object, "server", out->server, sizeof(out->server)) &&
	       get_text(object, "route", out->route, sizeof(out->route)) &&
	       get_text(object, "request", out->request,
			sizeof(out->request)) &&
	       get_text(object, "choice", out->choice, sizeof(out->choice)) &&
	       parse_numbers(object, out);
}

/* A log line has the record as a member; a bare record has a rule. */
static int find_record(JsonObject *line, JsonObject **out)
{
	JsonNode *node = json_object_get_member(line, "record");

	if (json_object_has_member(line, "rule")) {
		*out = line;
		return 0;
	}
	if (!node)
		return FS_E_NOT_FOUND;
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return FS_E_PROTOCOL;
	*out = json_node_get_object(node);
	return 0;
}

int aud_record_parse(const char *json, struct aud_record *out)
{
	g_autoptr(JsonObject) line = fs_json_parse_object(json, -1);
	JsonObject *object;
	int err;

	if (!line)
		return FS_E_PROTOCOL;
	err = find_record(line, &object);
	if (err)
		return err;
	return parse_record(object, out) ? 0 : FS_E_PROTOCOL;
}
