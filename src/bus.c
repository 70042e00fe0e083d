#include "bus.h"

/** Receiver of the messages for one task. */
struct bus_receiver {
	const struct bus_task_ops *ops;
	void *object;
};

struct bus {
	struct ev_loop *loop;
	node_id self;
	struct bus_receiver receivers[MSG_TASK_COUNT];
	bus_remote_fn remote;
	void *remote_arg;
	GQueue queue; /* struct msg, until the next loop iteration */
	ev_async wake;
	ev_check check;
};

static void deliver(struct bus *bus, struct msg *m)
{
	const struct bus_receiver *receiver = &bus->receivers[m->task];

	if (receiver->ops)
		receiver->ops->receive(receiver->object, m, fs_now_us());
	msg_free(m);
}

void bus_deliver_queued(struct bus *bus)
{
	guint n = g_queue_get_length(&bus->queue);

	while (n--)
		deliver(bus, g_queue_pop_head(&bus->queue));
}

/* Messages sent by the receivers are delivered in the next iteration of the
 * loop. */
static void on_loop_check(struct ev_loop *loop, ev_check *watcher, int events)
{
	struct bus *bus = watcher->data;

	(void)loop;
	(void)events;
	bus_deliver_queued(bus);
	if (!g_queue_is_empty(&bus->queue))
		ev_async_send(bus->loop, &bus->wake);
}

static void on_wake(struct ev_loop *loop, ev_async *watcher, int events)
{
	(void)loop;
	(void)watcher;
	(void)events;
}

struct bus *bus_new(struct ev_loop *loop, node_id self)
{
	struct bus *bus = g_new0(struct bus, 1);

	bus->loop = loop;
	bus->self = self;
	g_queue_init(&bus->queue);
	ev_async_init(&bus->wake, on_wake);
	ev_async_start(loop, &bus->wake);
	ev_check_init(&bus->check, on_loop_check);
	bus->check.data = bus;
	ev_check_start(loop, &bus->check);
	return bus;
}

void bus_free(struct bus *bus)
{
	struct msg *m;

	if (!bus)
		return;
	ev_async_stop(bus->loop, &bus->wake);
	ev_check_stop(bus->loop, &bus->check);
	while ((m = g_queue_pop_head(&bus->queue)))
		msg_free(m);
	g_free(bus);
}

node_id bus_self(const struct bus *bus)
{
	return bus->self;
}

void bus_attach(struct bus *bus, enum msg_task task,
		const struct bus_task_ops *ops, void *object)
{
	bus->receivers[task].ops = ops;
	bus->receivers[task].object = object;
}

void bus_attach_remote(struct bus *bus, bus_remote_fn send, void *arg)
{
	bus->remote = send;
	bus->remote_arg = arg;
}

void bus_send(struct bus *bus, struct msg *m)
{
	if (m->to == bus->self) {
		m->from = bus->self;
		bus_deliver(bus, m);
	} else if (bus->remote) {
		bus->remote(bus->remote_arg, m, fs_now_us());
	} else {
		msg_free(m);
	}
}

void bus_deliver(struct bus *bus, struct msg *m)
{
	if (m->task <= 0 || m->task >= MSG_TASK_COUNT) {
		msg_free(m);
		return;
	}
	g_queue_push_tail(&bus->queue, m);
	ev_async_send(bus->loop, &bus->wake);
}

void bus_send_all(struct bus *bus, enum msg_type type, void *payload)
{
	for (int task = 1; task < MSG_TASK_COUNT; task++) {
		struct msg *m;

		if (!bus->receivers[task].ops)
			continue;
		m = msg_new(type, bus->self, (enum msg_task)task);
		if (type == MSG_CONFIG)
			m->config.cfg = cfg_ref(payload);
		else if (type == MSG_VIEW)
			m->view.view = mem_view_ref(payload);
		bus_send(bus, m);
	}
}
