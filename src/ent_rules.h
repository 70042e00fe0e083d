/**
 * @file ent_rules.h
 * @brief The entry's decisions as pure functions of recorded numbers.
 *
 * The entry task decides by these, and the audit calls them again with the
 * numbers of a record.
 */
#ifndef ENT_RULES_H
#define ENT_RULES_H

#include "aud.h"

/** AUD_R_REQUEST: the kinds of errors the rule is for. */
bool ent_rules_request(int64_t err);

/** AUD_R_REQUEST with a limit: the limit is passed. */
bool ent_rules_exceeds_limit(int64_t size, int64_t limit);

/** AUD_R_NOT_READY */
bool ent_rules_not_ready(int64_t ready);

/** AUD_R_NO_DISPATCHER */
bool ent_rules_no_dispatcher(int64_t reachable);

/** AUD_R_SERVICE_LEAVING */
bool ent_rules_service_leaving(int64_t leaving);

/** AUD_R_DEADLINE_QUEUED */
bool ent_rules_deadline(int64_t remaining_us);

/** AUD_R_OUTCOME_UNKNOWN: the request was handed over and nothing since proves
 *  that it was not run. */
bool ent_rules_outcome_unknown(int64_t written, int64_t cancel_confirmed);

/** AUD_R_CANCEL_CONFIRMED */
bool ent_rules_cancel_confirmed(int64_t cancel_confirmed);

/**
 * Whether a refusal lets the entry offer the request to another dispatcher:
 * only one that says not run, for a reason that lies with that dispatcher.
 */
bool ent_rules_may_move(int err, enum fs_outcome outcome);

/** Whether such a move is to the next owner of the same shard. */
bool ent_rules_same_shard(int err);

#endif
