/**
 * @file cfg_raw.h
 * @brief The operators' text as libcyaml reads it, before any of our checks.
 *
 * Every scalar is kept as text, so that one pass over these structs finds all
 * wrong values and not only the first. The schema also drives cfg_scan.h.
 */
#ifndef CFG_RAW_H
#define CFG_RAW_H

#include <cyaml/cyaml.h>

#include "fs_types.h"

struct cfg_raw_domain {
	char *name;
	char *region;
};

struct cfg_raw_server {
	char *name;
	char *address;
	char *failure_domain;
	char *leaving;
};

/** Servers with numbered names and consecutive IP addresses. */
struct cfg_raw_range {
	char *prefix;
	char *from;
	char *count;
	char *address;
	char **failure_domains;
	unsigned int failure_domains_count;
	char *leaving;
};

struct cfg_raw_probe {
	char *path;
	char *interval_ms;
};

struct cfg_raw_objective {
	char *good;
	char *latency_ms;
};

struct cfg_raw_service {
	char *name;
	char **depends_on;
	unsigned int depends_on_count;
	char *floor;
	char *slots;
	char *queue;
	char *detection;
	char *retry_percent;
	char *slow_start_ms;
	struct cfg_raw_probe *probe;
	char **not_run_status;
	unsigned int not_run_status_count;
	struct cfg_raw_objective *objective;
	char *leaving;
	struct cfg_raw_server *servers;
	unsigned int servers_count;
	struct cfg_raw_range *server_ranges;
	unsigned int server_ranges_count;
};

struct cfg_raw_route {
	char *name;
	char *host;
	char *path;
	char **paths;
	unsigned int paths_count;
	char **methods;
	unsigned int methods_count;
	char *service;
	char *deadline_ms;
	char *priority;
	char *repeat;
	char *tries;
	char *body_max_bytes;
};

struct cfg_raw {
	char *deployment;
	struct cfg_raw_domain *failure_domains;
	unsigned int failure_domains_count;
	struct cfg_raw_service *services;
	unsigned int services_count;
	struct cfg_raw_route *routes;
	unsigned int routes_count;
};

/** The schema of the whole text. */
extern const cyaml_schema_value_t cfg_raw_schema;

/**
 * Reads a text with libcyaml; settings that the schema lacks are passed over,
 * since cfg_scan() has reported them.
 * @param reason  out: libcyaml's last messages on error, owned by the caller
 * @return 0 or FS_E_CONFIG
 */
int cfg_raw_load(const char *text, size_t size,
		 const cyaml_schema_value_t *schema, void **out, char **reason);

/** Frees what cfg_raw_load() gave. NULL is allowed. */
void cfg_raw_free(const cyaml_schema_value_t *schema, void *raw);

#endif
