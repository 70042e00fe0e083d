#include "aud.h"

#include <string.h>

/** One row per rule. */
struct rule_row {
	const char *name;
	enum aud_kind kind;
	const char *text;
};

#define RULE_ROW(id, name, kind, text) {name, kind, text},
static const struct rule_row rules[AUD_RULE_COUNT] = {AUD_RULES(RULE_ROW)};

static const char *const kinds[AUD_KIND_COUNT] = {
	[AUD_REFUSAL] = "refusal", [AUD_RETRY] = "retry",
	[AUD_STEER] = "steer",	   [AUD_EJECT] = "eject",
	[AUD_RETURN] = "return",   [AUD_SHARD] = "shard",
	[AUD_CONFIG] = "config",   [AUD_DRAIN] = "drain",
};

const char *aud_rule_name(enum aud_rule rule)
{
	return rule < AUD_RULE_COUNT ? rules[rule].name : "unknown";
}

const char *aud_rule_text(enum aud_rule rule)
{
	return rule < AUD_RULE_COUNT ? rules[rule].text : "no such rule";
}

enum aud_kind aud_rule_kind(enum aud_rule rule)
{
	return rule < AUD_RULE_COUNT ? rules[rule].kind : AUD_KIND_COUNT;
}

enum aud_rule aud_rule_by_name(const char *name)
{
	unsigned int rule = 0;

	while (rule < AUD_RULE_COUNT && strcmp(rules[rule].name, name) != 0)
		rule++;
	return (enum aud_rule)rule;
}

const char *aud_kind_name(enum aud_kind kind)
{
	return kind < AUD_KIND_COUNT ? kinds[kind] : "unknown";
}

enum aud_kind aud_kind_by_name(const char *name)
{
	unsigned int kind = 0;

	while (kind < AUD_KIND_COUNT && strcmp(kinds[kind], name) != 0)
		kind++;
	return (enum aud_kind)kind;
}
