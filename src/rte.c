#include "rte.h"

#include <string.h>

#define RANDOM_RANGE 0x1p64 /* values of a random number */

uint32_t rte_method(const char *method)
{
	static const struct {
		const char *name;
		uint32_t bit;
	} methods[] = {
		{"GET", CFG_GET},	  {"HEAD", CFG_HEAD},
		{"POST", CFG_POST},	  {"PUT", CFG_PUT},
		{"PATCH", CFG_PATCH},	  {"DELETE", CFG_DELETE},
		{"OPTIONS", CFG_OPTIONS},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (!strcmp(methods[i].name, method))
			return methods[i].bit;
	}
	return 0;
}

bool rte_path_match(const char *prefix, const char *path)
{
	size_t size = strlen(prefix);

	if (strncmp(prefix, path, size) != 0)
		return false;
	return size == 0 || prefix[size - 1] == '/' || path[size] == '\0' ||
	       path[size] == '/';
}

/* Returns 2 for the exact host, 1 for any host, 0 for no match. */
static int host_rank(const char *pattern, const char *host)
{
	size_t size = strcspn(host, ":");

	if (!strcmp(pattern, "*"))
		return 1;
	return strlen(pattern) == size &&
			       !g_ascii_strncasecmp(pattern, host, size) ?
		       2 :
		       0;
}

struct route_match {
	handle route;
	int host_rank;
	size_t path_size;
};

static void update_best(const struct cfg *cfg, handle i, const char *host,
			const char *path, struct route_match *best)
{
	const struct cfg_route *route = &cfg->routes[i];
	int rank = host_rank(route->host, host);
	size_t size = strlen(route->path);

	if (!rank || !rte_path_match(route->path, path))
		return;
	if (best->route == FS_NONE || rank > best->host_rank ||
	    (rank == best->host_rank && size > best->path_size))
		*best = (struct route_match){i, rank, size};
}

int rte_find(const struct cfg *cfg, const char *host, const char *path,
	     uint32_t method, handle *route)
{
	struct route_match any = {.route = FS_NONE};
	struct route_match allowed = {.route = FS_NONE};

	for (handle i = 0; i < cfg->route_count; i++) {
		update_best(cfg, i, host, path, &any);
		if (cfg->routes[i].methods & method)
			update_best(cfg, i, host, path, &allowed);
	}
	*route = allowed.route;
	if (any.route == FS_NONE)
		return FS_E_NO_ROUTE;
	/* A longer prefix or an exact host wins even if it refuses the method:
	 * the route with the shorter one has other rules. */
	if (allowed.route == FS_NONE || allowed.host_rank != any.host_rank ||
	    allowed.path_size != any.path_size) {
		*route = FS_NONE;
		return FS_E_METHOD;
	}
	return 0;
}

handle rte_draw_service(const struct cfg_route *route, uint64_t random)
{
	double total = 0;
	double at;

	for (uint32_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	at = total * ((double)random / RANDOM_RANGE);
	for (uint32_t i = 0; i < route->share_count; i++) {
		if (at < route->shares[i].weight)
			return route->shares[i].service;
		at -= route->shares[i].weight;
	}
	return route->service;
}
