#include "node.h"

#include "fs_log.h"

void node_open(struct node *node)
{
	node->loop = ev_default_loop(EVFLAG_AUTO);
	node->self = fs_node_id(node->set.name);
	node->incarnation = (uint64_t)fs_wall_us();
	node->bus = bus_new(node->loop, node->self);
	node->ctr = ctr_new();
	node->aud = aud_new();
	node->brn = brn_new();
}

void node_close(struct node *node)
{
	brn_free(node->brn);
	aud_free(node->aud);
	ctr_free(node->ctr);
	bus_free(node->bus);
	ev_loop_destroy(node->loop);
}

void node_add_status(struct node *node, const char *name,
		     void (*write)(const void *task, GString *out,
				   int64_t now_us),
		     const void *task)
{
	if (node->status_count == NODE_STATUS_MAX) {
		fs_log_event("node", G_LOG_LEVEL_CRITICAL, "status_full", "");
		return;
	}
	node->status[node->status_count++] = (struct node_status){
		.name = name,
		.write = write,
		.task = task,
	};
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct node *node = timer->data;
	int64_t now_us = fs_now_us();

	(void)loop;
	(void)events;
	for (uint32_t i = 0; i < node->tick_count; i++)
		node->ticks[i].fn(node->ticks[i].task, now_us);
}

void node_add_tick(struct node *node, void (*fn)(void *task, int64_t now_us),
		   void *task)
{
	if (node->tick_count == NODE_TICKS_MAX) {
		fs_log_event("node", G_LOG_LEVEL_CRITICAL, "ticks_full", "");
		return;
	}
	node->ticks[node->tick_count++] = (struct node_tick){fn, task};
	if (node->tick_count > 1)
		return;
	ev_timer_init(&node->tick, on_tick, 0.0,
		      (double)NODE_TICK_US / FS_US_PER_S);
	node->tick.data = node;
	ev_timer_start(node->loop, &node->tick);
}

void node_remove_tick(struct node *node, const void *task)
{
	for (uint32_t i = 0; i < node->tick_count; i++) {
		if (node->ticks[i].task != task)
			continue;
		node->ticks[i] = node->ticks[--node->tick_count];
		if (!node->tick_count)
			ev_timer_stop(node->loop, &node->tick);
		return;
	}
}

void node_begin_stop(struct node *node)
{
	struct aud_record rec;

	if (node->stopping)
		return;
	node->stopping = true;
	fs_log_event("node", G_LOG_LEVEL_MESSAGE, "stopping", "");
	aud_begin(&rec, AUD_DRAIN, AUD_R_DRAIN_NODE, 0, fs_now_us());
	g_strlcpy(rec.choice, "leaving", sizeof(rec.choice));
	aud_emit(node->aud, &rec);
	bus_send_all(node->bus, MSG_STOP, NULL);
}
