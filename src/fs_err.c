#include "fs_err.h"

#include <string.h>

static const struct fs_answer answers[] = {
	{FS_E_BAD_REQUEST, "bad_request", 400, FS_NOT_RUN,
	 "Malformed or ambiguous request."},
	{FS_E_NO_ROUTE, "no_route", 404, FS_NOT_RUN,
	 "No route matches host and path."},
	{FS_E_METHOD, "method", 405, FS_NOT_RUN,
	 "The route does not take this method."},
	{FS_E_BODY_TOO_LARGE, "body_too_large", 413, FS_NOT_RUN,
	 "Request body over the limit."},
	{FS_E_HEADERS_TOO_LARGE, "headers_too_large", 431, FS_NOT_RUN,
	 "Header fields over the limit."},
	{FS_E_NOT_READY, "not_ready", 503, FS_NOT_RUN,
	 "This node has no configuration yet."},
	{FS_E_ENTRY_FULL, "entry_full", 503, FS_NOT_RUN,
	 "Too many requests at this node."},
	{FS_E_NO_DISPATCHER, "no_dispatcher", 503, FS_NOT_RUN,
	 "No live dispatcher for the service."},
	{FS_E_SERVICE_LEAVING, "service_leaving", 503, FS_NOT_RUN,
	 "The service is being taken out of use."},
	{FS_E_NOT_OWNER, "not_owner", 503, FS_NOT_RUN,
	 "Another node dispatches this shard."},
	{FS_E_QUEUE_FULL, "queue_full", 503, FS_NOT_RUN,
	 "Too many requests wait."},
	{FS_E_WAIT_TOO_LONG, "wait_too_long", 503, FS_NOT_RUN,
	 "The queue is too long for an answer in time."},
	{FS_E_DEADLINE_QUEUED, "deadline_queued", 504, FS_NOT_RUN,
	 "The deadline passed while waiting."},
	{FS_E_NO_TARGET, "no_target", 503, FS_NOT_RUN,
	 "No target may take this request now."},
	{FS_E_CONNECT, "connect", 502, FS_NOT_RUN,
	 "The target could not be connected to."},
	{FS_E_CANCELLED, "cancelled", 503, FS_NOT_RUN,
	 "Withdrawn while it waited."},
	{FS_E_KEY_IN_FLIGHT, "key_in_flight", 409, FS_NOT_RUN,
	 "Same Idempotency-Key is being run."},
	{FS_E_KEY_SPENT, "key_spent", 409, FS_NOT_RUN,
	 "Same Idempotency-Key ran or may have."},
	{FS_E_SHED, "shed", 503, FS_NOT_RUN, "Given up for a higher priority."},
	{FS_E_TARGET_REFUSED, "target_refused", 503, FS_NOT_RUN,
	 "The target's status means not run."},
	{FS_E_STOPPING, "stopping", 503, FS_NOT_RUN,
	 "This node is about to exit."},
	{FS_E_UNAUTHORIZED, "unauthorized", 401, FS_NOT_RUN,
	 "No key of a known organisation."},
	{FS_E_QUOTA, "quota", 429, FS_NOT_RUN,
	 "The organisation is over its limit."},
	{FS_E_DEADLINE, "deadline", 504, FS_UNKNOWN,
	 "No answer within the deadline."},
	{FS_E_DISPATCHER_LOST, "dispatcher_lost", 504, FS_UNKNOWN,
	 "The dispatcher no longer answers."},
	{FS_E_TARGET_RESET, "target_reset", 502, FS_UNKNOWN,
	 "The connection broke before an answer."},
	{FS_E_TRUNCATED, "truncated", 502, FS_UNKNOWN,
	 "The answer ended early."},
	{FS_E_ANSWER_INVALID, "answer_invalid", 502, FS_UNKNOWN,
	 "The answer was not valid HTTP."},
	{FS_E_CALLER_GONE, "caller_gone", 499, FS_UNKNOWN,
	 "The caller closed its connection."},
	{FS_E_STOPPED, "stopped", 504, FS_UNKNOWN,
	 "This node exits before the answer."},
	{FS_E_NO_CHUNKS, "no_chunks", 502, FS_UNKNOWN,
	 "The answer is long and has no length, which needs HTTP/1.1."},
	{FS_E_INVALID, "invalid", 500, FS_UNKNOWN,
	 "An argument or a setting is wrong."},
	{FS_E_NO_MEMORY, "no_memory", 500, FS_UNKNOWN,
	 "A bounded table is full."},
	{FS_E_IO, "io", 500, FS_UNKNOWN,
	 "A system call on a socket or file failed."},
	{FS_E_PROTOCOL, "protocol", 500, FS_UNKNOWN,
	 "A frame or message is malformed."},
	{FS_E_NOT_FOUND, "not_found", 500, FS_UNKNOWN,
	 "No such key, node, server or service."},
	{FS_E_CONFLICT, "conflict", 500, FS_UNKNOWN,
	 "Compare-and-swap found another value."},
	{FS_E_UNAVAILABLE, "unavailable", 500, FS_UNKNOWN,
	 "The platform or a peer does not answer."},
	{FS_E_AMBIGUOUS, "ambiguous", 500, FS_UNKNOWN,
	 "A write may or may not have been done."},
	{FS_E_CONFIG, "config", 500, FS_UNKNOWN,
	 "The configuration text is refused."},
	{FS_E_FLOOR, "floor", 500, FS_UNKNOWN,
	 "The service's floor forbids an ejection."},
	{FS_E_STALE, "stale", 500, FS_UNKNOWN,
	 "An older epoch or version than the known one."},
	{FS_E_AUDIT, "audit", 500, FS_UNKNOWN,
	 "A recorded decision does not follow."},
};

const struct fs_answer *fs_answer_of(int err)
{
	const struct fs_answer *fallback = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		if ((int)answers[i].err == err)
			return &answers[i];
		if (answers[i].err == FS_E_INVALID)
			fallback = &answers[i];
	}
	return fallback;
}

const char *fs_err_name(int err)
{
	return err == FS_OK ? "ok" : fs_answer_of(err)->name;
}

int fs_err_by_name(const char *name)
{
	if (!strcmp(name, "ok"))
		return FS_OK;
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		if (!strcmp(answers[i].name, name))
			return answers[i].err;
	}
	return FS_E_NOT_FOUND;
}

const char *fs_outcome_name(enum fs_outcome outcome)
{
	static const char *const names[] = {
		[FS_ANSWERED] = "answered",
		[FS_NOT_RUN] = "not-run",
		[FS_UNKNOWN] = "unknown",
	};

	return names[outcome];
}
