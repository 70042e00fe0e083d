/**
 * @file hlt.h
 * @brief Health evaluation of the servers of one shard from request outcomes.
 *
 * A dispatcher reports the start and the end of every exchange; hlt_tick()
 * derives from that how much work each server may get. All functions are pure
 * apart from the object they are given: the present time is an argument, and
 * nothing is read or sent. Probes only show whether a server can be reached;
 * they never make it unhealthy on their own.
 *
 * Levels: a healthy server gets any work. A suspected one gets no request that
 * must not be retried, and fewer of the others. A server on trial gets single
 * requests that may be retried, one at a time and spaced out. An ejected one
 * gets trials at longer intervals, and only as granted by the service's record
 * (flr.h).
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
	HLT_SUCCESS,	    /* a complete answer that is not a server error */
	HLT_SERVER_ERROR,   /* status 500 or above, except for refusals */
	HLT_REFUSED,	    /* shed by the server: overloaded, not unhealthy */
	HLT_CONNECT_FAILED, /* refused, unreachable or no handshake in time */
	HLT_TIMED_OUT,	    /* no complete answer within the deadline */
	HLT_RESET, /* the connection broke before the complete answer */
	HLT_INVALID_ANSWER, /* truncated or malformed */
	HLT_CANCELLED,	    /* caller disconnected; evidence by running time */
};

/** The end of one exchange. */
struct hlt_end {
	enum hlt_result result;
	int64_t took_us;	/* from start to first byte, or to the end */
	bool reused_connection; /* a failure may be due to it alone */
};

/** What hlt_tick() requests from the dispatcher. */
enum hlt_action {
	HLT_ACT_NONE,
	HLT_ACT_REQUEST_EJECTION, /* request an ejection (after a path check) */
	HLT_ACT_REQUEST_REINSTATEMENT, /* request a reinstatement */
};

struct hlt_shard;

/**
 * Creates the detector of one shard; all servers start healthy.
 * @param service  selects the thresholds; strings and values are copied
 * @param servers  handles of the shard's servers, in order
 */
struct hlt_shard *hlt_shard_new(const struct cfg *cfg, handle service,
				const handle *servers, uint32_t count,
				int64_t now_us);
void hlt_shard_free(struct hlt_shard *shard);

/** Copies the state of @p old to a shard of a newer configuration. */
void hlt_shard_copy_state(struct hlt_shard *shard, const struct cfg *cfg,
			  const struct hlt_shard *old,
			  const struct cfg *old_cfg);

/**
 * Records that a request with @p deadline_us left was sent to server @p i.
 * @return a token for hlt_request_finished()
 */
uint32_t hlt_request_started(struct hlt_shard *shard, uint32_t i,
			     int64_t deadline_us, int64_t now_us);

/** Records the end of the exchange @p token on server @p i. */
void hlt_request_finished(struct hlt_shard *shard, uint32_t i, uint32_t token,
			  const struct hlt_end *end, int64_t now_us);

/** Records the result of a probe of server @p i. */
void hlt_probe_finished(struct hlt_shard *shard, uint32_t i, bool reachable,
			int64_t now_us);

/** Sets whether the confirmed record of the service ejects server @p i. */
void hlt_set_ejected(struct hlt_shard *shard, uint32_t i, bool ejected,
		     int64_t now_us);

/**
 * Applies the service's record (MSG_RECORD): ejects and reinstates the shard's
 * servers and stores their numbers of ejections. The record expires by itself
 * FS_RECORD_LAPSE_US after @p confirmed_us. Call it for every shard of the
 * service; it replaces hlt_set_ejected().
 * @param record  NULL: expired, nothing is ejected
 */
void hlt_set_record(struct hlt_shard *shard, const struct cfg *cfg,
		    const struct flr_record *record, int64_t confirmed_us,
		    int64_t now_us);

/** Sets whether another failure domain reaches server @p i. */
void hlt_set_reached_by_others(struct hlt_shard *shard, uint32_t i,
			       bool others_reach, int64_t now_us);

/** Sets whether a service that this one depends on is unhealthy. */
void hlt_set_dependency_unhealthy(struct hlt_shard *shard, bool unhealthy);

/** Returns the level of server @p i as of the last tick or report. */
enum hlt_level hlt_level(const struct hlt_shard *shard, uint32_t i);

/**
 * Returns whether server @p i is unhealthy by its evidence and stays in use
 * for the floor alone: it gets work only when no other server has capacity.
 */
bool hlt_retained_for_floor(const struct hlt_shard *shard, uint32_t i);

/**
 * Returns how many requests server @p i may have in flight now, from 0 to its
 * slots: fewer while it is suspected or in slow start.
 * @param repeatable  the request may be retried
 */
uint32_t hlt_concurrency_limit(const struct hlt_shard *shard, uint32_t i,
			       bool repeatable, int64_t now_us);

/**
 * Evaluates all servers; call it every 100 ms and after failures.
 * @param aud      steering decisions are recorded here; NULL: not recorded
 * @param actions  out: one per server of the shard
 * @param rules    out: the rule behind each action
 */
void hlt_tick(struct hlt_shard *shard, struct aud *aud, int64_t now_us,
	      enum hlt_action *actions, enum aud_rule *rules);

/** Returns whether most of the shard's servers are unhealthy now. */
bool hlt_shard_unhealthy(const struct hlt_shard *shard);

#endif
