#include <string.h>

#include "cfg_build.h"
#include "cfg_scan.h"

static void build(struct cfg *cfg, const struct cfg_raw *raw,
		  GPtrArray *problems)
{
	struct cfg_build b = {
		.raw = raw,
		.cfg = cfg,
		.r.problems = problems,
		.domains = g_hash_table_new(g_str_hash, g_str_equal),
		.addresses = g_hash_table_new(g_str_hash, g_str_equal),
	};

	cfg_read_name(&b.r, "deployment", raw->deployment, FS_NAME_MAX);
	cfg->deployment = cfg_build_keep(&b, raw->deployment);
	if (!raw->failure_domains_count)
		cfg_problem(&b.r, "failure_domains",
			    "no failure domain; list at least one");
	if (!raw->services_count)
		cfg_problem(&b.r, "services", "no service; list at least one");
	cfg_build_domains(&b);
	cfg_build_services(&b);
	cfg_build_dependencies(&b);
	cfg_build_routes(&b);
	g_hash_table_unref(b.domains);
	g_hash_table_unref(b.addresses);
}

/* Reads the text; @return the raw structs, or NULL with a problem added. */
static void *read_raw(struct cfg_reader *top, const char *text, size_t size)
{
	g_autofree char *reason = NULL;
	void *raw = NULL;

	if (cfg_scan(text, size, &cfg_raw_schema, top->problems, NULL) ==
	    FS_E_PROTOCOL)
		return NULL;
	if (cfg_raw_load(text, size, &cfg_raw_schema, &raw, &reason))
		cfg_problem(top, NULL, "%s", reason);
	else if (!raw)
		cfg_problem(top, NULL, "the text is empty");
	return raw;
}

int cfg_load(const char *text, uint64_t version, GPtrArray **problems,
	     struct cfg **out)
{
	struct cfg_reader top = {.problems = cfg_problems_new()};
	size_t size = strlen(text);
	void *raw;

	*problems = top.problems;
	*out = NULL;
	if (size > FS_CONFIG_MAX) {
		cfg_problem(&top, NULL,
			    "the text has %zu bytes; at most %d are allowed",
			    size, FS_CONFIG_MAX);
		return FS_E_CONFIG;
	}
	raw = read_raw(&top, text, size);
	if (!raw)
		return FS_E_CONFIG;
	*out = cfg_new(text, version);
	build(*out, raw, top.problems);
	cfg_raw_free(&cfg_raw_schema, raw);
	if (!top.problems->len)
		return 0;
	cfg_scan_lines(text, size, &cfg_raw_schema, top.problems);
	cfg_unref(*out);
	*out = NULL;
	return FS_E_CONFIG;
}
