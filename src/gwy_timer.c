#include "gwy_impl.h"

/* Returns when a waiting request has to decide anew: an answer is overdue, or it is
 * time for a hedge. */
static int64_t next_decision_us(const struct gwy_request *req, int64_t now_us)
{
	int64_t at_us = req->deadline_us;
	int64_t overdue_us = gwy_overdue_us(req);
	int64_t hedge_us = gwy_overdue_hedge_latest_us(req);

	if (now_us < hedge_us)
		at_us = MIN(at_us, hedge_us);
	for (uint32_t i = 0; i < req->attempt_count; i++) {
		const struct gwy_attempt *t = &req->attempts[i];

		if (t->in_flight && !t->overdue)
			at_us = MIN(at_us,
				    t->started_us + t->wait_us + overdue_us);
	}
	return at_us;
}

void gwy_timer_set(struct gwy_request *req, int64_t now_us)
{
	gwy_request_timer(req,
			  req->state == GWY_WAITING ?
				  next_decision_us(req, now_us) :
				  req->deadline_us,
			  now_us);
}

/* Cancels the attempts whose answer is not forwarded. libcurl can't remove a
 * transfer inside a callback, where streams start. */
static void cancel_other_attempts(struct gwy_request *req)
{
	for (uint32_t i = 0; i < req->attempt_count; i++) {
		struct gwy_attempt *t = &req->attempts[i];

		if (t == req->stream_attempt || !t->in_flight)
			continue;
		tgt_free(t->tgt);
		t->tgt = NULL;
		t->err = FS_E_CANCELLED;
		gwy_send_release_slot(t);
	}
}

static bool has_unread_answer(const struct gwy_request *req)
{
	for (uint32_t i = 0; i < req->attempt_count; i++) {
		const struct gwy_attempt *t = &req->attempts[i];

		if (t->in_flight && tgt_has_unread(t->tgt))
			return true;
	}
	return false;
}

/* Waits a turn of the loop if this process ran late and an answer that came
 * meanwhile was not read yet: it is neither overdue nor past the deadline. */
static bool waits_a_turn(struct gwy_request *req, int64_t now_us)
{
	if (req->late_turns == TGT_LATE_TURNS_MAX || !has_unread_answer(req)) {
		req->late_turns = 0;
		return false;
	}
	req->late_turns++;
	gwy_request_timer(req, now_us, now_us);
	return true;
}

void gwy_timer_passed(struct gwy_request *req, int64_t now_us)
{
	if (req->state == GWY_STREAMING)
		cancel_other_attempts(req);
	if (req->state == GWY_ENDED || waits_a_turn(req, now_us))
		return;
	if (now_us >= req->deadline_us) {
		gwy_deadline_passed(req, now_us);
		return;
	}
	if (req->parked) {
		if (gwy_rank_lets_pass(req, now_us))
			return;
		gwy_request_park(req, false);
		gwy_send_parked(req, now_us);
		return;
	}
	if (req->state == GWY_WAITING) {
		gwy_overdue_report(req, now_us);
		if (gwy_overdue_should_hedge(req, now_us))
			gwy_send_retry(req, now_us);
	}
	gwy_timer_set(req, now_us);
}
