#include "cli_explain_log.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "cli.h"
#include "fs_err.h"
#include "fs_json.h"

/** The last lines on targets, by node and target. */
struct beliefs {
	GHashTable *lines; /* "node target" to text, owned */
};

static gint64 number(JsonObject *object, const char *name)
{
	return json_object_has_member(object, name) ?
		       json_object_get_int_member(object, name) :
		       0;
}

static const char *text(JsonObject *object, const char *name)
{
	const char *value = cli_json_text(object, name);

	return value ? value : "-";
}

static void note_belief(struct beliefs *b, JsonObject *line)
{
	const char *target = cli_json_text(line, "target");
	const char *event = text(line, "event");
	char *said;

	if (!target)
		return;
	if (!strcmp(event, "target"))
		said = g_strdup_printf(
			"%s: entry %" G_GINT64_FORMAT " from %s%s",
			text(line, "time"), number(line, "rev"),
			text(line, "source"),
			json_object_get_boolean_member(line, "leaving") ?
				", leaving" :
				"");
	else
		said = g_strdup_printf(
			"%s: %s, last outcome %s (%s)", text(line, "time"),
			event, text(line, "outcome"), text(line, "source"));
	g_hash_table_replace(
		b->lines, g_strdup_printf("%s %s", text(line, "node"), target),
		said);
}

static void say_try(const struct beliefs *b, JsonObject *line, JsonObject *t,
		    GString *out)
{
	g_autofree char *key =
		g_strdup_printf("%s %s", text(line, "node"), text(t, "target"));
	const char *belief = g_hash_table_lookup(b->lines, key);

	g_string_append_printf(
		out,
		"  after %" G_GINT64_FORMAT
		" ms: sent to %s; %s after %" G_GINT64_FORMAT
		" ms, status %" G_GINT64_FORMAT "%s\n",
		number(t, "at_ms"), text(t, "target"), text(t, "end"),
		number(t, "took_ms"), number(t, "status"),
		json_object_get_boolean_member(t, "not_run") ? ", not run" :
							       "");
	if (cli_json_text(t, "framing"))
		g_string_append_printf(
			out,
			"    its answer: %" G_GINT64_FORMAT
			" bytes, end told by: %s; %s connection%s\n",
			number(t, "bytes"), text(t, "framing"),
			json_object_get_boolean_member(t, "reused") ? "used" :
								      "new",
			json_object_get_boolean_member(t, "bytes_behind") ?
				"; more bytes behind its end" :
				"");
	if (belief)
		g_string_append_printf(out, "    known of it: %s\n", belief);
}

/* Says what a node knew of an organisation's limit when it refused a request. */
static void say_quota(JsonObject *line, GString *out)
{
	JsonObject *quota =
		json_object_has_member(line, "quota") ?
			json_object_get_object_member(line, "quota") :
			NULL;

	if (!quota)
		return;
	g_string_append_printf(
		out,
		"  limit of %s: %.2f a second; %.2f left, others ask for %.1f "
		"a second, heard %" G_GINT64_FORMAT " ms ago%s\n",
		text(quota, "organisation"),
		json_object_get_double_member(quota, "per_s"),
		json_object_get_double_member(quota, "level"),
		json_object_get_double_member(quota, "others_per_s"),
		number(quota, "heard_ms_ago"),
		json_object_get_boolean_member(quota, "alone") ?
			"; this node goes by its own part" :
			"");
}

static void say_request(const struct beliefs *b, JsonObject *line, GString *out)
{
	JsonArray *tries = json_object_has_member(line, "tries") ?
				   json_object_get_array_member(line, "tries") :
				   NULL;

	g_string_append_printf(
		out,
		"%s, node %s: request %s for route %s, service %s, "
		"configuration %" G_GINT64_FORMAT
		"\n  %s, status %" G_GINT64_FORMAT ", after %" G_GINT64_FORMAT
		" of %" G_GINT64_FORMAT " ms\n",
		text(line, "time"), text(line, "node"), text(line, "request"),
		text(line, "route"), text(line, "service"),
		number(line, "version"), text(line, "outcome"),
		number(line, "status"), number(line, "took_ms"),
		number(line, "given_ms"));
	if (cli_json_text(line, "organisation"))
		g_string_append_printf(out, "  organisation: %s\n",
				       text(line, "organisation"));
	if (cli_json_text(line, "key"))
		g_string_append_printf(out, "  key: %s\n", text(line, "key"));
	for (guint i = 0; tries && i < json_array_get_length(tries); i++)
		say_try(b, line, json_array_get_object_element(tries, i), out);
	if (cli_json_text(line, "no_retry"))
		g_string_append_printf(out, "  not sent again: %s\n",
				       text(line, "no_retry"));
	say_quota(line, out);
}

/* Takes one line. @return whether it concerns the request */
static bool take_line(struct beliefs *b, const char *data, const char *request,
		      GString *out)
{
	g_autoptr(JsonObject) line = fs_json_parse_object(data, -1);

	if (!line)
		return false;
	note_belief(b, line);
	if (g_strcmp0(cli_json_text(line, "request"), request) != 0 ||
	    strcmp(text(line, "event"), "request") != 0)
		return false;
	say_request(b, line, out);
	return true;
}

int cli_explain_log(const char *path, const char *request, GString *out)
{
	g_autofree char *all = NULL;
	g_auto(GStrv) lines = NULL;
	struct beliefs b;
	int found = 0;

	if (!g_file_get_contents(path, &all, NULL, NULL))
		return FS_E_NOT_FOUND;
	b.lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lines = g_strsplit(all, "\n", -1);
	for (char **l = lines; *l; l++)
		found += take_line(&b, *l, request, out);
	g_hash_table_unref(b.lines);
	return found;
}
