#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fs_log.h"
#include "lod_impl.h"

#define DATAGRAMS_PER_WAKEUP_MAX 128 /* datagrams per event of the socket */

static void send_to(struct lod *lod, const GByteArray *data,
		    const struct mem_member *m)
{
	struct sockaddr_in to = m->peer;

	to.sin_port = lod->port;
	/* Errors are ignored: datagrams may be lost anyway. */
	(void)sendto(lod->fd, data->data, data->len, 0,
		     (const struct sockaddr *)&to, sizeof(to));
	ctr_add(lod->node->ctr, lod->sent, 1);
}

void lod_send_to_node(struct lod *lod, const GByteArray *data, node_id to)
{
	const struct mem_member *m = lod->view ? mem_view_find(lod->view, to) :
						 NULL;

	if (m && to != lod->node->self)
		send_to(lod, data, m);
}

void lod_broadcast_domain(struct lod *lod, const GByteArray *data)
{
	for (uint32_t i = 0; i < lod->view->count; i++) {
		const struct mem_member *m = &lod->view->members[i];

		if (m->id != lod->node->self && m->state != MEM_DEAD &&
		    lod_name_hash(m->domain) == lod->domain)
			send_to(lod, data, m);
	}
}

/* After this time without a digest of a hub, an earlier start is of a new process:
 * the time of day was set back. */
#define RESTARTED_US FS_US_PER_S

/* Returns whether a digest was not forwarded yet. Two hubs of a domain that both
 * believe to be active would send it to each other for ever. */
static bool is_new_digest(struct lod *lod, const struct lod_packet *packet,
			  int64_t now_us)
{
	struct lod_forwarded *last =
		g_hash_table_lookup(lod->forwarded, &packet->sender);

	if (!last) {
		last = g_new0(struct lod_forwarded, 1);
		g_hash_table_insert(
			lod->forwarded,
			g_memdup2(&packet->sender, sizeof(packet->sender)),
			last);
	}
	if (last->incarnation > packet->incarnation &&
	    now_us - last->at_us < RESTARTED_US)
		return false;
	if (last->incarnation != packet->incarnation)
		*last = (struct lod_forwarded){.incarnation =
						       packet->incarnation};
	else if ((int32_t)(packet->serial - last->serial[packet->type]) <= 0)
		return false;
	last->serial[packet->type] = packet->serial;
	last->at_us = now_us;
	return true;
}

static void handle_packet(struct lod *lod, const struct lod_packet *packet,
			  const uint8_t *data, size_t size, int64_t now_us)
{
	bool local = packet->domain == lod->domain;

	if (packet->type == LOD_REPORT)
		lod_hub_receive_report(lod, packet, now_us);
	if (packet->type == LOD_STATEMENT_REPORT)
		lod_statement_receive(lod, packet, now_us);
	if (packet->type == LOD_QUOTA_REPORT)
		lod_quota_receive(lod, packet, now_us);
	if ((packet->type != LOD_DIGEST &&
	     packet->type != LOD_STATEMENT_DIGEST &&
	     packet->type != LOD_QUOTA_DIGEST) ||
	    packet->sender == lod->node->self)
		return;
	/* The active hub forwards digests of other domains to its own. */
	if (!local && lod_hub_is_active(lod, now_us) &&
	    is_new_digest(lod, packet, now_us)) {
		g_autoptr(GByteArray) forwarded = g_byte_array_new();

		g_byte_array_append(forwarded, data, (guint)size);
		lod_broadcast_domain(lod, forwarded);
	}
	if (packet->type == LOD_DIGEST)
		lod_apply_digest(lod, packet, now_us);
	else if (packet->type == LOD_QUOTA_DIGEST)
		lod_quota_receive(lod, packet, now_us);
	else
		lod_statement_receive(lod, packet, now_us);
}

static void on_datagram(struct ev_loop *loop, ev_io *io, int events)
{
	struct lod *lod = io->data;
	uint8_t data[FS_DATAGRAM_MAX + 1];
	int64_t now_us = fs_now_us();

	(void)loop;
	(void)events;
	for (int i = 0; i < DATAGRAMS_PER_WAKEUP_MAX && lod->view; i++) {
		ssize_t n = recv(lod->fd, data, sizeof(data), 0);
		struct lod_packet packet;

		if (n < 0)
			return;
		if (lod_wire_decode(data, (size_t)n, lod->node->set.fleet_key,
				    now_us, &packet))
			ctr_add(lod->node->ctr, lod->refused, 1);
		else
			handle_packet(lod, &packet, data, (size_t)n, now_us);
		ctr_add(lod->node->ctr, lod->received, 1);
		lod_packet_clear(&packet);
	}
}

static int open_socket(const struct sockaddr_in *at)
{
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 && bind(fd, (const struct sockaddr *)at, sizeof(*at))) {
		close(fd);
		return -1;
	}
	return fd;
}

int lod_net_open(struct lod *lod)
{
	lod->fd = open_socket(&lod->node->set.load_listen);
	if (lod->fd < 0) {
		fs_log_eventf("lod", G_LOG_LEVEL_CRITICAL, "bind_failed",
			      "\"reason\":\"%s\"", g_strerror(errno));
		return FS_E_IO;
	}
	lod->port = lod->node->set.load_listen.sin_port;
	ev_io_init(&lod->io, on_datagram, lod->fd, EV_READ);
	lod->io.data = lod;
	ev_io_start(lod->node->loop, &lod->io);
	return 0;
}

void lod_net_close(struct lod *lod)
{
	ev_io_stop(lod->node->loop, &lod->io);
	close(lod->fd);
}
