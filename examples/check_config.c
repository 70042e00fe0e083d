/* Loads a configuration and prints its problems, or what it holds. */
#include <stdio.h>

#include "fescuesaddle.h"

int main(int argc, char **argv)
{
	struct fs_config *config;
	char *problems;

	if (argc != 2) {
		fputs("usage: example_check_config FILE\n", stderr);
		return 2;
	}
	if (fs_load_config_file(argv[1], &config, &problems)) {
		fputs(problems, stderr);
		fs_free_text(problems);
		return 1;
	}
	printf("%s: %u services, %u servers, %u routes\n",
	       fs_config_deployment(config), fs_config_services(config),
	       fs_config_servers(config), fs_config_routes(config));
	fs_unload_config(config);
	return 0;
}
