#include "flr.h"

#include <string.h>

const struct flr_times flr_times_default = {
	.expiry_us = FS_RECORD_LAPSE_US,
	.hold_us = FS_RECORD_HOLD_US,
	.retention_us = 1800 * FS_US_PER_S,
};

static struct flr_entry *entry_at(const struct flr_record *record, guint i)
{
	return &g_array_index(record->entries, struct flr_entry, i);
}

static struct flr_entry *find(const struct flr_record *record,
			      const char *server)
{
	for (guint i = 0; i < record->entries->len; i++) {
		if (!strcmp(entry_at(record, i)->server, server))
			return entry_at(record, i);
	}
	return NULL;
}

const struct flr_entry *flr_find(const struct flr_record *record,
				 const char *server)
{
	return find(record, server);
}

bool flr_has_headroom(int64_t count, int64_t out, int64_t floor)
{
	return count - out - 1 >= floor;
}

/* The handle of a server that counts in the scope, or FS_NONE. */
static handle counted_server(const struct flr_scope *scope, const char *name)
{
	const struct cfg *cfg = scope->cfg;
	handle h = cfg_find_server(cfg, name);
	const struct cfg_server *server;

	if (h == FS_NONE)
		return FS_NONE;
	server = &cfg->servers[h];
	if (server->service != scope->service || server->leaving ||
	    strcmp(cfg->domains[server->domain].region, scope->region) != 0)
		return FS_NONE;
	return h;
}

int64_t flr_count(const struct flr_scope *scope)
{
	const struct cfg *cfg = scope->cfg;
	const struct cfg_service *service = &cfg->services[scope->service];
	int64_t count = 0;

	for (uint32_t i = 0; i < service->server_count; i++) {
		const struct cfg_server *server =
			&cfg->servers[service->first_server + i];

		if (!server->leaving &&
		    !strcmp(cfg->domains[server->domain].region, scope->region))
			count++;
	}
	return count;
}

int64_t flr_floor(const struct flr_scope *scope)
{
	return cfg_floor_in_region(scope->cfg, scope->service, scope->region);
}

int64_t flr_positions(const struct flr_record *record)
{
	int64_t places = 0;

	for (guint i = 0; i < record->entries->len; i++)
		places += entry_at(record, i)->state != FLR_PAST;
	return places;
}

int64_t flr_position(const struct flr_record *record, const char *server)
{
	int64_t place = 0;

	for (guint i = 0; i < record->entries->len; i++) {
		const struct flr_entry *entry = entry_at(record, i);

		if (entry->state == FLR_PAST)
			continue;
		if (!strcmp(entry->server, server))
			break;
		place++;
	}
	return place;
}

static void begin_change(struct flr_record *record,
			 const struct flr_scope *scope)
{
	record->epoch++;
	record->config_version = scope->cfg->version;
}

static void append_entry(struct flr_record *record, const char *server,
			 uint32_t ejections)
{
	struct flr_entry entry = {.ejections = ejections};

	g_strlcpy(entry.server, server, sizeof(entry.server));
	g_array_append_val(record->entries, entry);
}

int flr_grant(struct flr_record *record, const struct flr_scope *scope,
	      const char *server, enum aud_rule rule, const char *node)
{
	struct flr_entry *entry = find(record, server);
	bool has_place = entry && entry->state != FLR_PAST;

	if (counted_server(scope, server) == FS_NONE)
		return FS_E_NOT_FOUND;
	if (entry && entry->state == FLR_OUT)
		return FS_E_CONFLICT;
	if (!flr_has_headroom(flr_count(scope), flr_position(record, server),
			      flr_floor(scope)))
		return FS_E_FLOOR;
	if (!has_place) {
		uint32_t ejections = entry ? entry->ejections : 0;

		if (entry)
			g_array_remove_index(
				record->entries,
				(guint)(entry - entry_at(record, 0)));
		append_entry(record, server, ejections);
		entry = find(record, server);
	}
	begin_change(record, scope);
	entry->state = FLR_OUT;
	entry->epoch = record->epoch;
	entry->ejections++;
	g_strlcpy(entry->rule, aud_rule_name(rule), sizeof(entry->rule));
	g_strlcpy(entry->node, node, sizeof(entry->node));
	return 0;
}

int flr_return(struct flr_record *record, const struct flr_scope *scope,
	       const char *server)
{
	struct flr_entry *entry = find(record, server);

	if (!entry || entry->state != FLR_OUT)
		return FS_E_NOT_FOUND;
	begin_change(record, scope);
	entry->state = FLR_RETURNING;
	entry->epoch = record->epoch;
	return 0;
}

uint32_t flr_trim(struct flr_record *record, const struct flr_scope *scope)
{
	uint32_t changed = 0;

	for (guint i = 0; i < record->entries->len; i++) {
		struct flr_entry *entry = entry_at(record, i);

		if (entry->state != FLR_OUT ||
		    flr_enforced(record, scope, entry->server))
			continue;
		if (!changed++)
			begin_change(record, scope);
		entry->state = FLR_RETURNING;
		entry->epoch = record->epoch;
	}
	return changed;
}

bool flr_confirmed(const struct flr_times *times, int64_t confirmed_us,
		   int64_t now_us)
{
	return now_us - confirmed_us < times->expiry_us;
}

bool flr_enforced(const struct flr_record *record,
		  const struct flr_scope *scope, const char *server)
{
	const struct flr_entry *entry = record ? find(record, server) : NULL;

	if (!entry || entry->state != FLR_OUT)
		return false;
	return counted_server(scope, server) != FS_NONE &&
	       flr_has_headroom(flr_count(scope), flr_position(record, server),
				flr_floor(scope));
}
