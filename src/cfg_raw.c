#include "cfg_raw.h"

#include "cfg.h"
#include "fs_err.h"

#define TEXT(key, type)                                                 \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_OPTIONAL, type, key, 0, \
			       CYAML_UNLIMITED)
#define LIST(key, type, entry, min, max)                                     \
	CYAML_FIELD_SEQUENCE(#key, CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER, \
			     type, key, entry, min, max)
#define GROUP(key, type, fields) \
	CYAML_FIELD_MAPPING_PTR(#key, CYAML_FLAG_OPTIONAL, type, key, fields)

static const cyaml_schema_value_t text_entry = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 0, CYAML_UNLIMITED),
};

static const cyaml_schema_field_t domain_fields[] = {
	TEXT(name, struct cfg_raw_domain),
	TEXT(region, struct cfg_raw_domain),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t domain_entry = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_raw_domain,
			    domain_fields),
};

static const cyaml_schema_field_t server_fields[] = {
	TEXT(name, struct cfg_raw_server),
	TEXT(address, struct cfg_raw_server),
	TEXT(failure_domain, struct cfg_raw_server),
	TEXT(leaving, struct cfg_raw_server),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t server_entry = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_raw_server,
			    server_fields),
};

static const cyaml_schema_field_t range_fields[] = {
	TEXT(prefix, struct cfg_raw_range),
	TEXT(from, struct cfg_raw_range),
	TEXT(count, struct cfg_raw_range),
	TEXT(address, struct cfg_raw_range),
	LIST(failure_domains, struct cfg_raw_range, &text_entry, 0,
	     CFG_DOMAINS_MAX),
	TEXT(leaving, struct cfg_raw_range),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t range_entry = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_raw_range,
			    range_fields),
};

static const cyaml_schema_field_t probe_fields[] = {
	TEXT(path, struct cfg_raw_probe),
	TEXT(interval_ms, struct cfg_raw_probe),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t objective_fields[] = {
	TEXT(good, struct cfg_raw_objective),
	TEXT(latency_ms, struct cfg_raw_objective),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t service_fields[] = {
	TEXT(name, struct cfg_raw_service),
	LIST(depends_on, struct cfg_raw_service, &text_entry, 0,
	     CFG_DEPENDS_MAX),
	TEXT(floor, struct cfg_raw_service),
	TEXT(slots, struct cfg_raw_service),
	TEXT(queue, struct cfg_raw_service),
	TEXT(detection, struct cfg_raw_service),
	TEXT(retry_percent, struct cfg_raw_service),
	TEXT(slow_start_ms, struct cfg_raw_service),
	GROUP(probe, struct cfg_raw_service, probe_fields),
	LIST(not_run_status, struct cfg_raw_service, &text_entry, 0,
	     CFG_NOT_RUN_MAX),
	GROUP(objective, struct cfg_raw_service, objective_fields),
	TEXT(leaving, struct cfg_raw_service),
	LIST(servers, struct cfg_raw_service, &server_entry, 0,
	     CFG_SERVERS_MAX),
	LIST(server_ranges, struct cfg_raw_service, &range_entry, 0,
	     CFG_SERVERS_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t service_entry = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_raw_service,
			    service_fields),
};

static const cyaml_schema_field_t route_fields[] = {
	TEXT(name, struct cfg_raw_route),
	TEXT(host, struct cfg_raw_route),
	TEXT(path, struct cfg_raw_route),
	LIST(paths, struct cfg_raw_route, &text_entry, 1, CFG_PATHS_MAX),
	LIST(methods, struct cfg_raw_route, &text_entry, 1, CFG_METHODS_MAX),
	TEXT(service, struct cfg_raw_route),
	TEXT(deadline_ms, struct cfg_raw_route),
	TEXT(priority, struct cfg_raw_route),
	TEXT(repeat, struct cfg_raw_route),
	TEXT(tries, struct cfg_raw_route),
	TEXT(body_max_bytes, struct cfg_raw_route),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t route_entry = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cfg_raw_route,
			    route_fields),
};

static const cyaml_schema_field_t top_fields[] = {
	TEXT(deployment, struct cfg_raw),
	LIST(failure_domains, struct cfg_raw, &domain_entry, 0,
	     CFG_DOMAINS_MAX),
	LIST(services, struct cfg_raw, &service_entry, 0, CFG_SERVICES_MAX),
	LIST(routes, struct cfg_raw, &route_entry, 0, CFG_ROUTES_MAX),
	CYAML_FIELD_END,
};

const cyaml_schema_value_t cfg_raw_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct cfg_raw, top_fields),
};

static void G_GNUC_PRINTF(3, 0) keep_message(cyaml_log_t level, void *ctx,
					     const char *fmt, va_list args)
{
	GString *messages = ctx;

	(void)level;
	g_string_append_vprintf(messages, fmt, args);
}

static const cyaml_config_t quiet = {
	.log_fn = NULL,
	.mem_fn = cyaml_mem,
	.log_level = CYAML_LOG_ERROR,
	.flags = CYAML_CFG_NO_ALIAS | CYAML_CFG_IGNORE_UNKNOWN_KEYS,
};

int cfg_raw_load(const char *text, size_t size,
		 const cyaml_schema_value_t *schema, void **out, char **reason)
{
	GString *messages = g_string_new(NULL);
	cyaml_config_t config = quiet;
	cyaml_err_t err;

	*out = NULL;
	*reason = NULL;
	config.log_fn = keep_message;
	config.log_ctx = messages;
	err = cyaml_load_data((const uint8_t *)text, size, &config, schema, out,
			      NULL);
	if (err != CYAML_OK) {
		g_string_prepend(messages, ": ");
		g_string_prepend(messages, cyaml_strerror(err));
		g_strchomp(messages->str);
		*reason = g_string_free(messages, FALSE);
		return FS_E_CONFIG;
	}
	g_string_free(messages, TRUE);
	return 0;
}

void cfg_raw_free(const cyaml_schema_value_t *schema, void *raw)
{
	if (raw)
		cyaml_free(&quiet, schema, raw, 0);
}
