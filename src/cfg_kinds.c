#include "cfg_kinds.h"

#include <inttypes.h>
#include <string.h>

#include "cfg_diff.h"

void cfg_object_clear(struct cfg_object *o)
{
	for (uint32_t i = 0; i < o->count; i++)
		g_free(o->values[i]);
	o->count = 0;
}

static void G_GNUC_PRINTF(3, 4)
	put(struct cfg_object *o, const char *setting, const char *format, ...)
{
	va_list args;

	g_assert(o->count < CFG_SETTINGS_MAX);
	va_start(args, format);
	o->settings[o->count] = setting;
	o->values[o->count++] = g_strdup_vprintf(format, args);
	va_end(args);
}

static void put_ms(struct cfg_object *o, const char *setting, int64_t us)
{
	put(o, setting, "%" PRId64, (int64_t)(us / FS_US_PER_MS));
}

static void put_bool(struct cfg_object *o, const char *setting, bool value)
{
	put(o, setting, "%s", value ? "true" : "false");
}

static uint32_t deployment_count(const struct cfg *cfg)
{
	return cfg->deployment != NULL; /* an operators' text names it */
}

static const char *deployment_name(const struct cfg *cfg, handle h)
{
	(void)h;
	return cfg->deployment;
}

static handle deployment_find(const struct cfg *cfg, const char *name)
{
	return g_strcmp0(cfg->deployment, name) ? FS_NONE : 0;
}

static void deployment_describe(const struct cfg *cfg, handle h,
				struct cfg_object *o)
{
	(void)cfg;
	(void)h;
	(void)o;
}

static uint32_t domain_count(const struct cfg *cfg)
{
	return cfg->domain_count;
}

static const char *domain_name(const struct cfg *cfg, handle h)
{
	return cfg->domains[h].name;
}

static handle domain_find(const struct cfg *cfg, const char *name)
{
	for (handle h = 0; h < cfg->domain_count; h++) {
		if (!strcmp(cfg->domains[h].name, name))
			return h;
	}
	return FS_NONE;
}

static void domain_describe(const struct cfg *cfg, handle h,
			    struct cfg_object *o)
{
	put(o, "region", "%s", cfg->domains[h].region);
}

static uint32_t service_count(const struct cfg *cfg)
{
	return cfg->service_count;
}

static const char *service_name(const struct cfg *cfg, handle h)
{
	return cfg->services[h].name;
}

static void put_depends(const struct cfg *cfg, const struct cfg_service *s,
			struct cfg_object *o)
{
	g_autoptr(GString) list = g_string_new("[");

	for (uint32_t i = 0; i < s->depends_count; i++)
		g_string_append_printf(list, "%s%s", i ? ", " : "",
				       cfg->services[s->depends_on[i]].name);
	put(o, "depends_on", "%s]", list->str);
}

static void put_not_run(const struct cfg_service *s, struct cfg_object *o)
{
	g_autoptr(GString) list = g_string_new("[");

	for (uint32_t i = 0; i < s->not_run_count; i++)
		g_string_append_printf(list, "%s%u", i ? ", " : "",
				       s->not_run_status[i]);
	put(o, "not_run_status", "%s]", list->str);
}

static void service_describe(const struct cfg *cfg, handle h,
			     struct cfg_object *o)
{
	const struct cfg_service *s = &cfg->services[h];

	put_depends(cfg, s, o);
	put(o, "floor", "%g%%", s->floor / 10.0);
	put(o, "slots", "%u", s->slots);
	put(o, "queue", "%u", s->queue);
	put(o, "detection", "%s", cfg_detection_name(s->detection));
	put(o, "retry_percent", "%u", s->retry_percent);
	put_ms(o, "slow_start_ms", s->slow_start_us);
	put(o, "probe.path", "%s", s->probe_path ? s->probe_path : "none");
	put_ms(o, "probe.interval_ms", s->probe_interval_us);
	put_not_run(s, o);
	put(o, "objective.good", "%g%%", s->objective_good * 100);
	put_ms(o, "objective.latency_ms", s->objective_us);
	put_bool(o, "leaving", s->leaving);
}

static uint32_t server_count(const struct cfg *cfg)
{
	return cfg->server_count;
}

static const char *server_name(const struct cfg *cfg, handle h)
{
	return cfg->servers[h].name;
}

static void server_describe(const struct cfg *cfg, handle h,
			    struct cfg_object *o)
{
	const struct cfg_server *s = &cfg->servers[h];

	put(o, "service", "%s", cfg->services[s->service].name);
	put(o, "address", "%s", s->address);
	put(o, "failure_domain", "%s", cfg->domains[s->domain].name);
	put_bool(o, "leaving", s->leaving);
}

static uint32_t route_count(const struct cfg *cfg)
{
	return cfg->route_count;
}

static const char *route_name(const struct cfg *cfg, handle h)
{
	return cfg->routes[h].name;
}

void cfg_methods_text(uint32_t methods, GString *out)
{
	static const char *const names[] = {"GET",   "HEAD",   "POST",	 "PUT",
					    "PATCH", "DELETE", "OPTIONS"};
	const char *comma = "";

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!(methods & (1u << i)))
			continue;
		g_string_append_printf(out, "%s%s", comma, names[i]);
		comma = ", ";
	}
}

static void route_describe(const struct cfg *cfg, handle h,
			   struct cfg_object *o)
{
	const struct cfg_route *r = &cfg->routes[h];
	g_autoptr(GString) methods = g_string_new(NULL);

	cfg_methods_text(r->methods, methods);
	put(o, "host", "%s", r->host);
	put(o, "path", "%s", r->path);
	put(o, "methods", "[%s]", methods->str);
	put(o, "service", "%s", cfg->services[r->service].name);
	put_ms(o, "deadline_ms", r->deadline_us);
	put(o, "priority", "%s", cfg_priority_name(r->priority));
	put(o, "repeat", "%s", r->repeatable ? "allowed" : "never");
	put(o, "tries", "%u", r->tries);
	put(o, "body_max_bytes", "%u", r->body_max);
}

static uint32_t organisation_count(const struct cfg *cfg)
{
	return cfg->organisation_count;
}

static const char *organisation_name(const struct cfg *cfg, handle h)
{
	return cfg->organisations[h].name;
}

/* A fingerprint stands for the keys, which are shown nowhere. */
static void organisation_describe(const struct cfg *cfg, handle h,
				  struct cfg_object *o)
{
	const struct cfg_organisation *org = &cfg->organisations[h];

	if (org->has_rank)
		put(o, "rank", "%u", org->rank);
	else
		put(o, "rank", "of the route");
	put(o, "rate", "%g", org->rate);
	put(o, "burst", "%g", org->burst);
	put(o, "keys", "%u (%08x)", org->key_count, org->key_print);
}

const struct cfg_kind cfg_kinds[CFG_KIND_COUNT] = {
	{"deployment", deployment_count, deployment_name, deployment_find,
	 deployment_describe},
	{"failure domain", domain_count, domain_name, domain_find,
	 domain_describe},
	{"service", service_count, service_name, cfg_find_service,
	 service_describe},
	{"server", server_count, server_name, cfg_find_server, server_describe},
	{"route", route_count, route_name, cfg_find_route, route_describe},
	{"organisation", organisation_count, organisation_name,
	 cfg_find_organisation, organisation_describe},
};
