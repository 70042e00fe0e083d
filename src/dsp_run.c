#include "dsp_impl.h"

/* Which servers have room, for both classes of requests. */
struct room {
	struct dsp_shard *shard;
	struct slt_server slots[2][FS_SHARD_SERVERS_MAX];
};

static struct dsp_run *run_of(const struct que_item *item)
{
	return (struct dsp_run *)((char *)item -
				  offsetof(struct dsp_run, item));
}

struct dsp_server *dsp_run_server(const struct dsp_run *run)
{
	return run->tries ? run->tried[run->tries - 1] : NULL;
}

enum fs_outcome dsp_run_outcome(const struct dsp_run *run)
{
	bool written = run->written || (run->tgt && tgt_written(run->tgt));

	return written ? FS_UNKNOWN : FS_NOT_RUN;
}

void dsp_run_end(struct dsp_run *run, enum fs_outcome outcome, int64_t now_us)
{
	struct dsp *dsp = run->dsp;
	const struct msg_request *request = &run->m->request;

	dsp_exchange_stop(run, now_us);
	if (run->shard)
		que_remove(&run->shard->que, &run->item);
	if (run->keyed) {
		key_end(dsp->keys, request->service, request->key,
			outcome == FS_NOT_RUN);
		if (outcome != FS_NOT_RUN)
			dsp_handover_key(run, false, now_us);
	}
	dsp_seen_add(dsp->seen, &run->id, DSP_SEEN_ENDED, outcome, now_us);
	for (uint32_t i = 0; i < run->tries; i++)
		dsp_server_unref(dsp, run->tried[i]);
	dsp->busy_us = now_us;
	g_hash_table_remove(dsp->runs, &run->id);
	msg_free(run->m);
	g_free(run);
}

void dsp_run_refuse(struct dsp_run *run, int err, enum fs_outcome outcome,
		    int64_t retry_after_us, int64_t now_us)
{
	struct msg_refusal refusal = {
		.err = err,
		.outcome = outcome,
		.retry_after_us = retry_after_us,
		.load = dsp_shard_load(run->shard, now_us),
		.tries = run->tries,
	};

	dsp_reply_refusal(run->dsp, run->from, &run->id, &refusal);
	dsp_count(run->dsp, fs_err_name(err), run->m->request.service);
	dsp_run_end(run, outcome, now_us);
}

/* An error that leaves the outcome unknown goes before one that does not. */
void dsp_run_refuse_queued(struct dsp_run *run, int err, int64_t now_us)
{
	struct slt_inputs n;

	if (run->written)
		err = run->err;
	dsp_admit_inputs(run, now_us, &n);
	n.ahead = 0;
	n.free_slots = 1;
	dsp_audit_refusal(run, err, &n, now_us);
	dsp_run_refuse(run, err, dsp_run_outcome(run), 0, now_us);
}

void dsp_run_requeue(struct dsp_run *run, int err, int64_t now_us)
{
	struct dsp_shard *shard = run->shard;

	if (shard && run->tries < DSP_ATTEMPTS_MAX) {
		que_push_front(&shard->que, &run->item, run->priority);
		return;
	}
	dsp_run_refuse_queued(run, err, now_us);
}

/* Nothing that cannot be answered in time may take a slot. */
static void drop_late(struct dsp_shard *shard, int64_t now_us)
{
	for (int p = 0; p < CFG_PRIORITY_COUNT; p++) {
		GList *next;

		for (GList *l = shard->que.waiting[p].head; l; l = next) {
			struct dsp_run *run = run_of(l->data);

			next = l->next;
			if (run->deadline_us <= now_us)
				dsp_run_refuse_queued(run, FS_E_DEADLINE_QUEUED,
						      now_us);
		}
	}
}

static uint32_t mask_of(const struct dsp_shard *shard,
			const struct dsp_server *server)
{
	uint32_t i = dsp_shard_index(shard, server);

	return i == FS_NONE ? 0 : 1U << i;
}

static bool may_take(const struct slt_server *server)
{
	return !server->leaving && server->allowed > 0;
}

/* Servers to pass over: those tried, or only the last one once all were, or
 * none if there is no other. */
static uint32_t avoid_of(const struct dsp_shard *shard,
			 const struct dsp_run *run,
			 const struct slt_server *slots)
{
	uint32_t last = mask_of(shard, dsp_run_server(run));
	uint32_t tried = 0;
	uint32_t usable = 0;

	for (uint32_t i = 0; i < run->tries; i++)
		tried |= mask_of(shard, run->tried[i]);
	for (uint32_t i = 0; i < shard->count; i++)
		usable |= may_take(&slots[i]) ? 1U << i : 0;
	if (usable & ~tried)
		return tried;
	return usable & ~last ? last : 0;
}

uint32_t dsp_run_count_alternatives(const struct dsp_run *run, bool same,
				    int64_t now_us)
{
	struct slt_server slots[FS_SHARD_SERVERS_MAX];
	uint32_t last;
	uint32_t n = 0;

	if (!run->shard)
		return 0;
	dsp_shard_slots(run->shard, run->repeatable, now_us, slots);
	last = same ? FS_NONE :
		      dsp_shard_index(run->shard, dsp_run_server(run));
	for (uint32_t i = 0; i < run->shard->count; i++)
		n += i != last && may_take(&slots[i]);
	return n;
}

static uint32_t choose(const struct room *room, const struct dsp_run *run)
{
	const struct slt_server *slots = room->slots[run->repeatable];

	return slt_choose(slots, room->shard->count, room->shard->rotate,
			  avoid_of(room->shard, run, slots));
}

static bool has_room(void *arg, const struct que_item *item)
{
	return choose(arg, run_of(item)) != FS_NONE;
}

void dsp_run_start_queued(struct dsp_shard *shard, int64_t now_us)
{
	struct room room = {.shard = shard};

	drop_late(shard, now_us);
	while (shard->que.count) {
		struct que_item *item;
		struct dsp_run *run;
		uint32_t i;

		dsp_shard_slots(shard, false, now_us, room.slots[0]);
		dsp_shard_slots(shard, true, now_us, room.slots[1]);
		item = que_first(&shard->que, has_room, &room);
		if (!item)
			return;
		run = run_of(item);
		if (slt_wait_too_long(
			    slt_service_time(&dsp_route_of(run)->whole,
					     run->allowed_us),
			    run->deadline_us - now_us)) {
			dsp_run_refuse_queued(run, FS_E_WAIT_TOO_LONG, now_us);
			continue;
		}
		i = choose(&room, run);
		shard->rotate = (i + 1) % shard->count;
		que_remove(&shard->que, item);
		dsp_exchange_begin(run, i, now_us);
	}
}
