#include "cli_nodes.h"

#include <string.h>

#include "cli_http.h"
#include "fs_log.h"

static void node_free(void *data)
{
	struct cli_node *node = data;

	g_free(node->address);
	if (node->answer)
		json_node_unref(node->answer);
	g_free(node);
}

void cli_nodes_add(GPtrArray *nodes, const char *address)
{
	struct cli_node *node;

	for (guint i = 0; i < nodes->len; i++) {
		node = g_ptr_array_index(nodes, i);
		if (!strcmp(node->address, address))
			return;
	}
	if (nodes->len == CLI_NODES_MAX)
		return;
	node = g_new0(struct cli_node, 1);
	node->address = g_strdup(address);
	g_ptr_array_add(nodes, node);
}

GPtrArray *cli_nodes_new(const char *list)
{
	g_auto(GStrv) parts = g_strsplit(list, ",", -1);
	GPtrArray *nodes = g_ptr_array_new_with_free_func(node_free);

	for (char **part = parts; *part; part++) {
		if (!cli_check_address(*part)) {
			g_ptr_array_unref(nodes);
			return NULL;
		}
		cli_nodes_add(nodes, *part);
	}
	if (nodes->len)
		return nodes;
	cli_error("--node names no node");
	g_ptr_array_unref(nodes);
	return NULL;
}

static void add_members_of(GPtrArray *nodes, JsonObject *status)
{
	JsonArray *list =
		cli_json_array(cli_json_object(status, "members"), "list");

	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonNode *node = json_array_get_element(list, i);
		JsonObject *member = JSON_NODE_HOLDS_OBJECT(node) ?
					     json_node_get_object(node) :
					     NULL;
		const char *state = cli_json_text(member, "state");
		const char *address = cli_json_text(member, "operator");

		if (address && g_strcmp0(state, "dead") != 0)
			cli_nodes_add(nodes, address);
	}
}

void cli_nodes_add_members(GPtrArray *nodes)
{
	guint named = nodes->len;

	for (guint i = 0; i < named; i++)
		add_members_of(nodes,
			       cli_node_object(g_ptr_array_index(nodes, i)));
}

uint32_t cli_nodes_get(GPtrArray *nodes, const char *path)
{
	uint32_t answered = 0;

	for (guint i = 0; i < nodes->len; i++) {
		struct cli_node *node = g_ptr_array_index(nodes, i);

		if (node->answer)
			json_node_unref(node->answer);
		node->answer = cli_get_json(node->address, path);
		answered += node->answer != NULL;
	}
	return answered;
}

JsonObject *cli_node_object(const struct cli_node *node)
{
	return node->answer && JSON_NODE_HOLDS_OBJECT(node->answer) ?
		       json_node_get_object(node->answer) :
		       NULL;
}

void cli_nodes_missing(const GPtrArray *nodes, GString *out)
{
	const char *before = "missing: ";

	for (guint i = 0; i < nodes->len; i++) {
		const struct cli_node *node = g_ptr_array_index(nodes, i);

		if (node->answer)
			continue;
		g_string_append_printf(out, "%s%s", before, node->address);
		before = ", ";
	}
	if (*before == ',')
		g_string_append_c(out, '\n');
}

void cli_nodes_missing_json(const GPtrArray *nodes, GString *out)
{
	const char *comma = "";

	g_string_append_c(out, '[');
	for (guint i = 0; i < nodes->len; i++) {
		const struct cli_node *node = g_ptr_array_index(nodes, i);

		if (node->answer)
			continue;
		g_string_append_printf(out, "%s\"%s\"", comma, node->address);
		comma = ",";
	}
	g_string_append_c(out, ']');
}
