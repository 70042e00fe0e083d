#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "aud_replay.h"
#include "cli.h"
#include "fs_log.h"

/** One pass over a log. */
struct audit {
	struct aud_replay *replay;
	GString *findings; /* text, or elements of a JSON array */
	uint32_t count;
	bool json;
};

static void add_finding(struct audit *a, uint32_t line, const char *reason)
{
	a->count++;
	if (!a->json) {
		g_string_append_printf(a->findings, "line %u: %s\n", line,
				       reason);
		return;
	}
	g_string_append_printf(a->findings, "%s{\"line\":%u,\"text\":",
			       a->findings->len ? "," : "", line);
	fs_json_string(a->findings, reason);
	g_string_append_c(a->findings, '}');
}

static void take_line(struct audit *a, uint32_t number, const char *line)
{
	g_autofree char *reason = NULL;

	if (*line && aud_replay_line(a->replay, line, &reason))
		add_finding(a, number,
			    reason ? reason : "does not follow from the text");
}

static void take_log(struct audit *a, char *log)
{
	g_autofree char *reason = NULL;
	uint32_t number = 0;
	char *line = log;

	while (line) {
		char *end = strchr(line, '\n');

		if (end)
			*end++ = '\0';
		take_line(a, ++number, line);
		line = end;
	}
	if (aud_replay_end(a->replay, &reason))
		add_finding(a, number, reason ? reason : "the log as a whole");
}

static void print_result(const struct audit *a, uint64_t version)
{
	uint64_t records = aud_replay_records(a->replay);
	uint64_t others = aud_replay_other_versions(a->replay);

	if (a->json)
		printf("{\"version\":%" PRIu64 ",\"records\":%" PRIu64
		       ",\"other_versions\":%" PRIu64 ",\"findings\":[%s]}\n",
		       version, records, others, a->findings->str);
	else
		printf("%s%" PRIu64 " decisions judged by the text as version "
		       "%" PRIu64 ", %u do not follow; %" PRIu64 " are of "
		       "other versions and were judged by their numbers "
		       "alone\n",
		       a->findings->str, records, version, a->count, others);
}

/* The version that "config show" writes into a text's first line, or 0. */
static uint64_t version_in_text(const char *text)
{
	static const char mark[] = "# version ";

	if (!g_str_has_prefix(text, mark))
		return 0;
	return g_ascii_strtoull(text + strlen(mark), NULL, 10);
}

/* The newest version that a decision of the log was taken under. */
static uint64_t version_in_log(const char *log)
{
	g_auto(GStrv) lines = g_strsplit(log, "\n", -1);
	struct aud_record rec;
	uint64_t newest = 0;

	for (char **line = lines; *line; line++) {
		if (!aud_record_parse(*line, &rec))
			newest = MAX(newest, rec.config_version);
	}
	return newest;
}

static struct cfg *load_text(const char *path, const char *log, bool json)
{
	g_autoptr(GPtrArray) problems = NULL;
	g_autofree char *text = cli_read_file(path);
	uint64_t version;
	struct cfg *cfg;

	if (!text)
		return NULL;
	version = version_in_text(text);
	cfg_load(text, version ? version : version_in_log(log), &problems,
		 &cfg);
	if (!cfg)
		cli_print_problems(path, problems, json);
	return cfg;
}

static int run_audit(const char *config, const char *log_path, bool json)
{
	g_autofree char *log = cli_read_file(log_path);
	CFG_AUTO struct cfg *cfg = log ? load_text(config, log, json) : NULL;
	struct audit a = {.json = json};

	if (!cfg)
		return CLI_REFUSED;
	a.replay = aud_replay_new(cfg);
	a.findings = g_string_new(NULL);
	take_log(&a, log);
	print_result(&a, cfg->version);
	aud_replay_free(a.replay);
	g_string_free(a.findings, TRUE);
	return a.count ? CLI_REFUSED : CLI_OK;
}

int cli_audit(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_file *config =
		arg_file1(NULL, "config", "TEXT", "the operators' text");
	struct arg_file *log = arg_file1(NULL, "log", "FILE",
					 "JSON lines of one or more nodes");
	void *table[] = {help, json, config, log, arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0)
		code = run_audit(config->filename[0], log->filename[0],
				 json->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
