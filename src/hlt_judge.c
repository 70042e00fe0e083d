#include "hlt_rules.h"
#include "hlt_state.h"

#define ASK_SPACING_US (2 * FS_US_PER_S)   /* between two asks for a server */
#define TELL_SPACING_US (60 * FS_US_PER_S) /* between two records of it */

uint32_t hlt_unhealthy_count(const struct hlt_shard *shard)
{
	uint32_t sick = 0;

	for (uint32_t i = 0; i < shard->count; i++)
		sick += shard->servers[i].ejected ||
			shard->servers[i].judged != HLT_HEALTHY;
	return sick;
}

bool hlt_shard_unhealthy(const struct hlt_shard *shard)
{
	return hlt_rule_common_cause(shard->params, hlt_unhealthy_count(shard),
				     shard->count);
}

/* The first rule that calls the server sick, or AUD_RULE_COUNT. */
static enum aud_rule find_rule(const struct hlt_params *p,
			       const struct hlt_server *server,
			       const struct hlt_evidence *e)
{
	if (hlt_rule_connect(p, server->connect_failures))
		return AUD_R_STEER_CONNECT;
	if (hlt_rule_stall(p, e->overdue, e->in_flight, e->quiet_us))
		return AUD_R_STEER_STALL;
	if (hlt_rule_errors(p, e->own.bad, e->own.good, e->peers.bad,
			    e->peers.good))
		return AUD_R_STEER_ERRORS;
	if (hlt_rule_slow(p, e->own.slow, e->own.good, e->peers.slow,
			  e->peers.good))
		return AUD_R_STEER_SLOW;
	return AUD_RULE_COUNT;
}

static void record_steer(const struct hlt_shard *shard, uint32_t i,
			 const char *choice, const struct hlt_evidence *e,
			 struct aud *aud, int64_t now_us)
{
	struct aud_record rec;

	if (!aud)
		return;
	hlt_record_begin(shard, i, shard->servers[i].rule, choice, now_us,
			 &rec);
	hlt_record_evidence(&shard->servers[i], e, now_us, &rec);
	aud_emit(aud, &rec);
}

static void become_suspect(struct hlt_shard *shard, uint32_t i,
			   enum aud_rule rule, const struct hlt_evidence *e,
			   struct aud *aud, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	bool relapse = server->has_cleared &&
		       now_us - server->cleared_us < shard->params->relapse_us;

	server->judged = HLT_SUSPECTED;
	server->rule = rule;
	server->sick_us = now_us;
	server->sick_bad = e->own.bad;
	server->good_run = 0;
	server->relapses = relapse ? server->relapses + 1 : 0;
	server->refused = AUD_RULE_COUNT;
	server->told_us = 0;
	record_steer(shard, i, "suspect", e, aud, now_us);
}

/* Ejections count as well, since a new dispatcher knows only those. */
static int64_t relapses_of(const struct hlt_server *server)
{
	return MAX((int64_t)server->relapses, (int64_t)server->ejections - 1);
}

static void become_fit(struct hlt_shard *shard, uint32_t i, struct aud *aud,
		       int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	struct aud_record rec;

	if (aud) {
		hlt_record_begin(shard, i, AUD_R_STEER_CLEAR, "fit", now_us,
				 &rec);
		aud_add(&rec, "good_run", server->good_run);
		aud_add(&rec, "quiet_us", now_us - server->last_bad_us);
		aud_add(&rec, "relapses", relapses_of(server));
		aud_add(&rec, "reachable", server->reachable);
		aud_emit(aud, &rec);
	}
	server->judged = HLT_HEALTHY;
	server->rule = AUD_RULE_COUNT;
	server->cleared_us = now_us;
	server->has_cleared = true;
	server->ramping = true;
	server->ramp_us = now_us;
	hlt_window_init(&server->window, shard->params->window_us, now_us);
}

static void judge(struct hlt_shard *shard, uint32_t i, struct aud *aud,
		  int64_t now_us)
{
	const struct hlt_params *p = shard->params;
	struct hlt_server *server = &shard->servers[i];
	struct hlt_evidence e;
	enum aud_rule rule;

	hlt_collect_evidence(shard, i, now_us, &e);
	rule = find_rule(p, server, &e);
	if (server->judged == HLT_HEALTHY) {
		if (rule != AUD_RULE_COUNT)
			become_suspect(shard, i, rule, &e, aud, now_us);
		return;
	}
	if (hlt_rule_clear(p, server->good_run, now_us - server->last_bad_us,
			   relapses_of(server), server->reachable) &&
	    !server->ejected && !e.overdue) {
		become_fit(shard, i, aud, now_us);
		return;
	}
	if (server->judged != HLT_SUSPECTED || rule == AUD_RULE_COUNT ||
	    !hlt_rule_trial(p, hlt_rule_is_hard(rule),
			    now_us - server->sick_us))
		return;
	server->judged = HLT_TRIAL;
	server->rule = rule;
	record_steer(shard, i, "trial", &e, aud, now_us);
}

/* Records once why a server is not ejected though its evidence asks for it. */
static void record_refused(struct hlt_shard *shard, uint32_t i,
			   enum aud_rule rule, struct aud *aud, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	struct aud_record rec;

	if (server->refused == rule || !aud)
		return;
	server->refused = rule;
	hlt_record_begin(shard, i, rule, "kept", now_us, &rec);
	if (rule == AUD_R_EJECT_DEPENDENCY) {
		aud_add(&rec, "dependency_sick", 1);
	} else {
		aud_add(&rec, "sick", hlt_unhealthy_count(shard));
		aud_add(&rec, "count", shard->count);
	}
	aud_emit(aud, &rec);
}

static bool may_ask_eject(struct hlt_shard *shard, uint32_t i, struct aud *aud,
			  int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];

	if (server->judged != HLT_TRIAL ||
	    !hlt_rule_eject(shard->params, now_us - server->sick_us,
			    server->sick_bad, now_us - server->last_bad_us))
		return false;
	if (shard->dependency_sick) {
		record_refused(shard, i, AUD_R_EJECT_DEPENDENCY, aud, now_us);
		return false;
	}
	if (hlt_shard_unhealthy(shard)) {
		record_refused(shard, i, AUD_R_EJECT_COMMON, aud, now_us);
		return false;
	}
	return now_us >= server->path_until_us;
}

/* Records what an ask is based on; its outcome is the eject task's record. */
static void record_ask(struct hlt_shard *shard, uint32_t i,
		       enum hlt_action action, struct aud *aud, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	int64_t from_us = MAX(server->last_bad_us, server->ejected_us);
	struct aud_record rec;

	if (!aud ||
	    (server->told_us && now_us - server->told_us < TELL_SPACING_US))
		return;
	server->told_us = now_us;
	if (action == HLT_ACT_REQUEST_EJECTION) {
		hlt_record_begin(shard, i, server->rule, "eject_asked", now_us,
				 &rec);
		aud_add(&rec, "since_us", now_us - server->sick_us);
		aud_add(&rec, "sick_bad", server->sick_bad);
		aud_add(&rec, "last_bad_us", now_us - server->last_bad_us);
	} else {
		hlt_record_begin(shard, i, AUD_R_STEER_CLEAR, "return_asked",
				 now_us, &rec);
		aud_add(&rec, "good_run", server->good_run);
		aud_add(&rec, "quiet_us", now_us - from_us);
		aud_add(&rec, "relapses", (int64_t)server->ejections - 1);
		aud_add(&rec, "reachable", server->reachable);
	}
	aud_emit(aud, &rec);
}

static enum hlt_action choose_action(struct hlt_shard *shard, uint32_t i,
				     struct aud *aud, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	enum hlt_action action = HLT_ACT_NONE;

	if (server->ejected) {
		int64_t from_us = MAX(server->last_bad_us, server->ejected_us);

		if (hlt_rule_reinstate(shard->params, server->good_run,
				       now_us - from_us, server->ejections,
				       server->reachable))
			action = HLT_ACT_REQUEST_REINSTATEMENT;
	} else if (may_ask_eject(shard, i, aud, now_us)) {
		action = HLT_ACT_REQUEST_EJECTION;
	}
	if (action == HLT_ACT_NONE || now_us < server->ask_next_us)
		return HLT_ACT_NONE;
	server->ask_next_us = now_us + ASK_SPACING_US;
	record_ask(shard, i, action, aud, now_us);
	return action;
}

void hlt_tick(struct hlt_shard *shard, struct aud *aud, int64_t now_us,
	      enum hlt_action *actions, enum aud_rule *rules)
{
	hlt_expire_record(shard, now_us);
	hlt_lat_update(&shard->lat, now_us);
	hlt_count_overdue(shard, now_us);
	for (uint32_t i = 0; i < shard->count; i++)
		judge(shard, i, aud, now_us);
	hlt_limit_steering(shard, aud, now_us);
	for (uint32_t i = 0; i < shard->count; i++) {
		rules[i] = shard->servers[i].rule;
		actions[i] = choose_action(shard, i, aud, now_us);
	}
}
