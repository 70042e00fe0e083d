/* Replays a log from standard input against a configuration. */
#include <stdio.h>
#include <stdlib.h>

#include "fescuesaddle.h"

/* Replays one line. @return 1 if its decision does not follow */
static int replay(struct fs_audit *audit, const char *line)
{
	char *reason = NULL;
	int err = fs_audit_line(audit, line, &reason);

	if (err)
		printf("%s\n", reason ? reason : line);
	fs_free_text(reason);
	return err != 0;
}

int main(int argc, char **argv)
{
	struct fs_config *config;
	struct fs_audit *audit;
	uint64_t decisions;
	char *reason = NULL;
	char *line = NULL;
	size_t size = 0;
	int found = 0;

	if (argc != 2 || fs_load_config_file(argv[1], &config, &reason)) {
		fputs("usage: example_replay_log FILE <LOG\n", stderr);
		fs_free_text(reason);
		return 2;
	}
	audit = fs_begin_audit(config);
	while (getline(&line, &size, stdin) > 0)
		found += replay(audit, line);
	free(line);
	found += fs_end_audit(audit, &decisions, &reason) != 0;
	printf("%llu decisions, %d do not follow\n",
	       (unsigned long long)decisions, found);
	fs_free_text(reason);
	fs_unload_config(config);
	return found != 0;
}
