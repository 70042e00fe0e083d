#include "ent.h"
#include "fs_log.h"

#define TICK_S 0.05

/* Callers keep an answer with this node's address for its time, and peers
 * name it until they have heard that it leaves. */
static bool may_stop(struct ent *ent, int64_t now_us)
{
	if (now_us < ent->stop_us || ent->open) {
		ent->quiet_us = now_us;
		return false;
	}
	htd_quiesce(ent->htd);
	return now_us - ent->quiet_us >= ENT_IDLE_BEFORE_STOP_US;
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct ent *ent = timer->data;
	struct msg *m;

	(void)events;
	if (!may_stop(ent, fs_now_us()))
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
	if (ent->stop_us)
		return;
	ent->stop_us = now_us + ent->node->set.answer_ttl_us +
		       ENT_LEAVE_PROPAGATION_US;
	ent->quiet_us = now_us;
	ev_timer_init(&ent->stop_timer, on_timer, TICK_S, TICK_S);
	ent->stop_timer.data = ent;
	ev_timer_start(ent->node->loop, &ent->stop_timer);
}
