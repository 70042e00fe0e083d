#include "cli_burn.h"

#include <string.h>

static void add_windows(struct cli_burn *b, JsonObject *from)
{
	JsonArray *list = cli_json_array(from, "windows");

	for (guint i = 0;
	     list && i < CLI_BURN_WINDOWS && i < json_array_get_length(list);
	     i++) {
		JsonNode *node = json_array_get_element(list, i);
		JsonObject *w = JSON_NODE_HOLDS_OBJECT(node) ?
					json_node_get_object(node) :
					NULL;

		b->windows[i].total += cli_json_int(w, "total");
		b->windows[i].good += cli_json_int(w, "good");
		b->windows[i].retried += cli_json_int(w, "retried");
	}
}

static void add_buckets(struct cli_burn *b, JsonObject *from)
{
	JsonArray *list = cli_json_array(from, "bad_per_5min");

	for (guint i = 0;
	     list && i < CLI_BURN_BUCKETS && i < json_array_get_length(list);
	     i++) {
		JsonNode *node = json_array_get_element(list, i);
		JsonArray *pair = JSON_NODE_HOLDS_ARRAY(node) ?
					  json_node_get_array(node) :
					  NULL;

		if (!pair || json_array_get_length(pair) != 2)
			continue;
		b->total[i] += json_array_get_int_element(pair, 0);
		b->bad[i] += json_array_get_int_element(pair, 1);
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

static void gather(struct cli_burn *b, const GPtrArray *nodes)
{
	for (guint i = 0; i < nodes->len; i++) {
		JsonObject *services = cli_json_object(
			cli_node_object(g_ptr_array_index(nodes, i)),
			"services");
		JsonObject *from = cli_json_object(services, b->service->name);

		add_windows(b, from);
		add_buckets(b, from);
		add_counts(b->causes, cli_json_object(from, "causes"));
		add_counts(b->servers, cli_json_object(from, "servers"));
	}
}

/* How a report is written. */
enum form {
	FORM_TEXT,
	FORM_JSON,
	FORM_HTML,
};

static void report_service(const struct cfg_service *service,
			   const GPtrArray *nodes, enum form form, GString *out)
{
	static void (*const write[])(const struct cli_burn *b, GString *out) = {
		[FORM_TEXT] = cli_burn_text,
		[FORM_JSON] = cli_burn_json,
		[FORM_HTML] = cli_burn_html,
	};
	struct cli_burn b = {
		.service = service,
		.causes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.servers = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL),
	};

	gather(&b, nodes);
	write[form](&b, out);
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

static void begin(const struct cfg *cfg, const GPtrArray *nodes,
		  uint32_t answered, enum form form, GString *out)
{
	if (form == FORM_JSON) {
		g_string_append(out, "{\"services\":[");
	} else if (form == FORM_HTML) {
		cli_burn_html_begin(cfg->deployment, nodes, answered, out);
	} else {
		g_string_append_printf(out, "%u of %u nodes answered\n",
				       answered, nodes->len);
		cli_nodes_missing(nodes, out);
	}
}

static void end(const GPtrArray *nodes, uint32_t answered, enum form form,
		GString *out)
{
	if (form == FORM_HTML)
		cli_burn_html_end(out);
	if (form != FORM_JSON)
		return;
	g_string_append_printf(out, "],\"answered\":%u,\"missing\":", answered);
	cli_nodes_missing_json(nodes, out);
	g_string_append_c(out, '}');
}

static GString *report(const struct cfg *cfg, const GPtrArray *nodes,
		       uint32_t answered, enum form form)
{
	GString *out = g_string_new(NULL);

	begin(cfg, nodes, answered, form, out);
	for (handle h = 0; h < cfg->service_count; h++) {
		if (form == FORM_JSON && h)
			g_string_append_c(out, ',');
		report_service(&cfg->services[h], nodes, form, out);
	}
	end(nodes, answered, form, out);
	return out;
}

/* @return whether the page was written */
static bool write_page(const char *path, GString *page)
{
	g_autoptr(GError) error = NULL;
	bool written =
		g_file_set_contents(path, page->str, (gssize)page->len, &error);

	if (!written)
		cli_error("%s", error->message);
	g_string_free(page, TRUE);
	return written;
}

static int run_burn(const char *list, bool json, const char *html)
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
	if (html && !write_page(html, report(cfg, nodes, answered, FORM_HTML)))
		return CLI_REFUSED;
	cli_print(report(cfg, nodes, answered, json ? FORM_JSON : FORM_TEXT));
	return answered == nodes->len ? CLI_OK : CLI_UNREACHABLE;
}

int cli_report_burn(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *node = arg_str1(
		NULL, "node", "IP:PORT[,..]",
		"operator interfaces; further nodes are found through them");
	struct arg_file *html =
		arg_file0(NULL, "html", "FILE", "write a page with plots too");
	void *table[] = {help, json, node, html, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0)
		code = run_burn(node->sval[0], json->count,
				html->count ? html->filename[0] : NULL);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
