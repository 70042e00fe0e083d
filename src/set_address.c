#include <arpa/inet.h>
#include <string.h>

#include "set.h"

int set_parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	guint64 port;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return FS_E_INVALID;
	memcpy(ip, text, colon - text);
	ip[colon - text] = '\0';
	if (inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return FS_E_INVALID;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL))
		return FS_E_INVALID;
	out->sin_port = htons((uint16_t)port);
	return 0;
}

void set_format_address(const struct sockaddr_in *address, char *out)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address->sin_addr, ip, sizeof(ip));
	g_snprintf(out, FS_ADDRESS_MAX, "%s:%u", ip, ntohs(address->sin_port));
}
