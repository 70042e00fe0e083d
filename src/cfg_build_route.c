#include "cfg_build.h"

#include <string.h>

#define DEADLINE_MAX_MS 600000
#define TRIES_MAX 8
#define HOST_MAX 253

static const char *const priorities[] = {"high", "normal", "low"};
static const char *const repeats[] = {"never", "allowed"};

static const char *const methods[] = {
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
};

static void read_methods(struct cfg_build *b, const struct cfg_raw_route *from,
			 struct cfg_route *to)
{
	if (!from->methods_count) {
		to->methods = CFG_GET | CFG_HEAD;
		return;
	}
	for (uint32_t i = 0; i < from->methods_count; i++) {
		uint32_t bit = 0;
		char key[32];

		g_snprintf(key, sizeof(key), "methods[%u]", i);
		cfg_read_word(&b->r, key, from->methods[i], methods,
			      G_N_ELEMENTS(methods), &bit);
		to->methods |= 1u << bit;
	}
}

static void read_host(struct cfg_build *b, const struct cfg_raw_route *from,
		      struct cfg_route *to)
{
	const char *host = from->host ? from->host : "*";
	bool right = *host && strlen(host) <= HOST_MAX;

	for (const char *c = host; *c && right; c++)
		right = g_ascii_islower(*c) || g_ascii_isdigit(*c) ||
			*c == '-' || *c == '.';
	if (!right && strcmp(host, "*") != 0)
		cfg_problem(&b->r, "host",
			    "\"%.64s\" is not a host name in lower case "
			    "without a port, nor \"*\" for all",
			    host);
	to->host = cfg_build_keep(b, host);
}

static void read_repeat(struct cfg_build *b, const struct cfg_raw_route *from,
			struct cfg_route *to)
{
	uint32_t repeat = 0;

	cfg_read_word(&b->r, "repeat", from->repeat, repeats,
		      G_N_ELEMENTS(repeats), &repeat);
	to->repeatable = repeat;
	to->tries = 1;
	cfg_read_u32(&b->r, "tries", from->tries, 1, TRIES_MAX, "", &to->tries);
	if (to->tries > 1 && !to->repeatable)
		cfg_problem(&b->r, "tries",
			    "%u tries of requests that are never repeated; "
			    "take tries out, or set repeat: allowed",
			    to->tries);
}

static void read_service(struct cfg_build *b, const struct cfg_raw_route *from,
			 struct cfg_route *to)
{
	if (!cfg_read_present(&b->r, "service", from->service))
		return;
	to->service = cfg_build_find(b->cfg->service_index, from->service);
	if (to->service == FS_NONE)
		cfg_problem(&b->r, "service",
			    "unknown service \"%.64s\"; services lists them",
			    from->service);
}

static void read_route(struct cfg_build *b, const struct cfg_raw_route *from,
		       struct cfg_route *to)
{
	uint32_t priority = CFG_PRIORITY_NORMAL;

	read_host(b, from, to);
	read_methods(b, from, to);
	read_service(b, from, to);
	if (cfg_read_present(&b->r, "deadline_ms", from->deadline_ms))
		cfg_read_ms(&b->r, "deadline_ms", from->deadline_ms, 1,
			    DEADLINE_MAX_MS, &to->deadline_us);
	cfg_read_word(&b->r, "priority", from->priority, priorities,
		      G_N_ELEMENTS(priorities), &priority);
	to->priority = (enum cfg_priority)priority;
	read_repeat(b, from, to);
	to->body_max = FS_BODY_MAX;
	cfg_read_u32(&b->r, "body_max_bytes", from->body_max_bytes, 0,
		     FS_BODY_MAX, "bytes", &to->body_max);
}

/* Routes with the same host and path form a chain, newest first. */
struct route_table {
	GHashTable *newest; /* "host path" to handle + 1 */
	GArray *older;	    /* handle of each route, FS_NONE at the end */
	GArray *routes;	    /* struct cfg_route */
};

static void check_overlap(struct cfg_build *b, struct route_table *t,
			  const struct cfg_route *route, const char *key)
{
	char *place = g_strconcat(route->host, " ", route->path, NULL);
	handle other = cfg_build_find(t->newest, place);

	g_array_append_val(t->older, other);
	for (; other != FS_NONE;
	     other = g_array_index(t->older, handle, other)) {
		const struct cfg_route *first =
			&g_array_index(t->routes, struct cfg_route, other);

		if (!(first->methods & route->methods))
			continue;
		cfg_problem(&b->r, key,
			    "routes %s and %s overlap: same host, path and a "
			    "shared method; change one of them",
			    first->name, route->name);
		break;
	}
	g_hash_table_insert(t->newest, place,
			    GUINT_TO_POINTER(t->routes->len + 1));
}

/* Adds a copy of @like with its own name and path. */
static void add_route(struct cfg_build *b, struct route_table *t,
		      const struct cfg_route *like, const char *name,
		      const char *path, const char *key)
{
	struct cfg_route route = *like;

	if (t->routes->len == CFG_ROUTES_MAX) {
		cfg_problem(&b->r, key, "more than %d routes in all",
			    CFG_ROUTES_MAX);
		return;
	}
	route.name = cfg_build_keep(b, name);
	route.path = cfg_build_keep(b, path);
	if (!cfg_build_index(b->cfg->route_index, route.name, t->routes->len))
		cfg_problem(&b->r, "name",
			    "route %s is there twice; give each its own name",
			    route.name);
	check_overlap(b, t, &route, key);
	g_array_append_val(t->routes, route);
}

/* One route per path of the list, called by name and path together. */
static void add_paths(struct cfg_build *b, struct route_table *t,
		      const struct cfg_route *like,
		      const struct cfg_raw_route *from)
{
	char name[2 * FS_NAME_MAX];
	char key[32];

	for (uint32_t i = 0; i < from->paths_count; i++) {
		g_snprintf(key, sizeof(key), "paths[%u]", i);
		if (!cfg_read_path(&b->r, key, from->paths[i]))
			continue;
		g_snprintf(name, sizeof(name), "%s%s", from->name,
			   from->paths[i]);
		if (strlen(name) < FS_NAME_MAX)
			add_route(b, t, like, name, from->paths[i], key);
		else
			cfg_problem(&b->r, key,
				    "name and path together have more than %d "
				    "bytes; make it a route of its own",
				    FS_NAME_MAX - 1);
	}
}

static void build_route(struct cfg_build *b, struct route_table *t,
			const struct cfg_raw_route *from)
{
	struct cfg_route like = {0};
	bool named = cfg_read_name(&b->r, "name", from->name, FS_NAME_MAX);

	read_route(b, from, &like);
	if (from->path && from->paths_count) {
		cfg_problem(&b->r, "paths",
			    "path and paths together; keep one of them");
	} else if (from->paths_count) {
		if (named)
			add_paths(b, t, &like, from);
	} else if (cfg_read_present(&b->r, "path", from->path) &&
		   cfg_read_path(&b->r, "path", from->path) && named) {
		add_route(b, t, &like, from->name, from->path, "path");
	}
}

void cfg_build_routes(struct cfg_build *b)
{
	struct route_table t = {
		.newest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.older = g_array_new(FALSE, FALSE, sizeof(handle)),
		.routes = g_array_new(FALSE, FALSE, sizeof(struct cfg_route)),
	};

	for (uint32_t i = 0; i < b->raw->routes_count; i++) {
		cfg_reader_at(&b->r, "routes[%u]", i);
		build_route(b, &t, &b->raw->routes[i]);
	}
	b->cfg->route_count = t.routes->len;
	b->cfg->routes =
		(struct cfg_route *)(void *)g_array_free(t.routes, FALSE);
	g_hash_table_unref(t.newest);
	g_array_unref(t.older);
}
