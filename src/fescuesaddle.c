/* The command-line tool; cli.h lists its commands. */
#include <curl/curl.h>

#include "cli.h"

int main(int argc, char **argv)
{
	int code;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = cli_main(argc, argv);
	curl_global_cleanup();
	return code;
}
