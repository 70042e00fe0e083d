#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "aud_explain.h"
#include "aud_replay.h"
#include "cli_explain_log.h"
#include "cli_nodes.h"

/** Which records are asked for; one member is set. */
struct question {
	const char *request;
	const char *server;
	const char *service;
};

static bool matches(const struct question *q, JsonObject *record)
{
	if (q->request)
		return !g_strcmp0(cli_json_text(record, "request"), q->request);
	if (q->server)
		return !g_strcmp0(cli_json_text(record, "server"), q->server);
	return !g_strcmp0(cli_json_text(record, "service"), q->service);
}

/* One record in plain words, with what it was decided from. */
static void say(const struct cli_node *node, JsonNode *entry, GString *out)
{
	g_autofree char *text = json_to_string(entry, FALSE);
	g_autoptr(GDateTime) at = NULL;
	g_autofree char *time = NULL;
	struct aud_record rec;

	if (aud_record_parse(text, &rec)) {
		g_string_append_printf(out,
				       "node %s: a record of another "
				       "release: %s\n",
				       node->address, text);
		return;
	}
	at = g_date_time_new_from_unix_utc(rec.wall_us / FS_US_PER_S);
	time = at ? g_date_time_format(at, "%F %T UTC") : g_strdup("?");
	g_string_append_printf(out, "%s, node %s: ", time, node->address);
	aud_explain(&rec, out);
	g_string_append_printf(out, "\n  rule %s: %s\n  configuration %" PRIu64,
			       aud_rule_name(rec.rule), aud_rule_text(rec.rule),
			       rec.config_version);
	if (*rec.request)
		g_string_append_printf(out, ", request %s", rec.request);
	for (uint32_t i = 0; i < rec.evidence_count; i++)
		g_string_append_printf(out, ", %s = %" PRId64,
				       rec.evidence[i].name,
				       rec.evidence[i].value);
	g_string_append_c(out, '\n');
}

/* Goes through one node's ring. @return how many records match */
static uint32_t explain_node(const struct cli_node *node,
			     const struct question *q, bool json, GString *out)
{
	JsonArray *records =
		node->answer && JSON_NODE_HOLDS_ARRAY(node->answer) ?
			json_node_get_array(node->answer) :
			NULL;
	uint32_t found = 0;

	for (guint i = 0; records && i < json_array_get_length(records); i++) {
		JsonNode *entry = json_array_get_element(records, i);
		g_autofree char *text = NULL;

		if (!JSON_NODE_HOLDS_OBJECT(entry) ||
		    !matches(q, json_node_get_object(entry)))
			continue;
		found++;
		if (!json) {
			say(node, entry, out);
			continue;
		}
		text = json_to_string(entry, FALSE);
		g_string_append_printf(out, "%s{\"node\":\"%s\",\"record\":%s}",
				       out->str[out->len - 1] == '[' ? "" : ",",
				       node->address, text);
	}
	return found;
}

static int run_explain(const char *list, const struct question *q, bool json)
{
	g_autoptr(GPtrArray) nodes = cli_nodes_new(list);
	uint32_t found = 0;
	uint32_t answered;
	GString *out;

	if (!nodes)
		return CLI_USAGE;
	answered = cli_nodes_get(nodes, "/audit?after=0");
	out = g_string_new(json ? "{\"records\":[" : NULL);
	for (guint i = 0; i < nodes->len; i++)
		found +=
			explain_node(g_ptr_array_index(nodes, i), q, json, out);
	if (json) {
		g_string_append(out, "],\"missing\":");
		cli_nodes_missing_json(nodes, out);
		g_string_append_c(out, '}');
	} else {
		if (!found)
			g_string_append(out,
					"no record in the nodes' rings; older "
					"ones are in the logs\n");
		cli_nodes_missing(nodes, out);
	}
	cli_print(out);
	if (!answered)
		return CLI_UNREACHABLE;
	return found ? CLI_OK : CLI_REFUSED;
}

static int run_log(const char *path, const char *request)
{
	GString *out = g_string_new(NULL);
	int found = cli_explain_log(path, request, out);

	if (found < 0) {
		g_string_free(out, TRUE);
		cli_error("the log can't be read");
		return CLI_USAGE;
	}
	if (!found)
		g_string_append(out, "no line of the log concerns it\n");
	cli_print(out);
	return found ? CLI_OK : CLI_REFUSED;
}

int cli_explain(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *node = arg_str0(NULL, "node", "IP:PORT[,..]",
					"operator interfaces of nodes");
	struct arg_str *request =
		arg_str0(NULL, "request", "ID", "what became of this request");
	struct arg_str *server = arg_str0(NULL, "server", "NAME",
					  "what was decided on this server");
	struct arg_str *service = arg_str0(NULL, "service", "NAME",
					   "what was decided on this service");
	struct arg_file *log =
		arg_file0(NULL, "log", "FILE",
			  "log of gateways to look in, with --request");
	void *table[] = {help,	 json,	  node, request,
			 server, service, log,	arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0 && request->count + server->count + service->count != 1) {
		cli_error("name one of --request, --server and --service");
		code = CLI_USAGE;
	}
	if (code < 0 && node->count + log->count != 1) {
		cli_error("name one of --node and --log");
		code = CLI_USAGE;
	}
	if (code < 0 && log->count) {
		if (request->count)
			code = run_log(log->filename[0], request->sval[0]);
		else
			cli_error("--log takes --request");
		code = code < 0 ? CLI_USAGE : code;
	}
	if (code < 0) {
		struct question q = {
			.request = request->count ? request->sval[0] : NULL,
			.server = server->count ? server->sval[0] : NULL,
			.service = service->count ? service->sval[0] : NULL,
		};

		code = run_explain(node->sval[0], &q, json->count);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
