/**
 * @file hlt.h
 * @brief Judges the servers of one shard from real work.
 *
 * A dispatcher reports the start and the end of every exchange; hlt_tick()
 * judges from that what each server may be given. All functions are pure
 * apart from the object they are given: the present time is an argument, and
 * nothing is read or sent. Probes only tell that a server can be reached; they
 * never make it sick on their own.
 *
 * Levels: a fit server takes any work. A suspect one takes no request that may
 * not be repeated, and less of the others. A server on trial takes single
 * requests that may be repeated, one at a time and spaced out. An ejected one
 * takes trials at longer intervals, and only as granted by the service's
 * record (flr.h).
 */
#ifndef HLT_H
#define HLT_H

#include "aud.h"
#include "cfg.h"
#include "flr.h"
#include "fs_types.h"

enum hlt_level {
	HLT_HEALTHY,
	HLT_SUSPECTED,
	HLT_TRIAL,
	HLT_EJECTED,
};

/** How one exchange with a server ended. */
enum hlt_result {
	HLT_SUCCESS,	    /* a whole answer that is not a server error */
	HLT_SERVER_ERROR,   /* status 500 or above, but for refusals */
	HLT_REFUSED,	    /* the target shed the request: busy, not sick */
	HLT_CONNECT_FAILED, /* refused, unreachable or no handshake in time */
	HLT_TIMED_OUT,	    /* no whole answer within the deadline */
	HLT_RESET,	    /* the connection broke before the whole answer */
	HLT_INVALID_ANSWER, /* truncated or malformed */
	HLT_CANCELLED,	    /* the caller went away: says nothing, except
			      * how long it had been running */
};

/** The end of one exchange. */
struct hlt_end {
	enum hlt_result result;
	int64_t took_us;	/* from start to first byte, or to the end */
	bool reused_connection; /* failures are first charged to those */
};

/** What hlt_tick() asks the dispatcher to do. */
enum hlt_action {
	HLT_ACT_NONE,
	HLT_ACT_REQUEST_EJECTION, /* ask for an ejection (after a path check) */
	HLT_ACT_REQUEST_REINSTATEMENT, /* ask for a return */
};

struct hlt_shard;

/**
 * Makes the judge of one shard; all servers are fit.
 * @param service  decides the thresholds; kept values are copied
 * @param servers  handles of the shard's servers, in order
 */
struct hlt_shard *hlt_shard_new(const struct cfg *cfg, handle service,
				const handle *servers, uint32_t count,
				int64_t now_us);
void hlt_shard_free(struct hlt_shard *shard);

/** Carries what is known over to a shard of a newer configuration. */
void hlt_shard_copy_state(struct hlt_shard *shard, const struct cfg *cfg,
			  const struct hlt_shard *old,
			  const struct cfg *old_cfg);

/** Server @p i of the shard was given a request with @p deadline_us left.
 *  @return a token for hlt_request_finished() */
uint32_t hlt_request_started(struct hlt_shard *shard, uint32_t i,
			     int64_t deadline_us, int64_t now_us);

/** The exchange named by @p token on server @p i has ended. */
void hlt_request_finished(struct hlt_shard *shard, uint32_t i, uint32_t token,
			  const struct hlt_end *end, int64_t now_us);

/** A probe of server @p i ended. */
void hlt_probe_finished(struct hlt_shard *shard, uint32_t i, bool reachable,
			int64_t now_us);

/** The service's record, as confirmed, ejects server @p i, or does not. */
void hlt_set_ejected(struct hlt_shard *shard, uint32_t i, bool ejected,
		     int64_t now_us);

/**
 * The service's record has come or lapsed (MSG_RECORD): ejects and gives back
 * the shard's servers by it, keeps their numbers of ejections, and lapses by
 * itself FS_RECORD_LAPSE_US after @p confirmed_us. Call it for every shard of
 * the service; it takes the place of hlt_set_ejected().
 * @param record  NULL: lapsed, nothing is ejected
 */
void hlt_set_record(struct hlt_shard *shard, const struct cfg *cfg,
		    const struct flr_record *record, int64_t confirmed_us,
		    int64_t now_us);

/** Another failure domain reaches server @p i, or does not. */
void hlt_set_reached_by_others(struct hlt_shard *shard, uint32_t i,
			       bool others_reach, int64_t now_us);

/** A service this one depends on is sick, or is not any more. */
void hlt_set_dependency_unhealthy(struct hlt_shard *shard, bool sick);

/** Returns the level of server @p i as of the last tick or report. */
enum hlt_level hlt_level(const struct hlt_shard *shard, uint32_t i);

/** Returns whether server @p i looks sick and is kept in use for the floor
 *  alone: it is given work only when no other has room. */
bool hlt_retained_for_floor(const struct hlt_shard *shard, uint32_t i);

/**
 * Returns how many requests server @p i may have in flight now, from 0 to its
 * slots: fewer while suspect or in slow start.
 * @param repeatable  the request may be repeated
 */
uint32_t hlt_concurrency_limit(const struct hlt_shard *shard, uint32_t i,
			       bool repeatable, int64_t now_us);

/**
 * Judges all servers; call every 100 ms and after failures.
 * @param aud      steering decisions are recorded here; NULL: not recorded
 * @param actions  out: one per server of the shard
 * @param rules    out: the rule behind each action
 */
void hlt_tick(struct hlt_shard *shard, struct aud *aud, int64_t now_us,
	      enum hlt_action *actions, enum aud_rule *rules);

/** Returns whether most of the shard's servers are sick now. */
bool hlt_shard_unhealthy(const struct hlt_shard *shard);

#endif
