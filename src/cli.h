/**
 * @file cli.h
 * @brief What the commands of the command-line tool share.
 *
 * Every command takes --help and --json. Results go to standard output,
 * reasons of a failure to standard error; with --json one object on standard
 * output tells both.
 */
#ifndef CLI_H
#define CLI_H

#include <argtable2.h>
#include <json-glib/json-glib.h>

#include "cfg.h"
#include "fs_err.h"

/** Exit codes. */
enum cli_exit {
	CLI_OK = 0,
	CLI_REFUSED = 1,     /* refused, or something was found */
	CLI_USAGE = 2,	     /* wrong command line */
	CLI_UNREACHABLE = 3, /* a node or the platform does not answer */
	CLI_CONFLICT = 4,    /* another operator's text was put */
	CLI_AMBIGUOUS = 5,   /* a put may or may not have been done */
};

/** One command, such as "config check". */
struct cli_command {
	const char *group; /* NULL if the command is one word */
	const char *name;
	const char *summary;
	int (*run)(const struct cli_command *command, int argc, char **argv);
};

/** All commands, ended by one without a name. */
extern const struct cli_command cli_commands[];

int cli_config_check(const struct cli_command *command, int argc, char **argv);
int cli_config_show(const struct cli_command *command, int argc, char **argv);
int cli_config_diff(const struct cli_command *command, int argc, char **argv);
int cli_config_put(const struct cli_command *command, int argc, char **argv);
int cli_status(const struct cli_command *command, int argc, char **argv);
int cli_explain(const struct cli_command *command, int argc, char **argv);
int cli_audit(const struct cli_command *command, int argc, char **argv);
int cli_drain(const struct cli_command *command, int argc, char **argv);
int cli_report_burn(const struct cli_command *command, int argc, char **argv);

/** Runs the command that the arguments name. @return enum cli_exit */
int cli_main(int argc, char **argv);

/**
 * Parses a command's arguments and answers --help.
 * @param table  argtable whose first entry is arg_lit "help" and whose last
 *               one is the arg_end; freed by the caller
 * @return -1 to go on, else the exit code
 */
int cli_parse(const struct cli_command *command, int argc, char **argv,
	      void **table, size_t count);

/** Writes one line "fescuesaddle: ..." to standard error. */
void cli_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Maps an error number to the exit code that tells it. */
int cli_exit_of(int err);

/** Reads a file, "-" for standard input. @return NULL after cli_error() */
char *cli_read_file(const char *path);

/** Loads a file as a configuration; prints what is wrong with it. */
struct cfg *cli_load_file(const char *path, bool json);

/** Prints problems as text to standard error, or as JSON with "file". */
void cli_print_problems(const char *file, const GPtrArray *problems, bool json);

/** Appends problems as a JSON array. */
void cli_problems_json(const GPtrArray *problems, GString *out);

/** Prints and frees a string as one line to standard output. */
void cli_print(GString *out);

/* JSON that nodes and the platform answer; a wrong type counts as absent. */
JsonObject *cli_json_object(JsonObject *object, const char *name);
JsonArray *cli_json_array(JsonObject *object, const char *name);
const char *cli_json_text(JsonObject *object, const char *name);
int64_t cli_json_int(JsonObject *object, const char *name);
bool cli_json_bool(JsonObject *object, const char *name);

#endif
