#include "gwy_impl.h"

int gwy_deadline_err(const struct gwy_request *req)
{
	if (gwy_ends_with_node(req))
		return req->may_have_run ? FS_E_STOPPED : FS_E_STOPPING;
	return req->may_have_run ? FS_E_DEADLINE : FS_E_DEADLINE_QUEUED;
}

static void cut_stream(struct gwy_request *req, int64_t now_us)
{
	gwy_request_cancel_attempts(req);
	req->stream_failed = true;
	gwy_request_log(req, fs_err_name(FS_E_DEADLINE), now_us);
	req->state = GWY_ENDED;
	gwy_request_resume(req);
}

/* The end of a stop is no evidence against targets. */
static void report_overdue(struct gwy_request *req)
{
	for (uint32_t i = 0; i < req->attempt_count; i++) {
		struct gwy_attempt *t = &req->attempts[i];

		if (t->in_flight && !t->overdue)
			lod_record_outcome(req->gwy->lod, t->target,
					   GRY_OVERDUE, 0);
	}
}

void gwy_deadline_passed(struct gwy_request *req, int64_t now_us)
{
	struct gwy_attempt *answered;
	int err;

	if (req->state == GWY_STREAMING) {
		/* No answer is due in its place: it goes on until the exit. */
		if (!gwy_ends_with_node(req))
			cut_stream(req, now_us);
		return;
	}
	if (!gwy_ends_with_node(req))
		report_overdue(req);
	answered = gwy_answer_find(req);
	if (answered)
		gwy_answer_buffered(answered, now_us);
	gwy_request_cancel_attempts(req);
	if (answered)
		return;
	err = gwy_deadline_err(req);
	gwy_answer_refuse(
		req, err,
		err == FS_E_STOPPING ? GWY_STOPPING_RETRY_AFTER_US : 0, now_us);
}
