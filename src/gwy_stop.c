#include "gwy_impl.h"

#include "fs_log.h"

#define TICK_US (50 * FS_US_PER_MS)
/* Callers cache the address of this node for two seconds; until then new
 * connections are accepted. */
#define ACCEPT_US (2200 * FS_US_PER_MS)
/* Idle connections stay open until the process exits; a request that arrives
 * during the close has not been read. */
#define CLOSE_GRACE_US (300 * FS_US_PER_MS)
/* Requests in flight end this much before the process is killed, so that their
 * answers can still be sent. */
#define LAST_ANSWER_MARGIN_US (350 * FS_US_PER_MS)
/* Answers up to this arrive within a few round trips, whatever the caller's link. */
#define LONG_ANSWER_BYTES (16 * 1024)
/* The exit comes this much before the kill. */
#define EXIT_MARGIN_US (100 * FS_US_PER_MS)

/* An answer that was written is lost with the process if its caller sends more. */
static bool waits_for_callers(struct gwy *gwy, int64_t now_us)
{
	struct htd_undelivered left = htd_undelivered(gwy->htd, now_us);

	if (left.connections && !gwy->delivering)
		fs_log_eventf("gwy", G_LOG_LEVEL_MESSAGE, "stop_waits",
			      "\"undelivered\":%u,\"bytes\":%zu",
			      left.connections, left.bytes);
	gwy->delivering = left.connections > 0;
	return gwy->delivering;
}

static bool is_drained(struct gwy *gwy, int64_t now_us)
{
	int64_t since_us = now_us - gwy->stop_us;

	if (now_us >= gwy->last_answer_us && !gwy->ending_us)
		gwy->ending_us = now_us;
	/* After a pause the last answers may only just have been read or
	 * queued. */
	if (now_us >= gwy->exit_us)
		return now_us - gwy->ending_us >= TICK_US;
	if (since_us < ACCEPT_US)
		return false;
	if (!gwy->quiesced) {
		htd_quiesce(gwy->htd);
		gwy->quiesced = true;
	}
	return !g_hash_table_size(gwy->requests) &&
	       since_us >= ACCEPT_US + CLOSE_GRACE_US &&
	       !waits_for_callers(gwy, now_us);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gwy *gwy = timer->data;
	int64_t now_us = fs_now_us();
	struct htd_undelivered left;
	struct msg *m;

	(void)events;
	if (!is_drained(gwy, now_us))
		return;
	ev_timer_stop(loop, timer);
	/* Requests are still read until the loop ends, in the next turn, which
	 * is too late to pass one on. */
	gwy->last_answer_us = MIN(gwy->last_answer_us, now_us);
	left = htd_undelivered(gwy->htd, now_us);
	fs_log_eventf("gwy", G_LOG_LEVEL_MESSAGE, "gateway_stopped",
		      "\"requests_left\":%u,\"undelivered\":%u,\"bytes\":%zu",
		      g_hash_table_size(gwy->requests), left.connections,
		      left.bytes);
	m = msg_new(MSG_STOPPED, gwy->node->self, MSG_TASK_NODE);
	m->stopped.task = MSG_TASK_ENTRY;
	bus_send(gwy->node->bus, m);
}

void gwy_stop_limit_deadline(struct gwy_request *req)
{
	const struct gwy *gwy = req->gwy;

	if (gwy->stopping)
		req->deadline_us = MIN(req->deadline_us, gwy->last_answer_us);
}

int64_t gwy_stop_retry_after(const struct gwy *gwy, int64_t usual_us)
{
	return gwy->stopping ? GWY_STOPPING_RETRY_AFTER_US : usual_us;
}

bool gwy_stop_is_late(const struct gwy_request *req)
{
	const struct gwy *gwy = req->gwy;
	/* How long its caller reads can't be told. */
	bool is_long = gwy_answer_mean_bytes(req) > LONG_ANSWER_BYTES;

	return gwy->stopping &&
	       req->read_us - gwy->stop_us > (is_long ? 0 : ACCEPT_US);
}

/* Requests in flight decide anew with the time that is left. */
static void limit_deadlines(struct gwy *gwy, int64_t now_us)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, gwy->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct gwy_request *req = key;

		gwy_stop_limit_deadline(req);
		if (gwy_ends_with_node(req) &&
		    (req->state == GWY_WAITING || req->state == GWY_STREAMING))
			gwy_request_timer(req, now_us, now_us);
	}
}

void gwy_stop_begin(struct gwy *gwy, int64_t now_us)
{
	if (gwy->stopping)
		return;
	gwy->stopping = true;
	gwy->stop_us = now_us;
	gwy->last_answer_us =
		now_us + gwy->node->set.stop_grace_us - LAST_ANSWER_MARGIN_US;
	gwy->exit_us = now_us + gwy->node->set.stop_grace_us - EXIT_MARGIN_US;
	limit_deadlines(gwy, now_us);
	ev_timer_init(&gwy->stop_timer, on_timer, TICK_US / 1e6, TICK_US / 1e6);
	gwy->stop_timer.data = gwy;
	ev_timer_start(gwy->node->loop, &gwy->stop_timer);
}

void gwy_stop_end(struct gwy *gwy)
{
	if (gwy->stopping)
		ev_timer_stop(gwy->node->loop, &gwy->stop_timer);
}
