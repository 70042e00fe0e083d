#include "cli.h"
int cli_status(const struct cli_command *command, int argc, char **argv)
{
	(void)command;
	(void)argc;
	(void)argv;
	return CLI_USAGE;
}
int cli_explain(const struct cli_command *command, int argc, char **argv)
{
	(void)command;
	(void)argc;
	(void)argv;
	return CLI_USAGE;
}
int cli_audit(const struct cli_command *command, int argc, char **argv)
{
	(void)command;
	(void)argc;
	(void)argv;
	return CLI_USAGE;
}
int cli_drain(const struct cli_command *command, int argc, char **argv)
{
	(void)command;
	(void)argc;
	(void)argv;
	return CLI_USAGE;
}
int cli_report_burn(const struct cli_command *command, int argc, char **argv)
{
	(void)command;
	(void)argc;
	(void)argv;
	return CLI_USAGE;
}
