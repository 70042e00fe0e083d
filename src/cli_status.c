#include <inttypes.h>
#include <stdio.h>

#include "cli_http.h"
#include "cli_nodes.h"
#include "set.h"

#define DRAIN_TIMEOUT_MS 5000L
#define DRAIN_POLL_US (200 * FS_US_PER_MS)
#define DRAIN_WAIT_MAX_S 86400

static void status_text(const struct cli_node *node, GString *out)
{
	JsonObject *o = cli_node_object(node);
	JsonObject *members = cli_json_object(o, "members");
	const char *name = cli_json_text(o, "name");
	const char *domain = cli_json_text(o, "failure_domain");

	if (!o)
		return;
	g_string_append_printf(
		out,
		"%s (%s, %s): %s%s, configuration %" PRId64 ", %" PRId64
		" members alive\n",
		name ? name : "?", node->address, domain ? domain : "?",
		cli_json_bool(o, "ready") ? "ready" : "not ready",
		cli_json_bool(o, "stopping") ? ", stopping" : "",
		cli_json_int(o, "config_version"),
		cli_json_int(members, "alive"));
}

static void status_json(const GPtrArray *nodes, GString *out)
{
	const char *comma = "";

	g_string_append(out, "{\"nodes\":{");
	for (guint i = 0; i < nodes->len; i++) {
		const struct cli_node *node = g_ptr_array_index(nodes, i);
		g_autofree char *text = NULL;

		if (!node->answer)
			continue;
		text = json_to_string(node->answer, FALSE);
		g_string_append_printf(out, "%s\"%s\":%s", comma, node->address,
				       text);
		comma = ",";
	}
	g_string_append(out, "},\"missing\":");
	cli_nodes_missing_json(nodes, out);
	g_string_append_c(out, '}');
}

static int run_status(const char *list, bool json)
{
	g_autoptr(GPtrArray) nodes = cli_nodes_new(list);
	GString *out;
	uint32_t answered;

	if (!nodes)
		return CLI_USAGE;
	answered = cli_nodes_get(nodes, "/status");
	out = g_string_new(NULL);
	if (json) {
		status_json(nodes, out);
	} else {
		for (guint i = 0; i < nodes->len; i++)
			status_text(g_ptr_array_index(nodes, i), out);
		cli_nodes_missing(nodes, out);
	}
	cli_print(out);
	return answered == nodes->len ? CLI_OK : CLI_UNREACHABLE;
}

int cli_status(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *node = arg_str1(NULL, "node", "IP:PORT[,..]",
					"operator interfaces of nodes");
	void *table[] = {help, json, node, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0)
		code = run_status(node->sval[0], json->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

/* Waits until a stopping node answers no more. @return whether it ended */
static bool wait_gone(const char *address, int wait_s)
{
	int64_t end_us = fs_now_us() + wait_s * FS_US_PER_S;

	do {
		JsonNode *status = cli_get_json(address, "/status");

		if (!status)
			return true;
		json_node_unref(status);
		g_usleep(DRAIN_POLL_US);
	} while (fs_now_us() < end_us);
	return false;
}

static int run_drain(const char *address, int wait_s, bool json)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	long status = 0;
	int err = cli_http("POST", address, "/drain", "", 0, DRAIN_TIMEOUT_MS,
			   &status, answer);
	bool gone;

	if (err || status != 200) {
		cli_error("%s: no answer%s", address,
			  err == FS_E_AMBIGUOUS ?
				  "; the stop may have begun, ask again" :
				  "; nothing was begun");
		return CLI_UNREACHABLE;
	}
	gone = wait_s > 0 && wait_gone(address, wait_s);
	if (json)
		printf("{\"node\":\"%s\",\"stopping\":true,\"ended\":%s}\n",
		       address, gone ? "true" : "false");
	else
		printf("%s: %s\n", address,
		       gone	  ? "ended" :
		       wait_s > 0 ? "a planned stop has begun; it has not "
				    "ended yet" :
				    "a planned stop has begun");
	return wait_s > 0 && !gone ? CLI_REFUSED : CLI_OK;
}

int cli_drain(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *node = arg_str1(NULL, "node", "IP:PORT",
					"operator interface of the node");
	struct arg_int *wait = arg_int0(NULL, "wait", "S",
					"wait so long for its end; default: 0");
	void *table[] = {help, json, node, wait, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0 && wait->count &&
	    (wait->ival[0] < 0 || wait->ival[0] > DRAIN_WAIT_MAX_S)) {
		cli_error("--wait takes 0 to %d s", DRAIN_WAIT_MAX_S);
		code = CLI_USAGE;
	}
	if (code < 0 && !cli_check_address(node->sval[0]))
		code = CLI_USAGE;
	if (code < 0)
		code = run_drain(node->sval[0], wait->count ? wait->ival[0] : 0,
				 json->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
