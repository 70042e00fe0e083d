#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fs_log.h"
#include "lnk.h"

#define READ_SIZE (64 * 1024)  /* bytes of one read */
#define OUTPUT_MAX (16 * 1024) /* bytes of handshake and heartbeat answers */

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

/* Returns why the link must be closed, or NULL. */
static const char *flush(struct lnk_in *in)
{
	while (in->output->len) {
		ssize_t taken = send(in->fd, in->output->data, in->output->len,
				     MSG_NOSIGNAL | MSG_DONTWAIT);

		if (taken < 0 && errno == EINTR)
			continue;
		if (taken < 0 && errno == EAGAIN) {
			watch(in, EV_READ | EV_WRITE);
			return in->output->len > OUTPUT_MAX ? "output_full" :
							      NULL;
		}
		if (taken < 0)
			return "write_failed";
		ctr_add(in->lnk->node->ctr, in->lnk->bytes_out,
			(uint64_t)taken);
		g_byte_array_remove_range(in->output, 0, (guint)taken);
	}
	watch(in, EV_READ);
	return NULL;
}

/* A known node connects from the address it is known by. */
static bool address_fits(const struct lnk_in *in, node_id peer)
{
	const struct mem_member *member =
		in->lnk->view ? mem_view_find(in->lnk->view, peer) : NULL;

	return !member ||
	       member->peer.sin_addr.s_addr == in->address.sin_addr.s_addr;
}

static const char *take_hello(struct lnk_in *in, const uint8_t *data,
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
	if (!address_fits(in, fs_node_id(in->hello.name)))
		return "wrong_address";
	g_strlcpy(in->challenge.name, node->set.name, FS_NAME_MAX);
	in->challenge.incarnation = node->incarnation;
	lnk_nonce_fill(in->challenge.nonce);
	if (lnk_mac(node->set.fleet_key, LNK_ACCEPTOR, &in->hello,
		    &in->challenge, in->challenge.code))
		return "no_key";
	start = frm_begin(in->output);
	lnk_challenge_write(&in->challenge, in->output);
	frm_end(in->output, start);
	in->state = LNK_HANDSHAKE;
	return NULL;
}

/* Closes the older connections of a node. What the kernel still holds of them
 * is not read: the peer has given them up, and a cancel on the new connection
 * must not be followed by its request on an old one. */
static void close_older(struct lnk_in *in)
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

static const char *take_proof(struct lnk_in *in, const uint8_t *data,
			      size_t size)
{
	const char *key = in->lnk->node->set.fleet_key;
	uint8_t code[SIG_SIZE];

	if (in->state != LNK_HANDSHAKE || lnk_proof_read(data, size, code))
		return "protocol";
	if (!lnk_mac_verify(key, LNK_OPENER, &in->hello, &in->challenge, code))
		return "peer_not_proven";
	in->peer = fs_node_id(in->hello.name);
	if (!is_newest(in))
		return "older_than_known";
	close_older(in);
	in->state = LNK_UP;
	return NULL;
}

static const char *take_message(struct lnk_in *in, const uint8_t *data,
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

static const char *take_ping(struct lnk_in *in, size_t size)
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

/* Returns why the link must be closed, or NULL. */
static const char *take_frame(struct lnk_in *in, const uint8_t *data,
			      size_t size)
{
	switch (data[0]) {
	case LNK_MESSAGE:
		return take_message(in, data + 1, size - 1);
	case LNK_HELLO:
		return take_hello(in, data + 1, size - 1);
	case LNK_PROOF:
		return take_proof(in, data + 1, size - 1);
	case LNK_PING:
		return take_ping(in, size);
	case LNK_BYE:
		return in->state == LNK_UP ? "idle" : "protocol";
	default:
		return "protocol";
	}
}

static const char *take_frames(struct lnk_in *in)
{
	const char *reason = NULL;
	const uint8_t *data;
	size_t size;
	int rc = 0;

	while (!reason && (rc = frm_next(&in->reader, &data, &size)) > 0)
		reason = take_frame(in, data, size);
	return rc < 0 ? "protocol" : reason;
}

/* Reads until the socket is empty and delivers all frames in order. Tasks get
 * them on the next turn of the loop, so that after a pause of this process a
 * task has both a request and the cancel that followed it before it acts. */
static const char *read_all(struct lnk_in *in)
{
	g_autofree uint8_t *buffer = g_malloc(READ_SIZE);
	const char *reason = NULL;
	size_t total = 0;

	while (!reason && total < LNK_READ_TURN_MAX) {
		ssize_t got = recv(in->fd, buffer, READ_SIZE, MSG_DONTWAIT);

		if (got < 0 && errno == EINTR)
			continue;
		if (got < 0 && errno == EAGAIN)
			return NULL;
		if (got <= 0)
			return got ? "read_failed" : "closed_by_peer";
		total += (size_t)got;
		in->last_rx_us = fs_now_us();
		ctr_add(in->lnk->node->ctr, in->lnk->bytes_in, (uint64_t)got);
		frm_push(&in->reader, buffer, (size_t)got);
		reason = take_frames(in);
	}
	return reason;
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct lnk_in *in = io->data;
	const char *reason = read_all(in);

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
