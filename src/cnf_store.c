#include "cnf_store.h"

#include "fs_json.h"

#include <json-glib/json-glib.h>

void cnf_store_clear(struct cnf_store *store)
{
	g_clear_pointer(&store->cfg, cfg_unref);
	g_clear_pointer(&store->problem, g_free);
}

uint64_t cnf_store_version(const struct cnf_store *store)
{
	return store->cfg ? store->cfg->version : 0;
}

bool cnf_store_should_fetch(const struct cnf_store *store, uint64_t version)
{
	return version > cnf_store_version(store) &&
	       version != store->rejected_version;
}

enum aud_rule cnf_decide(uint64_t version, uint64_t known, uint64_t problems)
{
	if (version <= known)
		return AUD_R_CONFIG_OLD;
	return problems ? AUD_R_CONFIG_BAD : AUD_R_CONFIG_TAKEN;
}

static void record_rejection(struct cnf_store *store, uint64_t version,
			     const GPtrArray *problems)
{
	const struct cfg_problem *first = g_ptr_array_index(problems, 0);

	store->rejected_version = version;
	g_free(store->problem);
	store->problem = g_strdup_printf(
		"version %" G_GUINT64_FORMAT " refused: line %d: %s: %s",
		version, first->line, first->path ? first->path : "",
		first->text);
}

static void activate_config(struct cnf_store *store, struct cfg *cfg)
{
	cfg_unref(store->cfg);
	store->cfg = cfg;
	g_clear_pointer(&store->problem, g_free);
}

enum aud_rule cnf_store_offer(struct cnf_store *store, uint64_t version,
			      const char *text, uint64_t *problems)
{
	g_autoptr(GPtrArray) found = NULL;
	uint64_t known = cnf_store_version(store);
	struct cfg *cfg = NULL;
	enum aud_rule rule;

	*problems = 0;
	rule = cnf_decide(version, known, 0);
	if (rule == AUD_R_CONFIG_OLD)
		return rule;
	if (!cfg_load(text, version, &found, &cfg))
		cfg_check_change(store->cfg, cfg, found);
	*problems = found->len;
	rule = cnf_decide(version, known, *problems);
	if (rule == AUD_R_CONFIG_TAKEN) {
		activate_config(store, cfg);
	} else {
		record_rejection(store, version, found);
		cfg_unref(cfg);
	}
	return rule;
}

int cnf_value_parse(const char *json, struct cnf_value *out)
{
	g_autoptr(JsonObject) object = fs_json_parse_object(json, -1);
	JsonNode *version, *text;

	out->text = NULL;
	if (!object)
		return FS_E_PROTOCOL;
	version = json_object_get_member(object, "version");
	text = json_object_get_member(object, "text");
	if (!version || json_node_get_value_type(version) != G_TYPE_INT64 ||
	    json_node_get_int(version) <= 0 || !text ||
	    json_node_get_value_type(text) != G_TYPE_STRING)
		return FS_E_PROTOCOL;
	out->version = (uint64_t)json_node_get_int(version);
	out->text = g_strdup(json_node_get_string(text));
	return 0;
}
