#include "cfg_build.h"

#include <arpa/inet.h>

#define RANGE_MAX 1000

/* What makes one server, whichever way it was written. */
struct server_entry {
	const char *name;
	const char *domain;
	const char *domain_key; /* where a wrong domain is reported */
	uint32_t ip;
	uint16_t port;
	bool leaving;
};

static struct cfg_server *server_slot(struct cfg_build *b)
{
	struct cfg *cfg = b->cfg;

	if (cfg->server_count == b->server_room) {
		b->server_room = b->server_room ? 2 * b->server_room : 64;
		cfg->servers = g_renew(struct cfg_server, cfg->servers,
				       b->server_room);
	}
	return &cfg->servers[cfg->server_count];
}

static char *keep_address(struct cfg_build *b, uint32_t ip, uint16_t port)
{
	char text[FS_ADDRESS_MAX];

	g_snprintf(text, sizeof(text), "%u.%u.%u.%u:%u", ip >> 24,
		   (ip >> 16) & 0xff, (ip >> 8) & 0xff, ip & 0xff, port);
	return cfg_build_keep(b, text);
}

static void check_unique(struct cfg_build *b, const struct cfg_server *server,
			 handle h, const char *name_key)
{
	struct cfg *cfg = b->cfg;
	handle other;

	if (!cfg_build_index(cfg->server_index, server->name, h))
		cfg_problem(&b->r, name_key,
			    "server %s is there twice; give each its own name",
			    server->name);
	other = cfg_build_find(b->addresses, server->address);
	if (other != FS_NONE)
		cfg_problem(&b->r, "address",
			    "servers %s and %s have the same address %s; "
			    "each needs its own",
			    cfg->servers[other].name, server->name,
			    server->address);
	else
		cfg_build_index(b->addresses, server->address, h);
}

static void add_server(struct cfg_build *b, handle service,
		       const struct server_entry *entry, const char *name_key)
{
	struct cfg *cfg = b->cfg;
	handle domain = cfg_build_find(b->domains, entry->domain);
	struct cfg_server *server;

	if (cfg->server_count == CFG_SERVERS_MAX) {
		cfg_problem(&b->r, name_key, "more than %d servers in all",
			    CFG_SERVERS_MAX);
		return;
	}
	server = server_slot(b);
	if (domain == FS_NONE) {
		cfg_problem(&b->r, entry->domain_key,
			    "unknown failure domain \"%.64s\"; "
			    "failure_domains at the top lists them",
			    entry->domain);
		domain = 0;
	}
	server->name = cfg_build_keep(b, entry->name);
	server->address = keep_address(b, entry->ip, entry->port);
	server->service = service;
	server->domain = domain;
	server->leaving = entry->leaving;
	check_unique(b, server, cfg->server_count, name_key);
	cfg->server_count++;
	cfg->services[service].server_count++;
}

static void build_one(struct cfg_build *b, handle service,
		      const struct cfg_raw_server *from)
{
	struct server_entry entry = {
		.name = from->name,
		.domain = from->failure_domain,
		.domain_key = "failure_domain",
	};
	bool right;

	right = cfg_read_name(&b->r, "name", from->name, FS_NAME_MAX);
	right &= cfg_read_address(&b->r, "address", from->address, &entry.ip,
				  &entry.port);
	right &=
		cfg_read_present(&b->r, "failure_domain", from->failure_domain);
	cfg_read_bool(&b->r, "leaving", from->leaving, &entry.leaving);
	if (right)
		add_server(b, service, &entry, "name");
}

/* Expands one range: names PREFIX1, PREFIX2, ...; consecutive IP numbers;
 * failure domains in turn. */
static void build_range(struct cfg_build *b, handle service,
			const struct cfg_raw_range *from)
{
	struct server_entry entry = {.domain_key = "failure_domains"};
	uint32_t first = 1;
	uint32_t count = 0;
	uint32_t ip = 0;
	char name[FS_NAME_MAX + 16];
	bool right;

	right = cfg_read_name(&b->r, "prefix", from->prefix, FS_NAME_MAX - 7);
	right &= cfg_read_address(&b->r, "address", from->address, &ip,
				  &entry.port);
	cfg_read_u32(&b->r, "from", from->from, 0, 99999, "", &first);
	if (cfg_read_present(&b->r, "count", from->count))
		cfg_read_u32(&b->r, "count", from->count, 1, RANGE_MAX,
			     "servers", &count);
	cfg_read_bool(&b->r, "leaving", from->leaving, &entry.leaving);
	if (!from->failure_domains_count) {
		cfg_problem(&b->r, "failure_domains",
			    "failure_domains is missing; it has no default");
		return;
	}
	if (!right)
		return;
	for (uint32_t i = 0; i < count; i++) {
		g_snprintf(name, sizeof(name), "%s%u", from->prefix, first + i);
		entry.name = name;
		entry.ip = ip + i;
		entry.domain =
			from->failure_domains[i % from->failure_domains_count];
		add_server(b, service, &entry, "prefix");
	}
}

void cfg_build_servers(struct cfg_build *b, handle service)
{
	const struct cfg_raw_service *from = &b->raw->services[service];
	struct cfg_service *to = &b->cfg->services[service];

	to->first_server = b->cfg->server_count;
	if (!from->servers_count && !from->server_ranges_count)
		cfg_problem(&b->r, NULL,
			    "the service has no servers; list at least one "
			    "under servers or server_ranges");
	for (uint32_t i = 0; i < from->servers_count; i++) {
		cfg_reader_at(&b->r, "services[%u].servers[%u]", service, i);
		build_one(b, service, &from->servers[i]);
	}
	for (uint32_t i = 0; i < from->server_ranges_count; i++) {
		cfg_reader_at(&b->r, "services[%u].server_ranges[%u]", service,
			      i);
		build_range(b, service, &from->server_ranges[i]);
	}
}
