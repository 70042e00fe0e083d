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
	if (cfg_read_present(&b->r, "path", from->path))
		cfg_read_path(&b->r, "path", from->path);
	to->path = cfg_build_keep(b, from->path);
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
struct overlap {
	GHashTable *newest; /* "host path" to handle + 1 */
	handle *older;	    /* of each route, FS_NONE at the end */
};

static void check_overlap(struct cfg_build *b, struct overlap *o, handle h)
{
	const struct cfg_route *route = &b->cfg->routes[h];
	char *key = g_strconcat(route->host, " ", route->path, NULL);
	handle other = cfg_build_find(o->newest, key);

	o->older[h] = other;
	for (; other != FS_NONE; other = o->older[other]) {
		const struct cfg_route *first = &b->cfg->routes[other];

		if (!(first->methods & route->methods))
			continue;
		cfg_problem(&b->r, "path",
			    "routes %s and %s overlap: same host, path and a "
			    "shared method; change one of them",
			    first->name, route->name);
		break;
	}
	g_hash_table_insert(o->newest, key, GUINT_TO_POINTER(h + 1));
}

void cfg_build_routes(struct cfg_build *b)
{
	const struct cfg_raw *raw = b->raw;
	struct cfg *cfg = b->cfg;
	struct overlap o = {
		.newest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.older = g_new0(handle, raw->routes_count),
	};

	cfg->routes = g_new0(struct cfg_route, raw->routes_count);
	for (handle i = 0; i < raw->routes_count; i++) {
		const struct cfg_raw_route *from = &raw->routes[i];
		struct cfg_route *to = &cfg->routes[i];

		cfg->route_count++;
		cfg_reader_at(&b->r, "routes[%u]", i);
		to->name = cfg_build_keep(b, from->name);
		if (cfg_read_name(&b->r, "name", from->name, FS_NAME_MAX) &&
		    !cfg_build_index(cfg->route_index, to->name, i))
			cfg_problem(&b->r, "name",
				    "route %s is there twice; give each its "
				    "own name",
				    to->name);
		read_route(b, from, to);
		check_overlap(b, &o, i);
	}
	g_hash_table_unref(o.newest);
	g_free(o.older);
}
