#include "set.h"

#include <stdio.h>
#include <string.h>

#include "cfg_raw.h"
#include "cfg_read.h"
#include "cfg_scan.h"
#include "fs_name.h"

#define TTL_DEFAULT_MS 30000
#define TTL_MIN_MS 1000
#define TTL_MAX_MS 3600000
#define FLEET_KEY_MIN_BYTES 16
/* Bounds against typing errors, far above any machine of the deployments. */
#define SECONDS_MAX 3600.0
#define MEMORY_MB_MAX (1024.0 * 1024.0)
#define FDS_MAX (1024 * 1024)
#define SLACK_MAX 1e6
#define LINK_MBPS_MAX 1e6

/** The file as libcyaml reads it; see set.h for the meaning. */
struct set_raw {
	char *name;
	char *region;
	char *failure_domain;
	char *caller_listen;
	char *peer_listen;
	char *operator_listen;
	char *peer_advertise;
	char *platform;
	char *fleet_key;
	char **seeds;
	unsigned int seeds_count;
	char *answer_ttl_ms;
	char *ready_listen;
	char *resolve_listen;
	char *load_listen;
	char *memory_mb;
	char *max_fds;
	char *stop_grace_s;
	char *retry_ratio;
	char *retry_slack;
	char *retry_window_s;
	char *quota_overage;
	char *quota_slack;
	char *quota_window_s;
	char *first_start;
	char *link_mbps;
	char *even_load_nodes;
};

#define STRING_FIELD(key)                                                      \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_OPTIONAL, struct set_raw, key, \
			       0, CYAML_UNLIMITED)

static const cyaml_schema_value_t seed_entry = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char *, 0, CYAML_UNLIMITED),
};

static const cyaml_schema_field_t set_fields[] = {
	STRING_FIELD(name),
	STRING_FIELD(region),
	STRING_FIELD(failure_domain),
	STRING_FIELD(caller_listen),
	STRING_FIELD(peer_listen),
	STRING_FIELD(operator_listen),
	STRING_FIELD(peer_advertise),
	STRING_FIELD(platform),
	STRING_FIELD(fleet_key),
	CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER,
			     struct set_raw, seeds, &seed_entry, 0,
			     CYAML_UNLIMITED),
	STRING_FIELD(answer_ttl_ms),
	STRING_FIELD(ready_listen),
	STRING_FIELD(resolve_listen),
	STRING_FIELD(load_listen),
	STRING_FIELD(memory_mb),
	STRING_FIELD(max_fds),
	STRING_FIELD(stop_grace_s),
	STRING_FIELD(retry_ratio),
	STRING_FIELD(retry_slack),
	STRING_FIELD(retry_window_s),
	STRING_FIELD(quota_overage),
	STRING_FIELD(quota_slack),
	STRING_FIELD(quota_window_s),
	STRING_FIELD(first_start),
	STRING_FIELD(link_mbps),
	STRING_FIELD(even_load_nodes),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t set_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct set_raw, set_fields),
};

static void read_address(struct cfg_reader *r, const char *key,
			 const char *text, struct sockaddr_in *out)
{
	if (set_parse_address(text, out))
		cfg_problem(
			r, key,
			"\"%.64s\" is not an address: expected IPv4 address "
			"and port, such as 10.0.0.1:7000",
			text);
}

static void read_names(struct cfg_reader *r, const struct set_raw *raw,
		       struct set *out)
{
	if (cfg_read_name(r, "name", raw->name, CFG_ANY_SIZE))
		fs_name_fit(raw->name, out->name, sizeof(out->name));
	if (cfg_read_name(r, "region", raw->region, CFG_ANY_SIZE))
		fs_name_fit(raw->region, out->region, sizeof(out->region));
	if (cfg_read_name(r, "failure_domain", raw->failure_domain,
			  CFG_ANY_SIZE))
		fs_name_fit(raw->failure_domain, out->domain,
			    sizeof(out->domain));
	if (!cfg_read_present(r, "fleet_key", raw->fleet_key))
		return;
	if (strlen(raw->fleet_key) < FLEET_KEY_MIN_BYTES ||
	    strlen(raw->fleet_key) >= sizeof(out->fleet_key))
		cfg_problem(r, "fleet_key",
			    "%zu bytes; must be %d to %zu bytes, the same "
			    "on all nodes",
			    strlen(raw->fleet_key), FLEET_KEY_MIN_BYTES,
			    sizeof(out->fleet_key) - 1);
	else
		g_strlcpy(out->fleet_key, raw->fleet_key,
			  sizeof(out->fleet_key));
}

static void read_addresses(struct cfg_reader *r, const struct set_raw *raw,
			   struct set *out)
{
	struct sockaddr_in platform;

	if (cfg_read_present(r, "caller_listen", raw->caller_listen))
		read_address(r, "caller_listen", raw->caller_listen,
			     &out->caller_listen);
	if (cfg_read_present(r, "peer_listen", raw->peer_listen))
		read_address(r, "peer_listen", raw->peer_listen,
			     &out->peer_listen);
	if (cfg_read_present(r, "operator_listen", raw->operator_listen))
		read_address(r, "operator_listen", raw->operator_listen,
			     &out->operator_listen);
	if (raw->peer_advertise)
		read_address(r, "peer_advertise", raw->peer_advertise,
			     &out->peer_advertise);
	if (!cfg_read_present(r, "platform", raw->platform))
		return;
	read_address(r, "platform", raw->platform, &platform);
	g_strlcpy(out->platform, raw->platform, sizeof(out->platform));
}

static void read_seeds(struct cfg_reader *r, const struct set_raw *raw,
		       struct set *out)
{
	if (raw->seeds_count > G_N_ELEMENTS(out->seeds)) {
		cfg_problem(r, "seeds", "%u seeds; at most %zu are allowed",
			    raw->seeds_count, G_N_ELEMENTS(out->seeds));
		return;
	}
	for (uint32_t i = 0; i < raw->seeds_count; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "seeds[%u]", i);
		read_address(r, key, raw->seeds[i], &out->seeds[i]);
	}
	out->seed_count = raw->seeds_count;
}

static void read_listen(struct cfg_reader *r, const char *key, const char *text,
			struct sockaddr_in *out)
{
	if (text)
		read_address(r, key, text, out);
}

static void read_seconds(struct cfg_reader *r, const char *key,
			 const char *text, int64_t *out_us)
{
	double s = 0;

	cfg_read_number(r, key, text, 0, SECONDS_MAX, &s);
	*out_us = (int64_t)(s * FS_US_PER_S);
}

static void read_gateway(struct cfg_reader *r, const struct set_raw *raw,
			 struct set *out)
{
	double mb = 0;
	double link_mbps = 0;

	read_listen(r, "ready_listen", raw->ready_listen, &out->ready_listen);
	read_listen(r, "resolve_listen", raw->resolve_listen,
		    &out->resolve_listen);
	read_listen(r, "load_listen", raw->load_listen, &out->load_listen);
	cfg_read_number(r, "memory_mb", raw->memory_mb, 1, MEMORY_MB_MAX, &mb);
	out->memory_bytes = (uint64_t)(mb * 1024 * 1024);
	cfg_read_u32(r, "max_fds", raw->max_fds, 64, FDS_MAX, "",
		     &out->max_fds);
	read_seconds(r, "stop_grace_s", raw->stop_grace_s, &out->stop_grace_us);
	read_seconds(r, "retry_window_s", raw->retry_window_s,
		     &out->retry_window_us);
	cfg_read_number(r, "retry_ratio", raw->retry_ratio, 0, 1,
			&out->retry_ratio);
	cfg_read_number(r, "retry_slack", raw->retry_slack, 0, SLACK_MAX,
			&out->retry_slack);
	read_seconds(r, "quota_window_s", raw->quota_window_s,
		     &out->quota_window_us);
	cfg_read_number(r, "quota_overage", raw->quota_overage, 0, 1,
			&out->quota_overage);
	cfg_read_number(r, "quota_slack", raw->quota_slack, 0, SLACK_MAX,
			&out->quota_slack);
	cfg_read_number(r, "link_mbps", raw->link_mbps, 0, LINK_MBPS_MAX,
			&link_mbps);
	out->link_mbps = (uint32_t)link_mbps;
	cfg_read_bool(r, "first_start", raw->first_start, &out->first_start);
	cfg_read_u32(r, "even_load_nodes", raw->even_load_nodes, 0,
		     FS_NODES_MAX, "", &out->even_load_nodes);
}

static char *join_problems(const char *path, const GPtrArray *problems)
{
	GString *all = g_string_new(NULL);

	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		g_string_append_printf(all, "%s%s:", i ? "\n" : "", path);
		if (p->line)
			g_string_append_printf(all, "%d:", p->line);
		g_string_append_printf(all, " %s%s%s", p->path,
				       *p->path ? ": " : "", p->text);
	}
	return g_string_free(all, FALSE);
}

static void read_all(struct cfg_reader *r, const char *text, size_t size,
		     struct set *out)
{
	g_autofree char *reason = NULL;
	struct set_raw *raw = NULL;

	if (cfg_scan(text, size, &set_schema, r->problems, NULL) ==
	    FS_E_PROTOCOL)
		return;
	if (cfg_raw_load(text, size, &set_schema, (void **)&raw, &reason)) {
		cfg_problem(r, NULL, "%s", reason);
		return;
	}
	if (!raw) {
		cfg_problem(r, NULL, "the file is empty");
		return;
	}
	read_names(r, raw, out);
	read_addresses(r, raw, out);
	read_seeds(r, raw, out);
	read_gateway(r, raw, out);
	out->answer_ttl_us = TTL_DEFAULT_MS * FS_US_PER_MS;
	cfg_read_ms(r, "answer_ttl_ms", raw->answer_ttl_ms, TTL_MIN_MS,
		    TTL_MAX_MS, &out->answer_ttl_us);
	cfg_raw_free(&set_schema, raw);
	if (r->problems->len)
		cfg_scan_lines(text, size, &set_schema, r->problems);
}

int set_load(const char *path, struct set *out, char **error)
{
	g_autoptr(GPtrArray) problems = cfg_problems_new();
	struct cfg_reader r = {.problems = problems};
	g_autoptr(GError) failed = NULL;
	g_autofree char *text = NULL;
	gsize size;

	memset(out, 0, sizeof(*out));
	*error = NULL;
	if (!g_file_get_contents(path, &text, &size, &failed)) {
		*error = g_strdup(failed->message);
		return FS_E_NOT_FOUND;
	}
	read_all(&r, text, size, out);
	if (!problems->len)
		return 0;
	*error = join_problems(path, problems);
	return FS_E_INVALID;
}
