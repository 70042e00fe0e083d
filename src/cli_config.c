#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cfg_diff.h"
#include "cli.h"
#include "cli_http.h"
#include "fs_log.h"

/* Routes into a leaving service are refused by the fleet: worth a word. */
static void note_leaving(const struct cfg *cfg, GString *out)
{
	for (handle h = 0; h < cfg->service_count; h++) {
		uint32_t routes = 0;

		for (handle r = 0; r < cfg->route_count; r++)
			routes += cfg->routes[r].service == h;
		if (cfg->services[h].leaving && routes)
			g_string_append_printf(
				out,
				"note: service %s is leaving; its %u routes "
				"are refused with service_leaving\n",
				cfg->services[h].name, routes);
	}
}

static void print_accepted(const char *file, const struct cfg *cfg, bool json)
{
	GString *out = g_string_new(NULL);

	if (json) {
		g_string_append(out, "{\"file\":");
		fs_json_string(out, file);
		g_string_append_printf(out,
				       ",\"accepted\":true,\"problems\":[],"
				       "\"services\":%u,\"servers\":%u,"
				       "\"routes\":%u,\"bytes\":%zu}",
				       cfg->service_count, cfg->server_count,
				       cfg->route_count, strlen(cfg->text));
	} else {
		g_string_append_printf(
			out,
			"%s: accepted: deployment %s, %u services, %u servers, "
			"%u routes, %zu bytes of at most %d\n",
			file, cfg->deployment, cfg->service_count,
			cfg->server_count, cfg->route_count, strlen(cfg->text),
			FS_CONFIG_MAX);
		note_leaving(cfg, out);
	}
	cli_print(out);
}

int cli_config_check(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "text, \"-\" for standard input");
	void *table[] = {help, json, file, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0) {
		CFG_AUTO struct cfg *cfg =
			cli_load_file(file->filename[0], json->count);

		code = cfg ? CLI_OK : CLI_REFUSED;
		if (cfg)
			print_accepted(file->filename[0], cfg, json->count);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

/* The text in force, as the platform or a node knows it. */
static int fetch(const char *platform, const char *node,
		 struct cfg_record *record)
{
	struct cli_platform p = {.address = platform};
	uint64_t revision;
	JsonNode *root;
	JsonObject *object;
	const char *text;

	memset(record, 0, sizeof(*record));
	if (platform)
		return cli_platform_ops.get(&p, &revision, record);
	root = cli_get_json(node, "/config");
	if (!root)
		return FS_E_UNAVAILABLE;
	object = JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root) :
						NULL;
	text = cli_json_text(object, "text");
	record->put.version = (uint64_t)cli_json_int(object, "version");
	record->text = g_strdup(text);
	json_node_unref(root);
	if (!text)
		return FS_E_PROTOCOL;
	return record->put.version ? 0 : FS_E_NOT_FOUND;
}

static int fetch_or_say(const char *platform, const char *node,
			struct cfg_record *record)
{
	const char *address = platform ? platform : node;
	int err = fetch(platform, node, record);

	if (err == FS_E_NOT_FOUND)
		cli_error("%s: no configuration is in force", address);
	else if (err == FS_E_UNAVAILABLE)
		cli_error("%s: no answer", address);
	else if (err)
		cli_error("%s: not a configuration record", address);
	return cli_exit_of(err);
}

static void print_record(const struct cfg_record *record, bool json)
{
	GString *out = g_string_new(NULL);

	if (json)
		cfg_record_json(record, out);
	else
		g_string_append_printf(
			out, "# version %" PRIu64 "%s%s%s%s\n%s",
			record->put.version, *record->put.by ? ", by " : "",
			record->put.by,
			*record->put.change_id ? ", change " : "",
			record->put.change_id, record->text);
	cli_print(out);
}

/* Exactly one place to read from, and a right address. */
static bool one_place(const struct arg_str *platform,
		      const struct arg_str *node)
{
	if (platform->count + node->count != 1) {
		cli_error("name one of --platform and --node");
		return false;
	}
	return cli_check_address(platform->count ? platform->sval[0] :
						   node->sval[0]);
}

int cli_config_show(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *platform =
		arg_str0(NULL, "platform", "IP:PORT", "read the platform");
	struct arg_str *node = arg_str0(NULL, "node", "IP:PORT",
					"read a node's operator interface");
	void *table[] = {help, json, platform, node, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0 && !one_place(platform, node))
		code = CLI_USAGE;
	if (code < 0) {
		struct cfg_record record;

		code = fetch_or_say(platform->count ? platform->sval[0] : NULL,
				    node->count ? node->sval[0] : NULL,
				    &record);
		if (code == CLI_OK)
			print_record(&record, json->count);
		cfg_record_clear(&record);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

static struct cfg *load_record(const struct cfg_record *record)
{
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg;

	cfg_load(record->text, record->put.version, &problems, &cfg);
	if (!cfg)
		cli_print_problems("text in force", problems, false);
	return cfg;
}

static int print_diff(const struct cfg *before, const struct cfg *after,
		      bool json)
{
	g_autoptr(GPtrArray) changes = cfg_diff(before, after);
	GString *out = g_string_new(NULL);

	if (json)
		cfg_diff_json(changes, out);
	else
		cfg_diff_text(changes, out);
	cli_print(out);
	return changes->len ? CLI_REFUSED : CLI_OK;
}

/* The text that FILE is compared with: FILE2, or the one in force. */
static int load_before(const struct arg_file *files,
		       const struct arg_str *platform, bool json,
		       struct cfg **out)
{
	struct cfg_record record;
	int code;

	if (files->count == 2) {
		*out = cli_load_file(files->filename[1], json);
		return *out ? CLI_OK : CLI_REFUSED;
	}
	code = fetch_or_say(platform->sval[0], NULL, &record);
	if (code == CLI_OK) {
		*out = load_record(&record);
		code = *out ? CLI_OK : CLI_REFUSED;
	}
	cfg_record_clear(&record);
	return code;
}

static int run_diff(const struct arg_file *files,
		    const struct arg_str *platform, bool json)
{
	CFG_AUTO struct cfg *mine = NULL;
	CFG_AUTO struct cfg *other = NULL;
	int code;

	if ((files->count == 2) == (platform->count == 1)) {
		cli_error("name one of FILE2 and --platform");
		return CLI_USAGE;
	}
	if (platform->count && !cli_check_address(platform->sval[0]))
		return CLI_USAGE;
	mine = cli_load_file(files->filename[0], json);
	if (!mine)
		return CLI_REFUSED;
	code = load_before(files, platform, json, &other);
	if (code != CLI_OK)
		return code;
	if (files->count == 2)
		return print_diff(mine, other, json);
	return print_diff(other, mine, json);
}

int cli_config_diff(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT",
					    "from the text in force to FILE");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 2, "from FILE to FILE2");
	void *table[] = {help, json, platform, files, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0)
		code = run_diff(files, platform, json->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
