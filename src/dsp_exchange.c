#include "dsp_impl.h"

static bool is_not_run(const struct dsp_run *run, uint32_t status)
{
	const struct cfg_service *service;

	if (!run->shard)
		return false;
	service = dsp_shard_service(run->shard);
	for (uint32_t i = 0; i < service->not_run_count; i++) {
		if (service->not_run_status[i] == status)
			return true;
	}
	return false;
}

static enum hlt_result result_of(const struct dsp_run *run,
				 const struct tgt_result *end)
{
	uint32_t status = tgt_status(run->tgt);

	switch (end->err) {
	case 0:
		if (is_not_run(run, status))
			return HLT_REFUSED;
		return status >= 500 ? HLT_SERVER_ERROR : HLT_SUCCESS;
	case FS_E_CONNECT:
		return HLT_CONNECT_FAILED;
	case FS_E_DEADLINE:
		/* A caller that reads slowly is not the target's fault. */
		if (!end->written || run->begun)
			return HLT_CANCELLED;
		return HLT_TIMED_OUT;
	case FS_E_TARGET_RESET:
		return HLT_RESET;
	default:
		return HLT_INVALID_ANSWER;
	}
}

/* Frees the slot and tells the judge. */
static void release(struct dsp_run *run, const struct hlt_end *end,
		    int64_t now_us)
{
	struct dsp_server *server = dsp_run_server(run);
	uint32_t i = dsp_shard_index(run->shard, server);

	if (!run->running)
		return;
	run->running = false;
	server->in_flight--;
	if (!run->shard)
		return;
	slt_times_add(&run->shard->hold, now_us - run->started_us);
	if (i != FS_NONE)
		hlt_request_finished(run->shard->hlt, i, run->token, end,
				     now_us);
}

void dsp_exchange_stop(struct dsp_run *run, int64_t now_us)
{
	struct hlt_end end = {
		.result = HLT_CANCELLED,
		.took_us = now_us - run->started_us,
	};

	release(run, &end, now_us);
	if (run->tgt && tgt_free(run->tgt))
		run->written = true;
	run->tgt = NULL;
}

bool dsp_exchange_may_retry(struct dsp_run *run, bool written, bool same,
			    int64_t now_us, struct rty_input *n)
{
	const char *service = run->m->request.service;

	n->repeatable = run->repeatable;
	n->written = written || run->written;
	n->begun = run->begun;
	n->tries = run->tries;
	n->tries_max = written || run->repeatable ?
			       run->tries_max :
			       MAX(run->tries_max, DSP_CONNECT_ATTEMPTS_MAX);
	n->budget_milli = rty_budget_milli(
		dsp_budget_of(run->dsp, service, now_us), now_us);
	n->remaining_us = run->deadline_us - now_us;
	n->usable = dsp_run_count_alternatives(run, same, now_us);
	return rty_allowed(n);
}

/* Decides on another try, spends from the budget and records it. */
static bool decide_again(struct dsp_run *run, bool written, bool same,
			 int64_t now_us)
{
	struct rty_input n;
	bool again = dsp_exchange_may_retry(run, written, same, now_us, &n);

	dsp_audit_retry(run, &n, again, now_us);
	if (again) {
		rty_budget_spend(dsp_budget_of(
			run->dsp, run->m->request.service, now_us));
		dsp_count(run->dsp, "retries", run->m->request.service);
	}
	return again;
}

static void forget_exchange(struct dsp_run *run)
{
	tgt_free(run->tgt);
	run->tgt = NULL;
}

static void note_good(struct dsp_run *run, const struct tgt_result *end,
		      int64_t now_us)
{
	struct dsp_route *route = dsp_route_of(run);

	slt_times_add(&route->whole, now_us - run->started_us);
	slt_times_add(&route->head, end->took_us);
}

/* A whole answer: passed on, unless another try may do better. */
static void answered(struct dsp_run *run, const struct tgt_result *end,
		     int64_t now_us)
{
	uint32_t status = tgt_status(run->tgt);
	bool not_run = is_not_run(run, status);
	enum fs_outcome outcome = FS_ANSWERED;

	if (status < 500)
		note_good(run, end, now_us);
	if (run->begun) {
		run->ended = true;
		dsp_stream_send(run, now_us);
		return;
	}
	if (run->repeatable && (not_run || status >= 500) &&
	    decide_again(run, !not_run, false, now_us)) {
		run->written |= !not_run;
		run->err = FS_E_DEADLINE;
		forget_exchange(run);
		dsp_run_requeue(run, FS_E_TARGET_REFUSED, now_us);
		return;
	}
	/* An earlier try may have run all the same. */
	if (not_run && !run->written)
		outcome = FS_NOT_RUN;
	dsp_reply_answer(run, outcome, true, now_us);
	dsp_count(run->dsp, not_run ? "target_refused" : "answers",
		  run->m->request.service);
	dsp_run_end(run, outcome, now_us);
}

static void failed(struct dsp_run *run, const struct tgt_result *end,
		   int64_t now_us)
{
	int err = end->err;
	bool again = decide_again(run, end->written, end->reused, now_us);

	if (end->written || !run->written)
		run->err = err;
	run->written |= end->written;
	forget_exchange(run);
	if (again) {
		dsp_run_requeue(run, err, now_us);
		return;
	}
	if (run->begun)
		err = FS_E_TRUNCATED;
	else if (run->written)
		err = run->err;
	else if (err == FS_E_DEADLINE)
		err = FS_E_DEADLINE_QUEUED;
	dsp_audit_refusal(run, err, NULL, now_us);
	dsp_run_refuse(run, err, dsp_run_outcome(run), 0, now_us);
}

static void on_done(void *arg, struct tgt *tgt, const struct tgt_result *end)
{
	struct dsp_run *run = arg;
	struct dsp_shard *shard = run->shard;
	int64_t now_us = fs_now_us();
	struct hlt_end judged = {
		.result = result_of(run, end),
		.took_us = end->took_us,
		.reused_connection = end->reused,
	};

	release(run, &judged, now_us);
	if (shard && end->headers_complete)
		dsp_leave_answer(shard, dsp_run_server(run), tgt_draining(tgt),
				 now_us);
	if (end->err)
		failed(run, end, now_us);
	else
		answered(run, end, now_us);
	if (shard)
		dsp_run_start_queued(shard, now_us);
}

static void on_begun(void *arg, struct tgt *tgt)
{
	(void)tgt;
	dsp_stream_begin(arg, fs_now_us());
}

static void on_more(void *arg, struct tgt *tgt)
{
	(void)tgt;
	dsp_stream_send(arg, fs_now_us());
}

/* Gives a silent try up only if another one may follow. */
static bool on_silent(void *arg, struct tgt *tgt)
{
	struct dsp_run *run = arg;
	struct rty_input n;

	return dsp_exchange_may_retry(run, tgt_written(tgt), tgt_reused(tgt),
				      fs_now_us(), &n);
}

static const struct tgt_ops exchange_ops = {
	.begun = on_begun,
	.more = on_more,
	.headers_overdue = on_silent,
	.done = on_done,
};

/* When the header fields should be here, so that another try has time. */
static int64_t head_limit(const struct dsp_run *run, int64_t now_us)
{
	const struct slt_times *head = &dsp_route_of(run)->head;
	int64_t left_us = run->deadline_us - now_us;
	int64_t slow_us =
		slt_times_quantile(head, DSP_HEADERS_TIMEOUT_PERMILLE);
	uint32_t tries_left = run->tries_max - MIN(run->tries, run->tries_max);

	if (!run->repeatable || !tries_left)
		return run->deadline_us;
	return now_us +
	       MIN(left_us / 2, MAX(slow_us * DSP_HEADERS_TIMEOUT_FACTOR,
				    DSP_HEADERS_TIMEOUT_MIN_US));
}

void dsp_exchange_begin(struct dsp_run *run, uint32_t i, int64_t now_us)
{
	struct dsp_shard *shard = run->shard;
	struct dsp_server *server = shard->servers[i];
	const struct cfg_server *target =
		&shard->cfg->servers[shard->shard->servers[i]];
	struct hlt_end end = {.result = HLT_CANCELLED};
	char id[64];
	struct tgt_request request = {
		.address = target->address,
		.m = &run->m->request,
		.id = id,
		.repeatable = run->repeatable,
		.new_connection = run->tries > 0,
		.deadline_us = run->deadline_us,
	};

	aud_request_text(&run->id, id, sizeof(id));
	server->refs++;
	server->in_flight++;
	run->tried[run->tries++] = server;
	run->running = true;
	run->started_us = now_us;
	run->token = hlt_request_started(shard->hlt, i,
					 run->deadline_us - now_us, now_us);
	request.headers_deadline_us = head_limit(run, now_us);
	run->tgt =
		tgt_start(run->dsp->pool, &request, &exchange_ops, run, now_us);
	if (run->tgt)
		return;
	release(run, &end, now_us);
	dsp_run_requeue(run, FS_E_CONNECT, now_us);
}
