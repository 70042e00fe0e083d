/* Stand-in for the network between two processes: forwards TCP connections
 * and UDP datagrams, and holds back either direction on command.
 *
 *   standin_relay LISTEN_IP TO_IP:PORT
 *
 * Prints the address it listens on (one port for TCP and UDP). Commands come
 * as lines on standard input, each answered by "ok" on standard output:
 *
 *   hold forward|back [SOURCE_IP]  hold bytes towards the target, or from it,
 *                                  of all connections or those from one source
 *   release                        let everything pass again
 *   silence                        hold both ways what is open now for good;
 *                                  new connections pass
 *   close                          close all open connections
 *
 * Ends with its standard input. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "set.h"

enum direction {
	FORWARD,
	BACK,
	DIRECTIONS
};

/* One direction of one connection. */
struct half {
	struct pair *pair;
	ev_io read;
	ev_io write;
	uint8_t data[65536];
	size_t size, sent;
	bool ended;
};

struct pair {
	int fd[DIRECTIONS]; /* the source's side, the target's side */
	struct half half[DIRECTIONS];
	in_addr_t source;
	bool silent;
};

static struct {
	struct ev_loop *loop;
	struct sockaddr_in to;
	int udp;
	bool hold[DIRECTIONS];
	in_addr_t hold_source; /* 0: all sources */
	GHashTable *pairs;
} self;

static bool is_held(enum direction d, in_addr_t source, bool silent)
{
	return silent || (self.hold[d] &&
			  (!self.hold_source || self.hold_source == source));
}

static void pair_free(struct pair *p)
{
	for (int d = 0; d < DIRECTIONS; d++) {
		ev_io_stop(self.loop, &p->half[d].read);
		ev_io_stop(self.loop, &p->half[d].write);
	}
	close(p->fd[0]);
	close(p->fd[1]);
	g_hash_table_remove(self.pairs, p);
	g_free(p);
}

/* Starts and stops the watchers of one direction as its state asks. */
static void update(struct half *h)
{
	struct pair *p = h->pair;
	enum direction d = (enum direction)(h - p->half);
	bool held = is_held(d, p->source, p->silent);

	if (!held && !h->size && !h->ended)
		ev_io_start(self.loop, &h->read);
	else
		ev_io_stop(self.loop, &h->read);
	if (!held && h->size)
		ev_io_start(self.loop, &h->write);
	else
		ev_io_stop(self.loop, &h->write);
}

static void update_all(void)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, self.pairs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct pair *p = key;

		update(&p->half[FORWARD]);
		update(&p->half[BACK]);
	}
}

static void on_read(struct ev_loop *loop, ev_io *io, int events)
{
	struct half *h = io->data;
	ssize_t n = recv(io->fd, h->data, sizeof(h->data), 0);

	(void)loop;
	(void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		pair_free(h->pair);
		return;
	}
	if (n == 0) {
		h->ended = true;
		shutdown(h->write.fd, SHUT_WR);
		if (h->pair->half[FORWARD].ended && h->pair->half[BACK].ended) {
			pair_free(h->pair);
			return;
		}
	}
	h->size = (size_t)n;
	h->sent = 0;
	update(h);
}

static void on_write(struct ev_loop *loop, ev_io *io, int events)
{
	struct half *h = io->data;
	ssize_t n = send(io->fd, h->data + h->sent, h->size - h->sent,
			 MSG_NOSIGNAL);

	(void)loop;
	(void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		pair_free(h->pair);
		return;
	}
	h->sent += (size_t)n;
	if (h->sent == h->size)
		h->size = 0;
	update(h);
}

static void half_init(struct pair *p, enum direction d)
{
	struct half *h = &p->half[d];

	h->pair = p;
	ev_io_init(&h->read, on_read, p->fd[d], EV_READ);
	ev_io_init(&h->write, on_write, p->fd[!d], EV_WRITE);
	h->read.data = h;
	h->write.data = h;
	update(h);
}

/* The onward connection keeps the source's IP, so that the receiver's view of
 * its peers stays as it is without the relay. */
static int connect_onward(in_addr_t source)
{
	struct sockaddr_in from = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	from.sin_addr.s_addr = source;
	if (fd < 0 || bind(fd, (struct sockaddr *)&from, sizeof(from)) ||
	    connect(fd, (struct sockaddr *)&self.to, sizeof(self.to))) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	return fd;
}

static void on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	struct sockaddr_in source = {0};
	socklen_t size = sizeof(source);
	int fd = accept4(io->fd, (struct sockaddr *)&source, &size,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pair *p;
	int onward;

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	onward = connect_onward(source.sin_addr.s_addr);
	if (onward < 0) {
		close(fd);
		return;
	}
	p = g_new0(struct pair, 1);
	p->source = source.sin_addr.s_addr;
	p->fd[FORWARD] = fd;
	p->fd[BACK] = onward;
	g_hash_table_add(self.pairs, p);
	half_init(p, FORWARD);
	half_init(p, BACK);
}

/* Datagrams only pass forward: receivers answer to the advertised address of
 * the sender, which has a relay of its own. */
static void on_datagram(struct ev_loop *loop, ev_io *io, int events)
{
	uint8_t data[65536];
	struct sockaddr_in source = {0};
	socklen_t size = sizeof(source);
	ssize_t n = recvfrom(io->fd, data, sizeof(data), 0,
			     (struct sockaddr *)&source, &size);

	(void)loop;
	(void)events;
	if (n > 0 && !is_held(FORWARD, source.sin_addr.s_addr, false))
		sendto(self.udp, data, (size_t)n, 0,
		       (struct sockaddr *)&self.to, sizeof(self.to));
}

static void close_all(void)
{
	g_autoptr(GList) pairs = g_hash_table_get_keys(self.pairs);

	for (GList *at = pairs; at; at = at->next)
		pair_free(at->data);
}

static void silence_all(void)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, self.pairs);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		((struct pair *)key)->silent = true;
}

static void command(const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", 3);

	if (!strcmp(words[0], "hold") && words[1]) {
		self.hold[strcmp(words[1], "back") ? FORWARD : BACK] = true;
		self.hold_source = words[2] ? inet_addr(words[2]) : 0;
	} else if (!strcmp(words[0], "release")) {
		self.hold[FORWARD] = false;
		self.hold[BACK] = false;
	} else if (!strcmp(words[0], "silence")) {
		silence_all();
	} else if (!strcmp(words[0], "close")) {
		close_all();
	}
	update_all();
	puts("ok");
	fflush(stdout);
}

static void on_command(struct ev_loop *loop, ev_io *io, int events)
{
	static char line[256];
	static size_t used;
	ssize_t n = read(io->fd, line + used, sizeof(line) - 1 - used);
	char *end;

	(void)events;
	if (n <= 0) {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	used += (size_t)n;
	line[used] = '\0';
	while ((end = strchr(line, '\n'))) {
		*end = '\0';
		command(line);
		used -= (size_t)(end + 1 - line);
		memmove(line, end + 1, used + 1);
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t size = sizeof(at);
	char bound[FS_ADDRESS_MAX];
	ev_io accept_io;
	ev_io udp_io;
	ev_io command_io;
	int tcp = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (argc != 3 || set_parse_address(argv[2], &self.to))
		return EXIT_FAILURE;
	at.sin_addr.s_addr = inet_addr(argv[1]);
	self.udp = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
	if (bind(tcp, (struct sockaddr *)&at, size) || listen(tcp, 1024) ||
	    getsockname(tcp, (struct sockaddr *)&at, &size) ||
	    bind(self.udp, (struct sockaddr *)&at, size))
		return EXIT_FAILURE;
	self.loop = ev_default_loop(0);
	self.pairs = g_hash_table_new(NULL, NULL);
	ev_io_init(&accept_io, on_accept, tcp, EV_READ);
	ev_io_init(&udp_io, on_datagram, self.udp, EV_READ);
	ev_io_init(&command_io, on_command, STDIN_FILENO, EV_READ);
	ev_io_start(self.loop, &accept_io);
	ev_io_start(self.loop, &udp_io);
	ev_io_start(self.loop, &command_io);
	set_format_address(&at, bound);
	printf("{\"event\":\"listening\",\"address\":\"%s\"}\n", bound);
	fflush(stdout);
	ev_run(self.loop, 0);
	return EXIT_SUCCESS;
}
