#include "fleet_lnk.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct pair_node *p = task;
	struct msg *copy;

	(void)now_us;
	if (m->type == MSG_LINK_DOWN && m->task == MSG_TASK_ENTRY)
		p->downs++;
	if (m->type >= MSG_REMOTE_COUNT)
		return;
	copy = g_memdup2(m, sizeof(*m));
	memset(m, 0, sizeof(*m)); /* the copy owns the members now */
	g_ptr_array_add(p->got, copy);
}

static const struct bus_task_ops ops = {.name = "test", .receive = receive};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

void pair_run(struct ev_loop *loop, int64_t us)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, (double)us / FS_US_PER_S, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

void pair_begin(struct pair_node *p, struct ev_loop *loop, const char *name,
		const char *key)
{
	struct node *node = &p->node;

	memset(p, 0, sizeof(*p));
	node->loop = loop;
	g_strlcpy(node->set.name, name, FS_NAME_MAX);
	g_strlcpy(node->set.fleet_key, key, sizeof(node->set.fleet_key));
	g_assert_cmpint(
		set_parse_address("127.0.0.1:0", &node->set.peer_listen), ==,
		0);
	node->self = fs_node_id(name);
	node->incarnation = 1000;
	node->bus = bus_new(loop, node->self);
	node->ctr = ctr_new();
	p->got = g_ptr_array_new_with_free_func((GDestroyNotify)msg_free);
	bus_attach(node->bus, MSG_TASK_ENTRY, &ops, p);
	bus_attach(node->bus, MSG_TASK_DISPATCH, &ops, p);
	p->lnk = lnk_new(node);
	g_assert_nonnull(p->lnk);
}

void pair_end(struct pair_node *p)
{
	lnk_free(p->lnk);
	bus_free(p->node.bus);
	ctr_free(p->node.ctr);
	g_ptr_array_unref(p->got);
}

void pair_meet(struct pair_node *p, const char *name,
	       const struct sockaddr_in *peer)
{
	struct mem_view *view =
		g_malloc0(sizeof(*view) + sizeof(struct mem_member));
	struct msg *m = msg_new(MSG_VIEW, p->node.self, MSG_TASK_LINK);

	view->refs = 1;
	view->self = p->node.self;
	view->count = 1;
	view->members[0].id = fs_node_id(name);
	g_strlcpy(view->members[0].name, name, FS_NAME_MAX);
	view->members[0].peer = *peer;
	m->view.view = view;
	bus_send(p->node.bus, m);
	pair_run(p->node.loop, 5000);
}

static struct req_id id_of(uint64_t counter)
{
	return (struct req_id){.node = 7, .incarnation = 8, .counter = counter};
}

void pair_request(struct pair_node *p, const char *to, uint64_t counter,
		  size_t bytes)
{
	struct msg *m = msg_new(MSG_REQUEST, fs_node_id(to), MSG_TASK_DISPATCH);

	m->request.id = id_of(counter);
	m->request.headers = msg_headers_new();
	m->request.body = g_bytes_new_take(g_malloc0(bytes), bytes);
	bus_send(p->node.bus, m);
}

void pair_cancel(struct pair_node *p, const char *to, uint64_t counter)
{
	struct msg *m = msg_new(MSG_CANCEL, fs_node_id(to), MSG_TASK_DISPATCH);

	m->cancel.id = id_of(counter);
	bus_send(p->node.bus, m);
}

const struct msg *pair_find(const struct pair_node *p, enum msg_type type,
			    uint64_t counter)
{
	for (guint i = 0; i < p->got->len; i++) {
		const struct msg *m = g_ptr_array_index(p->got, i);

		/* The id stands first in all messages of a request. */
		if (m->type == type && m->request.id.counter == counter)
			return m;
	}
	return NULL;
}

static void set_nonblocking(int fd)
{
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

void raw_send(struct raw_peer *raw, enum lnk_kind kind, const void *data,
	      size_t size)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	uint8_t byte = (uint8_t)kind;
	size_t start = frm_begin(bytes);

	g_byte_array_append(bytes, &byte, 1);
	g_byte_array_append(bytes, data, (guint)size);
	frm_end(bytes, start);
	/* The node may have closed already. */
	if (send(raw->fd, bytes->data, bytes->len, MSG_NOSIGNAL) < 0)
		g_assert_cmpint(errno, !=, EAGAIN);
}

/* The write functions put the kind first, as raw_send() does. */
static void send_payload(struct raw_peer *raw, GByteArray *payload)
{
	raw_send(raw, (enum lnk_kind)payload->data[0], payload->data + 1,
		 payload->len - 1);
	g_byte_array_unref(payload);
}

static size_t wait_frame(struct raw_peer *raw, struct ev_loop *loop,
			 uint8_t *out, size_t max)
{
	const uint8_t *data = NULL;
	uint8_t buffer[512];
	size_t size = 0;

	pair_until(loop, ({
			   ssize_t n = recv(raw->fd, buffer, sizeof(buffer), 0);

			   if (n > 0)
				   frm_push(&raw->reader, buffer, (size_t)n);
			   frm_next(&raw->reader, &data, &size) == 1;
		   }));
	g_assert_cmpuint(size, <=, max);
	memcpy(out, data, size);
	return size;
}

void raw_open(struct raw_peer *raw, struct pair_node *p, const char *name,
	      uint64_t incarnation, uint64_t serial)
{
	GByteArray *payload = g_byte_array_new();

	memset(raw, 0, sizeof(*raw));
	frm_reader_init(&raw->reader);
	raw->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(raw->fd, (struct sockaddr *)&p->node.peer,
				sizeof(p->node.peer)),
			==, 0);
	set_nonblocking(raw->fd);
	g_strlcpy(raw->hello.name, name, FS_NAME_MAX);
	raw->hello.incarnation = incarnation;
	raw->hello.serial = serial;
	raw->hello.to = p->node.self;
	lnk_nonce_fill(raw->hello.nonce);
	lnk_hello_write(&raw->hello, payload);
	send_payload(raw, payload);
}

void raw_prove(struct raw_peer *raw, struct ev_loop *loop, const char *key)
{
	GByteArray *payload = g_byte_array_new();
	uint8_t code[SIG_SIZE];
	uint8_t data[512];
	size_t size = wait_frame(raw, loop, data, sizeof(data));

	g_assert_cmpint(data[0], ==, LNK_CHALLENGE);
	g_assert_cmpint(lnk_challenge_read(data + 1, size - 1, &raw->challenge),
			==, 0);
	lnk_mac(key, LNK_OPENER, &raw->hello, &raw->challenge, code);
	lnk_proof_write(code, payload);
	send_payload(raw, payload);
	pair_run(loop, 20000);
}

int raw_listen(struct sockaddr_in *address)
{
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	set_parse_address("127.0.0.1:0", address);
	g_assert_cmpint(bind(fd, (struct sockaddr *)address, size), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	getsockname(fd, (struct sockaddr *)address, &size);
	set_nonblocking(fd);
	return fd;
}

void raw_accept(struct raw_peer *raw, struct ev_loop *loop, int listen_fd,
		const char *name, const char *key)
{
	GByteArray *payload = g_byte_array_new();
	uint8_t data[512];
	size_t size;

	memset(raw, 0, sizeof(*raw));
	frm_reader_init(&raw->reader);
	pair_until(loop, (raw->fd = accept(listen_fd, NULL, NULL)) >= 0);
	set_nonblocking(raw->fd);
	size = wait_frame(raw, loop, data, sizeof(data));
	g_assert_cmpint(data[0], ==, LNK_HELLO);
	g_assert_cmpint(lnk_hello_read(data + 1, size - 1, &raw->hello), ==, 0);
	g_strlcpy(raw->challenge.name, name, FS_NAME_MAX);
	lnk_nonce_fill(raw->challenge.nonce);
	lnk_mac(key, LNK_ACCEPTOR, &raw->hello, &raw->challenge,
		raw->challenge.code);
	lnk_challenge_write(&raw->challenge, payload);
	send_payload(raw, payload);
}

void raw_message(struct raw_peer *raw, enum msg_type type, uint64_t counter)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	struct msg *m = msg_new(type, 0, MSG_TASK_DISPATCH);

	m->request.id = id_of(counter);
	g_assert_cmpint(msg_encode(m, bytes), ==, 0);
	raw_send(raw, LNK_MESSAGE, bytes->data, bytes->len);
	msg_free(m);
}

bool raw_closed(struct raw_peer *raw)
{
	uint8_t buffer[512];
	ssize_t n = recv(raw->fd, buffer, sizeof(buffer), 0);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

void raw_end(struct raw_peer *raw)
{
	close(raw->fd);
	frm_reader_clear(&raw->reader);
}
