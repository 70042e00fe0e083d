/**
 * @file bus.h
 * @brief Delivers messages to tasks, here or on another node.
 *
 * A task is an object with a table of functions. Messages to the node itself
 * are delivered in order on the next turn of the loop, never from inside
 * bus_send(). Messages to another node go to the link task, which tells the
 * sending task with MSG_LINK_DOWN when that link breaks; a message is sent at
 * most once and may be lost with its link.
 */
#ifndef BUS_H
#define BUS_H

#include <ev.h>

#include "msg.h"

struct bus;

/** What a task does with messages. */
struct bus_task_ops {
	const char *name;
	/** Takes a message; the bus frees it afterwards. */
	void (*receive)(void *task, struct msg *m, int64_t now_us);
};

/** Sends a message to a peer; set by the link task. Takes @p m over. */
typedef void (*bus_remote_fn)(void *arg, struct msg *m, int64_t now_us);

struct bus *bus_new(struct ev_loop *loop, node_id self);
void bus_free(struct bus *bus);

/** Returns the node this bus belongs to. */
node_id bus_self(const struct bus *bus);

/** Names the object that takes messages for @p task. */
void bus_attach(struct bus *bus, enum msg_task task,
		const struct bus_task_ops *ops, void *object);

/** Names the function that takes messages for other nodes. */
void bus_attach_remote(struct bus *bus, bus_remote_fn send, void *arg);

/** Sends @p m to m->task at m->to and takes it over. */
void bus_send(struct bus *bus, struct msg *m);

/** Delivers @p m, which came from a peer, and takes it over. */
void bus_deliver(struct bus *bus, struct msg *m);

/** Sends MSG_CONFIG, MSG_VIEW or MSG_STOP to every attached task. */
void bus_send_all(struct bus *bus, enum msg_type type, void *payload);

#endif
