#include "cfg_build.h"

bool cfg_build_index(GHashTable *index, const char *name, handle h)
{
	if (g_hash_table_contains(index, name))
		return false;
	g_hash_table_insert(index, (char *)name, GUINT_TO_POINTER(h + 1));
	return true;
}

handle cfg_build_find(GHashTable *index, const char *name)
{
	void *value = g_hash_table_lookup(index, name);

	return value ? GPOINTER_TO_UINT(value) - 1 : FS_NONE;
}

char *cfg_build_keep(struct cfg_build *b, const char *text)
{
	return g_string_chunk_insert(b->cfg->strings, text ? text : "");
}

void cfg_build_domains(struct cfg_build *b)
{
	const struct cfg_raw *raw = b->raw;
	struct cfg *cfg = b->cfg;

	cfg->domains = g_new0(struct cfg_domain, raw->failure_domains_count);
	for (uint32_t i = 0; i < raw->failure_domains_count; i++) {
		const struct cfg_raw_domain *from = &raw->failure_domains[i];
		struct cfg_domain *to = &cfg->domains[cfg->domain_count++];

		cfg_reader_at(&b->r, "failure_domains[%u]", i);
		cfg_read_name(&b->r, "region", from->region, FS_DOMAIN_MAX);
		to->name = cfg_build_keep(b, from->name);
		to->region = cfg_build_keep(b, from->region);
		if (!cfg_read_name(&b->r, "name", from->name, FS_DOMAIN_MAX))
			continue;
		if (!cfg_build_index(b->domains, to->name, i))
			cfg_problem(&b->r, "name",
				    "failure domain %s is there twice; give "
				    "each its own name",
				    to->name);
	}
}
