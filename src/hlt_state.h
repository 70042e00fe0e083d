/**
 * @file hlt_state.h
 * @brief Inside of the judge: evidence and judgement of each server.
 */
#ifndef HLT_STATE_H
#define HLT_STATE_H

#include "hlt.h"
#include "hlt_lat.h"
#include "hlt_params.h"
#include "hlt_window.h"

/** A request that a server has. */
struct hlt_inflight {
	uint32_t token;
	uint32_t band; /* of its deadline */
	int64_t started_us;
	int64_t deadline_us;  /* left at the start */
	bool counted_overdue; /* as a bad outcome */
};

/** One server. */
struct hlt_server {
	char name[FS_NAME_MAX];
	/* Evidence */
	struct hlt_window window;
	GArray *flights;	   /* struct hlt_inflight */
	uint32_t connect_failures; /* in a row */
	bool reachable;		   /* by the last probe */
	int64_t last_good_us;
	int64_t last_bad_us;
	uint32_t good_run; /* good answers since the last bad outcome */
	/* Judgement by evidence alone */
	enum hlt_level judged; /* up to HLT_TRIAL */
	enum aud_rule rule;    /* that judged it */
	int64_t sick_us;       /* since when it is not fit */
	uint32_t sick_bad;     /* bad outcomes since */
	uint32_t relapses;     /* times it was sick of late, before this one */
	int64_t cleared_us;    /* end of the last time */
	bool has_cleared;
	/* What else bears on it */
	bool given_back;    /* steered away from no more, for the floor */
	bool ejected;	    /* by the record */
	int64_t ejected_us; /* since when */
	uint32_t ejections; /* by the record */
	int64_t ramp_us;    /* start of its slow start */
	bool ramping;
	int64_t trial_next_us; /* no trial before */
	int64_t path_until_us; /* others reach it: not ejected until */
	int64_t ask_next_us;   /* no action before */
	int64_t told_us;       /* an ask was recorded last; 0: none */
	enum aud_rule refused; /* why it was not ejected, as recorded last */
};

struct hlt_shard {
	const struct hlt_params *params;
	char service[FS_NAME_MAX];
	char region[FS_DOMAIN_MAX];
	uint64_t config_version;
	uint32_t slots;
	int64_t slow_start_us;
	/* Numbers for the floor */
	int64_t first;	      /* servers of the region before this shard's */
	int64_t region_count; /* not leaving */
	int64_t region_floor;
	int64_t region_out;   /* ejected by the record */
	int64_t confirmed_us; /* of the record */
	bool dependency_sick;
	uint32_t token; /* of the last request */
	struct hlt_lat lat;
	uint32_t count;
	struct hlt_server servers[FS_SHARD_SERVERS_MAX];
};

/** Numbers that a tick judges a server from. */
struct hlt_evidence {
	int64_t overdue;
	int64_t in_flight;
	int64_t quiet_us; /* since the last good answer */
	struct hlt_counts own;
	struct hlt_counts peers;
};

/** Returns whether a request has been running for too long. */
bool hlt_is_overdue(const struct hlt_shard *shard,
		    const struct hlt_inflight *flight, int64_t now_us);

/** Counts requests that have become overdue as bad outcomes. */
void hlt_count_overdue(struct hlt_shard *shard, int64_t now_us);

/** Gathers the numbers of server @p i. */
void hlt_collect_evidence(struct hlt_shard *shard, uint32_t i, int64_t now_us,
			  struct hlt_evidence *out);

/** Returns whether the rule says that nothing is answered at all. */
static inline bool hlt_rule_is_hard(enum aud_rule rule)
{
	return rule == AUD_R_STEER_STALL || rule == AUD_R_STEER_CONNECT;
}

/** Returns how many servers are sick by evidence or ejected. */
uint32_t hlt_unhealthy_count(const struct hlt_shard *shard);

/** Returns how many servers may be steered away from now. */
int64_t hlt_shard_headroom(const struct hlt_shard *shard);

/** Gives all ejected servers back if the record has lapsed. */
void hlt_expire_record(struct hlt_shard *shard, int64_t now_us);

/** Starts a record about server @p i. */
void hlt_record_begin(const struct hlt_shard *shard, uint32_t i,
		      enum aud_rule rule, const char *choice, int64_t now_us,
		      struct aud_record *out);

/** Adds the numbers of a steering rule. */
void hlt_record_evidence(const struct hlt_server *server,
			 const struct hlt_evidence *evidence, int64_t now_us,
			 struct aud_record *rec);

/** Gives back the least bad servers while the floor asks for it. */
void hlt_limit_steering(struct hlt_shard *shard, struct aud *aud,
			int64_t now_us);

#endif
