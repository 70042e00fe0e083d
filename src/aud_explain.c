#include "aud_explain.h"

#include <string.h>

/* One sentence per rule; a name in braces stands for a number or a member of
 * the record, one that ends in "_us" is shown as a duration. */
static const char *const sentences[AUD_RULE_COUNT] = {
	[AUD_R_REQUEST] = "The request was refused as {choice}: it is "
			  "malformed, has no route, or passes a limit. It was "
			  "not run.",
	[AUD_R_NOT_READY] = "The request was refused, since the node had no "
			    "configuration in force. It was not run.",
	[AUD_R_NO_DISPATCHER] = "The request was refused, since no live node "
				"dispatches {service}. It was not run.",
	[AUD_R_QUEUE_FULL] = "The request was refused: {waiting} requests "
			     "waited for {service}, and the text lets {queue} "
			     "wait. It was not run.",
	[AUD_R_WAIT_TOO_LONG] = "The request was refused: it would have "
				"waited {expected_wait_us} for {service}, with "
				"{remaining_us} left to its deadline. It was "
				"not run.",
	[AUD_R_DEADLINE_QUEUED] = "The deadline of the request passed while "
				  "it waited for {service}. It was not run.",
	[AUD_R_SHED] = "The request was given up for one of higher priority: "
		       "{waiting} requests waited for {service}, and the text "
		       "lets {queue} wait. It was not run.",
	[AUD_R_NO_TARGET] = "The request was refused, since no server of "
			    "{service} may take it now. It was not run.",
	[AUD_R_CONNECT] = "No connection to a server of {service} could be "
			  "opened, so no byte was written. It was not run.",
	[AUD_R_KEY] = "The request was refused as {choice}: an earlier one "
		      "with the same idempotency key runs, ran or may have "
		      "run.",
	[AUD_R_OUTCOME_UNKNOWN] = "The request ended as {choice} after a byte "
				  "of it may have reached a server of "
				  "{service}. It may have run.",
	[AUD_R_CANCEL_CONFIRMED] = "The request was withdrawn, and its "
				   "dispatcher confirmed that it never left "
				   "the queue. It was not run.",
	[AUD_R_NOT_OWNER] = "The request was refused, since another node "
			    "dispatches this part of {service}. It was not "
			    "run.",
	[AUD_R_SERVICE_LEAVING] = "The request was refused: the text takes "
				  "{service} out of use. It was not run.",
	[AUD_R_TARGET_REFUSED] = "A server of {service} refused the request "
				 "with a status that the text defines as not "
				 "run.",
	[AUD_R_RETRY] = "The request was tried again after {tries} of at most "
			"{tries_max} tries, with {remaining_us} left.",
	[AUD_R_NO_RETRY] = "The request was not tried again: repeatable "
			   "{repeatable}, written {written}, tries {tries} of "
			   "{tries_max}, budget {budget_milli} of the 1000 "
			   "that a retry costs, {remaining_us} left, {usable} "
			   "other servers usable.",
	[AUD_R_STEER_STALL] = "{server} of {service} is {choice}: {overdue} "
			      "of {in_flight} requests in flight are overdue, "
			      "and it gave no good answer for {quiet_us}.",
	[AUD_R_STEER_ERRORS] = "{server} of {service} is {choice}: {bad} bad "
			       "outcomes beside {good} good ones, while its "
			       "peers had {peers_bad} beside {peers_good}.",
	[AUD_R_STEER_SLOW] = "{server} of {service} is {choice}: {slow} of "
			     "{good} answers were much slower than those of "
			     "its peers, who had {peers_slow} of {peers_good}.",
	[AUD_R_STEER_CONNECT] = "{server} of {service} is {choice}: "
				"{failures} connections in a row failed.",
	[AUD_R_STEER_CLEAR] = "{server} of {service} is {choice}: {good_run} "
			      "good answers in a row and nothing bad for "
			      "{quiet_us}, after {relapses} relapses.",
	[AUD_R_STEER_FLOOR] = "{server} of {service} keeps taking work though "
			      "its evidence is bad: the floor is {floor} of "
			      "{count} servers, {out} are ejected and "
			      "{steered} of this shard are steered away from.",
	[AUD_R_EJECT] = "{server} of {service} was ejected: {out} of {count} "
			"servers were out before it, and the floor is {floor}. "
			"It is its ejection number {ejections} of late.",
	[AUD_R_EJECT_FLOOR] = "{server} of {service} was kept though sick: "
			      "{out} of {count} servers are out, and the "
			      "floor is {floor}.",
	[AUD_R_EJECT_COMMON] = "{server} of {service} was kept: {sick} of "
			       "{count} servers of its shard are sick "
			       "together, so the cause is a common one.",
	[AUD_R_EJECT_DEPENDENCY] = "{server} of {service} was kept: a service "
				   "that {service} depends on is sick.",
	[AUD_R_EJECT_PATH] = "{server} of {service} was kept: {reached} of "
			     "{witnesses} nodes in other failure domains "
			     "reach it, {told} answered. The path is at "
			     "fault, not the server.",
	[AUD_R_EJECT_PLATFORM] = "{server} of {service} was kept, since the "
				 "platform did not answer; the last record "
				 "stands.",
	[AUD_R_RETURN] = "{server} of {service} was taken back, after "
			 "{ejections} ejections of late. It starts slowly.",
	[AUD_R_SHARD_TAKEN] = "This node dispatches a shard of {service} now.",
	[AUD_R_SHARD_GIVEN] = "Another node dispatches a shard of {service} "
			      "now.",
	[AUD_R_CONFIG_TAKEN] = "Configuration {version} was taken in place of "
			       "{known}.",
	[AUD_R_CONFIG_OLD] = "Configuration {version} was not taken: {known} "
			     "is in force.",
	[AUD_R_CONFIG_BAD] = "Configuration {version} was not taken: its text "
			     "has {problems} problems. {known} stays in "
			     "force.",
	[AUD_R_DRAIN_NODE] = "A planned stop of this node has begun.",
	[AUD_R_DRAIN_TARGET] = "{server} is leaving ({choice}) and takes no "
			       "new work.",
};

static void add_duration(int64_t us, GString *out)
{
	if (us >= FS_US_PER_S || us <= -FS_US_PER_S)
		g_string_append_printf(out, "%.1f s", (double)us / FS_US_PER_S);
	else
		g_string_append_printf(out, "%.1f ms",
				       (double)us / FS_US_PER_MS);
}

static void add_value(const struct aud_record *rec, const char *name,
		      GString *out)
{
	int64_t value;

	if (!strcmp(name, "service"))
		g_string_append(out,
				*rec->service ? rec->service : "the service");
	else if (!strcmp(name, "server"))
		g_string_append(out, *rec->server ? rec->server : "the server");
	else if (!strcmp(name, "choice"))
		g_string_append(out, rec->choice);
	else if (!aud_number_of(rec, name, &value))
		g_string_append_c(out, '?');
	else if (g_str_has_suffix(name, "_us"))
		add_duration(value, out);
	else
		g_string_append_printf(out, "%" G_GINT64_FORMAT, (gint64)value);
}

static void fill_in(const struct aud_record *rec, const char *sentence,
		    GString *out)
{
	for (const char *p = sentence; *p; p++) {
		const char *end = *p == '{' ? strchr(p, '}') : NULL;
		g_autofree char *name = NULL;

		if (!end) {
			g_string_append_c(out, *p);
			continue;
		}
		name = g_strndup(p + 1, (gsize)(end - p - 1));
		add_value(rec, name, out);
		p = end;
	}
}

static void explain_ask(const struct aud_record *rec, GString *out)
{
	if (rec->rule == AUD_R_STEER_CLEAR)
		fill_in(rec,
			"A return of {server} of {service} was asked for: "
			"{good_run} good trials and nothing bad for "
			"{quiet_us}.",
			out);
	else
		fill_in(rec,
			"An ejection of {server} of {service} was asked for: "
			"sick for {since_us}, with {sick_bad} bad outcomes, "
			"the last one {last_bad_us} ago.",
			out);
}

void aud_explain(const struct aud_record *rec, GString *out)
{
	const char *sentence =
		rec->rule < AUD_RULE_COUNT ? sentences[rec->rule] : NULL;

	if (g_str_has_suffix(rec->choice, "_asked"))
		explain_ask(rec, out);
	else
		fill_in(rec, sentence ? sentence : aud_rule_text(rec->rule),
			out);
	g_string_append_printf(out, " Rule: %s.", aud_rule_name(rec->rule));
}
