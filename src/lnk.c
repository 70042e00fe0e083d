#include "lnk.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fs_log.h"
#include "net.h"

static bool may_accept(const struct lnk *lnk)
{
	guint handshakes = 0;

	for (guint i = 0; i < lnk->in->len; i++) {
		const struct lnk_in *in = g_ptr_array_index(lnk->in, i);

		handshakes += in->state != LNK_UP;
	}
	return lnk->in->len < LNK_IN_MAX && handshakes < LNK_HANDSHAKES_MAX;
}

static void on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	struct lnk *lnk = io->data;
	struct sockaddr_in address;
	socklen_t size = sizeof(address);
	int fd;

	(void)loop;
	(void)events;
	while ((fd = accept4(lnk->listen_fd, (struct sockaddr *)&address, &size,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (may_accept(lnk)) {
			lnk_in_new(lnk, fd, &address, fs_now_us());
			continue;
		}
		lnk_log_end(lnk, "in", 0, &address, "too_many");
		close(fd);
	}
}

/* A stall of this process must not expire the time-outs of its links:
 * all link timestamps advance by the length of the stall. */
static void compensate_stall(struct lnk *lnk, int64_t now_us)
{
	int64_t missed = now_us - lnk->last_tick_us - FS_LINK_HEARTBEAT_US;
	GHashTableIter iter;
	void *value;

	lnk->last_tick_us = now_us;
	if (missed < FS_LINK_HEARTBEAT_US)
		return;
	g_hash_table_iter_init(&iter, lnk->out);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lnk_out *out = value;

		out->last_rx_us = MIN(now_us, out->last_rx_us + missed);
		out->opened_us = MIN(now_us, out->opened_us + missed);
	}
	for (guint i = 0; i < lnk->in->len; i++) {
		struct lnk_in *in = g_ptr_array_index(lnk->in, i);

		in->last_rx_us = MIN(now_us, in->last_rx_us + missed);
		in->opened_us = MIN(now_us, in->opened_us + missed);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct lnk *lnk = timer->data;
	int64_t now_us = fs_now_us();
	g_autoptr(GList) all = g_hash_table_get_values(lnk->out);

	(void)loop;
	(void)events;
	compensate_stall(lnk, now_us);
	for (GList *l = all; l; l = l->next)
		lnk_out_tick(l->data, now_us);
	for (guint i = lnk->in->len; i-- > 0;)
		lnk_in_tick(g_ptr_array_index(lnk->in, i), now_us);
}

static void flush_all(struct lnk *lnk)
{
	g_autoptr(GList) all = g_hash_table_get_values(lnk->out);

	for (GList *l = all; l; l = l->next) {
		struct lnk_out *out = l->data;

		if (!g_queue_is_empty(&out->frames))
			lnk_out_flush(out);
	}
}

/* Batches writes: flushes all queued frames once per loop iteration. */
static void on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	(void)loop;
	(void)events;
	flush_all(prepare->data);
}

/* Sends a message to a peer; opens a link if there is none. */
static void send_remote(void *arg, struct msg *m, int64_t now_us)
{
	struct lnk *lnk = arg;
	struct lnk_out *out = g_hash_table_lookup(lnk->out, &m->to);
	const struct mem_member *member;

	m->from = lnk->node->self;
	if (!out) {
		member = lnk->view ? mem_view_find(lnk->view, m->to) : NULL;
		out = member ? lnk_out_open(lnk, member, now_us) : NULL;
	}
	if (out) {
		lnk_out_send(out, m, now_us);
		return;
	}
	ctr_count(lnk->node->ctr, "lnk_no_address", 1);
	if (m->type == MSG_REQUEST)
		lnk_refuse_not_run(lnk, m->to, &m->request.id);
	lnk_notify_down(lnk, m->to);
	msg_free(m);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct lnk *lnk = task;

	(void)now_us;
	if (m->type != MSG_VIEW)
		return;
	mem_view_unref(lnk->view);
	lnk->view = mem_view_ref(m->view.view);
}

static const struct bus_task_ops ops = {
	.name = "link",
	.receive = receive,
};

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct lnk *lnk = task;

	(void)now_us;
	g_string_append_printf(out, "{\"opened\":%u,\"accepted\":%u}",
			       g_hash_table_size(lnk->out), lnk->in->len);
}

static void start_watchers(struct lnk *lnk)
{
	struct ev_loop *loop = lnk->node->loop;

	ev_io_init(&lnk->accept_io, on_accept, lnk->listen_fd, EV_READ);
	lnk->accept_io.data = lnk;
	ev_io_start(loop, &lnk->accept_io);
	ev_timer_init(&lnk->tick, on_tick,
		      (double)FS_LINK_HEARTBEAT_US / FS_US_PER_S,
		      (double)FS_LINK_HEARTBEAT_US / FS_US_PER_S);
	lnk->tick.data = lnk;
	ev_timer_start(loop, &lnk->tick);
	ev_prepare_init(&lnk->flush, on_prepare);
	lnk->flush.data = lnk;
	ev_prepare_start(loop, &lnk->flush);
	lnk->last_tick_us = fs_now_us();
}

struct lnk *lnk_new(struct node *node)
{
	int fd = net_listen(&node->set.peer_listen, &node->peer);
	struct lnk *lnk;

	if (fd < 0) {
		fs_log_eventf("lnk", G_LOG_LEVEL_CRITICAL, "listen_failed",
			      "\"errno\":%d", errno);
		return NULL;
	}
	lnk = g_new0(struct lnk, 1);
	lnk->node = node;
	lnk->listen_fd = fd;
	lnk->out = g_hash_table_new(g_int64_hash, g_int64_equal);
	lnk->in = g_ptr_array_new();
	lnk->accepted = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	lnk->frames_out = ctr_counter(node->ctr, "lnk_frames_out");
	lnk->frames_in = ctr_counter(node->ctr, "lnk_frames_in");
	lnk->bytes_out = ctr_counter(node->ctr, "lnk_bytes_out");
	lnk->bytes_in = ctr_counter(node->ctr, "lnk_bytes_in");
	start_watchers(lnk);
	bus_attach(node->bus, MSG_TASK_LINK, &ops, lnk);
	bus_attach_remote(node->bus, send_remote, lnk);
	node_add_status(node, "links", write_status, lnk);
	return lnk;
}

static void stop_watchers(struct lnk *lnk)
{
	struct ev_loop *loop = lnk->node->loop;

	ev_io_stop(loop, &lnk->accept_io);
	ev_timer_stop(loop, &lnk->tick);
	ev_prepare_stop(loop, &lnk->flush);
}

void lnk_free(struct lnk *lnk)
{
	GHashTableIter iter;
	void *value;

	if (!lnk)
		return;
	stop_watchers(lnk);
	/* Replies of the loop's last turn. */
	flush_all(lnk);
	g_hash_table_iter_init(&iter, lnk->out);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lnk_out_free(value);
	for (guint i = 0; i < lnk->in->len; i++)
		lnk_in_free(g_ptr_array_index(lnk->in, i));
	close(lnk->listen_fd);
	g_hash_table_unref(lnk->out);
	g_hash_table_unref(lnk->accepted);
	g_ptr_array_unref(lnk->in);
	mem_view_unref(lnk->view);
	bus_attach_remote(lnk->node->bus, NULL, NULL);
	g_free(lnk);
}
