/**
 * @file aud_rules.h
 * @brief The closed list of rules by which the fleet decides.
 *
 * One line per rule: its identifier, its stable name in records, the kind of
 * its choices, and one sentence for people. The numbers each rule needs are
 * named in docs/OPERATING.md and checked by aud_replay.c.
 */
#ifndef AUD_RULES_H
#define AUD_RULES_H

#define AUD_RULES(X)                                                           \
	/* Refusals: numbers "err" and those of the rule */                    \
	X(AUD_R_REQUEST, "request_not_acceptable", AUD_REFUSAL,                \
	  "the request is malformed, has no route, or passes a limit")         \
	X(AUD_R_NOT_READY, "node_not_ready", AUD_REFUSAL,                      \
	  "the node has no configuration in force")                            \
	X(AUD_R_QUEUE_FULL, "queue_full", AUD_REFUSAL,                         \
	  "waiting >= queue: as many requests wait as the text allows")        \
	X(AUD_R_WAIT_TOO_LONG, "wait_too_long", AUD_REFUSAL,                   \
	  "expected_wait_us >= remaining_us: it would wait past its deadline") \
	X(AUD_R_DEADLINE_QUEUED, "deadline_queued", AUD_REFUSAL,               \
	  "remaining_us <= 0 while the request still waited")                  \
	X(AUD_R_SHED, "shed", AUD_REFUSAL,                                     \
	  "queue full, and a request of higher priority came")                 \
	X(AUD_R_NO_TARGET, "no_target", AUD_REFUSAL,                           \
	  "usable == 0: no server may take this request")                      \
	X(AUD_R_CONNECT, "connect_failed", AUD_REFUSAL,                        \
	  "written == 0: the connection failed before any byte was written")   \
	X(AUD_R_KEY, "idempotency_key", AUD_REFUSAL,                           \
	  "an earlier request with this key runs, ran or may have run")        \
	X(AUD_R_OUTCOME_UNKNOWN, "outcome_unknown", AUD_REFUSAL,               \
	  "written == 1 or cancel_confirmed == 0: it may have run")            \
	X(AUD_R_CANCEL_CONFIRMED, "cancel_confirmed", AUD_REFUSAL,             \
	  "the dispatcher confirmed that the request never left its queue")    \
	X(AUD_R_NO_DISPATCHER, "no_dispatcher", AUD_REFUSAL,                   \
	  "reachable == 0: no live dispatcher of the shard took it")           \
	X(AUD_R_NOT_OWNER, "not_owner", AUD_REFUSAL,                           \
	  "another live node dispatches the shard")                            \
	X(AUD_R_SERVICE_LEAVING, "service_leaving", AUD_REFUSAL,               \
	  "the text takes the service out of use")                             \
	X(AUD_R_TARGET_REFUSED, "target_refused", AUD_REFUSAL,                 \
	  "the text says that this status of the target means not run")        \
	/* Retries */                                                          \
	X(AUD_R_RETRY, "retry", AUD_RETRY,                                     \
	  "repeatable, tries < tries_max, budget_milli >= 1000, "              \
	  "remaining_us > 0, another server usable")                           \
	X(AUD_R_NO_RETRY, "no_retry", AUD_RETRY,                               \
	  "one of the conditions of a retry does not hold")                    \
	/* Steering, by a dispatcher alone */                                  \
	X(AUD_R_STEER_STALL, "steer_stall", AUD_STEER,                         \
	  "requests in flight are overdue")                                    \
	X(AUD_R_STEER_ERRORS, "steer_errors", AUD_STEER,                       \
	  "the share of errors in the window passes the threshold")            \
	X(AUD_R_STEER_SLOW, "steer_slow", AUD_STEER,                           \
	  "answers are slower than the service's own distribution")            \
	X(AUD_R_STEER_CONNECT, "steer_connect", AUD_STEER,                     \
	  "consecutive failures to connect pass the threshold")                \
	X(AUD_R_STEER_CLEAR, "steer_clear", AUD_STEER,                         \
	  "enough good answers since, over a long enough time")                \
	X(AUD_R_STEER_FLOOR, "steer_floor", AUD_STEER,                         \
	  "less steering, so that the shard keeps its share of the floor")     \
	/* Ejection and return, one record per service */                      \
	X(AUD_R_EJECT, "eject", AUD_EJECT,                                     \
	  "sick by a steering rule for long enough, reachable from another "   \
	  "domain or not at all, and count - out - 1 >= floor")                \
	X(AUD_R_EJECT_FLOOR, "eject_refused_floor", AUD_EJECT,                 \
	  "count - out - 1 < floor: nothing more may be ejected")              \
	X(AUD_R_EJECT_COMMON, "eject_refused_common_cause", AUD_EJECT,         \
	  "most servers of the service went bad together")                     \
	X(AUD_R_EJECT_DEPENDENCY, "eject_refused_dependency", AUD_EJECT,       \
	  "a service that this one depends on is sick")                        \
	X(AUD_R_EJECT_PATH, "eject_refused_path", AUD_EJECT,                   \
	  "other failure domains reach the server: the path is at fault")      \
	X(AUD_R_EJECT_PLATFORM, "eject_refused_platform", AUD_EJECT,           \
	  "the platform is away: the last record stands")                      \
	X(AUD_R_RETURN, "return", AUD_RETURN,                                  \
	  "good trials for as long as the hysteresis asks")                    \
	/* Shards, configuration, leaving */                                   \
	X(AUD_R_SHARD_TAKEN, "shard_taken", AUD_SHARD,                         \
	  "this node is the first choice of the shard now")                    \
	X(AUD_R_SHARD_GIVEN, "shard_given", AUD_SHARD,                         \
	  "another node is the first choice of the shard now")                 \
	X(AUD_R_CONFIG_TAKEN, "config_taken", AUD_CONFIG,                      \
	  "version > known and the text passes all checks")                    \
	X(AUD_R_CONFIG_OLD, "config_refused_old", AUD_CONFIG,                  \
	  "version <= known")                                                  \
	X(AUD_R_CONFIG_BAD, "config_refused_text", AUD_CONFIG,                 \
	  "problems > 0: the text does not pass the checks")                   \
	X(AUD_R_DRAIN_NODE, "drain_node", AUD_DRAIN,                           \
	  "a planned stop of this node was asked for")                         \
	X(AUD_R_DRAIN_TARGET, "drain_target", AUD_DRAIN,                       \
	  "the VM list, the target or the text says that it is leaving")

#define AUD_RULE_ID(id, name, kind, text) id,
/** Rules; see AUD_RULES for what each one says. */
enum aud_rule {
	AUD_RULES(AUD_RULE_ID) AUD_RULE_COUNT
};
#undef AUD_RULE_ID

/** Returns the stable name of a rule. */
const char *aud_rule_name(enum aud_rule rule);

/** Returns the sentence for people of a rule. */
const char *aud_rule_text(enum aud_rule rule);

/** Returns the rule called @p name, or AUD_RULE_COUNT. */
enum aud_rule aud_rule_by_name(const char *name);

#endif
