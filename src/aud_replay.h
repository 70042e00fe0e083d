/**
 * @file aud_replay.h
 * @brief Recomputes recorded decisions from the operators' text.
 *
 * aud_replay_check() judges one record: the rule must be of the record's kind,
 * all numbers of the rule and no others must be there, and the predicate of
 * the rule, the same function that decided, must hold for these numbers and
 * for the thresholds that the text gives.
 *
 * A whole log is judged line by line by struct aud_replay: besides each
 * record, the serials of a node must have no gaps, its configuration versions
 * must never go back, and the ejections and returns of a service must follow
 * by their epochs and keep its floor.
 */
#ifndef AUD_REPLAY_H
#define AUD_REPLAY_H

#include "aud.h"

/**
 * Parses a record.
 * @param json  a log line of the event "decision", or the record alone
 * @return 0, FS_E_NOT_FOUND for a line of another event, or FS_E_PROTOCOL
 */
int aud_record_parse(const char *json, struct aud_record *out);

/**
 * Recomputes one record.
 * @param cfg     the configuration of the record's version
 * @param reason  out: what does not follow, owned by the caller; else NULL
 * @return 0 or FS_E_AUDIT
 */
int aud_replay_check(const struct cfg *cfg, const struct aud_record *rec,
		     char **reason);

struct aud_replay;

/**
 * Starts to judge a log.
 * @param cfg  the configuration; records of other versions are judged by
 *             their numbers alone and counted (aud_replay_other_versions())
 */
struct aud_replay *aud_replay_new(const struct cfg *cfg);
void aud_replay_free(struct aud_replay *replay);

/**
 * Judges one line; lines of other events are passed over.
 * @param reason  out: what does not follow, owned by the caller; else NULL
 * @return 0, FS_E_AUDIT, or FS_E_PROTOCOL for a line that is no JSON
 */
int aud_replay_line(struct aud_replay *replay, const char *line, char **reason);

/** Judges what only the whole log can tell. @return 0 or FS_E_AUDIT */
int aud_replay_end(struct aud_replay *replay, char **reason);

/** Returns how many records were judged. */
uint64_t aud_replay_records(const struct aud_replay *replay);

/** Returns how many of them have another version than the configuration. */
uint64_t aud_replay_other_versions(const struct aud_replay *replay);

#endif
