#include "cfg.h"

#include <string.h>

struct cfg *cfg_new(const char *text, uint64_t version)
{
	struct cfg *cfg = g_new0(struct cfg, 1);

	cfg->refs = 1;
	cfg->version = version;
	cfg->text = g_strdup(text);
	cfg->strings = g_string_chunk_new(4096);
	cfg->service_index = g_hash_table_new(g_str_hash, g_str_equal);
	cfg->server_index = g_hash_table_new(g_str_hash, g_str_equal);
	cfg->route_index = g_hash_table_new(g_str_hash, g_str_equal);
	cfg->organisation_index = g_hash_table_new(g_str_hash, g_str_equal);
	cfg->key_index = g_hash_table_new(g_str_hash, g_str_equal);
	return cfg;
}

struct cfg *cfg_ref(const struct cfg *cfg)
{
	struct cfg *own = (struct cfg *)cfg;

	own->refs++;
	return own;
}

static void free_index(GHashTable *index)
{
	if (index)
		g_hash_table_unref(index);
}

void cfg_unref(struct cfg *cfg)
{
	if (!cfg || --cfg->refs > 0)
		return;
	for (uint32_t i = 0; i < cfg->service_count; i++) {
		g_free(cfg->services[i].depends_on);
		g_free(cfg->services[i].not_run_status);
	}
	for (uint32_t i = 0; i < cfg->route_count; i++)
		g_free(cfg->routes[i].shares);
	free_index(cfg->service_index);
	free_index(cfg->server_index);
	free_index(cfg->route_index);
	free_index(cfg->organisation_index);
	free_index(cfg->key_index);
	g_free(cfg->domains);
	g_free(cfg->services);
	g_free(cfg->servers);
	g_free(cfg->routes);
	g_free(cfg->organisations);
	g_free(cfg->text);
	if (cfg->strings)
		g_string_chunk_free(cfg->strings);
	g_free(cfg);
}

/* Looks a name up; the index holds handle + 1. */
static handle find(GHashTable *index, const char *name)
{
	void *value = index ? g_hash_table_lookup(index, name) : NULL;

	return value ? GPOINTER_TO_UINT(value) - 1 : FS_NONE;
}

handle cfg_find_service(const struct cfg *cfg, const char *name)
{
	if (cfg->service_index)
		return find(cfg->service_index, name);
	for (handle h = 0; h < cfg->service_count; h++) {
		if (!strcmp(cfg->services[h].name, name))
			return h;
	}
	return FS_NONE;
}

handle cfg_find_server(const struct cfg *cfg, const char *name)
{
	if (cfg->server_index)
		return find(cfg->server_index, name);
	for (handle h = 0; h < cfg->server_count; h++) {
		if (!strcmp(cfg->servers[h].name, name))
			return h;
	}
	return FS_NONE;
}

handle cfg_find_route(const struct cfg *cfg, const char *name)
{
	if (cfg->route_index)
		return find(cfg->route_index, name);
	for (handle h = 0; h < cfg->route_count; h++) {
		if (!strcmp(cfg->routes[h].name, name))
			return h;
	}
	return FS_NONE;
}

handle cfg_find_organisation(const struct cfg *cfg, const char *name)
{
	return find(cfg->organisation_index, name);
}

handle cfg_find_key(const struct cfg *cfg, const char *key)
{
	return find(cfg->key_index, key);
}

uint32_t cfg_servers_in_region(const struct cfg *cfg, handle service,
			       const char *region)
{
	const struct cfg_service *s = &cfg->services[service];
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->server_count; i++) {
		handle domain = cfg->servers[s->first_server + i].domain;

		count += !strcmp(cfg->domains[domain].region, region);
	}
	return count;
}

uint32_t cfg_floor_in_region(const struct cfg *cfg, handle service,
			     const char *region)
{
	uint32_t count = cfg_servers_in_region(cfg, service, region);

	return (count * cfg->services[service].floor + 999) / 1000;
}

static const char *const detection_names[] = {
	[CFG_DETECT_CAREFUL] = "careful",
	[CFG_DETECT_BALANCED] = "balanced",
	[CFG_DETECT_QUICK] = "quick",
};

static const char *const priority_names[] = {
	[CFG_PRIORITY_HIGH] = "high",
	[CFG_PRIORITY_NORMAL] = "normal",
	[CFG_PRIORITY_LOW] = "low",
};

const char *cfg_detection_name(enum cfg_detection detection)
{
	return detection_names[detection];
}

const char *cfg_priority_name(enum cfg_priority priority)
{
	return priority_names[priority];
}
