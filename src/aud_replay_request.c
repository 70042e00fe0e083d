/* Refusals and retries. */
#include <string.h>

#include "aud_replay_rules.h"
#include "rty.h"
#include "slt.h"

static int64_t optional(const struct aud_case *c, const char *name,
			int64_t missing)
{
	int64_t value = missing;

	aud_number_of(c->rec, name, &value);
	return value;
}

/* Which error numbers a rule may give. */
static bool err_fits(enum aud_rule rule, int64_t err)
{
	switch (rule) {
	case AUD_R_REQUEST:
		return (err <= FS_E_BAD_REQUEST &&
			err >= FS_E_HEADERS_TOO_LARGE) ||
		       err == FS_E_ENTRY_FULL;
	case AUD_R_NOT_READY:
		return err == FS_E_NOT_READY;
	case AUD_R_NO_DISPATCHER:
		return err == FS_E_NO_DISPATCHER;
	case AUD_R_SERVICE_LEAVING:
		return err == FS_E_SERVICE_LEAVING;
	case AUD_R_NOT_OWNER:
		return err == FS_E_NOT_OWNER;
	case AUD_R_QUEUE_FULL:
		return err == FS_E_QUEUE_FULL;
	case AUD_R_WAIT_TOO_LONG:
		return err == FS_E_WAIT_TOO_LONG;
	case AUD_R_DEADLINE_QUEUED:
		return err == FS_E_DEADLINE_QUEUED;
	case AUD_R_NO_TARGET:
		return err == FS_E_NO_TARGET;
	case AUD_R_CONNECT:
		return err == FS_E_CONNECT;
	case AUD_R_KEY:
		return err == FS_E_KEY_IN_FLIGHT || err == FS_E_KEY_SPENT;
	case AUD_R_SHED:
		return err == FS_E_SHED;
	case AUD_R_TARGET_REFUSED:
		return err == FS_E_TARGET_REFUSED;
	default:
		return true;
	}
}

static const char *check_err(const struct aud_case *c)
{
	if (!err_fits(c->rec->rule, c->n[0]))
		return "the error number is not one of this rule";
	if (strcmp(c->rec->choice, fs_err_name((int)c->n[0])) != 0)
		return "the choice is not the error's name";
	return NULL;
}

static const char *check_request(const struct aud_case *c)
{
	if (optional(c, "size", 1) < optional(c, "limit", 0))
		return "size < limit";
	return check_err(c);
}

static const char *check_not_ready(const struct aud_case *c)
{
	return optional(c, "ready", 0) ? "ready is not 0" : check_err(c);
}

static const char *check_queue(const struct aud_case *c)
{
	if (!slt_queue_full(c->n[1], c->n[2]))
		return "waiting < queue: the queue was not full";
	if (c->service && c->n[2] != c->service->queue)
		return "the text gives the service another queue";
	return check_err(c);
}

static const char *check_wait(const struct aud_case *c)
{
	if (!slt_wait_too_long(c->n[1], c->n[2]))
		return "the expected wait was within the deadline";
	return check_err(c);
}

static const char *check_deadline(const struct aud_case *c)
{
	return c->n[1] > 0 ? "remaining_us > 0: in time" : check_err(c);
}

static const char *check_no_target(const struct aud_case *c)
{
	return !slt_no_target(c->n[1]) ? "usable is not 0" : check_err(c);
}

static const char *check_connect(const struct aud_case *c)
{
	return c->n[1] ? "written is not 0: it may have run" : check_err(c);
}

static const char *check_unknown(const struct aud_case *c)
{
	if (!c->n[1] && optional(c, "cancel_confirmed", 1))
		return "nothing was written: the outcome was known";
	return check_err(c);
}

static const char *check_cancel(const struct aud_case *c)
{
	bool own = c->n[0] == FS_E_CANCELLED; /* the dispatcher's own word */

	if (!optional(c, "cancel_confirmed", own) || optional(c, "written", 0))
		return "the cancel was not confirmed";
	return check_err(c);
}

static const char *check_no_dispatcher(const struct aud_case *c)
{
	return c->n[1] ? "reachable is not 0" : check_err(c);
}

static const char *check_leaving(const struct aud_case *c)
{
	if (c->service && !c->service->leaving)
		return "the text does not take the service out of use";
	return check_err(c);
}

static bool retry_allowed(const struct aud_case *c)
{
	struct rty_input n = {
		.repeatable = c->n[0],
		.written = c->n[1],
		.begun = c->n[2],
		.tries = c->n[3],
		.tries_max = c->n[4],
		.budget_milli = c->n[5],
		.remaining_us = c->n[6],
		.usable = c->n[7],
	};

	return rty_allowed(&n);
}

static const char *check_retry(const struct aud_case *c)
{
	bool retry = c->rec->rule == AUD_R_RETRY;

	if (c->route && (c->n[0] != 0) != c->route->repeatable)
		return "the text says otherwise whether the route repeats";
	if (retry_allowed(c) != retry)
		return retry ? "a condition of a retry does not hold" :
			       "all conditions of a retry hold";
	return strcmp(c->rec->choice, retry ? "retry" : "no_retry") ?
		       "the choice is not that of the rule" :
		       NULL;
}

#define RETRY_NUMBERS                                                   \
	{                                                               \
		"repeatable", "written", "begun", "tries", "tries_max", \
			"budget_milli", "remaining_us", "usable"        \
	}

static const struct aud_replay_rule rows[AUD_RULE_COUNT] = {
	[AUD_R_REQUEST] = {{"err"}, {"size", "limit"}, check_request},
	[AUD_R_NOT_READY] = {{"err"}, {"ready"}, check_not_ready},
	[AUD_R_NO_DISPATCHER] = {{"err", "reachable"},
				 {NULL},
				 check_no_dispatcher},
	[AUD_R_QUEUE_FULL] = {{"err", "waiting", "queue"}, {NULL}, check_queue},
	[AUD_R_SHED] = {{"err", "waiting", "queue"}, {NULL}, check_queue},
	[AUD_R_WAIT_TOO_LONG] = {{"err", "expected_wait_us", "remaining_us"},
				 {NULL},
				 check_wait},
	[AUD_R_DEADLINE_QUEUED] = {{"err", "remaining_us"},
				   {NULL},
				   check_deadline},
	[AUD_R_NO_TARGET] = {{"err", "usable"}, {NULL}, check_no_target},
	[AUD_R_CONNECT] = {{"err", "written"}, {NULL}, check_connect},
	[AUD_R_KEY] = {{"err"}, {"state"}, check_err},
	[AUD_R_OUTCOME_UNKNOWN] = {{"err", "written"},
				   {"cancel_confirmed"},
				   check_unknown},
	[AUD_R_CANCEL_CONFIRMED] = {{"err"},
				    {"cancel_confirmed", "written"},
				    check_cancel},
	[AUD_R_NOT_OWNER] = {{"err"}, {NULL}, check_err},
	[AUD_R_SERVICE_LEAVING] = {{"err"}, {"leaving"}, check_leaving},
	[AUD_R_TARGET_REFUSED] = {{"err"}, {"status"}, check_err},
	[AUD_R_RETRY] = {RETRY_NUMBERS, {NULL}, check_retry},
	[AUD_R_NO_RETRY] = {RETRY_NUMBERS, {NULL}, check_retry},
};

const struct aud_replay_rule *
aud_replay_request_rule(const struct aud_record *rec)
{
	return rows[rec->rule].check ? &rows[rec->rule] : NULL;
}
