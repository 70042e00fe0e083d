#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "fs_log.h"

static char *read_stdin(void)
{
	GString *text = g_string_new(NULL);
	char part[4096];
	size_t got;

	while ((got = fread(part, 1, sizeof(part), stdin)) > 0 &&
	       text->len <= FS_CONFIG_MAX)
		g_string_append_len(text, part, (gssize)got);
	return g_string_free(text, FALSE);
}

char *cli_read_file(const char *path)
{
	g_autoptr(GError) error = NULL;
	char *text = NULL;

	if (!strcmp(path, "-"))
		return read_stdin();
	if (!g_file_get_contents(path, &text, NULL, &error))
		cli_error("%s", error->message);
	return text;
}

static void problem_json(const struct cfg_problem *p, GString *out)
{
	g_string_append_printf(out, "{\"line\":%d,\"path\":", p->line);
	fs_json_string(out, p->path);
	g_string_append(out, ",\"text\":");
	fs_json_string(out, p->text);
	g_string_append_c(out, '}');
}

void cli_problems_json(const GPtrArray *problems, GString *out)
{
	g_string_append_c(out, '[');
	for (guint i = 0; i < problems->len; i++) {
		if (i)
			g_string_append_c(out, ',');
		problem_json(g_ptr_array_index(problems, i), out);
	}
	g_string_append_c(out, ']');
}

static void print_json(const char *file, const GPtrArray *problems)
{
	GString *out = g_string_new("{\"file\":");

	fs_json_string(out, file);
	g_string_append_printf(out, ",\"accepted\":%s,\"problems\":",
			       problems->len ? "false" : "true");
	cli_problems_json(problems, out);
	g_string_append_c(out, '}');
	cli_print(out);
}

void cli_print_problems(const char *file, const GPtrArray *problems, bool json)
{
	if (json) {
		print_json(file, problems);
		return;
	}
	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		fputs(file, stderr);
		if (p->line)
			fprintf(stderr, ":%d", p->line);
		fprintf(stderr, ": %s%s%s\n", p->path, *p->path ? ": " : "",
			p->text);
	}
}

struct cfg *cli_load_file(const char *path, bool json)
{
	g_autoptr(GPtrArray) problems = NULL;
	g_autofree char *text = cli_read_file(path);
	struct cfg *cfg;

	if (!text)
		return NULL;
	cfg_load(text, 0, &problems, &cfg);
	if (!cfg)
		cli_print_problems(path, problems, json);
	return cfg;
}

void cli_print(GString *out)
{
	fputs(out->str, stdout);
	if (!out->len || out->str[out->len - 1] != '\n')
		fputc('\n', stdout);
	g_string_free(out, TRUE);
}

JsonObject *cli_json_object(JsonObject *object, const char *name)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

JsonArray *cli_json_array(JsonObject *object, const char *name)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

static JsonNode *value_of(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = object ? json_object_get_member(object, name) : NULL;

	return node && json_node_get_value_type(node) == type ? node : NULL;
}

const char *cli_json_text(JsonObject *object, const char *name)
{
	JsonNode *node = value_of(object, name, G_TYPE_STRING);

	return node ? json_node_get_string(node) : NULL;
}

int64_t cli_json_int(JsonObject *object, const char *name)
{
	JsonNode *node = value_of(object, name, G_TYPE_INT64);

	return node ? json_node_get_int(node) : 0;
}

bool cli_json_bool(JsonObject *object, const char *name)
{
	JsonNode *node = value_of(object, name, G_TYPE_BOOLEAN);

	return node && json_node_get_boolean(node);
}
