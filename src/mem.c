#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fs_log.h"
#include "mem_core.h"
#include "mem_report.h"
#include "mem_wire.h"
#include "node.h"
#include "sig.h"

G_STATIC_ASSERT(SIG_SIZE == MEM_SIGNATURE_SIZE);
G_STATIC_ASSERT(MEM_TICK_US == NODE_TICK_US);

#define RECEIVE_BURST 256	     /* datagrams per event-loop iteration */
#define RECEIVE_BUFFER (1024 * 1024) /* bytes, absorbs a burst of joins */

/** The membership task. */
struct mem {
	struct node *node;
	struct mem_core *core;
	int fd;
	ev_io io;
	ev_timer start;
	struct mem_view *view; /* last one published */
	handle sent, sent_bytes, received, received_bytes, refused;
};

static void send_datagram(void *arg, const struct sockaddr_in *to,
			  const uint8_t *data, size_t size)
{
	struct mem *mem = arg;
	uint8_t out[FS_DATAGRAM_MAX];

	memcpy(out, data, size);
	if (sig_sign(mem->node->set.fleet_key, data, size, out + size))
		return;
	size += SIG_SIZE;
	if (sendto(mem->fd, out, size, 0, (const struct sockaddr *)to,
		   sizeof(*to)) < 0)
		return; /* same as a lost datagram */
	ctr_add(mem->node->ctr, mem->sent, 1);
	ctr_add(mem->node->ctr, mem->sent_bytes, size);
}

/* Notifies the configuration task of a member with a newer version. */
static void notify_config_hint(struct mem *mem)
{
	uint64_t version;
	node_id id = mem_core_pop_hint(mem->core, &version);
	struct msg *m;

	if (!id)
		return;
	m = msg_new(MSG_CONFIG_HINT, mem->node->self, MSG_TASK_CONFIG);
	m->config_hint.node = id;
	m->config_hint.version = version;
	bus_send(mem->node->bus, m);
}

static void publish_view(struct mem *mem)
{
	struct mem_view *view;

	if (!mem_core_changed(mem->core))
		return;
	view = mem_core_view(mem->core);
	mem_report_changes(mem->view, view);
	mem_view_unref(mem->view);
	mem->view = view;
	bus_send_all(mem->node->bus, MSG_VIEW, view);
}

static void receive_datagram(struct mem *mem, const uint8_t *data, size_t size,
			     int64_t now_us)
{
	ctr_add(mem->node->ctr, mem->received, 1);
	ctr_add(mem->node->ctr, mem->received_bytes, size);
	if (size <= SIG_SIZE ||
	    !sig_verify(mem->node->set.fleet_key, data, size - SIG_SIZE,
			data + size - SIG_SIZE) ||
	    mem_core_receive(mem->core, data, size - SIG_SIZE, now_us))
		ctr_add(mem->node->ctr, mem->refused, 1);
}

static void on_datagram(struct ev_loop *loop, ev_io *io, int events)
{
	struct mem *mem = io->data;
	uint8_t data[FS_DATAGRAM_MAX + 1];
	int64_t now_us = fs_now_us();

	(void)loop;
	(void)events;
	for (int i = 0; i < RECEIVE_BURST; i++) {
		ssize_t n = recv(mem->fd, data, sizeof(data), 0);

		if (n < 0)
			break;
		if (n <= FS_DATAGRAM_MAX)
			receive_datagram(mem, data, (size_t)n, now_us);
	}
	notify_config_hint(mem);
}

static void on_tick(void *task, int64_t now_us)
{
	struct mem *mem = task;

	mem_core_tick(mem->core, now_us);
	publish_view(mem);
}

static struct mem_member describe_self(const struct node *node)
{
	struct mem_member self = {
		.id = node->self,
		.incarnation = node->incarnation,
		.peer = node->set.peer_advertise,
		.caller = node->caller,
		.operator= node->operator,
		.link_mbps = node->set.link_mbps,
	};

	if (!self.peer.sin_port)
		self.peer = node->peer;
	g_strlcpy(self.name, node->set.name, sizeof(self.name));
	g_strlcpy(self.region, node->set.region, sizeof(self.region));
	g_strlcpy(self.domain, node->set.domain, sizeof(self.domain));
	return self;
}

/* Runs in the first loop iteration: all tasks have bound their addresses. */
static void on_start(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct mem *mem = timer->data;
	const struct node *node = mem->node;
	struct mem_member self = describe_self(node);

	(void)events;
	mem->core = mem_core_new(&self, node->self ^ node->incarnation,
				 send_datagram, mem);
	for (uint32_t i = 0; i < node->set.seed_count; i++)
		mem_core_add_seed(mem->core, &node->set.seeds[i]);
	ev_io_start(loop, &mem->io);
	node_add_tick(mem->node, on_tick, mem);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct mem *mem = task;

	if (!mem->core)
		return;
	if (m->type == MSG_CONFIG) {
		mem_core_set_config(mem->core, m->config.cfg->version, now_us);
	} else if (m->type == MSG_CONTACTS) {
		const GArray *at = m->contacts.addresses;

		mem_core_set_vm_contacts(mem->core, (const void *)at->data,
					 at->len);
	} else if (m->type == MSG_STOP) {
		mem_core_leave(mem->core);
		publish_view(mem);
	}
}

static const struct bus_task_ops ops = {
	.name = "members",
	.receive = receive,
};

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct mem *mem = task;

	struct mem_view *view = mem->core ? mem_core_peek(mem->core) : NULL;

	(void)now_us;
	mem_report_json(view, out);
	mem_view_unref(view);
}

static int open_socket(const struct sockaddr_in *at)
{
	int size = RECEIVE_BUFFER;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (const struct sockaddr *)at, sizeof(*at))) {
		close(fd);
		return -1;
	}
	return fd;
}

static void register_counters(struct mem *mem)
{
	struct ctr *ctr = mem->node->ctr;

	mem->sent = ctr_counter(ctr, "mem_sent_datagrams");
	mem->sent_bytes = ctr_counter(ctr, "mem_sent_bytes");
	mem->received = ctr_counter(ctr, "mem_received_datagrams");
	mem->received_bytes = ctr_counter(ctr, "mem_received_bytes");
	mem->refused = ctr_counter(ctr, "mem_refused_datagrams");
}

struct mem *mem_new(struct node *node)
{
	struct mem *mem;
	int fd = open_socket(&node->peer);

	if (fd < 0) {
		fs_log_eventf("mem", G_LOG_LEVEL_CRITICAL, "bind_failed",
			      "\"reason\":\"%s\"", g_strerror(errno));
		return NULL;
	}
	mem = g_new0(struct mem, 1);
	mem->node = node;
	mem->fd = fd;
	register_counters(mem);
	bus_attach(node->bus, MSG_TASK_MEMBERS, &ops, mem);
	node_add_status(node, "members", write_status, mem);
	ev_io_init(&mem->io, on_datagram, fd, EV_READ);
	mem->io.data = mem;
	ev_timer_init(&mem->start, on_start, 0.0, 0.0);
	mem->start.data = mem;
	ev_timer_start(node->loop, &mem->start);
	return mem;
}

void mem_free(struct mem *mem)
{
	if (!mem)
		return;
	ev_io_stop(mem->node->loop, &mem->io);
	ev_timer_stop(mem->node->loop, &mem->start);
	node_remove_tick(mem->node, mem);
	close(mem->fd);
	mem_core_free(mem->core);
	mem_view_unref(mem->view);
	g_free(mem);
}
