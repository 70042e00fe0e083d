/**
 * @file set.h
 * @brief Local settings of one daemon: its name, location and addresses.
 *
 * A small YAML file, separate from the operators' configuration. The same
 * file may be loaded again; each error names the line, the setting and the
 * accepted values.
 */
#ifndef SET_H
#define SET_H

#include <netinet/in.h>

#include "fs_err.h"
#include "fs_types.h"

struct set {
	char name[FS_NAME_MAX];
	char region[FS_DOMAIN_MAX];
	char domain[FS_DOMAIN_MAX];
	struct sockaddr_in caller_listen; /* port 0: the kernel chooses */
	struct sockaddr_in peer_listen;	  /* TCP and UDP, same port */
	struct sockaddr_in operator_listen;
	struct sockaddr_in peer_advertise; /* where peers reach this node; all
					     * zero: the listen address */
	char platform[FS_ADDRESS_MAX];	   /* "ip:port" of the platform */
	char fleet_key[128];		   /* shared secret between the nodes */
	struct sockaddr_in seeds[16];	   /* peers to join through */
	uint32_t seed_count;
	int64_t answer_ttl_us; /* TTL of resolved entry addresses;
					     * default 30 s */
	/* Gateways only (gwy.h); zero if absent */
	struct sockaddr_in ready_listen;   /* the platform's readiness checks */
	struct sockaddr_in resolve_listen; /* address queries of callers */
	struct sockaddr_in load_listen;	   /* UDP, load exchange */
	uint64_t memory_bytes;		   /* memory limit of the process */
	uint32_t max_fds;		   /* limit of file descriptors */
	uint32_t link_mbps;		   /* of the VM; 0: not told */
	int64_t stop_grace_us;		   /* from SIGTERM to SIGKILL */
	double retry_ratio;	 /* retries of the fleet per request */
	double retry_slack;	 /* additional retries per window */
	int64_t retry_window_us; /* window in which retries count */
	/* What may be admitted beyond an organisation's limit; zero if absent */
	double quota_overage;	 /* share of what it allows in a window */
	double quota_slack;	 /* requests in a window */
	int64_t quota_window_us; /* window in which requests count */
	bool first_start;	 /* the whole fleet starts with this node */
	/* From so many live nodes on targets are chosen by predicted load; 0: never */
	uint32_t even_load_nodes;
};

/**
 * Loads the settings of a daemon.
 * @param path   file name
 * @param out    out: the settings
 * @param error  out: location and reason, owned by the caller; NULL if none
 * @return 0, FS_E_NOT_FOUND or FS_E_INVALID
 */
int set_load(const char *path, struct set *out, char **error);

/** Parses "ip:port". @return 0 or FS_E_INVALID */
int set_parse_address(const char *text, struct sockaddr_in *out);

/** Writes "ip:port" into @p out, FS_ADDRESS_MAX bytes. */
void set_format_address(const struct sockaddr_in *address, char *out);

#endif
