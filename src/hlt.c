#include <string.h>

#include "hlt_rules.h"
#include "hlt_state.h"

#define PATH_US (30 * FS_US_PER_S) /* a path check holds so long */

static void init_server(struct hlt_shard *shard, uint32_t i, const char *name,
			int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];

	g_strlcpy(server->name, name, sizeof(server->name));
	hlt_window_init(&server->window, shard->params->window_us, now_us);
	server->flights = g_array_new(FALSE, TRUE, sizeof(struct hlt_inflight));
	server->last_good_us = now_us;
	server->last_bad_us = now_us;
	server->rule = AUD_RULE_COUNT;
	server->refused = AUD_RULE_COUNT;
}

/* Where the shard stands among the servers of its service and region. */
static void init_scope(struct hlt_shard *shard, const struct cfg *cfg,
		       handle service, handle first)
{
	const struct cfg_service *s = &cfg->services[service];
	const char *region = cfg->domains[cfg->servers[first].domain].region;
	struct flr_scope scope = {cfg, service, region};

	g_strlcpy(shard->region, region, sizeof(shard->region));
	shard->region_count = flr_count(&scope);
	shard->region_floor = flr_floor(&scope);
	for (handle h = s->first_server; h < first; h++) {
		const struct cfg_server *server = &cfg->servers[h];
		const char *other = cfg->domains[server->domain].region;

		shard->first += !server->leaving && !strcmp(other, region);
	}
}

struct hlt_shard *hlt_shard_new(const struct cfg *cfg, handle service,
				const handle *servers, uint32_t count,
				int64_t now_us)
{
	const struct cfg_service *s = &cfg->services[service];
	struct hlt_shard *shard = g_new0(struct hlt_shard, 1);

	shard->params = hlt_params_of(s->detection);
	g_strlcpy(shard->service, s->name, sizeof(shard->service));
	shard->config_version = cfg->version;
	shard->slots = s->slots;
	shard->slow_start_us = s->slow_start_us;
	shard->count = MIN(count, FS_SHARD_SERVERS_MAX);
	hlt_lat_init(&shard->lat, now_us);
	for (uint32_t i = 0; i < shard->count; i++)
		init_server(shard, i, cfg->servers[servers[i]].name, now_us);
	if (shard->count)
		init_scope(shard, cfg, service, servers[0]);
	return shard;
}

void hlt_shard_free(struct hlt_shard *shard)
{
	if (!shard)
		return;
	for (uint32_t i = 0; i < shard->count; i++)
		g_array_unref(shard->servers[i].flights);
	g_free(shard);
}

static void adopt_server(struct hlt_server *server,
			 const struct hlt_server *old, int64_t window_us)
{
	GArray *flights = server->flights;
	int64_t now_us = server->last_good_us;

	*server = *old;
	server->flights = flights;
	if (old->flights->len)
		g_array_append_vals(flights, old->flights->data,
				    old->flights->len);
	if (old->window.step_us != window_us / HLT_WINDOW_BUCKETS)
		hlt_window_init(&server->window, window_us, now_us);
}

void hlt_shard_copy_state(struct hlt_shard *shard, const struct cfg *cfg,
			  const struct hlt_shard *old,
			  const struct cfg *old_cfg)
{
	(void)cfg;
	(void)old_cfg;
	if (strcmp(shard->service, old->service) != 0)
		return;
	shard->token = MAX(shard->token, old->token);
	shard->lat = old->lat;
	shard->confirmed_us = old->confirmed_us;
	shard->region_out = old->region_out;
	shard->dependency_sick = old->dependency_sick;
	for (uint32_t i = 0; i < shard->count; i++) {
		for (uint32_t j = 0; j < old->count; j++) {
			if (!strcmp(shard->servers[i].name,
				    old->servers[j].name))
				adopt_server(&shard->servers[i],
					     &old->servers[j],
					     shard->params->window_us);
		}
	}
}

static void begin_ejected(struct hlt_server *server, int64_t now_us)
{
	server->ejected_us = now_us;
	server->told_us = 0;
	server->good_run = 0;
	server->ejections = MAX(server->ejections, 1);
	if (server->judged == HLT_HEALTHY) {
		server->sick_us = now_us;
		server->last_bad_us = now_us;
		server->rule = AUD_R_STEER_ERRORS;
	}
	server->judged = HLT_TRIAL;
}

/* A server that has earned its return starts slowly; one whose record lapsed
 * or was trimmed stays on trial. */
static void end_ejected(struct hlt_shard *shard, struct hlt_server *server,
			int64_t now_us)
{
	int64_t from_us = MAX(server->last_bad_us, server->ejected_us);

	if (!hlt_rule_reinstate(shard->params, server->good_run,
				now_us - from_us, server->ejections,
				server->reachable))
		return;
	server->judged = HLT_HEALTHY;
	server->rule = AUD_RULE_COUNT;
	server->cleared_us = now_us;
	server->has_cleared = true;
	server->ramping = true;
	server->ramp_us = now_us;
	hlt_window_init(&server->window, shard->params->window_us, now_us);
}

static void set_ejected(struct hlt_shard *shard, uint32_t i, bool ejected,
			int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];

	if (server->ejected == ejected)
		return;
	server->ejected = ejected;
	if (ejected)
		begin_ejected(server, now_us);
	else
		end_ejected(shard, server, now_us);
}

void hlt_set_ejected(struct hlt_shard *shard, uint32_t i, bool ejected,
		     int64_t now_us)
{
	int64_t out = 0;

	shard->confirmed_us = now_us;
	set_ejected(shard, i, ejected, now_us);
	for (uint32_t j = 0; j < shard->count; j++)
		out += shard->servers[j].ejected;
	shard->region_out = out;
}

static int64_t count_enforced(const struct flr_record *record,
			      const struct flr_scope *scope)
{
	int64_t out = 0;

	for (guint i = 0; record && i < record->entries->len; i++) {
		const struct flr_entry *entry =
			&g_array_index(record->entries, struct flr_entry, i);

		out += flr_enforced(record, scope, entry->server);
	}
	return out;
}

void hlt_set_record(struct hlt_shard *shard, const struct cfg *cfg,
		    const struct flr_record *record, int64_t confirmed_us,
		    int64_t now_us)
{
	struct flr_scope scope = {
		.cfg = cfg,
		.service = cfg_find_service(cfg, shard->service),
		.region = shard->region,
	};

	if (scope.service == FS_NONE ||
	    !flr_confirmed(&flr_times_default, confirmed_us, now_us))
		record = NULL;
	shard->confirmed_us = confirmed_us;
	shard->region_out = count_enforced(record, &scope);
	for (uint32_t i = 0; i < shard->count; i++) {
		struct hlt_server *server = &shard->servers[i];
		const struct flr_entry *entry =
			record ? flr_find(record, server->name) : NULL;

		if (entry)
			server->ejections = entry->ejections;
		set_ejected(shard, i,
			    flr_enforced(record, &scope, server->name), now_us);
	}
}

void hlt_expire_record(struct hlt_shard *shard, int64_t now_us)
{
	if (flr_confirmed(&flr_times_default, shard->confirmed_us, now_us))
		return;
	shard->region_out = 0;
	for (uint32_t i = 0; i < shard->count; i++)
		set_ejected(shard, i, false, now_us);
}

void hlt_set_reached_by_others(struct hlt_shard *shard, uint32_t i,
			       bool others_reach, int64_t now_us)
{
	shard->servers[i].path_until_us = others_reach ? now_us + PATH_US : 0;
}

void hlt_set_dependency_unhealthy(struct hlt_shard *shard, bool sick)
{
	shard->dependency_sick = sick;
}

enum hlt_level hlt_level(const struct hlt_shard *shard, uint32_t i)
{
	const struct hlt_server *server = &shard->servers[i];

	if (server->ejected)
		return HLT_EJECTED;
	return server->given_back ? HLT_HEALTHY : server->judged;
}

static uint32_t ramped_slots(const struct hlt_shard *shard,
			     const struct hlt_server *server, int64_t now_us)
{
	int64_t since_us = now_us - server->ramp_us;

	if (!server->ramping || since_us >= shard->slow_start_us)
		return shard->slots;
	return MAX(1,
		   (uint32_t)(shard->slots * since_us / shard->slow_start_us));
}

/* Ejected for the floor's sake only while the record is confirmed, also if
 * this process has slept since the last tick. */
static bool is_ejected_now(const struct hlt_shard *shard,
			   const struct hlt_server *server, int64_t now_us)
{
	return server->ejected &&
	       flr_confirmed(&flr_times_default, shard->confirmed_us, now_us);
}

uint32_t hlt_concurrency_limit(const struct hlt_shard *shard, uint32_t i,
			       bool repeatable, int64_t now_us)
{
	const struct hlt_server *server = &shard->servers[i];
	enum hlt_level level = server->given_back ? HLT_HEALTHY :
						    server->judged;

	if (is_ejected_now(shard, server, now_us))
		level = HLT_EJECTED;
	if (level == HLT_HEALTHY)
		return ramped_slots(shard, server, now_us);
	if (!repeatable)
		return 0;
	if (level == HLT_SUSPECTED)
		return MAX(1, shard->slots / 2);
	return now_us >= server->trial_next_us ? 1 : 0;
}
