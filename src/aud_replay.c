#include "aud_replay.h"

#include <string.h>

#include "aud_replay_rules.h"
#include "fs_log.h"

const struct aud_replay_rule *aud_replay_rule_of(const struct aud_record *rec)
{
	const struct aud_replay_rule *rule = aud_replay_request_rule(rec);

	return rule ? rule : aud_replay_fleet_rule(rec);
}

static bool is_listed(const char *const *names, const char *name)
{
	for (int i = 0; i < AUD_REPLAY_NUMBERS_MAX && names[i]; i++) {
		if (!strcmp(names[i], name))
			return true;
	}
	return false;
}

/* All required numbers are there, once, and none that the rule lacks. */
static bool read_numbers(const struct aud_replay_rule *rule, struct aud_case *c,
			 char **reason)
{
	for (int i = 0; i < AUD_REPLAY_NUMBERS_MAX && rule->numbers[i]; i++) {
		if (aud_number_of(c->rec, rule->numbers[i], &c->n[i]))
			continue;
		*reason = g_strdup_printf("the number \"%s\" is missing",
					  rule->numbers[i]);
		return false;
	}
	for (uint32_t i = 0; i < c->rec->evidence_count; i++) {
		const char *name = c->rec->evidence[i].name;

		if (is_listed(rule->numbers, name) ||
		    is_listed(rule->optional, name))
			continue;
		*reason =
			g_strdup_printf("the rule has no number \"%s\"", name);
		return false;
	}
	return true;
}

/* Finds what the text says; names that it lacks are an error. */
static const char *find_in_text(const struct cfg *cfg, struct aud_case *c)
{
	handle h;

	if (!cfg || c->rec->config_version != cfg->version)
		return NULL;
	c->cfg = cfg;
	if (*c->rec->service) {
		h = cfg_find_service(cfg, c->rec->service);
		if (h == FS_NONE)
			return "the text has no such service";
		c->service = &cfg->services[h];
		c->params = hlt_params_of(c->service->detection);
	}
	if (*c->rec->route) {
		h = cfg_find_route(cfg, c->rec->route);
		if (h == FS_NONE)
			return "the text has no such route";
		c->route = &cfg->routes[h];
	}
	if (*c->rec->server && cfg_find_server(cfg, c->rec->server) == FS_NONE)
		return "the text has no such server";
	return NULL;
}

int aud_replay_check(const struct cfg *cfg, const struct aud_record *rec,
		     char **reason)
{
	const struct aud_replay_rule *rule = aud_replay_rule_of(rec);
	struct aud_case c = {.rec = rec};
	const char *why = NULL;

	*reason = NULL;
	if (!rule || aud_rule_kind(rec->rule) != rec->kind)
		why = "the rule is not of the record's kind";
	if (!why && !read_numbers(rule, &c, reason))
		return FS_E_AUDIT;
	if (!why)
		why = find_in_text(cfg, &c);
	if (!why)
		why = rule->check(&c);
	*reason = why ? g_strdup(why) : NULL;
	return why ? FS_E_AUDIT : 0;
}
