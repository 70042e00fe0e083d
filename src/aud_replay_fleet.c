/* Steering, ejection, configuration, leaving. */
#include <string.h>

#include "aud_replay_rules.h"
#include "cnf_store.h"
#include "ejc_impl.h"
#include "hlt_rules.h"

static const char *check_choice(const struct aud_case *c, const char *choice)
{
	return strcmp(c->rec->choice, choice) ?
		       "the choice is not that of the rule" :
		       NULL;
}

static bool is_hard(enum aud_rule rule)
{
	return rule == AUD_R_STEER_STALL || rule == AUD_R_STEER_CONNECT;
}

/* A suspect or trial: the rule must hold, and for a trial long enough. */
static const char *check_level(const struct aud_case *c, bool holds,
			       int64_t since_us)
{
	if (!c->params)
		return NULL;
	if (!holds)
		return "the numbers do not reach the thresholds of the text";
	if (!strcmp(c->rec->choice, "suspect"))
		return since_us == 0 ? NULL : "since_us is not 0";
	if (strcmp(c->rec->choice, "trial") != 0)
		return "the choice is not that of the rule";
	return hlt_rule_trial(c->params, is_hard(c->rec->rule), since_us) ?
		       NULL :
		       "since_us is too short for a trial";
}

static const char *check_stall(const struct aud_case *c)
{
	return check_level(c,
			   c->params && hlt_rule_stall(c->params, c->n[0],
						       c->n[1], c->n[2]),
			   c->n[3]);
}

static const char *check_errors(const struct aud_case *c)
{
	return check_level(c,
			   c->params &&
				   hlt_rule_errors(c->params, c->n[0], c->n[1],
						   c->n[2], c->n[3]),
			   c->n[4]);
}

static const char *check_slow(const struct aud_case *c)
{
	return check_level(c,
			   c->params &&
				   hlt_rule_slow(c->params, c->n[0], c->n[1],
						 c->n[2], c->n[3]),
			   c->n[4]);
}

static const char *check_steer_connect(const struct aud_case *c)
{
	return check_level(c, c->params && hlt_rule_connect(c->params, c->n[0]),
			   c->n[1]);
}

static const char *check_eject_asked(const struct aud_case *c)
{
	if (c->params && !hlt_rule_eject(c->params, c->n[0], c->n[1], c->n[2]))
		return "the numbers do not reach those of an ejection";
	return NULL;
}

static const char *check_clear(const struct aud_case *c)
{
	bool back = !strcmp(c->rec->choice, "return_asked");

	if (!back && check_choice(c, "fit"))
		return check_choice(c, "fit");
	if (!c->params)
		return NULL;
	if (back)
		return hlt_rule_reinstate(c->params, c->n[0], c->n[1],
					  c->n[2] + 1, c->n[3]) ?
			       NULL :
			       "too few good answers or too short a time";
	return hlt_rule_clear(c->params, c->n[0], c->n[1], c->n[2], c->n[3]) ?
		       NULL :
		       "too few good answers or too short a time";
}

/* Whether count and floor are those of the text for the server's region. */
static const char *check_floor_of_text(const struct aud_case *c, int64_t count,
				       int64_t floor)
{
	struct flr_scope scope = {.cfg = c->cfg};
	handle h;

	if (!c->cfg || !c->service)
		return NULL;
	h = cfg_find_server(c->cfg, c->rec->server);
	if (h == FS_NONE)
		return "the text has no such server";
	scope.service = c->cfg->servers[h].service;
	scope.region = c->cfg->domains[c->cfg->servers[h].domain].region;
	if (&c->cfg->services[scope.service] != c->service)
		return "the text has the server in another service";
	if (flr_count(&scope) != count)
		return "count is not that of the text";
	if (flr_floor(&scope) != floor)
		return "floor is not that of the text";
	return NULL;
}

static const char *check_steer_floor(const struct aud_case *c)
{
	int64_t room = hlt_steering_headroom(c->n[1], c->n[2], c->n[3], c->n[4],
					     c->n[5]);

	if (c->n[0] <= room)
		return "steered is within the shard's room";
	if (check_choice(c, "given_back"))
		return check_choice(c, "given_back");
	return check_floor_of_text(c, c->n[3], c->n[5]);
}

static const char *check_eject(const struct aud_case *c)
{
	int64_t judged = c->n[5];

	if (!flr_has_headroom(c->n[0], c->n[1], c->n[2]))
		return "count - out - 1 < floor: the floor is broken";
	if (judged < AUD_R_STEER_STALL || judged > AUD_R_STEER_CONNECT)
		return "judged is not a rule that calls a server sick";
	if (judged == AUD_R_STEER_CONNECT &&
	    ejc_rule_path(c->n[6], c->n[7], c->n[8]))
		return "a witness reached the server, or none answered";
	if (check_choice(c, "ejected"))
		return check_choice(c, "ejected");
	return check_floor_of_text(c, c->n[0], c->n[2]);
}

static const char *check_eject_floor(const struct aud_case *c)
{
	if (flr_has_headroom(c->n[0], c->n[1], c->n[2]))
		return "count - out - 1 >= floor: there was room";
	if (check_choice(c, "kept"))
		return check_choice(c, "kept");
	return check_floor_of_text(c, c->n[0], c->n[2]);
}

static const char *check_common(const struct aud_case *c)
{
	if (c->params && !hlt_rule_common_cause(c->params, c->n[0], c->n[1]))
		return "not most of the servers were sick";
	return check_choice(c, "kept");
}

static const char *check_dependency(const struct aud_case *c)
{
	if (c->n[0] != 1)
		return "dependency_sick is not 1";
	if (c->service && !c->service->depends_count)
		return "by the text the service depends on none";
	return check_choice(c, "kept");
}

static const char *check_path(const struct aud_case *c)
{
	if (!ejc_rule_path(c->n[0], c->n[1], c->n[2]) || c->n[2] > c->n[1] ||
	    c->n[1] > c->n[0])
		return "no witness reached the server";
	return check_choice(c, "kept");
}

static const char *check_platform(const struct aud_case *c)
{
	if (c->n[0] != FS_E_UNAVAILABLE)
		return "err does not say that the platform was away";
	return check_choice(c, "kept");
}

static const char *check_return(const struct aud_case *c)
{
	if (check_choice(c, "returned"))
		return check_choice(c, "returned");
	return check_floor_of_text(c, c->n[0], c->n[2]);
}

static const char *check_config(const struct aud_case *c)
{
	bool taken = c->rec->rule == AUD_R_CONFIG_TAKEN;

	for (int i = 0; i < 3; i++) {
		if (c->n[i] < 0)
			return "a number is negative";
	}
	if (c->rec->config_version != (uint64_t)c->n[0])
		return "the record's version is not the number";
	if (cnf_decide((uint64_t)c->n[0], (uint64_t)c->n[1],
		       (uint64_t)c->n[2]) != c->rec->rule)
		return "version, known and problems give another rule";
	return check_choice(c, taken ? "taken" : "refused");
}

static const char *check_nothing(const struct aud_case *c)
{
	return *c->rec->choice ? NULL : "the choice is missing";
}

#define ERROR_NUMBERS                                                \
	{                                                            \
		"bad", "good", "peers_bad", "peers_good", "since_us" \
	}
#define SLOW_NUMBERS                                                   \
	{                                                              \
		"slow", "good", "peers_slow", "peers_good", "since_us" \
	}
#define FLOOR_NUMBERS                                         \
	{                                                     \
		"count", "out", "floor", "epoch", "ejections" \
	}
#define EJECT_NUMBERS                                                    \
	{                                                                \
		"count", "out", "floor", "epoch", "ejections", "judged", \
			"witnesses", "told", "reached"                   \
	}
#define FLOOR_STEER_NUMBERS                                            \
	{                                                              \
		"steered", "first", "servers", "count", "out", "floor" \
	}

static const struct aud_replay_rule rows[AUD_RULE_COUNT] = {
	[AUD_R_STEER_STALL] = {{"overdue", "in_flight", "quiet_us", "since_us"},
			       {NULL},
			       check_stall},
	[AUD_R_STEER_ERRORS] = {ERROR_NUMBERS, {NULL}, check_errors},
	[AUD_R_STEER_SLOW] = {SLOW_NUMBERS, {NULL}, check_slow},
	[AUD_R_STEER_CONNECT] = {{"failures", "since_us"},
				 {NULL},
				 check_steer_connect},
	[AUD_R_STEER_CLEAR] = {{"good_run", "quiet_us", "relapses",
				"reachable"},
			       {NULL},
			       check_clear},
	[AUD_R_STEER_FLOOR] = {FLOOR_STEER_NUMBERS, {NULL}, check_steer_floor},
	[AUD_R_EJECT] = {EJECT_NUMBERS, {NULL}, check_eject},
	[AUD_R_EJECT_FLOOR] = {FLOOR_NUMBERS, {NULL}, check_eject_floor},
	[AUD_R_EJECT_COMMON] = {{"sick", "count"}, {NULL}, check_common},
	[AUD_R_EJECT_DEPENDENCY] = {{"dependency_sick"},
				    {NULL},
				    check_dependency},
	[AUD_R_EJECT_PATH] = {{"witnesses", "told", "reached"},
			      {NULL},
			      check_path},
	[AUD_R_EJECT_PLATFORM] = {{"err"}, {NULL}, check_platform},
	[AUD_R_RETURN] = {FLOOR_NUMBERS, {NULL}, check_return},
	[AUD_R_SHARD_TAKEN] = {{NULL}, {NULL}, check_nothing},
	[AUD_R_SHARD_GIVEN] = {{NULL}, {NULL}, check_nothing},
	[AUD_R_CONFIG_TAKEN] = {{"version", "known", "problems"},
				{NULL},
				check_config},
	[AUD_R_CONFIG_OLD] = {{"version", "known", "problems"},
			      {NULL},
			      check_config},
	[AUD_R_CONFIG_BAD] = {{"version", "known", "problems"},
			      {NULL},
			      check_config},
	[AUD_R_DRAIN_NODE] = {{NULL}, {NULL}, check_nothing},
	[AUD_R_DRAIN_TARGET] = {{NULL}, {NULL}, check_nothing},
};

static const struct aud_replay_rule eject_asked = {
	{"since_us", "sick_bad", "last_bad_us"},
	{NULL},
	check_eject_asked,
};

const struct aud_replay_rule *aud_replay_fleet_rule(const struct aud_record *r)
{
	if (r->rule >= AUD_R_STEER_STALL && r->rule <= AUD_R_STEER_CONNECT &&
	    !strcmp(r->choice, "eject_asked"))
		return &eject_asked;
	return rows[r->rule].check ? &rows[r->rule] : NULL;
}
