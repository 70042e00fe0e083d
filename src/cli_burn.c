#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli_http.h"
#include "cli_nodes.h"
#include "fs_log.h"

#define WINDOWS 3
#define CAUSES_SHOWN 5

static const char *const window_names[WINDOWS] = {"5 min", "1 h", "6 h"};

/** Counts of one window over all nodes. */
struct window {
	int64_t total;
	int64_t good;
	int64_t retried;
};

/** One service over all nodes. */
struct burn {
	const struct cfg_service *service;
	struct window windows[WINDOWS];
	GHashTable *causes; /* name to count */
	GHashTable *servers;
};

static void add_windows(struct burn *b, JsonObject *from)
{
	JsonArray *list = cli_json_array(from, "windows");

	for (guint i = 0;
	     list && i < WINDOWS && i < json_array_get_length(list); i++) {
		JsonNode *node = json_array_get_element(list, i);
		JsonObject *w = JSON_NODE_HOLDS_OBJECT(node) ?
					json_node_get_object(node) :
					NULL;

		b->windows[i].total += cli_json_int(w, "total");
		b->windows[i].good += cli_json_int(w, "good");
		b->windows[i].retried += cli_json_int(w, "retried");
	}
}

static void add_counts(GHashTable *to, JsonObject *from)
{
	g_autoptr(GList) names = from ? json_object_get_members(from) : NULL;

	for (GList *name = names; name; name = name->next) {
		gint64 sum =
			cli_json_int(from, name->data) +
			GPOINTER_TO_INT(g_hash_table_lookup(to, name->data));

		g_hash_table_insert(to, g_strdup(name->data),
				    GINT_TO_POINTER((int)sum));
	}
}

static void gather(struct burn *b, const GPtrArray *nodes)
{
	for (guint i = 0; i < nodes->len; i++) {
		JsonObject *services = cli_json_object(
			cli_node_object(g_ptr_array_index(nodes, i)),
			"services");
		JsonObject *from = cli_json_object(services, b->service->name);

		add_windows(b, from);
		add_counts(b->causes, cli_json_object(from, "causes"));
		add_counts(b->servers, cli_json_object(from, "servers"));
	}
}

static double bad_share(const struct window *w)
{
	return w->total ? (double)(w->total - w->good) / (double)w->total : 0;
}

/* How many times faster than allowed the error budget is being spent. */
static double burn_rate(const struct burn *b, const struct window *w)
{
	return bad_share(w) / (1 - b->service->objective_good);
}

static void counts_text(const char *what, GHashTable *counts, GString *out)
{
	g_autoptr(GList) names = g_hash_table_get_keys(counts);

	for (int shown = 0; names && shown < CAUSES_SHOWN; shown++) {
		GList *most = names;

		for (GList *at = names; at; at = at->next) {
			if (GPOINTER_TO_INT(
				    g_hash_table_lookup(counts, at->data)) >
			    GPOINTER_TO_INT(
				    g_hash_table_lookup(counts, most->data)))
				most = at;
		}
		g_string_append_printf(out, "  %s %s: %d\n", what,
				       (char *)most->data,
				       GPOINTER_TO_INT(g_hash_table_lookup(
					       counts, most->data)));
		names = g_list_delete_link(names, most);
	}
}

static void burn_text(const struct burn *b, GString *out)
{
	const struct window *all = &b->windows[WINDOWS - 1];

	g_string_append_printf(
		out, "%s: objective %g%% within %" PRId64 " ms\n",
		b->service->name, b->service->objective_good * 100,
		(int64_t)(b->service->objective_us / FS_US_PER_MS));
	for (int i = 0; i < WINDOWS; i++) {
		const struct window *w = &b->windows[i];

		g_string_append_printf(
			out,
			"  %-5s  %" PRId64 " answers, %" PRId64 " bad (%.3f%%)"
			", burn rate %.2f, %" PRId64 " retried\n",
			window_names[i], w->total, w->total - w->good,
			bad_share(w) * 100, burn_rate(b, w), w->retried);
	}
	if (all->total)
		g_string_append_printf(out,
				       "  budget of the last 6 h: %.1f%% "
				       "spent\n",
				       burn_rate(b, all) * 100);
	counts_text("cause", b->causes, out);
	counts_text("server", b->servers, out);
}

static void counts_json(const char *name, GHashTable *counts, GString *out)
{
	GHashTableIter iter;
	const char *comma = "";
	void *key;
	void *value;

	g_string_append_printf(out, ",\"%s\":{", name);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		g_string_append(out, comma);
		fs_json_string(out, key);
		g_string_append_printf(out, ":%d", GPOINTER_TO_INT(value));
		comma = ",";
	}
	g_string_append_c(out, '}');
}

static void burn_json(const struct burn *b, GString *out)
{
	static const int minutes[WINDOWS] = {5, 60, 360};

	g_string_append(out, "{\"service\":");
	fs_json_string(out, b->service->name);
	g_string_append_printf(
		out,
		",\"objective_good\":%.6g,\"objective_ms\":%" PRId64
		",\"windows\":[",
		b->service->objective_good,
		(int64_t)(b->service->objective_us / FS_US_PER_MS));
	for (int i = 0; i < WINDOWS; i++) {
		const struct window *w = &b->windows[i];

		g_string_append_printf(out,
				       "%s{\"minutes\":%d,\"total\":%" PRId64
				       ",\"good\":%" PRId64
				       ",\"retried\":%" PRId64
				       ",\"burn_rate\":%.6g}",
				       i ? "," : "", minutes[i], w->total,
				       w->good, w->retried, burn_rate(b, w));
	}
	g_string_append_c(out, ']');
	counts_json("causes", b->causes, out);
	counts_json("servers", b->servers, out);
	g_string_append_c(out, '}');
}

static void report_service(const struct cfg_service *service,
			   const GPtrArray *nodes, bool json, GString *out)
{
	struct burn b = {
		.service = service,
		.causes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.servers = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL),
	};

	gather(&b, nodes);
	if (json)
		burn_json(&b, out);
	else
		burn_text(&b, out);
	g_hash_table_unref(b.causes);
	g_hash_table_unref(b.servers);
}

/* The newest text that any of the nodes has in force. */
static struct cfg *newest_config(GPtrArray *nodes)
{
	g_autoptr(GPtrArray) problems = NULL;
	JsonObject *newest = NULL;
	const char *text;
	struct cfg *cfg;

	cli_nodes_get(nodes, "/config");
	for (guint i = 0; i < nodes->len; i++) {
		JsonObject *o = cli_node_object(g_ptr_array_index(nodes, i));

		if (o && (!newest || cli_json_int(o, "version") >
					     cli_json_int(newest, "version")))
			newest = o;
	}
	text = cli_json_text(newest, "text");
	if (!text || !*text)
		return NULL;
	cfg_load(text, (uint64_t)cli_json_int(newest, "version"), &problems,
		 &cfg);
	return cfg;
}

static void report(const struct cfg *cfg, const GPtrArray *nodes,
		   uint32_t answered, bool json)
{
	GString *out = g_string_new(json ? "{\"services\":[" : NULL);

	if (!json)
		g_string_append_printf(out, "%u of %u nodes answered\n",
				       answered, nodes->len);
	if (!json)
		cli_nodes_missing(nodes, out);
	for (handle h = 0; h < cfg->service_count; h++) {
		if (json && h)
			g_string_append_c(out, ',');
		report_service(&cfg->services[h], nodes, json, out);
	}
	if (json) {
		g_string_append_printf(
			out, "],\"answered\":%u,\"missing\":", answered);
		cli_nodes_missing_json(nodes, out);
		g_string_append_c(out, '}');
	}
	cli_print(out);
}

static int run_burn(const char *list, bool json)
{
	g_autoptr(GPtrArray) nodes = cli_nodes_new(list);
	CFG_AUTO struct cfg *cfg = NULL;
	uint32_t answered;

	if (!nodes)
		return CLI_USAGE;
	if (!cli_nodes_get(nodes, "/status")) {
		cli_error("no node answers");
		return CLI_UNREACHABLE;
	}
	cli_nodes_add_members(nodes);
	cfg = newest_config(nodes);
	if (!cfg) {
		cli_error("no node has a configuration in force");
		return CLI_UNREACHABLE;
	}
	answered = cli_nodes_get(nodes, "/burn");
	report(cfg, nodes, answered, json);
	return answered == nodes->len ? CLI_OK : CLI_UNREACHABLE;
}

int cli_report_burn(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *node = arg_str1(
		NULL, "node", "IP:PORT[,..]",
		"operator interfaces; further nodes are found through them");
	void *table[] = {help, json, node, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0)
		code = run_burn(node->sval[0], json->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
