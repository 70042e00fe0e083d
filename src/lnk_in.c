#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fs_log.h"
#include "lnk.h"

#define READ_SIZE (64 * 1024)  /* bytes of one read */
#define OUTPUT_MAX (16 * 1024) /* bytes of unsent answers */

static void end(struct lnk_in *in, const char *reason)
{
	lnk_log_end(in->lnk, "in", in->peer, &in->address, reason);
	g_ptr_array_remove_fast(in->lnk->in, in);
	lnk_in_free(in);
}

static void watch(struct lnk_in *in, int events)
{
	if (in->io.events == events && ev_is_active(&in->io))
		return;
	ev_io_stop(in->lnk->node->loop, &in->io);
	ev_io_set(&in->io, in->fd, events);
	ev_io_start(in->lnk->node->loop, &in->io);
}

/* Returns the reason to close the link, or NULL. */
static const char *flush(struct lnk_in *in)
{
	while (in->output->len) {
		ssize_t sent = send(in->fd, in->output->data, in->output->len,
				    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0 && errno == EAGAIN) {
			watch(in, EV_READ | EV_WRITE);
			return in->output->len > OUTPUT_MAX ? "output_full" :
							      NULL;
		}
		if (sent < 0)
			return "write_failed";
		ctr_add(in->lnk->node->ctr, in->lnk->bytes_out, (uint64_t)sent);
		g_byte_array_remove_range(in->output, 0, (guint)sent);
	}
	watch(in, EV_READ);
	return NULL;
}

/* Returns whether a node connects from its IP address in the member view;
 * nodes that are not in the view pass. */
static bool address_matches(const struct lnk_in *in, node_id peer)
{
	const struct mem_member *member =
		in->lnk->view ? mem_view_find(in->lnk->view, peer) : NULL;

	return !member ||
	       member->peer.sin_addr.s_addr == in->address.sin_addr.s_addr;
}

static const char *handle_hello(struct lnk_in *in, const uint8_t *data,
				size_t size)
{
	struct node *node = in->lnk->node;
	size_t start;

	if (in->state != LNK_CONNECTING ||
	    lnk_hello_read(data, size, &in->hello))
		return "protocol";
	if (in->hello.to != node->self)
		return "wrong_receiver";
	if (fs_node_id(in->hello.name) == node->self)
		return "own_name";
	if (!address_matches(in, fs_node_id(in->hello.name)))
		return "wrong_address";
	g_strlcpy(in->challenge.name, node->set.name, FS_NAME_MAX);
	in->challenge.incarnation = node->incarnation;
	lnk_nonce_fill(in->challenge.nonce);
	if (lnk_mac(node->set.fleet_key, LNK_ACCEPTOR, &in->hello,
		    &in->challenge, in->challenge.mac))
		return "no_key";
	start = frm_begin(in->output);
	lnk_challenge_write(&in->challenge, in->output);
	frm_end(in->output, start);
	in->state = LNK_HANDSHAKE;
	return NULL;
}

/* Closes the older connections of a node. Data left in their socket buffers is
 * discarded: the peer has abandoned them, and a cancel on the new connection
 * must not be followed by its request on an old one. */
static void close_superseded(struct lnk_in *in)
{
	GPtrArray *all = in->lnk->in;

	for (guint i = all->len; i-- > 0;) {
		struct lnk_in *other = g_ptr_array_index(all, i);

		if (other != in && other->state == LNK_UP &&
		    other->peer == in->peer)
			end(other, "superseded");
	}
}

static bool is_newest(struct lnk_in *in)
{
	struct lnk_accepted *last =
		g_hash_table_lookup(in->lnk->accepted, &in->peer);
	const struct lnk_hello *hello = &in->hello;

	if (last && (hello->incarnation < last->incarnation ||
		     (hello->incarnation == last->incarnation &&
		      hello->serial <= last->serial)))
		return false;
	if (!last) {
		last = g_new0(struct lnk_accepted, 1);
		g_hash_table_insert(in->lnk->accepted,
				    g_memdup2(&in->peer, sizeof(in->peer)),
				    last);
	}
	last->incarnation = hello->incarnation;
	last->serial = hello->serial;
	return true;
}

static const char *handle_proof(struct lnk_in *in, const uint8_t *data,
				size_t size)
{
	const char *key = in->lnk->node->set.fleet_key;
	uint8_t mac[SIG_SIZE];

	if (in->state != LNK_HANDSHAKE || lnk_proof_read(data, size, mac))
		return "protocol";
	if (!lnk_mac_verify(key, LNK_OPENER, &in->hello, &in->challenge, mac))
		return "peer_not_proven";
	in->peer = fs_node_id(in->hello.name);
	if (!is_newest(in))
		return "older_than_known";
	close_superseded(in);
	in->state = LNK_UP;
	return NULL;
}

static const char *handle_message(struct lnk_in *in, const uint8_t *data,
				  size_t size)
{
	struct node *node = in->lnk->node;
	struct msg *m;

	if (in->state != LNK_UP || msg_decode(data, size, &m))
		return "protocol";
	m->from = in->peer;
	m->to = node->self;
	ctr_add(node->ctr, in->lnk->frames_in, 1);
	bus_deliver(node->bus, m);
	return NULL;
}

static const char *handle_ping(struct lnk_in *in, size_t size)
{
	uint8_t kind = LNK_PONG;
	size_t start;

	if (in->state != LNK_UP || size != 1)
		return "protocol";
	start = frm_begin(in->output);
	g_byte_array_append(in->output, &kind, 1);
	frm_end(in->output, start);
	return NULL;
}

/* Returns the reason to close the link, or NULL. */
static const char *handle_frame(struct lnk_in *in, const uint8_t *data,
				size_t size)
{
	switch (data[0]) {
	case LNK_MESSAGE:
		return handle_message(in, data + 1, size - 1);
	case LNK_HELLO:
		return handle_hello(in, data + 1, size - 1);
	case LNK_PROOF:
		return handle_proof(in, data + 1, size - 1);
	case LNK_PING:
		return handle_ping(in, size);
	case LNK_BYE:
		return in->state == LNK_UP ? "idle" : "protocol";
	default:
		return "protocol";
	}
}

static const char *handle_frames(struct lnk_in *in)
{
	const char *reason = NULL;
	const uint8_t *data;
	size_t size;
	int rc = 0;

	while (!reason && (rc = frm_next(&in->reader, &data, &size)) > 0)
		reason = handle_frame(in, data, size);
	return rc < 0 ? "protocol" : reason;
}

/* Reads until the socket is empty or LNK_READ_TURN_MAX bytes were read, and
 * delivers all frames in order. Tasks receive them in the next loop iteration,
 * so that after a stall of this process a task has both a request and the
 * cancel that followed it before it acts. */
static const char *read_socket(struct lnk_in *in)
{
	g_autofree uint8_t *buffer = g_malloc(READ_SIZE);
	const char *reason = NULL;
	size_t total = 0;

	while (!reason && total < LNK_READ_TURN_MAX) {
		ssize_t received =
			recv(in->fd, buffer, READ_SIZE, MSG_DONTWAIT);

		if (received < 0 && errno == EINTR)
			continue;
		if (received < 0 && errno == EAGAIN)
			return NULL;
		if (received <= 0)
			return received ? "read_failed" : "closed_by_peer";
		total += (size_t)received;
		in->last_rx_us = fs_now_us();
		ctr_add(in->lnk->node->ctr, in->lnk->bytes_in,
			(uint64_t)received);
		frm_push(&in->reader, buffer, (size_t)received);
		reason = handle_frames(in);
	}
	return reason;
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct lnk_in *in = io->data;
	const char *reason = read_socket(in);

	(void)loop;
	(void)events;
	if (!reason)
		reason = flush(in);
	if (reason)
		end(in, reason);
}

void lnk_in_new(struct lnk *lnk, int fd, const struct sockaddr_in *address,
		int64_t now_us)
{
	struct lnk_in *in = g_new0(struct lnk_in, 1);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	in->lnk = lnk;
	in->fd = fd;
	in->address = *address;
	in->output = g_byte_array_new();
	frm_reader_init(&in->reader);
	in->opened_us = in->last_rx_us = now_us;
	ev_io_init(&in->io, on_io, fd, EV_READ);
	in->io.data = in;
	ev_io_start(lnk->node->loop, &in->io);
	g_ptr_array_add(lnk->in, in);
}

void lnk_in_tick(struct lnk_in *in, int64_t now_us)
{
	if (in->state != LNK_UP && now_us - in->opened_us > FS_LINK_SILENT_US)
		end(in, "handshake_timeout");
	else if (now_us - in->last_rx_us > FS_LINK_SILENT_US)
		end(in, "silent");
}

void lnk_in_free(struct lnk_in *in)
{
	ev_io_stop(in->lnk->node->loop, &in->io);
	close(in->fd);
	g_byte_array_unref(in->output);
	frm_reader_clear(&in->reader);
	g_free(in);
}
