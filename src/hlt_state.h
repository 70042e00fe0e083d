/**
 * @file hlt_state.h
 * @brief Internal state of the detector: evidence and health state of each
 * server.
 */
#ifndef HLT_STATE_H
#define HLT_STATE_H

#include "hlt.h"
#include "hlt_lat.h"
#include "hlt_params.h"
#include "hlt_window.h"

/** A request in flight at a server. */
struct hlt_inflight {
	uint32_t token;
	uint32_t band; /* latency band, by deadline */
	int64_t started_us;
	int64_t deadline_us;  /* left at the start */
	bool counted_overdue; /* already counted as a failure */
};

/** One server. */
struct hlt_server {
	char name[FS_NAME_MAX];
	/* Evidence */
	struct hlt_window window;
	GArray *inflight;	   /* struct hlt_inflight */
	uint32_t connect_failures; /* in a row */
	bool reachable;		   /* by the last probe */
	int64_t last_good_us;
	int64_t last_bad_us;
	uint32_t good_run; /* successes since the last failure */
	/* Health state by evidence alone */
	enum hlt_level evidence_level; /* up to HLT_TRIAL */
	enum aud_rule rule;	       /* that set the level */
	int64_t unhealthy_since_us;    /* start of the unhealthy period */
	uint32_t sick_bad;	       /* failures since then */
	uint32_t relapses;  /* recent unhealthy periods before this one */
	int64_t cleared_us; /* end of the last unhealthy period */
	bool has_cleared;
	/* State from the floor, the record and path checks */
	bool retained_for_floor; /* unhealthy, but kept in use for the floor */
	bool ejected;		 /* by the record */
	int64_t ejected_us;	 /* start of the ejection */
	uint32_t ejections;	 /* number of ejections in the record */
	int64_t ramp_us;	 /* start of its slow start */
	bool ramping;
	int64_t trial_next_us;	/* no trial before */
	int64_t path_until_us;	/* reached by others: no ejection until then */
	int64_t action_next_us; /* no action before */
	int64_t request_recorded_us; /* 0: none recorded yet */
	enum aud_rule
		refusal_recorded; /* last recorded reason against an ejection */
};

struct hlt_shard {
	const struct hlt_params *params;
	char service[FS_NAME_MAX];
	char region[FS_DOMAIN_MAX];
	uint64_t config_version;
	uint32_t slots;
	int64_t slow_start_us;
	/* Input of the floor */
	int64_t first;	      /* servers of the region before this shard's */
	int64_t region_count; /* not leaving */
	int64_t region_floor;
	int64_t region_ejected; /* ejected by the record */
	int64_t confirmed_us;	/* of the record */
	bool dependency_unhealthy;
	uint32_t token; /* of the last request */
	struct hlt_lat lat;
	uint32_t count;
	struct hlt_server servers[FS_SHARD_SERVERS_MAX];
};

/** Figures that a tick evaluates a server by. */
struct hlt_evidence {
	int64_t overdue;
	int64_t in_flight;
	int64_t quiet_us; /* since the last success */
	struct hlt_counts own;
	struct hlt_counts peers;
};

/** Returns whether a request has run longer than its overdue limit. */
bool hlt_is_overdue(const struct hlt_shard *shard,
		    const struct hlt_inflight *flight, int64_t now_us);

/** Counts requests that have become overdue as failures. */
void hlt_count_overdue(struct hlt_shard *shard, int64_t now_us);

/** Collects the evidence about server @p i. */
void hlt_collect_evidence(struct hlt_shard *shard, uint32_t i, int64_t now_us,
			  struct hlt_evidence *out);

/** Returns whether the rule means that the server answers nothing at all. */
static inline bool hlt_rule_is_hard(enum aud_rule rule)
{
	return rule == AUD_R_STEER_STALL || rule == AUD_R_STEER_CONNECT;
}

/** Returns how many servers are unhealthy by evidence or ejected. */
uint32_t hlt_unhealthy_count(const struct hlt_shard *shard);

/** Returns how many servers may be steered away from now. */
int64_t hlt_shard_headroom(const struct hlt_shard *shard);

/** Reinstates all ejected servers if the record has expired. */
void hlt_expire_record(struct hlt_shard *shard, int64_t now_us);

/** Initialises an audit record about server @p i. */
void hlt_record_begin(const struct hlt_shard *shard, uint32_t i,
		      enum aud_rule rule, const char *choice, int64_t now_us,
		      struct aud_record *out);

/** Adds the evidence behind a steering rule. */
void hlt_record_evidence(const struct hlt_server *server,
			 const struct hlt_evidence *evidence, int64_t now_us,
			 struct aud_record *rec);

/** Puts the least unhealthy servers back in use until the floor is met. */
void hlt_limit_steering(struct hlt_shard *shard, struct aud *aud,
			int64_t now_us);

#endif
