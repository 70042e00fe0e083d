/**
 * @file bus.h
 * @brief Message delivery to the tasks of this node and of other nodes.
 *
 * A task is an object with a table of functions. Messages to the node itself
 * are delivered in order in the next iteration of the event loop, never from
 * inside bus_send(). Messages to another node are passed to the link task,
 * which notifies the sending task with MSG_LINK_DOWN when that link breaks.
 * Delivery is at most once: a message may be lost with its link.
 */
#ifndef BUS_H
#define BUS_H

#include <ev.h>

#include "msg.h"

struct bus;

/** Operations of a task. */
struct bus_task_ops {
	const char *name;
	/** Handles a message; the bus frees it afterwards. */
	void (*receive)(void *task, struct msg *m, int64_t now_us);
};

/** Sends a message to a peer and takes ownership of @p m. */
typedef void (*bus_remote_fn)(void *arg, struct msg *m, int64_t now_us);

struct bus *bus_new(struct ev_loop *loop, node_id self);
void bus_free(struct bus *bus);

/** Returns the id of this node. */
node_id bus_self(const struct bus *bus);

/** Registers the receiver of messages for @p task; replaces an earlier one. */
void bus_attach(struct bus *bus, enum msg_task task,
		const struct bus_task_ops *ops, void *object);

/** Sets the function of the link task that sends messages to other nodes;
 *  without one, such messages are discarded. */
void bus_attach_remote(struct bus *bus, bus_remote_fn send, void *arg);

/** Sends @p m to task m->task of node m->to and takes ownership of it. */
void bus_send(struct bus *bus, struct msg *m);

/** Queues @p m, received from a peer, for its task and takes ownership of it; a
 *  message with an invalid task is discarded. */
void bus_deliver(struct bus *bus, struct msg *m);

/** Delivers the messages queued so far, for a node whose loop has ended. */
void bus_deliver_queued(struct bus *bus);

/**
 * Sends a message to every attached task of this node.
 * @param type     MSG_CONFIG, MSG_VIEW or MSG_STOP
 * @param payload  the configuration or the view, of which each message gets a
 *                 reference of its own; NULL for MSG_STOP
 */
void bus_send_all(struct bus *bus, enum msg_type type, void *payload);

#endif
