/**
 * @file cfg.h
 * @brief The operators' configuration: services, what they depend on, routes.
 *
 * One YAML text is loaded into tables that never change afterwards; other
 * modules refer to servers, services and routes by handle, the index into its
 * table. A loaded configuration is counted by reference, so that each task
 * keeps the one it works with.
 *
 * Limits: FS_CONFIG_MAX bytes of text. Handles are valid within one loaded
 * configuration only; names are what is stable between two versions.
 */
#ifndef CFG_H
#define CFG_H

#include "fs_err.h"
#include "fs_types.h"

/* Entries of the lists in a text */
#define CFG_DOMAINS_MAX 64
#define CFG_SERVICES_MAX 1000
#define CFG_SERVERS_MAX 20000 /* of all services together */
#define CFG_ROUTES_MAX 40000  /* each path of a list is one */
#define CFG_PATHS_MAX 1000    /* of one entry of routes */
#define CFG_DEPENDS_MAX 32
#define CFG_NOT_RUN_MAX 16
#define CFG_METHODS_MAX 7
#define CFG_ORGANISATIONS_MAX 40000
#define CFG_KEYS_MAX 200000	/* of all organisations together */
#define CFG_KEY_BYTES_MAX 512	/* of one key */
#define CFG_TITLE_BYTES_MAX 512 /* of an organisation's name for targets */

/** Which of two errors a service would rather have; see docs/CONFIG.md. */
enum cfg_detection {
	CFG_DETECT_CAREFUL,  /* few false ejections, slower detection */
	CFG_DETECT_BALANCED, /* between the two */
	CFG_DETECT_QUICK,    /* short detection, more false ejections */
};

/** Order in which waiting requests are run and shed. */
enum cfg_priority {
	CFG_PRIORITY_HIGH,   /* payments, bib assignments, transfers */
	CFG_PRIORITY_NORMAL, /* refreshes, look-ups */
	CFG_PRIORITY_LOW,    /* exports, archives */
	CFG_PRIORITY_COUNT,
};

/** HTTP methods as bits of cfg_route.methods. */
enum cfg_method {
	CFG_GET = 1 << 0,
	CFG_HEAD = 1 << 1,
	CFG_POST = 1 << 2,
	CFG_PUT = 1 << 3,
	CFG_PATCH = 1 << 4,
	CFG_DELETE = 1 << 5,
	CFG_OPTIONS = 1 << 6,
};

/** A failure domain of the text, with the region it lies in. */
struct cfg_domain {
	char *name;   /* such as "pnw-a" */
	char *region; /* such as "pnw" */
};

/** A target: one server of one service. */
struct cfg_server {
	char *name;	/* unique in the text */
	char *address;	/* "ip:port" */
	handle service; /* in cfg.services */
	handle domain;	/* in cfg.domains */
	bool leaving;	/* takes no new work */
};

/** A service, with everything that decides how it is treated. */
struct cfg_service {
	char *name;
	handle first_server; /* its servers stand together in cfg.servers */
	uint32_t server_count;
	handle *depends_on; /* services it calls */
	uint32_t depends_count;
	uint32_t floor; /* servers per region that ejection must leave,
				 * as a share of 1000, rounded up per region */
	uint32_t slots; /* concurrent requests of each server */
	uint32_t queue; /* requests waiting in each shard */
	enum cfg_detection detection;
	uint32_t retry_percent; /* retries per 100 recent requests */
	int64_t slow_start_us;	/* a returning server ramps up this long */
	double objective_good;	/* share of good answers, such as 0.999 */
	int64_t objective_us;	/* a good answer takes no longer */
	char *probe_path;	/* NULL: connect only */
	int64_t probe_interval_us;
	uint16_t *not_run_status; /* target statuses that mean "not run" */
	uint32_t not_run_count;
	bool leaving; /* being taken out of use */
};

/** One part of a route whose requests go to several services. */
struct cfg_share {
	handle service;
	double weight; /* share of the route's requests, relative */
};

/** A route: which requests go to which service, under which rules. */
struct cfg_route {
	char *name;	  /* unique in the text */
	char *host;	  /* exact host name, or "*" */
	char *path;	  /* prefix, matched at "/" boundaries */
	uint32_t methods; /* bits of enum cfg_method */
	handle service;
	int64_t deadline_us; /* from first byte at entry to whole answer */
	enum cfg_priority priority;
	bool repeatable;   /* false: at most one run, whatever the method */
	uint32_t tries;	   /* at most this many; 1 unless repeatable */
	uint32_t body_max; /* bytes of the request body */
	/* Only of configurations that the platform holds (cfg_draft.h) */
	uint32_t rank;		  /* 0: the most urgent */
	int64_t objective_us;	  /* an answer is worth most until then */
	struct cfg_share *shares; /* NULL: all requests go to service */
	uint32_t share_count;
	bool anonymous; /* callers need no key, if others do */
};

/** An organisation, whose callers identify themselves by its keys. */
struct cfg_organisation {
	char *name;  /* unique in the text */
	char *title; /* the name as targets are told it, which may be longer */
	bool has_rank; /* its requests have this rank before their route's */
	uint32_t rank; /* 0: the most urgent */
	double rate;   /* requests a second through all nodes; 0: no limit */
	double burst;  /* requests beyond that at once */
	uint32_t key_count;
	uint32_t key_print; /* sum of its keys' fingerprints (cfg_show.h) */
};

/** What callers may send and how long they may take; 0: no limit told. */
struct cfg_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	int64_t header_us; /* from the first byte to the last header field */
	int64_t idle_us;   /* a connection without a request is kept open */
};

/** One accepted text. */
struct cfg {
	int refs;
	uint64_t version; /* of the platform's record; 0 for a text not put */
	char *deployment;
	char *text; /* as written by the operators */
	struct cfg_domain *domains;
	uint32_t domain_count;
	struct cfg_service *services;
	uint32_t service_count;
	struct cfg_server *servers;
	uint32_t server_count;
	struct cfg_route *routes;
	uint32_t route_count;
	struct cfg_limits limits;
	bool needs_keys; /* callers identify themselves by a key */
	struct cfg_organisation *organisations;
	uint32_t organisation_count;
	GStringChunk *strings; /* holds all names, addresses, paths and keys */
	GHashTable *service_index; /* name to handle + 1; NULL: none */
	GHashTable *server_index;
	GHashTable *route_index;
	GHashTable *organisation_index;
	GHashTable *key_index; /* key to handle of its organisation + 1 */
};

/** One finding of a check; a text with any is refused. */
struct cfg_problem {
	int line;   /* of the text, from 1; 0 if it concerns the whole */
	char *path; /* such as "services[2].floor" */
	char *text; /* what is wrong and what would be right */
};

/**
 * Loads and checks a text.
 * @param text      YAML, NUL-terminated
 * @param version   version of the platform's record, 0 if none
 * @param problems  out: array of struct cfg_problem, owned by the caller,
 *                  to be freed with g_ptr_array_unref(); never NULL
 * @param out       out: the configuration, NULL if refused
 * @return 0, or FS_E_CONFIG if the text is refused
 */
int cfg_load(const char *text, uint64_t version, GPtrArray **problems,
	     struct cfg **out);

/**
 * Checks what only a change can do wrong: a service removed without leaving
 * first, or while another still depends on it. A node that missed versions in
 * between cannot tell: services are then not compared, since each of those
 * versions was checked when it was put.
 * @param before    the text in force, or NULL
 * @param after     the text to come
 * @param problems  findings are appended
 * @return 0, or FS_E_CONFIG
 */
int cfg_check_change(const struct cfg *before, const struct cfg *after,
		     GPtrArray *problems);

/** Makes an empty configuration, to be filled by a loader. */
struct cfg *cfg_new(const char *text, uint64_t version);

/** Takes a reference and returns @p cfg. */
struct cfg *cfg_ref(const struct cfg *cfg);

/** Gives a reference back; frees with the last one. NULL is allowed. */
void cfg_unref(struct cfg *cfg);

/** Returns the handle of a name, or FS_NONE. */
handle cfg_find_service(const struct cfg *cfg, const char *name);
handle cfg_find_server(const struct cfg *cfg, const char *name);
handle cfg_find_route(const struct cfg *cfg, const char *name);
handle cfg_find_organisation(const struct cfg *cfg, const char *name);

/** Returns the organisation that a key belongs to, or FS_NONE. */
handle cfg_find_key(const struct cfg *cfg, const char *key);

/** Returns how many of @p service's servers lie in @p region. */
uint32_t cfg_servers_in_region(const struct cfg *cfg, handle service,
			       const char *region);

/**
 * Returns how many servers of @p service in @p region must stay in use: the
 * floor's share of them, rounded up.
 */
uint32_t cfg_floor_in_region(const struct cfg *cfg, handle service,
			     const char *region);

/** Returns the word of an enum's value as the text writes it. */
const char *cfg_detection_name(enum cfg_detection detection);
const char *cfg_priority_name(enum cfg_priority priority);

#define CFG_AUTO __attribute__((cleanup(cfg_cleanup)))

/** Clean-up for CFG_AUTO. */
static inline void cfg_cleanup(struct cfg **cfg)
{
	cfg_unref(*cfg);
}

#endif
