#include "cli.h"

#include <stdio.h>
#include <string.h>

const struct cli_command cli_commands[] = {
	{"config", "check", "check a text; needs no fleet", cli_config_check},
	{"config", "show", "show the text in force", cli_config_show},
	{"config", "diff", "compare two texts", cli_config_diff},
	{"config", "put", "put a text in force", cli_config_put},
	{NULL, "status", "show what nodes say of themselves", cli_status},
	{NULL, "explain", "say why something was decided", cli_explain},
	{NULL, "audit", "recompute all decisions of a log", cli_audit},
	{NULL, "drain", "begin a planned stop of a node", cli_drain},
	{"report", "burn", "report on service objectives", cli_report_burn},
	{NULL, NULL, NULL, NULL},
};

static void print_usage(FILE *to)
{
	fputs("Usage: fescuesaddle COMMAND [--help] [--json] ...\n\n"
	      "Commands:\n",
	      to);
	for (const struct cli_command *c = cli_commands; c->name; c++) {
		g_autofree char *name =
			g_strdup_printf("%s%s%s", c->group ? c->group : "",
					c->group ? " " : "", c->name);

		fprintf(to, "  %-14s %s\n", name, c->summary);
	}
	fputs("\nExit codes:\n"
	      "  0  done\n"
	      "  1  refused, or something was found\n"
	      "  2  wrong command line\n"
	      "  3  a node or the platform does not answer; nothing was done\n"
	      "  4  another text was put in between; nothing was done\n"
	      "  5  a put may or may not have been done; the text says how to "
	      "find out\n",
	      to);
}

/* Whether the arguments after the program's name begin with this command. */
static bool names(const struct cli_command *c, int argc, char **argv)
{
	int word = 1;

	if (c->group) {
		if (argc < 3 || strcmp(argv[1], c->group) != 0)
			return false;
		word = 2;
	}
	return argc > word && !strcmp(argv[word], c->name);
}

int cli_main(int argc, char **argv)
{
	for (const struct cli_command *c = cli_commands; c->name; c++) {
		int words = c->group ? 2 : 1;

		if (names(c, argc, argv))
			return c->run(c, argc - words, argv + words);
	}
	if (argc == 2 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_usage(stdout);
		return CLI_OK;
	}
	if (argc > 1)
		cli_error("no such command: %s", argv[1]);
	print_usage(stderr);
	return CLI_USAGE;
}

int cli_parse(const struct cli_command *command, int argc, char **argv,
	      void **table, size_t count)
{
	struct arg_lit *help = table[0];
	struct arg_end *end = table[count - 1];
	int errors;

	if (arg_nullcheck(table) != 0) {
		cli_error("out of memory");
		return CLI_REFUSED;
	}
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("Usage: fescuesaddle %s%s%s",
		       command->group ? command->group : "",
		       command->group ? " " : "", command->name);
		arg_print_syntax(stdout, table, "\n");
		printf("\n%s\n\n", command->summary);
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return CLI_OK;
	}
	if (!errors)
		return -1;
	arg_print_errors(stderr, end, "fescuesaddle");
	fprintf(stderr, "Usage: fescuesaddle %s%s%s",
		command->group ? command->group : "", command->group ? " " : "",
		command->name);
	arg_print_syntax(stderr, table, "\n");
	return CLI_USAGE;
}

void cli_error(const char *format, ...)
{
	va_list args;

	fputs("fescuesaddle: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}

int cli_exit_of(int err)
{
	switch (err) {
	case 0:
		return CLI_OK;
	case FS_E_UNAVAILABLE:
		return CLI_UNREACHABLE;
	case FS_E_CONFLICT:
		return CLI_CONFLICT;
	case FS_E_AMBIGUOUS:
		return CLI_AMBIGUOUS;
	default:
		return CLI_REFUSED;
	}
}
