#include "cfg_draft.h"

#include <math.h>
#include <string.h>

#include "cfg_show.h"

struct cfg_draft {
	struct cfg *cfg;
	uint32_t service_room; /* entries allocated */
	uint32_t route_room;
	uint32_t organisation_room;
};

struct cfg_draft *cfg_draft_new(const char *text, uint64_t version)
{
	struct cfg_draft *draft = g_new0(struct cfg_draft, 1);

	draft->cfg = cfg_new(text, version);
	return draft;
}

void cfg_draft_free(struct cfg_draft *draft)
{
	if (!draft)
		return;
	cfg_unref(draft->cfg);
	g_free(draft);
}

void cfg_draft_limits(struct cfg_draft *draft, const struct cfg_limits *limits)
{
	draft->cfg->limits = *limits;
}

static char *keep(struct cfg_draft *draft, const char *text)
{
	return text ? g_string_chunk_insert(draft->cfg->strings, text) : NULL;
}

static bool is_name(const char *name)
{
	return name && *name && strlen(name) < FS_NAME_MAX;
}

/* Doubles a table when it is full. */
static uint32_t grown(uint32_t room)
{
	return room ? 2 * room : 16;
}

handle cfg_draft_find(const struct cfg_draft *draft, const char *name)
{
	return cfg_find_service(draft->cfg, name);
}

handle cfg_draft_service(struct cfg_draft *draft,
			 const struct cfg_service *service)
{
	struct cfg *cfg = draft->cfg;
	struct cfg_service *to;

	if (!is_name(service->name) ||
	    cfg_draft_find(draft, service->name) != FS_NONE ||
	    cfg->service_count == CFG_SERVICES_MAX)
		return FS_NONE;
	if (cfg->service_count == draft->service_room) {
		draft->service_room = grown(draft->service_room);
		cfg->services = g_renew(struct cfg_service, cfg->services,
					draft->service_room);
	}
	to = &cfg->services[cfg->service_count];
	*to = *service;
	to->name = keep(draft, service->name);
	to->probe_path = keep(draft, service->probe_path);
	to->depends_on = NULL;
	to->depends_count = 0;
	to->not_run_status = NULL;
	to->not_run_count = 0;
	g_hash_table_insert(cfg->service_index, to->name,
			    GUINT_TO_POINTER(cfg->service_count + 1));
	return cfg->service_count++;
}

static bool shares_known(const struct cfg_draft *draft,
			 const struct cfg_route *route)
{
	for (uint32_t i = 0; i < route->share_count; i++) {
		if (route->shares[i].service >= draft->cfg->service_count)
			return false;
	}
	return route->share_count || route->service < draft->cfg->service_count;
}

int cfg_draft_route(struct cfg_draft *draft, const struct cfg_route *route)
{
	struct cfg *cfg = draft->cfg;
	struct cfg_route *to;

	if (!is_name(route->name) || !route->path || *route->path != '/' ||
	    !route->host || !shares_known(draft, route) ||
	    cfg->route_count == CFG_ROUTES_MAX ||
	    cfg_find_route(cfg, route->name) != FS_NONE)
		return FS_E_CONFIG;
	if (cfg->route_count == draft->route_room) {
		draft->route_room = grown(draft->route_room);
		cfg->routes = g_renew(struct cfg_route, cfg->routes,
				      draft->route_room);
	}
	to = &cfg->routes[cfg->route_count];
	*to = *route;
	to->name = keep(draft, route->name);
	to->host = keep(draft, route->host);
	to->path = keep(draft, route->path);
	to->shares =
		route->share_count ?
			g_memdup2(route->shares,
				  route->share_count * sizeof(*to->shares)) :
			NULL;
	if (route->share_count)
		to->service = route->shares[0].service;
	g_hash_table_insert(cfg->route_index, to->name,
			    GUINT_TO_POINTER(cfg->route_count + 1));
	cfg->route_count++;
	return 0;
}

void cfg_draft_need_keys(struct cfg_draft *draft)
{
	draft->cfg->needs_keys = true;
}

static bool is_amount(double n)
{
	return isfinite(n) && n >= 0;
}

/* Whether targets read the name as it is: white space at its ends is no part of a
 * field's value. */
static bool is_title(const struct cfg_organisation *organisation)
{
	const char *title = organisation->title ? organisation->title :
						  organisation->name;
	size_t length = strlen(title);

	if (!length || length > CFG_TITLE_BYTES_MAX || title[0] == ' ' ||
	    title[length - 1] == ' ')
		return false;
	for (size_t i = 0; i < length; i++) {
		if (g_ascii_iscntrl(title[i]))
			return false;
	}
	return true;
}

handle cfg_draft_organisation(struct cfg_draft *draft,
			      const struct cfg_organisation *organisation)
{
	struct cfg *cfg = draft->cfg;
	struct cfg_organisation *to;

	if (!is_name(organisation->name) || !is_title(organisation) ||
	    !is_amount(organisation->rate) || !is_amount(organisation->burst) ||
	    cfg->organisation_count == CFG_ORGANISATIONS_MAX ||
	    cfg_find_organisation(cfg, organisation->name) != FS_NONE)
		return FS_NONE;
	if (cfg->organisation_count == draft->organisation_room) {
		draft->organisation_room = grown(draft->organisation_room);
		cfg->organisations = g_renew(struct cfg_organisation,
					     cfg->organisations,
					     draft->organisation_room);
	}
	to = &cfg->organisations[cfg->organisation_count];
	*to = *organisation;
	to->key_count = to->key_print = 0;
	to->name = keep(draft, organisation->name);
	to->title = organisation->title ? keep(draft, organisation->title) :
					  to->name;
	g_hash_table_insert(cfg->organisation_index, to->name,
			    GUINT_TO_POINTER(cfg->organisation_count + 1));
	return cfg->organisation_count++;
}

static bool is_key(const char *key)
{
	size_t length = strlen(key);

	if (!length || length > CFG_KEY_BYTES_MAX)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isgraph(key[i]))
			return false;
	}
	return true;
}

int cfg_draft_key(struct cfg_draft *draft, handle organisation, const char *key)
{
	struct cfg *cfg = draft->cfg;
	handle known = cfg_find_key(cfg, key);
	struct cfg_organisation *owner;

	if (known != FS_NONE && known != organisation)
		return FS_E_CONFLICT;
	if (organisation >= cfg->organisation_count || !is_key(key) ||
	    g_hash_table_size(cfg->key_index) >= CFG_KEYS_MAX)
		return FS_E_CONFIG;
	if (known == organisation)
		return 0;
	owner = &cfg->organisations[organisation];
	owner->key_count++;
	owner->key_print += cfg_show_key(key);
	g_hash_table_insert(cfg->key_index, keep(draft, key),
			    GUINT_TO_POINTER(organisation + 1));
	return 0;
}

struct cfg *cfg_draft_end(struct cfg_draft *draft)
{
	struct cfg *cfg = draft->cfg;

	g_free(draft);
	return cfg;
}
