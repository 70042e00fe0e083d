#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "fs_log.h"
#include "lnk.h"

#define READ_SIZE 4096 /* bytes; peers answer only heartbeats here */
#define WRITE_FRAMES 64

static void frame_free(struct lnk_frame *frame)
{
	g_byte_array_unref(frame->bytes);
	g_free(frame);
}

/* Appends a frame, or puts a control frame before waiting messages: neither
 * handshake nor heartbeats may wait for a long queue. */
static void queue(struct lnk_out *out, struct lnk_frame *frame)
{
	out->queued += frame->bytes->len;
	if (frame->control)
		g_queue_push_nth(&out->frames, frame, out->written ? 1 : 0);
	else
		g_queue_push_tail(&out->frames, frame);
}

static void queue_control(struct lnk_out *out, GByteArray *payload)
{
	struct lnk_frame *frame = g_new0(struct lnk_frame, 1);
	size_t start;

	frame->control = true;
	frame->bytes = g_byte_array_new();
	start = frm_begin(frame->bytes);
	g_byte_array_append(frame->bytes, payload->data, payload->len);
	frm_end(frame->bytes, start);
	g_byte_array_unref(payload);
	queue(out, frame);
}

static void queue_kind(struct lnk_out *out, enum lnk_kind kind)
{
	GByteArray *payload = g_byte_array_new();
	uint8_t byte = (uint8_t)kind;

	g_byte_array_append(payload, &byte, 1);
	queue_control(out, payload);
}

static const struct sockaddr_in *own_address(const struct node *node)
{
	if (node->set.peer_advertise.sin_addr.s_addr)
		return &node->set.peer_advertise;
	return &node->set.peer_listen;
}

/* Makes a socket that sends from the node's own IP, by which the peer can
 * tell that the name in the handshake fits the address it knows. */
static int start_connect(const struct node *node, const struct sockaddr_in *to)
{
	struct sockaddr_in from = {
		.sin_family = AF_INET,
		.sin_addr = own_address(node)->sin_addr,
	};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	if (from.sin_addr.s_addr &&
	    bind(fd, (const struct sockaddr *)&from, sizeof(from)))
		goto fail;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) &&
	    errno != EINPROGRESS)
		goto fail;
	return fd;
fail:
	close(fd);
	return -1;
}

static void watch(struct lnk_out *out, int events)
{
	if (out->io.events == events && ev_is_active(&out->io))
		return;
	ev_io_stop(out->lnk->node->loop, &out->io);
	ev_io_set(&out->io, out->fd, events);
	ev_io_start(out->lnk->node->loop, &out->io);
}

static bool sendable(const struct lnk_out *out, const struct lnk_frame *frame)
{
	return frame->control || out->state == LNK_UP;
}

/* Collects what may be written now. */
static size_t gather(struct lnk_out *out, struct iovec *parts)
{
	size_t n = 0;

	for (GList *l = out->frames.head; l && n < WRITE_FRAMES; l = l->next) {
		const struct lnk_frame *frame = l->data;
		size_t skip = n ? 0 : out->written;

		if (!sendable(out, frame))
			break;
		parts[n].iov_base = frame->bytes->data + skip;
		parts[n++].iov_len = frame->bytes->len - skip;
	}
	return n;
}

/* Drops the frames that the kernel has taken whole. */
static void advance(struct lnk_out *out, size_t taken)
{
	ctr_add(out->lnk->node->ctr, out->lnk->bytes_out, taken);
	out->written += taken;
	while (!g_queue_is_empty(&out->frames)) {
		struct lnk_frame *frame = g_queue_peek_head(&out->frames);

		if (out->written < frame->bytes->len)
			return;
		out->written -= frame->bytes->len;
		out->queued -= frame->bytes->len;
		g_queue_pop_head(&out->frames);
		frame_free(frame);
		ctr_add(out->lnk->node->ctr, out->lnk->frames_out, 1);
	}
}

bool lnk_out_flush(struct lnk_out *out)
{
	struct iovec parts[WRITE_FRAMES];
	struct msghdr header = {.msg_iov = parts};
	ssize_t taken;

	if (out->state == LNK_CONNECTING)
		return true;
	while ((header.msg_iovlen = gather(out, parts))) {
		taken = sendmsg(out->fd, &header, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (taken < 0 && errno == EINTR)
			continue;
		if (taken < 0 && errno == EAGAIN) {
			watch(out, EV_READ | EV_WRITE);
			return true;
		}
		if (taken < 0) {
			lnk_out_break(out, "write_failed");
			return false;
		}
		advance(out, (size_t)taken);
	}
	watch(out, EV_READ);
	return true;
}

static void begin_handshake(struct lnk_out *out)
{
	GByteArray *payload = g_byte_array_new();

	lnk_hello_write(&out->hello, payload);
	queue_control(out, payload);
	out->state = LNK_HANDSHAKE;
	lnk_out_flush(out);
}

/* The peer proves itself first; then this node does, and messages follow. */
static const char *take_challenge(struct lnk_out *out, const uint8_t *data,
				  size_t size)
{
	const char *key = out->lnk->node->set.fleet_key;
	struct lnk_challenge challenge = {0};
	GByteArray *payload;
	uint8_t code[SIG_SIZE];

	if (out->state != LNK_HANDSHAKE ||
	    lnk_challenge_read(data, size, &challenge))
		return "protocol";
	if (fs_node_id(challenge.name) != out->peer ||
	    !lnk_mac_verify(key, LNK_ACCEPTOR, &out->hello, &challenge,
			    challenge.code))
		return "peer_not_proven";
	if (lnk_mac(key, LNK_OPENER, &out->hello, &challenge, code))
		return "no_key";
	payload = g_byte_array_new();
	lnk_proof_write(code, payload);
	queue_control(out, payload);
	out->state = LNK_UP;
	fs_log_eventf("lnk", G_LOG_LEVEL_INFO, "link_up",
		      "\"peer\":\"%s\",\"serial\":%" G_GUINT64_FORMAT,
		      challenge.name, out->hello.serial);
	return NULL;
}

/* Returns why the link must be broken, or NULL. */
static const char *take_frame(struct lnk_out *out, const uint8_t *data,
			      size_t size)
{
	switch (data[0]) {
	case LNK_CHALLENGE:
		return take_challenge(out, data + 1, size - 1);
	case LNK_PONG:
		return out->state == LNK_UP && size == 1 ? NULL : "protocol";
	default:
		return "protocol";
	}
}

static const char *take_frames(struct lnk_out *out)
{
	const char *reason = NULL;
	const uint8_t *data;
	size_t size;
	int rc = 0;

	while (!reason && (rc = frm_next(&out->reader, &data, &size)) > 0)
		reason = take_frame(out, data, size);
	return rc < 0 ? "protocol" : reason;
}

static const char *read_all(struct lnk_out *out)
{
	uint8_t buffer[READ_SIZE];
	const char *reason = NULL;
	ssize_t got;

	while (!reason) {
		got = recv(out->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (got < 0 && errno == EINTR)
			continue;
		if (got < 0 && errno == EAGAIN)
			return NULL;
		if (got <= 0)
			return got ? "read_failed" : "closed_by_peer";
		out->last_rx_us = fs_now_us();
		ctr_add(out->lnk->node->ctr, out->lnk->bytes_in, (uint64_t)got);
		frm_push(&out->reader, buffer, (size_t)got);
		reason = take_frames(out);
	}
	return reason;
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct lnk_out *out = io->data;
	const char *reason;
	socklen_t size = sizeof(int);
	int err = 0;

	(void)loop;
	(void)events;
	if (out->state == LNK_CONNECTING) {
		getsockopt(out->fd, SOL_SOCKET, SO_ERROR, &err, &size);
		if (err)
			lnk_out_break(out, "connect_failed");
		else
			begin_handshake(out);
		return;
	}
	reason = read_all(out);
	if (reason)
		lnk_out_break(out, reason);
	else
		lnk_out_flush(out);
}

struct lnk_out *lnk_out_open(struct lnk *lnk, const struct mem_member *member,
			     int64_t now_us)
{
	int fd = start_connect(lnk->node, &member->peer);
	struct lnk_out *out;

	if (fd < 0)
		return NULL;
	out = g_new0(struct lnk_out, 1);
	out->lnk = lnk;
	out->peer = member->id;
	out->fd = fd;
	g_strlcpy(out->hello.name, lnk->node->set.name, FS_NAME_MAX);
	out->hello.incarnation = lnk->node->incarnation;
	out->hello.serial = ++lnk->serial;
	out->hello.to = member->id;
	lnk_nonce_fill(out->hello.nonce);
	frm_reader_init(&out->reader);
	g_queue_init(&out->frames);
	out->opened_us = out->last_rx_us = out->used_us = now_us;
	ev_io_init(&out->io, on_io, fd, EV_WRITE);
	out->io.data = out;
	ev_io_start(lnk->node->loop, &out->io);
	g_hash_table_insert(lnk->out, &out->peer, out);
	return out;
}

/* Encodes a message; NULL if it is too large for a frame. */
static struct lnk_frame *frame_of(const struct msg *m)
{
	struct lnk_frame *frame = g_new0(struct lnk_frame, 1);
	uint8_t kind = LNK_MESSAGE;
	size_t start;

	frame->bytes = g_byte_array_new();
	start = frm_begin(frame->bytes);
	g_byte_array_append(frame->bytes, &kind, 1);
	if (msg_encode(m, frame->bytes) || frm_end(frame->bytes, start)) {
		frame_free(frame);
		return NULL;
	}
	if (m->type == MSG_REQUEST) {
		frame->request = true;
		frame->id = m->request.id;
	}
	return frame;
}

/* Takes a request out of the queue that the kernel has no byte of, so that
 * its cancel is confirmed here. Returns whether it was there. */
static bool withdraw(struct lnk_out *out, const struct req_id *id)
{
	GList *l = out->frames.head;
	struct lnk_frame *frame;

	if (l && out->written)
		l = l->next;
	for (; l; l = l->next) {
		frame = l->data;
		if (frame->request && req_id_equal(&frame->id, id))
			break;
	}
	if (!l)
		return false;
	out->queued -= frame->bytes->len;
	g_queue_delete_link(&out->frames, l);
	frame_free(frame);
	lnk_refuse_not_run(out->lnk, out->peer, id);
	return true;
}

void lnk_out_send(struct lnk_out *out, struct msg *m, int64_t now_us)
{
	struct lnk *lnk = out->lnk;
	struct lnk_frame *frame;
	bool fits;

	if (m->type == MSG_CANCEL && withdraw(out, &m->cancel.id)) {
		msg_free(m);
		return;
	}
	frame = frame_of(m);
	fits = frame && out->queued + frame->bytes->len <= FS_LINK_QUEUE_MAX;
	if (fits) {
		queue(out, frame);
		out->used_us = now_us;
	} else if (m->type == MSG_REQUEST) {
		lnk_refuse_not_run(lnk, out->peer, &m->request.id);
	} else if (frame) {
		lnk_out_break(out, "queue_full");
	} else {
		ctr_count(lnk->node->ctr, "lnk_messages_not_encodable", 1);
	}
	if (frame && !fits)
		frame_free(frame);
	msg_free(m);
}

void lnk_out_tick(struct lnk_out *out, int64_t now_us)
{
	if (out->state != LNK_UP) {
		if (now_us - out->opened_us > LNK_HANDSHAKE_TIMEOUT_US)
			lnk_out_break(out, "handshake_timeout");
		return;
	}
	if (now_us - out->last_rx_us > FS_LINK_SILENT_US) {
		lnk_out_break(out, "silent");
		return;
	}
	if (now_us - out->used_us > LNK_IDLE_TIMEOUT_US &&
	    g_queue_is_empty(&out->frames)) {
		queue_kind(out, LNK_BYE);
		if (!lnk_out_flush(out))
			return;
		g_hash_table_remove(out->lnk->out, &out->peer);
		lnk_out_free(out);
		return;
	}
	queue_kind(out, LNK_PING);
}

/* The last byte of each frame left was never handed to the kernel, so the
 * peer can not have decoded it: its request can not run. */
static void give_back(struct lnk_out *out)
{
	for (GList *l = out->frames.head; l; l = l->next) {
		const struct lnk_frame *frame = l->data;

		if (frame->request)
			lnk_refuse_not_run(out->lnk, out->peer, &frame->id);
	}
}

void lnk_out_break(struct lnk_out *out, const char *reason)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct sockaddr_in address = {0};
	socklen_t size = sizeof(address);

	getpeername(out->fd, (struct sockaddr *)&address, &size);
	/* A reset drops what the kernel has not sent yet. */
	setsockopt(out->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	lnk_log_end(out->lnk, "out", out->peer, &address, reason);
	give_back(out);
	lnk_notify_down(out->lnk, out->peer);
	g_hash_table_remove(out->lnk->out, &out->peer);
	lnk_out_free(out);
}

void lnk_out_free(struct lnk_out *out)
{
	struct lnk_frame *frame;

	ev_io_stop(out->lnk->node->loop, &out->io);
	close(out->fd);
	while ((frame = g_queue_pop_head(&out->frames)))
		frame_free(frame);
	frm_reader_clear(&out->reader);
	g_free(out);
}
