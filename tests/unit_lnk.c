/* Links between nodes: authentication, message order, and refusal of unsent
 * requests. */
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_lnk.h"
#include "fs_log.h"

static struct ev_loop *loop;

static void test_messages_in_order(void)
{
	struct pair_node a;
	struct pair_node b;

	pair_begin(&a, loop, "a", PAIR_KEY);
	pair_begin(&b, loop, "b", PAIR_KEY);
	pair_meet(&a, "b", &b.node.peer);
	for (uint64_t i = 1; i <= 500; i++)
		pair_request(&a, "b", i, i * 7);
	pair_until(loop, b.got->len == 500);
	for (uint64_t i = 1; i <= 500; i++) {
		const struct msg *m = g_ptr_array_index(b.got, i - 1);

		g_assert_cmpuint(m->request.id.counter, ==, i);
		g_assert_cmpuint(m->from, ==, a.node.self);
		g_assert_cmpuint(g_bytes_get_size(m->request.body), ==, i * 7);
	}
	pair_end(&a);
	pair_end(&b);
}

/* Refuses all requests as not run, as a dispatch task does that has stopped. */
static void refuse(void *task, struct msg *m, int64_t now_us)
{
	struct pair_node *p = task;
	struct msg *reply;

	(void)now_us;
	if (m->type != MSG_REQUEST)
		return;
	reply = msg_new(MSG_REFUSAL, m->from, MSG_TASK_ENTRY);
	reply->refusal.id = m->request.id;
	reply->refusal.err = FS_E_NOT_OWNER;
	reply->refusal.outcome = FS_NOT_RUN;
	bus_send(p->node.bus, reply);
}

static const struct bus_task_ops refusing_ops = {"test", refuse};

/* What the link task of a node does with a request that it has read. */
static void read_request(struct pair_node *p, node_id from, uint64_t counter)
{
	struct msg *m = msg_new(MSG_REQUEST, p->node.self, MSG_TASK_DISPATCH);

	m->from = from;
	m->request.id.counter = counter;
	bus_deliver(p->node.bus, m);
}

/* Guards against a request without an answer that a node reads in the last turn
 * of its loop: nothing delivered it, and nothing wrote the refusal. */
static void test_last_request_is_answered(void)
{
	struct pair_node a;
	struct pair_node b;

	pair_begin(&a, loop, "a", PAIR_KEY);
	pair_begin(&b, loop, "b", PAIR_KEY);
	bus_attach(b.node.bus, MSG_TASK_DISPATCH, &refusing_ops, &b);
	pair_meet(&a, "b", &b.node.peer);
	pair_meet(&b, "a", &a.node.peer);
	pair_request(&a, "b", 1, 10);
	pair_until(loop, pair_find(&a, MSG_REFUSAL, 1));
	read_request(&b, a.node.self, 2);
	bus_deliver_queued(b.node.bus);
	pair_end(&b);
	pair_run(loop, 50 * FS_US_PER_MS);
	g_assert_nonnull(pair_find(&a, MSG_REFUSAL, 2));
	pair_end(&a);
}

/* Ends with different keys reject each other; queued requests are refused as
 * not run. */
static void test_wrong_key_is_refused(void)
{
	struct pair_node a;
	struct pair_node b;
	const struct msg *m;

	pair_begin(&a, loop, "a", PAIR_KEY);
	pair_begin(&b, loop, "b", "another key of the tests");
	pair_meet(&a, "b", &b.node.peer);
	pair_request(&a, "b", 1, 10);
	pair_until(loop, (m = pair_find(&a, MSG_REFUSAL, 1)));
	g_assert_cmpint(m->refusal.outcome, ==, FS_NOT_RUN);
	g_assert_cmpint(m->refusal.err, ==, FS_E_NO_DISPATCHER);
	g_assert_cmpuint(m->from, ==, b.node.self);
	g_assert_cmpuint(a.downs, ==, 1);
	g_assert_cmpuint(b.got->len, ==, 0);
	pair_end(&a);
	pair_end(&b);
}

static void test_unauthenticated_opener_is_refused(void)
{
	struct pair_node a;
	struct raw_peer raw;

	pair_begin(&a, loop, "a", PAIR_KEY);
	raw_open(&raw, &a, "b", 1, 1);
	raw_prove(&raw, loop, "another key of the tests");
	raw_message(&raw, MSG_REQUEST, 1);
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	/* A message before the PROOF. */
	raw_open(&raw, &a, "b", 1, 2);
	raw_message(&raw, MSG_REQUEST, 2);
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	g_assert_cmpuint(a.got->len, ==, 0);
	pair_end(&a);
}

/* A HELLO is rejected that names a member with another address, the acceptor
 * itself, or another receiver. */
static void test_claimed_names(void)
{
	struct pair_node a;
	struct raw_peer raw;
	struct sockaddr_in elsewhere;

	pair_begin(&a, loop, "a", PAIR_KEY);
	set_parse_address("127.0.0.9:1", &elsewhere);
	pair_meet(&a, "c", &elsewhere);
	raw_open(&raw, &a, "c", 1, 1);
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	raw_open(&raw, &a, "a", 1, 1);
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	a.node.self++;
	raw_open(&raw, &a, "b", 1, 1);
	a.node.self--;
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	pair_end(&a);
}

/* Frames of a superseded connection are not delivered after those of its
 * successor. */
static void test_superseded_link_is_ignored(void)
{
	struct pair_node a;
	struct raw_peer old;
	struct raw_peer new;

	pair_begin(&a, loop, "a", PAIR_KEY);
	raw_open(&old, &a, "b", 1, 1);
	raw_prove(&old, loop, PAIR_KEY);
	raw_message(&old, MSG_REQUEST, 1);
	pair_until(loop, pair_find(&a, MSG_REQUEST, 1));
	raw_open(&new, &a, "b", 1, 2);
	raw_prove(&new, loop, PAIR_KEY);
	raw_message(&new, MSG_CANCEL, 2);
	pair_until(loop, pair_find(&a, MSG_CANCEL, 2));
	raw_message(&old, MSG_REQUEST, 2);
	pair_run(loop, 100000);
	g_assert_null(pair_find(&a, MSG_REQUEST, 2));
	g_assert_true(raw_closed(&old));
	raw_end(&old);
	/* An older connection cannot complete its handshake late. */
	raw_open(&old, &a, "b", 1, 1);
	raw_prove(&old, loop, PAIR_KEY);
	raw_message(&old, MSG_REQUEST, 3);
	pair_until(loop, raw_closed(&old));
	g_assert_null(pair_find(&a, MSG_REQUEST, 3));
	raw_end(&old);
	raw_end(&new);
	pair_end(&a);
}

/* Reads frames from the raw socket and marks the requests that were decoded. */
static void drain(struct raw_peer *raw, int reads, bool *decoded)
{
	static uint8_t buffer[64 * 1024];
	const uint8_t *data;
	size_t size;
	ssize_t n;

	while (reads-- && (n = recv(raw->fd, buffer, sizeof(buffer), 0)) > 0) {
		frm_push(&raw->reader, buffer, (size_t)n);
		while (frm_next(&raw->reader, &data, &size) == 1) {
			struct msg *m = NULL;

			if (data[0] == LNK_MESSAGE &&
			    !msg_decode(data + 1, size - 1, &m))
				decoded[m->request.id.counter] = true;
			msg_free(m);
		}
	}
}

/* A link breaks under load: no request is both refused as not run and decodable
 * at the peer. A request that is neither was lost in the kernel's buffers. */
static void test_refused_was_never_decodable(void)
{
	enum {
		COUNT = 200
	};
	bool decoded[COUNT + 1] = {0};
	struct pair_node a;
	struct raw_peer raw;
	struct sockaddr_in address;
	uint32_t refused = 0;
	uint32_t decodable = 0;
	int fd = raw_listen(&address);
	int small = 64 * 1024;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	pair_begin(&a, loop, "a", PAIR_KEY);
	pair_meet(&a, "b", &address);
	for (uint64_t i = 1; i <= COUNT / 2; i++)
		pair_request(&a, "b", i, 16);
	raw_accept(&raw, loop, fd, "b", PAIR_KEY);
	pair_run(loop, 50000);
	drain(&raw, 1000, decoded);
	/* More than the socket buffers hold: one frame is partially written. */
	for (uint64_t i = COUNT / 2 + 1; i <= COUNT; i++)
		pair_request(&a, "b", i, 80 * 1024);
	pair_run(loop, 50000);
	drain(&raw, 20, decoded);
	pair_run(loop, 20000);
	raw_send(&raw, LNK_BYE, "", 0); /* protocol violation by an acceptor */
	pair_until(loop, a.downs == 1);
	drain(&raw, 1000, decoded);
	for (uint64_t i = 1; i <= COUNT; i++) {
		bool is_refused = pair_find(&a, MSG_REFUSAL, i);

		g_assert_false(is_refused && decoded[i]);
		refused += is_refused;
		decodable += decoded[i];
	}
	g_assert_cmpuint(refused, >, 10);
	g_assert_cmpuint(decodable, >=, COUNT / 2);
	raw_end(&raw);
	close(fd);
	pair_end(&a);
}

/* A cancel removes a request that is queued until the handshake ends. */
static void test_cancel_of_unwritten_request(void)
{
	struct pair_node a;
	struct sockaddr_in address;
	int fd = raw_listen(&address);
	const struct msg *m;

	pair_begin(&a, loop, "a", PAIR_KEY);
	pair_meet(&a, "b", &address);
	pair_request(&a, "b", 1, 10);
	pair_request(&a, "b", 2, 10);
	pair_run(loop, 20000);
	pair_cancel(&a, "b", 1);
	pair_until(loop, (m = pair_find(&a, MSG_REFUSAL, 1)));
	g_assert_cmpint(m->refusal.outcome, ==, FS_NOT_RUN);
	g_assert_null(pair_find(&a, MSG_REFUSAL, 2));
	g_assert_cmpuint(a.downs, ==, 0);
	/* The other request is refused when the handshake times out. */
	pair_until(loop, pair_find(&a, MSG_REFUSAL, 2));
	g_assert_cmpuint(a.downs, ==, 1);
	close(fd);
	pair_end(&a);
}

/* A link whose peer answers no heartbeat is closed within the receive time-out;
 * the next message opens a new connection. */
static void test_unresponsive_link_is_closed(void)
{
	struct pair_node a;
	struct raw_peer raw;
	struct raw_peer again;
	struct sockaddr_in address;
	int fd = raw_listen(&address);
	int64_t start_us;

	pair_begin(&a, loop, "a", PAIR_KEY);
	pair_meet(&a, "b", &address);
	pair_request(&a, "b", 1, 10);
	raw_accept(&raw, loop, fd, "b", PAIR_KEY);
	start_us = fs_now_us();
	pair_until(loop, a.downs == 1);
	g_assert_cmpint(fs_now_us() - start_us, <=,
			FS_LINK_SILENT_US + 2 * FS_LINK_HEARTBEAT_US);
	g_assert_null(pair_find(&a, MSG_REFUSAL, 1));
	pair_request(&a, "b", 2, 10);
	raw_accept(&again, loop, fd, "b", PAIR_KEY);
	g_assert_cmpuint(again.hello.serial, >, raw.hello.serial);
	raw_end(&raw);
	raw_end(&again);
	close(fd);
	pair_end(&a);
}

/* Malformed frames close only the connection they arrive on. */
static void test_malformed_frames(void)
{
	static const uint8_t huge[] = {0x7f, 0xff, 0xff, 0xff, 1};
	static const uint8_t bomb[] = {0xdd, 0xff, 0xff, 0xff, 0xff};
	struct pair_node a;
	struct raw_peer valid;
	struct raw_peer malformed;

	pair_begin(&a, loop, "a", PAIR_KEY);
	raw_open(&valid, &a, "b", 1, 1);
	raw_prove(&valid, loop, PAIR_KEY);
	for (int i = 0; i < 3; i++) {
		raw_open(&malformed, &a, "c", 1, (uint64_t)i + 1);
		raw_prove(&malformed, loop, PAIR_KEY);
		if (i == 0)
			send(malformed.fd, huge, sizeof(huge), MSG_NOSIGNAL);
		else if (i == 1)
			raw_send(&malformed, LNK_MESSAGE, bomb, sizeof(bomb));
		else
			raw_send(&malformed, (enum lnk_kind)99, "x", 1);
		pair_until(loop, raw_closed(&malformed));
		raw_end(&malformed);
	}
	raw_message(&valid, MSG_REQUEST, 5);
	pair_until(loop, pair_find(&a, MSG_REQUEST, 5));
	raw_end(&valid);
	pair_end(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Broken links log warnings, which must not fail the test. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	fs_log_init("test", open("/dev/null", O_WRONLY));
	loop = ev_default_loop(EVFLAG_AUTO);
	g_test_add_func("/lnk/messages_in_order", test_messages_in_order);
	g_test_add_func("/lnk/last_request_is_answered",
			test_last_request_is_answered);
	g_test_add_func("/lnk/wrong_key_is_refused", test_wrong_key_is_refused);
	g_test_add_func("/lnk/unauthenticated_opener_is_refused",
			test_unauthenticated_opener_is_refused);
	g_test_add_func("/lnk/claimed_names", test_claimed_names);
	g_test_add_func("/lnk/superseded_link_is_ignored",
			test_superseded_link_is_ignored);
	g_test_add_func("/lnk/refused_was_never_decodable",
			test_refused_was_never_decodable);
	g_test_add_func("/lnk/cancel_of_unwritten_request",
			test_cancel_of_unwritten_request);
	g_test_add_func("/lnk/unresponsive_link_is_closed",
			test_unresponsive_link_is_closed);
	g_test_add_func("/lnk/malformed_frames", test_malformed_frames);
	return g_test_run();
}
