/**
 * @file aud_replay_rules.h
 * @brief The table from a rule to its numbers and the predicate behind it.
 */
#ifndef AUD_REPLAY_RULES_H
#define AUD_REPLAY_RULES_H

#include "aud.h"
#include "hlt_params.h"

#define AUD_REPLAY_NUMBERS_MAX 10

/** One record with what the text says about it. */
struct aud_case {
	const struct aud_record *rec;
	const struct cfg *cfg; /* NULL: the record has another version */
	const struct cfg_service *service; /* NULL: not in the text, no cfg */
	const struct cfg_route *route;	   /* the same */
	const struct hlt_params *params;   /* the same */
	int64_t n[AUD_REPLAY_NUMBERS_MAX]; /* required numbers, in order */
};

/** How a rule is recomputed. */
struct aud_replay_rule {
	const char *numbers[AUD_REPLAY_NUMBERS_MAX];  /* all required */
	const char *optional[AUD_REPLAY_NUMBERS_MAX]; /* may be there */
	/** Returns NULL if the record follows, else the reason. */
	const char *(*check)(const struct aud_case *c);
};

/** Returns the row for a record; steering has one row per choice. */
const struct aud_replay_rule *aud_replay_rule_of(const struct aud_record *rec);

/** Rows of the two families, NULL if the rule is of the other one. */
const struct aud_replay_rule *
aud_replay_request_rule(const struct aud_record *rec);
const struct aud_replay_rule *aud_replay_fleet_rule(const struct aud_record *r);

#endif
