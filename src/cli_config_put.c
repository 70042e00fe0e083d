#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cfg_diff.h"
#include "cli.h"
#include "cli_http.h"
#include "fs_log.h"

#define WAIT_DEFAULT_S 15
#define WAIT_MAX_S 3600
#define PAUSE_FIRST_US (50 * FS_US_PER_MS)

static const char *const words[] = {
	[CLI_OK] = "accepted",	     [CLI_REFUSED] = "refused",
	[CLI_USAGE] = "usage",	     [CLI_UNREACHABLE] = "unreachable",
	[CLI_CONFLICT] = "conflict", [CLI_AMBIGUOUS] = "ambiguous",
};

/* What stands between the text in force and the operator's own. */
static GPtrArray *difference(const struct cli_put *put,
			     const struct cli_put_result *result)
{
	g_autoptr(GPtrArray) ignored = NULL;
	g_autoptr(GPtrArray) found = NULL;
	CFG_AUTO struct cfg *theirs = NULL;
	CFG_AUTO struct cfg *mine = NULL;

	if (result->record.text)
		cfg_load(result->record.text, 0, &ignored, &theirs);
	cfg_load(put->text, 0, &found, &mine);
	return mine ? cfg_diff(theirs, mine) : NULL;
}

static void print_text(const char *file, const struct cli_put *put,
		       const struct cli_put_result *result, int code)
{
	const struct cfg_put *there = &result->record.put;
	g_autoptr(GPtrArray) changes = NULL;
	GString *out;

	switch (code) {
	case CLI_OK:
		printf("accepted: version %" PRIu64 ", change %s%s\n",
		       result->version, put->change_id,
		       result->replaced ? "; replaced since by a later put" :
					  "");
		break;
	case CLI_CONFLICT:
		cli_error("not accepted: version %" PRIu64 " is in force, by "
			  "%s; nothing of it is lost. Join your change to it "
			  "and put again. From it to your text:",
			  there->version, *there->by ? there->by : "unknown");
		changes = difference(put, result);
		out = g_string_new(NULL);
		if (changes)
			cfg_diff_text(changes, out);
		cli_print(out);
		break;
	case CLI_UNREACHABLE:
		cli_error("not accepted: the platform does not answer; "
			  "nothing was put");
		break;
	case CLI_AMBIGUOUS:
		cli_error("not known: the text may be in force, or come into "
			  "force. Once the platform answers, run \"config "
			  "show --json\" and look for change %s in change_id "
			  "and history; put nothing else before",
			  put->change_id);
		break;
	default:
		if (result->problems && result->problems->len)
			cli_print_problems(file, result->problems, false);
		else
			cli_error("not accepted: the platform refused the "
				  "value, or holds no configuration record");
	}
}

static void print_json(const struct cli_put *put,
		       const struct cli_put_result *result, int code)
{
	g_autoptr(GPtrArray) changes = NULL;
	GString *out = g_string_new(NULL);

	if (code == CLI_CONFLICT)
		changes = difference(put, result);
	g_string_append_printf(out,
			       "{\"result\":\"%s\",\"version\":%" PRIu64
			       ",\"change_id\":\"%s\",\"replaced\":%s",
			       words[code], result->version, put->change_id,
			       result->replaced ? "true" : "false");
	if (code == CLI_REFUSED && result->problems) {
		g_string_append(out, ",\"problems\":");
		cli_problems_json(result->problems, out);
	}
	if (changes) {
		g_string_append(out, ",\"in_force_by\":");
		fs_json_string(out, result->record.put.by);
		g_string_append(out, ",\"difference\":");
		cfg_diff_json(changes, out);
	}
	g_string_append_c(out, '}');
	cli_print(out);
}

/* Reads the file and puts it. */
static int put_file(const char *file, struct cli_put *put,
		    struct cli_platform *platform, bool json)
{
	g_autofree char *text = cli_read_file(file);
	struct cli_put_result result;
	int code;

	if (!text)
		return CLI_REFUSED;
	put->text = text;
	code = cli_exit_of(
		cli_put_run(&cli_platform_ops, platform, put, &result));
	if (json)
		print_json(put, &result, code);
	else
		print_text(file, put, &result, code);
	cli_put_clear(&result);
	return code;
}

int cli_config_put(const struct cli_command *command, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *address =
		arg_str1(NULL, "platform", "IP:PORT", "the platform");
	struct arg_str *by =
		arg_str0(NULL, "by", "NAME", "who puts; default: $USER");
	struct arg_int *expect = arg_int0(
		NULL, "expect", "VERSION",
		"refuse unless this version is in force; default: any");
	struct arg_int *wait = arg_int0(
		NULL, "wait", "S", "settle a lost reply so long; default: 15");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "text");
	void *table[] = {help,	 json, address, by,
			 expect, wait, file,	arg_end(8)};
	int code = cli_parse(command, argc, argv, table, G_N_ELEMENTS(table));

	if (code < 0 && !cli_check_address(address->sval[0]))
		code = CLI_USAGE;
	if (code < 0 && ((expect->count && expect->ival[0] < 1) ||
			 (wait->count &&
			  (wait->ival[0] < 0 || wait->ival[0] > WAIT_MAX_S)))) {
		cli_error("--expect takes 1 or more, --wait 0 to %d s",
			  WAIT_MAX_S);
		code = CLI_USAGE;
	}
	if (code < 0) {
		g_autofree char *id = g_uuid_string_random();
		int wait_s = wait->count ? wait->ival[0] : WAIT_DEFAULT_S;
		struct cli_put put = {
			.by = by->count ? by->sval[0] : g_get_user_name(),
			.change_id = id,
			.expect = expect->count ? (uint64_t)expect->ival[0] : 0,
		};
		struct cli_platform platform = {
			.address = address->sval[0],
			.end_us = fs_now_us() + wait_s * FS_US_PER_S,
			.pause_us = PAUSE_FIRST_US,
		};

		code = put_file(file->filename[0], &put, &platform,
				json->count);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
