/* Links between nodes: proof of the peer, order, and what was never sent. */
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

/* Neither end accepts the other without the key; what waited is given back. */
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

static void test_unproven_opener_is_refused(void)
{
	struct pair_node a;
	struct raw_peer raw;

	pair_begin(&a, loop, "a", PAIR_KEY);
	raw_open(&raw, &a, "b", 1, 1);
	raw_prove(&raw, loop, "another key of the tests");
	raw_message(&raw, MSG_REQUEST, 1);
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	/* A message before the proof. */
	raw_open(&raw, &a, "b", 1, 2);
	raw_message(&raw, MSG_REQUEST, 2);
	pair_until(loop, raw_closed(&raw));
	raw_end(&raw);
	g_assert_cmpuint(a.got->len, ==, 0);
	pair_end(&a);
}

/* A node known at another address, the node itself, and another receiver. */
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

/* What came on an old connection is not delivered behind a newer one's. */
static void test_superseded_link_is_silenced(void)
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
	/* Nor may an older connection finish its handshake late. */
	raw_open(&old, &a, "b", 1, 1);
	raw_prove(&old, loop, PAIR_KEY);
	raw_message(&old, MSG_REQUEST, 3);
	pair_until(loop, raw_closed(&old));
	g_assert_null(pair_find(&a, MSG_REQUEST, 3));
	raw_end(&old);
	raw_end(&new);
	pair_end(&a);
}

/* Reads frames by hand and notes the requests that could be decoded. */
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

/* A link breaks under load: no request is both given back as not run and
 * readable at the peer, and each is at least one of the two or was lost in
 * the kernel. */
static void test_given_back_was_never_readable(void)
{
	enum {
		COUNT = 200
	};
	bool decoded[COUNT + 1] = {0};
	struct pair_node a;
	struct raw_peer raw;
	struct sockaddr_in address;
	uint32_t returned = 0;
	uint32_t readable = 0;
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
	/* Larger than the kernel's buffers: some frame is written in part. */
	for (uint64_t i = COUNT / 2 + 1; i <= COUNT; i++)
		pair_request(&a, "b", i, 80 * 1024);
	pair_run(loop, 50000);
	drain(&raw, 20, decoded);
	pair_run(loop, 20000);
	raw_send(&raw, LNK_BYE, "", 0); /* breaks the protocol */
	pair_until(loop, a.downs == 1);
	drain(&raw, 1000, decoded);
	for (uint64_t i = 1; i <= COUNT; i++) {
		bool back = pair_find(&a, MSG_REFUSAL, i);

		g_assert_false(back && decoded[i]);
		returned += back;
		readable += decoded[i];
	}
	g_assert_cmpuint(returned, >, 10);
	g_assert_cmpuint(readable, >=, COUNT / 2);
	raw_end(&raw);
	close(fd);
	pair_end(&a);
}

/* A cancel takes back a request that waits for the handshake. */
static void test_cancel_of_unwritten(void)
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
	/* The other comes back when the handshake takes too long. */
	pair_until(loop, pair_find(&a, MSG_REFUSAL, 2));
	g_assert_cmpuint(a.downs, ==, 1);
	close(fd);
	pair_end(&a);
}

/* A peer that answers no heartbeat is given up in time; the next message goes
 * by a new connection. */
static void test_silent_link_is_closed(void)
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

/* Bad bytes close their own connection and no other. */
static void test_bad_bytes(void)
{
	static const uint8_t huge[] = {0x7f, 0xff, 0xff, 0xff, 1};
	static const uint8_t bomb[] = {0xdd, 0xff, 0xff, 0xff, 0xff};
	struct pair_node a;
	struct raw_peer good;
	struct raw_peer bad;

	pair_begin(&a, loop, "a", PAIR_KEY);
	raw_open(&good, &a, "b", 1, 1);
	raw_prove(&good, loop, PAIR_KEY);
	for (int i = 0; i < 3; i++) {
		raw_open(&bad, &a, "c", 1, (uint64_t)i + 1);
		raw_prove(&bad, loop, PAIR_KEY);
		if (i == 0)
			send(bad.fd, huge, sizeof(huge), MSG_NOSIGNAL);
		else if (i == 1)
			raw_send(&bad, LNK_MESSAGE, bomb, sizeof(bomb));
		else
			raw_send(&bad, (enum lnk_kind)99, "x", 1);
		pair_until(loop, raw_closed(&bad));
		raw_end(&bad);
	}
	raw_message(&good, MSG_REQUEST, 5);
	pair_until(loop, pair_find(&a, MSG_REQUEST, 5));
	raw_end(&good);
	pair_end(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* Broken links are warnings of the product, not faults of a test. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	fs_log_init("test", open("/dev/null", O_WRONLY));
	loop = ev_default_loop(EVFLAG_AUTO);
	g_test_add_func("/lnk/messages_in_order", test_messages_in_order);
	g_test_add_func("/lnk/wrong_key_is_refused", test_wrong_key_is_refused);
	g_test_add_func("/lnk/unproven_opener_is_refused",
			test_unproven_opener_is_refused);
	g_test_add_func("/lnk/claimed_names", test_claimed_names);
	g_test_add_func("/lnk/superseded_link_is_silenced",
			test_superseded_link_is_silenced);
	g_test_add_func("/lnk/given_back_was_never_readable",
			test_given_back_was_never_readable);
	g_test_add_func("/lnk/cancel_of_unwritten", test_cancel_of_unwritten);
	g_test_add_func("/lnk/silent_link_is_closed",
			test_silent_link_is_closed);
	g_test_add_func("/lnk/bad_bytes", test_bad_bytes);
	return g_test_run();
}
