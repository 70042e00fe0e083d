#include "gwy_impl.h"

/* Interval at which a parked request checks for a target with capacity. */
#define PARK_POLL_US (50 * FS_US_PER_MS)

/* Jitter of Retry-After, so that refused callers do not return at the same
 * time. */
#define RETRY_AFTER_JITTER_US (400 * FS_US_PER_MS)

static struct adm_input admission_input(const struct gwy_request *req,
					const struct bal_choice *choice,
					int64_t now_us)
{
	double share = gwy_rank_room_share(req, now_us);

	return (struct adm_input){
		.age_us = now_us - req->started_us,
		.left_us = req->deadline_us - now_us,
		.objective_us = gwy_choose_objective(req),
		.mean_us =
			lod_mean_latency(req->gwy->lod, gwy_service_name(req)),
		.wait_us = choice->wait_us,
		.has_capacity = choice->target != NULL,
		.attempted = req->attempt_count > 0,
		.refusable = !req->may_have_run && !req->attempts_in_flight,
		.yields = gwy_rank_yields(req, share),
		.room_share = share,
	};
}

static int64_t retry_after_us(struct gwy_request *req, int err,
			      const struct bal_choice *choice, int64_t now_us)
{
	struct adm_input n = admission_input(req, choice, now_us);

	if (err == FS_E_STOPPING)
		return GWY_STOPPING_RETRY_AFTER_US;
	if (choice->not_before_us > now_us)
		return choice->not_before_us - now_us +
		       (int64_t)(gwy_random(req->gwy) % RETRY_AFTER_JITTER_US);
	return adm_retry_after(&n) +
	       (int64_t)(gwy_random(req->gwy) % RETRY_AFTER_JITTER_US);
}

void gwy_send_release_slot(struct gwy_attempt *t)
{
	if (!t->in_flight)
		return;
	t->in_flight = false;
	t->req->attempts_in_flight--;
	if (t->target->removed_from_dir)
		return;
	bal_target_get(t->target, t->started_us)->own--;
	lod_in_flight_changed(t->req->gwy->lod, t->target);
}

static const struct tgt_ops attempt_ops;

static bool start_exchange(struct gwy_attempt *t, int64_t now_us)
{
	struct gwy_request *req = t->req;
	struct gwy *gwy = req->gwy;
	const struct dir_entry *entry = &t->target->entry;
	struct msg_request *m = &req->m->request;
	bool repeatable = gwy_route_of(req)->repeatable;
	struct tgt_request request = {
		.address = entry->address,
		.m = m,
		.id = req->id,
		.repeatable = repeatable,
		.new_connection = req->attempt_count > 1,
		.deadline_us = req->deadline_us,
		.headers_deadline_us = req->deadline_us,
		.header_bytes_max =
			htd_answer_head_max(gwy->htd, req->connection),
		.dialect = &gwy->fields.target,
	};

	msg_headers_add(m->headers, gwy->fields.instance, entry->id);
	t->tgt = tgt_start(gwy->pool, &request, &attempt_ops, t, now_us);
	g_array_remove_index(m->headers, m->headers->len - 1);
	return t->tgt != NULL;
}

static void start_attempt(struct gwy_request *req,
			  const struct bal_choice *choice, int64_t now_us)
{
	struct gwy_attempt *t = &req->attempts[req->attempt_count++];

	t->req = req;
	t->target = dir_target_ref(choice->target);
	t->started_us = now_us;
	t->wait_us = choice->wait_us;
	t->in_flight = true;
	req->attempts_in_flight++;
	bal_target_get(t->target, now_us)->own++;
	bal_target_get(t->target, now_us)->sent_us = now_us;
	lod_in_flight_changed(req->gwy->lod, t->target);
	lod_record_send(req->gwy->lod, t->target, now_us);
	if (req->attempts_sent) {
		bud_count_retry(gwy_budget_of(req), &req->gwy->budget_rule,
				now_us);
		gwy_rank_count(req, (struct lod_service_counts){.retries = 1});
	}
	req->attempts_sent++;
	ctr_count(req->gwy->node->ctr, "gwy_sends", 1);
	if (!start_exchange(t, now_us)) {
		t->err = FS_E_NO_MEMORY;
		t->not_run = true;
		gwy_send_release_slot(t);
	}
}

/* Returns whether an attempt would likely be broken off by the exit of this
 * node. */
static bool is_too_late_in_stop(const struct gwy_request *req,
				const struct adm_input *n)
{
	if (!gwy_ends_with_node(req))
		return false;
	return !adm_ends_before_exit(n) ||
	       (n->refusable && gwy_stop_is_late(req));
}

/* Returns 0 if a request can be sent now, or the reason for a refusal. */
static int check_send(const struct gwy_request *req,
		      const struct bal_choice *choice, int64_t now_us)
{
	struct adm_input n = admission_input(req, choice, now_us);

	if (n.left_us < GWY_TIME_LEFT_MIN_US || is_too_late_in_stop(req, &n))
		return gwy_deadline_err(req);
	if (!choice->target && choice->not_before_us)
		return FS_E_TARGET_REFUSED;
	if (!choice->target)
		return choice->full ? FS_E_QUEUE_FULL : FS_E_NO_TARGET;
	return adm_decide(&n) == ADM_SEND ? 0 : FS_E_WAIT_TOO_LONG;
}

/* Parks a request if no target has capacity. A request with an attempt in
 * flight is not parked: that answer may arrive at any time. */
static bool park(struct gwy_request *req, const struct bal_choice *choice,
		 int err, int64_t now_us)
{
	struct adm_input n = admission_input(req, choice, now_us);

	gwy_request_park(req, !req->attempts_in_flight &&
				      (err == FS_E_QUEUE_FULL ||
				       err == FS_E_WAIT_TOO_LONG) &&
				      adm_decide(&n) == ADM_PARK);
	if (req->parked) {
		ctr_count(req->gwy->node->ctr, "gwy_parked", 1);
		gwy_request_timer(req, now_us + PARK_POLL_US, now_us);
	}
	return req->parked;
}

static const char *no_retry_reason_of(const struct gwy_request *req,
				      const struct rty_input *n, int err)
{
	if (err == FS_E_STOPPING || err == FS_E_STOPPED)
		return fs_err_name(err);
	if (!n->repeatable && n->written)
		return "may_have_run";
	if (n->tries >= n->tries_max)
		return "attempts";
	if (n->budget_milli < RTY_COST_MILLI)
		return req->rank_denied ? "rank" : "budget";
	if (n->remaining_us <= 0)
		return "deadline";
	return "no_target";
}

bool gwy_send_retry(struct gwy_request *req, int64_t now_us)
{
	struct gwy *gwy = req->gwy;
	const struct cfg_route *route = gwy_route_of(req);
	struct bal_choice choice = gwy_choose(req, now_us);
	struct rty_input n = {
		.repeatable = route->repeatable,
		.written = req->may_have_run,
		.begun = req->state == GWY_STREAMING,
		.tries = req->attempts_sent,
		.tries_max = MAX(route->tries, 1),
		.budget_milli = gwy_budget_milli(req, now_us),
		.remaining_us =
			req->deadline_us - now_us - GWY_TIME_LEFT_MIN_US,
		.usable = choice.target ? 1 : 0,
	};
	bool allowed;
	int err;

	err = check_send(req, &choice, now_us);
	if (err == FS_E_QUEUE_FULL || err == FS_E_WAIT_TOO_LONG)
		n.usable = 1;
	/* Another node has the time that this one lacks. */
	if (err == FS_E_STOPPING)
		n.remaining_us = GWY_TIME_LEFT_MIN_US;
	allowed = req->attempt_count < GWY_ATTEMPTS_MAX && rty_allowed(&n);
	req->stop_prevents_retry = allowed && err == FS_E_STOPPING;
	if (!allowed || (err && !park(req, &choice, err, now_us))) {
		req->no_retry_reason = no_retry_reason_of(req, &n, err);
		gwy_rank_count_denied(req, &n);
		return false;
	}
	if (err)
		return true;
	ctr_count(gwy->node->ctr, "gwy_sent_again", 1);
	start_attempt(req, &choice, now_us);
	gwy_timer_set(req, now_us);
	return true;
}

static void refuse(struct gwy_request *req, int err,
		   const struct bal_choice *choice, int64_t now_us)
{
	req->yielded = (err == FS_E_QUEUE_FULL || err == FS_E_WAIT_TOO_LONG) &&
		       admission_input(req, choice, now_us).yields;
	if (req->yielded)
		ctr_count(req->gwy->node->ctr, "gwy_rank_refused", 1);
	gwy_answer_refuse(req, err, retry_after_us(req, err, choice, now_us),
			  now_us);
}

/* Counts a request that finds no room when it decides for the first time. */
static void count_room(struct gwy_request *req, const struct bal_choice *choice,
		       int64_t now_us)
{
	struct adm_input n;

	if (req->decided || !gwy_rank_matters(req))
		return;
	req->decided = true;
	n = admission_input(req, choice, now_us);
	if (adm_lacks_room(&n) && (choice->target || choice->full))
		gwy_rank_count(req, (struct lod_service_counts){.no_room = 1});
}

static void send_or_refuse(struct gwy_request *req, int64_t now_us)
{
	struct bal_choice choice = gwy_choose(req, now_us);
	int err = check_send(req, &choice, now_us);

	count_room(req, &choice, now_us);
	if (err && park(req, &choice, err, now_us))
		return;
	if (err == FS_E_WAIT_TOO_LONG && gwy_route_of(req)->repeatable) {
		choice = gwy_choose_last_resort(req, now_us);
		err = check_send(req, &choice, now_us);
	}
	if (err) {
		refuse(req, err, &choice, now_us);
		return;
	}
	start_attempt(req, &choice, now_us);
	if (req->attempts_in_flight)
		gwy_timer_set(req, now_us);
	else
		gwy_answer_refuse(
			req, FS_E_NO_TARGET,
			retry_after_us(req, FS_E_NO_TARGET, &choice, now_us),
			now_us);
}

void gwy_send_first(struct gwy_request *req, int64_t now_us)
{
	int64_t wait_us = gwy_quota_take(req, now_us);

	req->state = GWY_WAITING;
	if (wait_us) {
		gwy_answer_refuse(req, FS_E_QUOTA,
				  wait_us + (int64_t)(gwy_random(req->gwy) %
						      RETRY_AFTER_JITTER_US),
				  now_us);
		return;
	}
	bud_count_request(gwy_budget_of(req), &req->gwy->budget_rule, now_us);
	gwy_rank_count(req, (struct lod_service_counts){.requests = 1});
	if (gwy_rank_lets_pass(req, now_us))
		return;
	send_or_refuse(req, now_us);
}

static bool says_not_run(const struct gwy *gwy, uint32_t status,
			 const GArray *headers)
{
	return status == 421 || msg_headers_get(headers, gwy->fields.not_run);
}

static bool is_not_run(const struct gwy_attempt *t,
		       const struct tgt_result *result, const GArray *headers)
{
	if (result->err)
		return !result->written;
	return says_not_run(t->req->gwy, t->status, headers);
}

/* Returns the error for the caller if no attempt gave an answer to forward. */
static int final_err(const struct gwy_attempt *t)
{
	if (t->err == FS_E_DEADLINE && gwy_ends_with_node(t->req))
		return gwy_deadline_err(t->req);
	if (!t->req->may_have_run && t->req->stop_prevents_retry)
		return FS_E_STOPPING;
	if (!t->req->may_have_run)
		return t->err && t->err != FS_E_CONNECT ? FS_E_DEADLINE_QUEUED :
		       t->err				? FS_E_NO_TARGET :
							  FS_E_TARGET_REFUSED;
	if (!t->err || t->not_run)
		return FS_E_TARGET_RESET;
	return t->err;
}

static void finish(struct gwy_attempt *t, int64_t now_us)
{
	struct gwy_request *req = t->req;
	struct gwy_attempt *answered = gwy_answer_find(req);
	int err;

	if (answered) {
		gwy_answer_buffered(answered, now_us);
		return;
	}
	err = final_err(t);
	gwy_answer_refuse(req, err,
			  req->may_have_run ?
				  0 :
				  retry_after_us(req, err,
						 &(struct bal_choice){0},
						 now_us),
			  now_us);
}

/* An answer that is no success is forwarded only if no retry is possible. */
static bool is_success(const struct gwy_attempt *t)
{
	return !t->err && !t->not_run && t->status < 500;
}

static void on_stream_end(struct gwy_attempt *t)
{
	struct gwy_request *req = t->req;

	req->stream_ended = true;
	req->stream_failed = t->err != 0;
	gwy_request_log(req, t->err ? fs_err_name(t->err) : "answered",
			fs_now_us());
	ev_timer_stop(req->gwy->node->loop, &req->timer);
	req->state = GWY_ENDED;
	gwy_request_resume(req);
}

static void on_done(void *arg, struct tgt *tgt, const struct tgt_result *result)
{
	struct gwy_attempt *t = arg;
	struct gwy_request *req = t->req;
	int64_t now_us = fs_now_us();
	bool streaming = req->stream_attempt == t;
	g_autoptr(GArray) headers = NULL;

	t->err = result->err;
	t->status = result->err ? 0 : tgt_status(tgt);
	t->took_us = result->took_us;
	t->reused = result->reused;
	t->framing = result->framing;
	t->body_bytes = result->body_bytes;
	t->bytes_behind = result->bytes_behind;
	if (!streaming)
		headers = tgt_peek_headers(tgt);
	t->not_run = !streaming && is_not_run(t, result, headers);
	/* Nothing was written: the server has not seen this attempt. */
	if (result->err && !result->written)
		req->attempts_sent--;
	else if (!t->not_run)
		req->may_have_run = true;
	/* Before its outcome: a request that was refused fills no slot. */
	gwy_send_release_slot(t);
	gwy_outcome_report(t);
	if (!t->err && headers)
		gwy_outcome_report_statement(t, headers, now_us);
	if (streaming) {
		on_stream_end(t);
		return;
	}
	if (req->state != GWY_WAITING)
		return;
	if (is_success(t)) {
		gwy_answer_buffered(t, now_us);
		gwy_request_cancel_attempts(req);
		return;
	}
	/* Another attempt is in flight, or starts now. */
	if (req->attempts_in_flight || gwy_send_retry(req, now_us))
		return;
	finish(t, now_us);
}

/* The body is too long to be buffered: it is forwarded as it arrives. */
static void on_stream_started(void *arg, struct tgt *tgt)
{
	struct gwy_attempt *t = arg;
	struct gwy_request *req = t->req;
	g_autoptr(GArray) headers = tgt_peek_headers(tgt);

	if (req->state != GWY_WAITING)
		return;
	t->status = tgt_status(tgt);
	gwy_outcome_report_statement(t, headers, fs_now_us());
	gwy_answer_stream(t, fs_now_us());
}

static void on_body_available(void *arg, struct tgt *tgt)
{
	const struct gwy_attempt *t = arg;

	(void)tgt;
	gwy_held_update(t->req);
	if (t->req->stream_attempt == t)
		gwy_request_resume(t->req);
}

static bool may_buffer(void *arg, struct tgt *tgt, size_t bytes)
{
	const struct gwy_attempt *t = arg;

	(void)tgt;
	return gwy_held_check_answer(t->req, bytes);
}

static bool on_headers_overdue(void *arg, struct tgt *tgt)
{
	(void)arg;
	(void)tgt;
	return false;
}

/* Another target is tried, or the caller told, as soon as it is known that this one
 * has not run the request. */
static bool on_needs_body(void *arg, struct tgt *tgt)
{
	const struct gwy_attempt *t = arg;
	g_autoptr(GArray) headers = tgt_peek_headers(tgt);

	return !says_not_run(t->req->gwy, tgt_status(tgt), headers);
}

static const struct tgt_ops attempt_ops = {
	.needs_body = on_needs_body,
	.stream_started = on_stream_started,
	.body_available = on_body_available,
	.may_buffer = may_buffer,
	.headers_overdue = on_headers_overdue,
	.done = on_done,
};

void gwy_send_parked(struct gwy_request *req, int64_t now_us)
{
	if (!req->attempt_count) {
		send_or_refuse(req, now_us);
		return;
	}
	if (gwy_send_retry(req, now_us))
		return;
	finish(&req->attempts[req->attempt_count - 1], now_us);
}
