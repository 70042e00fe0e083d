#include "plt_json.h"

#include "fs_json.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Returns a member if it is a scalar of the given type, else NULL. */
static JsonNode *scalar_member(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_VALUE(node) &&
			       json_node_get_value_type(node) == type ?
		       node :
		       NULL;
}

static const char *string_member(JsonObject *object, const char *name)
{
	JsonNode *node = scalar_member(object, name, G_TYPE_STRING);

	return node ? json_node_get_string(node) : NULL;
}

int plt_parse_value(const char *json, struct plt_value *value, char **data,
		    bool with_value)
{
	g_autoptr(JsonObject) object = fs_json_parse_object(json, -1);
	JsonNode *revision = NULL;
	const char *text;

	if (object)
		revision = scalar_member(object, "revision", G_TYPE_INT64);
	if (!revision || json_node_get_int(revision) < 0)
		return FS_E_PROTOCOL;
	text = string_member(object, "value");
	if (with_value && !text)
		return FS_E_PROTOCOL;
	value->revision = (uint64_t)json_node_get_int(revision);
	if (!with_value)
		return 0;
	*data = g_strdup(text);
	value->data = *data;
	value->size = strlen(text);
	return 0;
}

static bool parse_vm(JsonNode *node, struct plt_vm *vm)
{
	const char *name, *kind, *address, *state;
	JsonObject *object;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	object = json_node_get_object(node);
	name = string_member(object, "name");
	kind = string_member(object, "kind");
	address = string_member(object, "address");
	state = string_member(object, "state");
	if (!name || !kind || !address || !state)
		return false;
	vm->entry = !strcmp(kind, "entry");
	vm->leaving = !strcmp(state, "leaving");
	if ((!vm->entry && strcmp(kind, "target") != 0) ||
	    (!vm->leaving && strcmp(state, "live") != 0))
		return false;
	return g_strlcpy(vm->name, name, sizeof(vm->name)) < FS_NAME_MAX &&
	       g_strlcpy(vm->address, address, sizeof(vm->address)) <
		       FS_ADDRESS_MAX;
}

int plt_parse_vms(const char *json, GArray *vms)
{
	g_autoptr(JsonObject) object = fs_json_parse_object(json, -1);
	JsonNode *list = object ? json_object_get_member(object, "vms") : NULL;
	JsonArray *array;

	if (!list || !JSON_NODE_HOLDS_ARRAY(list))
		return FS_E_PROTOCOL;
	array = json_node_get_array(list);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		struct plt_vm vm = {0};

		if (parse_vm(json_array_get_element(array, i), &vm))
			g_array_append_val(vms, vm);
	}
	return 0;
}
