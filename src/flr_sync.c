#include "flr_sync.h"

#include <string.h>

#define RETRY_US (1 * FS_US_PER_S)    /* between reads after an error */
#define ASK_MAX_US (10 * FS_US_PER_S) /* a wish is refused after this */

/** A wish that waits. */
struct flr_request {
	char server[FS_NAME_MAX];
	enum aud_rule judged;
	bool give_back;
	int64_t asked_us;
};

struct flr_sync {
	const struct flr_times *times;
	char node[FS_NAME_MAX];
	flr_decided_fn decided;
	void *arg;
	struct flr_watch *watch;
	struct flr_record *record; /* NULL: never read */
	struct flr_record *draft;  /* being written */
	uint64_t revision;
	int64_t confirmed_us; /* start of the call that confirmed record */
	int64_t started_us;   /* of the call in flight */
	int64_t retry_us;     /* no call before this */
	enum flr_call in_flight;
	bool read_due; /* before anything else is written */
	struct flr_request asks[FLR_REQUESTS_MAX];
	uint32_t ask_count;
};

struct flr_sync *flr_sync_new(const struct flr_times *times, const char *node,
			      flr_decided_fn decided, void *arg)
{
	struct flr_sync *sync = g_new0(struct flr_sync, 1);

	sync->times = times;
	g_strlcpy(sync->node, node, sizeof(sync->node));
	sync->decided = decided;
	sync->arg = arg;
	sync->watch = flr_watch_new();
	sync->read_due = true;
	return sync;
}

void flr_sync_free(struct flr_sync *sync)
{
	if (!sync)
		return;
	flr_watch_free(sync->watch);
	flr_record_free(sync->record);
	flr_record_free(sync->draft);
	g_free(sync);
}

void flr_sync_request(struct flr_sync *sync, const char *server,
		      enum aud_rule judged, bool give_back, int64_t now_us)
{
	struct flr_request *ask = NULL;

	for (uint32_t i = 0; i < sync->ask_count; i++) {
		if (!strcmp(sync->asks[i].server, server))
			ask = &sync->asks[i];
	}
	if (ask && ask->give_back == give_back)
		return;
	if (!ask) {
		if (sync->ask_count == FLR_REQUESTS_MAX)
			return;
		ask = &sync->asks[sync->ask_count++];
	}
	g_strlcpy(ask->server, server, sizeof(ask->server));
	ask->judged = judged;
	ask->give_back = give_back;
	ask->asked_us = now_us;
}

/* Tells the end of the wish at @p i and removes it. */
static void settle(struct flr_sync *sync, uint32_t i,
		   const struct flr_scope *scope,
		   const struct flr_record *record, int err)
{
	struct flr_request ask = sync->asks[i];
	const struct flr_entry *entry = record ? flr_find(record, ask.server) :
						 NULL;
	struct flr_decision decision = {
		.judged = ask.judged,
		.give_back = ask.give_back,
		.err = err,
		.epoch = record ? record->epoch : 0,
		.ejections = entry ? entry->ejections : 0,
		.count = flr_count(scope),
		.out = record ? flr_position(record, ask.server) : 0,
		.floor = flr_floor(scope),
	};

	if (!err && entry)
		decision.epoch = entry->epoch;
	g_strlcpy(decision.server, ask.server, sizeof(decision.server));
	sync->asks[i] = sync->asks[--sync->ask_count];
	sync->decided(sync->arg, &decision);
}

/* Whether @p record has what a wish asks for, by a write of this node. */
static bool ask_done(const struct flr_sync *sync, const struct flr_request *ask,
		     const struct flr_record *record)
{
	const struct flr_entry *entry = flr_find(record, ask->server);

	if (ask->give_back)
		return !entry || entry->state != FLR_OUT;
	return entry && entry->state == FLR_OUT &&
	       !strcmp(entry->node, sync->node);
}

/* Settles what the record, now confirmed, has already. */
static void settle_done(struct flr_sync *sync, const struct flr_scope *scope)
{
	for (uint32_t i = sync->ask_count; i-- > 0;) {
		if (ask_done(sync, &sync->asks[i], sync->record))
			settle(sync, i, scope, sync->record, 0);
	}
}

static void confirm(struct flr_sync *sync, struct flr_record *record,
		    uint64_t revision, int64_t now_us)
{
	flr_record_free(sync->record);
	sync->record = record;
	sync->revision = revision;
	sync->confirmed_us = sync->started_us;
	sync->read_due = false;
	flr_watch_observe(sync->watch, record, now_us);
}

/* Refuses wishes that the platform has kept waiting for too long. */
static void refuse_old(struct flr_sync *sync, const struct flr_scope *scope,
		       int64_t now_us)
{
	for (uint32_t i = sync->ask_count; i-- > 0;) {
		if (now_us - sync->asks[i].asked_us >= ASK_MAX_US)
			settle(sync, i, scope, sync->record, FS_E_UNAVAILABLE);
	}
}

static void apply_ask(struct flr_sync *sync, uint32_t i,
		      const struct flr_scope *scope, struct flr_record *draft)
{
	struct flr_request *ask = &sync->asks[i];
	int err;

	if (ask->give_back)
		err = flr_return(draft, scope, ask->server);
	else
		err = flr_grant(draft, scope, ask->server, ask->judged,
				sync->node);
	if (err)
		settle(sync, i, scope, draft, err);
}

/* Drafts the record to write; NULL if nothing changes. */
static struct flr_record *
make_draft(struct flr_sync *sync, const struct flr_scope *scope, int64_t now_us)
{
	struct flr_record *draft = flr_record_copy(sync->record);
	uint64_t epoch = draft->epoch;

	flr_trim(draft, scope);
	flr_expire(draft, scope, sync->watch, sync->times, now_us);
	if (flr_watch_may_grant(sync->watch, sync->times, now_us)) {
		for (uint32_t i = sync->ask_count; i-- > 0;)
			apply_ask(sync, i, scope, draft);
	}
	if (draft->epoch != epoch)
		return draft;
	flr_record_free(draft);
	return NULL;
}

static enum flr_call begin_call(struct flr_sync *sync, enum flr_call call,
				int64_t now_us)
{
	sync->in_flight = call;
	sync->started_us = now_us;
	return call;
}

enum flr_call flr_sync_next(struct flr_sync *sync,
			    const struct flr_scope *scope, int64_t now_us,
			    GString *value, uint64_t *prev)
{
	if (sync->in_flight != FLR_CALL_NONE)
		return FLR_CALL_NONE;
	refuse_old(sync, scope, now_us);
	if (now_us < sync->retry_us)
		return FLR_CALL_NONE;
	if (sync->read_due || now_us - sync->confirmed_us >= FS_RECORD_POLL_US)
		return begin_call(sync, FLR_CALL_READ, now_us);
	sync->draft = make_draft(sync, scope, now_us);
	if (!sync->draft)
		return FLR_CALL_NONE;
	flr_record_json(sync->draft, value);
	*prev = sync->revision;
	return begin_call(sync, FLR_CALL_WRITE, now_us);
}

void flr_sync_read_done(struct flr_sync *sync, const struct flr_scope *scope,
			int err, uint64_t revision, const char *value,
			int64_t now_us)
{
	struct flr_record *record = NULL;

	sync->in_flight = FLR_CALL_NONE;
	if (err == FS_E_NOT_FOUND) {
		record = flr_record_new();
		revision = 0;
	} else if (!err) {
		flr_record_parse(value, &record);
	}
	if (!record) {
		sync->read_due = true;
		sync->retry_us = now_us + RETRY_US;
		return;
	}
	confirm(sync, record, revision, now_us);
	settle_done(sync, scope);
}

void flr_sync_write_done(struct flr_sync *sync, const struct flr_scope *scope,
			 int err, uint64_t revision, int64_t now_us)
{
	struct flr_record *draft = sync->draft;

	sync->in_flight = FLR_CALL_NONE;
	sync->draft = NULL;
	if (!err) {
		confirm(sync, draft, revision, now_us);
		settle_done(sync, scope);
		return;
	}
	flr_record_free(draft);
	sync->read_due = true;
	if (err != FS_E_CONFLICT)
		sync->retry_us = now_us + RETRY_US;
}

const struct flr_record *flr_sync_record(const struct flr_sync *sync,
					 int64_t now_us)
{
	if (!sync->record ||
	    !flr_confirmed(sync->times, sync->confirmed_us, now_us))
		return NULL;
	return sync->record;
}

int64_t flr_sync_confirmed(const struct flr_sync *sync)
{
	return sync->confirmed_us;
}
