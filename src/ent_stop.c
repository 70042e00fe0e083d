#include "ent.h"
#include "fs_log.h"

#define CHECK_INTERVAL_S 0.05

static bool is_delivered(struct ent *ent, int64_t now_us)
{
	return now_us >= ent->deliver_until_us ||
	       !htd_undelivered(ent->htd, now_us).connections;
}

/* Callers cache the address of this node for the TTL of the answer, and peers
 * return it until they have received that this node leaves. */
static bool is_drained(struct ent *ent, int64_t now_us)
{
	if (now_us < ent->stop_us || ent->open_requests) {
		ent->idle_since_us = now_us;
		return false;
	}
	htd_quiesce(ent->htd);
	return now_us - ent->idle_since_us >= ENT_IDLE_BEFORE_STOP_US &&
	       is_delivered(ent, now_us);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct ent *ent = timer->data;
	struct msg *m;

	(void)events;
	if (!is_drained(ent, fs_now_us()))
		return;
	ev_timer_stop(loop, timer);
	ent->stopped = true;
	fs_log_event("ent", G_LOG_LEVEL_MESSAGE, "entry_stopped", "");
	m = msg_new(MSG_STOPPED, ent->node->self, MSG_TASK_NODE);
	m->stopped.task = MSG_TASK_ENTRY;
	bus_send(ent->node->bus, m);
}

void ent_stop_begin(struct ent *ent, int64_t now_us)
{
	int64_t grace_us = ent->node->set.stop_grace_us;

	if (ent->stop_us)
		return;
	if (grace_us <= 0)
		grace_us = ENT_STOP_GRACE_US;
	ent->deliver_until_us = now_us + grace_us - ENT_STOP_MARGIN_US;
	ent->stop_us = now_us + ent->node->set.answer_ttl_us +
		       ENT_LEAVE_PROPAGATION_US;
	ent->idle_since_us = now_us;
	ev_timer_init(&ent->stop_timer, on_timer, CHECK_INTERVAL_S,
		      CHECK_INTERVAL_S);
	ent->stop_timer.data = ent;
	ev_timer_start(ent->node->loop, &ent->stop_timer);
}
