/* Stand-in for a target: serves deterministic bodies on a few slots, counts
 * every run, and misbehaves on command.
 *
 *   standin_target --name NAME [--listen IP:PORT] [--slots N] [--work-ms N]
 *
 * A request's X-Token names it; X-Bytes asks for so many bytes of body, which
 * fleet_body_byte() derives from the token. POST /control?fault=NAME sets the
 * fault (permille=N of the work, ms=N); GET /control/stats and /control/runs
 * tell what was run. A run is counted when the whole request has been read and
 * was not shed. The process ends by itself after --max-seconds. */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet_body.h"
#include "net.h"
#include "set.h"

#define REQUEST_MAX (512 * 1024)
#define ANSWER_MAX (64 << 20)

enum fault {
	FAULT_NONE,
	FAULT_STALL,	    /* work is never answered */
	FAULT_STALL_REUSED, /* only on connections used before */
	FAULT_ERROR,	    /* answers 500 */
	FAULT_SLOW,	    /* answers ms later */
	FAULT_TRUNCATE,	    /* half of the body, then closes */
	FAULT_OVERLONG,	    /* more body than announced */
	FAULT_RESET,	    /* reads the request, then closes */
	FAULT_DUPLICATE,    /* sends the answer twice */
	FAULT_SHED,	    /* answers 503 without running */
	FAULT_SICK_PROBE,   /* probes get 503, work is well */
	FAULT_DRAIN,	    /* answers carry Draining: 1 */
	FAULT_COUNT,
};

static const char *const fault_names[] = {
	"none",	    "stall", "stall_reused", "error", "slow",	    "truncate",
	"overlong", "reset", "duplicate",    "shed",  "sick_probe", "drain",
};

struct connection {
	int fd;
	ev_io io;
	ev_timer work;
	GByteArray *in;
	GByteArray *out;
	size_t sent;
	bool busy;	     /* a request holds a slot */
	bool close_after;    /* close when all is sent */
	bool stalled;	     /* never answer */
	unsigned int served; /* requests before this one */
	char token[64];
	size_t want;
	enum fault fault; /* that applies to this request */
};

static struct {
	struct ev_loop *loop;
	char *name;
	unsigned int slots;
	double work_s;
	enum fault fault;
	unsigned int permille;
	unsigned int fault_ms;
	unsigned int dice;
	GHashTable *runs; /* token to count */
	unsigned int in_flight, max_in_flight, overruns, shed, cancelled;
	unsigned int total, probes, connections;
} self = {.slots = 4, .work_s = 0.005, .permille = 1000};

static void connection_free(struct connection *c)
{
	if (c->busy) {
		self.in_flight--;
		self.cancelled++;
	}
	ev_io_stop(self.loop, &c->io);
	ev_timer_stop(self.loop, &c->work);
	close(c->fd);
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	self.connections--;
	g_free(c);
}

/* Sends what is waiting. Returns false if the connection is gone. */
static bool flush_out(struct connection *c)
{
	while (c->sent < c->out->len) {
		ssize_t n = send(c->fd, c->out->data + c->sent,
				 c->out->len - c->sent, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN) {
			ev_io_stop(self.loop, &c->io);
			ev_io_set(&c->io, c->fd, EV_READ | EV_WRITE);
			ev_io_start(self.loop, &c->io);
			return true;
		}
		if (n <= 0) {
			connection_free(c);
			return false;
		}
		c->sent += (size_t)n;
	}
	g_byte_array_set_size(c->out, 0);
	c->sent = 0;
	if (c->close_after) {
		connection_free(c);
		return false;
	}
	ev_io_stop(self.loop, &c->io);
	ev_io_set(&c->io, c->fd, EV_READ);
	ev_io_start(self.loop, &c->io);
	return true;
}

static void put_text(struct connection *c, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void put_text(struct connection *c, const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_byte_array_append(c->out, (const guint8 *)text, (guint)strlen(text));
}

static void put_answer(struct connection *c, int status, const char *body)
{
	put_text(c, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n%s", status,
		 strlen(body),
		 self.fault == FAULT_DRAIN ? "Draining: 1\r\n" : "", body);
}

static void put_body(struct connection *c, size_t size)
{
	uint32_t seed = fleet_body_seed(c->token);

	for (size_t i = 0; i < size; i++) {
		guint8 byte = fleet_body_byte(seed, i);

		g_byte_array_append(c->out, &byte, 1);
	}
}

static void put_work(struct connection *c)
{
	size_t announced = c->want;
	size_t sent = announced;

	if (c->fault == FAULT_TRUNCATE)
		sent = announced / 2;
	if (c->fault == FAULT_OVERLONG)
		sent = announced + 100;
	if (c->fault == FAULT_TRUNCATE || c->fault == FAULT_OVERLONG)
		c->close_after = true;
	put_text(c,
		 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nX-Token: %s\r\n"
		 "X-Server: %s\r\n%s\r\n",
		 announced, c->token, self.name,
		 c->fault == FAULT_DRAIN ? "Draining: 1\r\n" : "");
	put_body(c, sent);
}

static void end_work(struct connection *c)
{
	c->busy = false;
	self.in_flight--;
	if (c->fault == FAULT_ERROR) {
		put_answer(c, 500, "error");
	} else if (c->fault == FAULT_RESET) {
		connection_free(c);
		return;
	} else {
		put_work(c);
		if (c->fault == FAULT_DUPLICATE)
			put_work(c);
	}
	flush_out(c);
}

static void on_work(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	end_work(timer->data);
}

static enum fault choose_fault(const struct connection *c)
{
	if (self.fault == FAULT_STALL_REUSED)
		return c->served ? FAULT_STALL : FAULT_NONE;
	self.dice = (self.dice + 617) % 1000; /* spreads evenly over 1000 */
	return self.dice < self.permille ? self.fault : FAULT_NONE;
}

static void count_run(const char *token)
{
	unsigned int n =
		GPOINTER_TO_UINT(g_hash_table_lookup(self.runs, token));

	g_hash_table_insert(self.runs, g_strdup(token),
			    GUINT_TO_POINTER(n + 1));
	self.total++;
}

static void begin_work(struct connection *c)
{
	double seconds = self.work_s;

	c->fault = choose_fault(c);
	if (self.in_flight >= self.slots)
		self.overruns++;
	if (self.in_flight >= self.slots || c->fault == FAULT_SHED) {
		self.shed++;
		put_answer(c, 503, "busy");
		flush_out(c);
		return;
	}
	count_run(c->token);
	c->busy = true;
	self.in_flight++;
	self.max_in_flight = MAX(self.max_in_flight, self.in_flight);
	if (c->fault == FAULT_STALL)
		return;
	if (c->fault == FAULT_SLOW)
		seconds += self.fault_ms / 1000.0;
	ev_timer_set(&c->work, seconds, 0.0);
	ev_timer_start(self.loop, &c->work);
}

static unsigned int query_number(const char *target, const char *name,
				 unsigned int fallback)
{
	g_autofree char *key = g_strdup_printf("%s=", name);
	const char *at = strstr(target, key);

	return at ? (unsigned int)strtoul(at + strlen(key), NULL, 10) :
		    fallback;
}

static void set_fault(struct connection *c, const char *target)
{
	for (int i = 0; i < FAULT_COUNT; i++) {
		g_autofree char *word =
			g_strdup_printf("fault=%s", fault_names[i]);
		const char *at = strstr(target, word);

		if (!at || (at[strlen(word)] && at[strlen(word)] != '&'))
			continue;
		self.fault = (enum fault)i;
		self.permille = query_number(target, "permille", 1000);
		self.fault_ms = query_number(target, "ms", 0);
		put_answer(c, 200, fault_names[i]);
		return;
	}
	put_answer(c, 400, "unknown fault");
}

static unsigned int most_runs(void)
{
	unsigned int most = 0;
	GHashTableIter iter;
	void *count;

	g_hash_table_iter_init(&iter, self.runs);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		most = MAX(most, GPOINTER_TO_UINT(count));
	return most;
}

static void put_stats(struct connection *c)
{
	g_autofree char *body = g_strdup_printf(
		"{\"runs\":%u,\"most_runs\":%u,\"overruns\":%u,\"shed\":%u,"
		"\"cancelled\":%u,\"in_flight\":%u,\"max_in_flight\":%u,"
		"\"probes\":%u,\"connections\":%u}",
		self.total, most_runs(), self.overruns, self.shed,
		self.cancelled, self.in_flight, self.max_in_flight, self.probes,
		self.connections);

	put_answer(c, 200, body);
}

static void put_runs(struct connection *c)
{
	g_autoptr(GString) body = g_string_new(NULL);
	GHashTableIter iter;
	void *token;
	void *count;

	g_hash_table_iter_init(&iter, self.runs);
	while (g_hash_table_iter_next(&iter, &token, &count))
		g_string_append_printf(body, "%s %u\n", (char *)token,
				       GPOINTER_TO_UINT(count));
	put_answer(c, 200, body->str);
}

static char *header_value(const char *head, const char *name)
{
	g_autofree char *key = g_strdup_printf("\r\n%s:", name);
	const char *at = strcasestr(head, key);
	const char *end;

	if (!at)
		return NULL;
	at += strlen(key);
	end = strstr(at, "\r\n");
	return g_strstrip(g_strndup(at, (gsize)(end - at)));
}

static void serve(struct connection *c, const char *head)
{
	g_auto(GStrv) words = g_strsplit_set(head, " \r", 3);
	g_autofree char *token = header_value(head, "X-Token");
	g_autofree char *bytes = header_value(head, "X-Bytes");
	const char *target = words[0] && words[1] ? words[1] : "/";

	if (g_str_has_prefix(target, "/control/stats")) {
		put_stats(c);
	} else if (g_str_has_prefix(target, "/control/runs")) {
		put_runs(c);
	} else if (g_str_has_prefix(target, "/control")) {
		set_fault(c, target);
	} else if (g_str_has_prefix(target, "/health")) {
		self.probes++;
		put_answer(c, self.fault == FAULT_SICK_PROBE ? 503 : 200, "");
	} else {
		g_strlcpy(c->token, token ? token : "none", sizeof(c->token));
		c->want = bytes ? strtoul(bytes, NULL, 10) : 32;
		c->want = MIN(c->want, ANSWER_MAX);
		begin_work(c);
		c->served++;
		return;
	}
	flush_out(c);
}

/* Serves one whole request if there is one and none is in progress. */
static void take_request(struct connection *c)
{
	g_autofree char *text = NULL;
	g_autofree char *length = NULL;
	const char *end;
	size_t size;

	if (c->busy || !c->in->len)
		return;
	text = g_strndup((const char *)c->in->data, c->in->len);
	end = strstr(text, "\r\n\r\n");
	if (!end)
		return;
	size = (size_t)(end - text) + 4;
	text[size - 2] = '\0';
	length = header_value(text, "Content-Length");
	size += length ? strtoul(length, NULL, 10) : 0;
	if (c->in->len < size)
		return;
	g_byte_array_remove_range(c->in, 0, (guint)size);
	serve(c, text);
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct connection *c = io->data;
	guint8 buffer[65536];
	ssize_t n;

	(void)loop;
	if ((events & EV_WRITE) && !flush_out(c))
		return;
	if (!(events & EV_READ))
		return;
	n = recv(c->fd, buffer, sizeof(buffer), 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0 || c->in->len > REQUEST_MAX) {
		connection_free(c);
		return;
	}
	g_byte_array_append(c->in, buffer, (guint)n);
	take_request(c);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *c;

	(void)events;
	if (fd < 0)
		return;
	c = g_new0(struct connection, 1);
	c->fd = fd;
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	ev_io_init(&c->io, on_io, fd, EV_READ);
	c->io.data = c;
	ev_io_start(loop, &c->io);
	ev_init(&c->work, on_work);
	c->work.data = c;
	self.connections++;
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static int listen_on(const char *address, char *bound)
{
	struct sockaddr_in at;
	int fd;

	if (set_parse_address(address, &at))
		return FS_E_INVALID;
	fd = net_listen(&at, &at);
	set_format_address(&at, bound);
	return fd;
}

int main(int argc, char **argv)
{
	const char *address = "127.0.0.1:0";
	double max_seconds = 600.0;
	char bound[FS_ADDRESS_MAX];
	ev_timer end;
	ev_io io;
	int fd;

	for (int i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--name"))
			self.name = argv[i + 1];
		else if (!strcmp(argv[i], "--listen"))
			address = argv[i + 1];
		else if (!strcmp(argv[i], "--slots"))
			self.slots = (unsigned int)atoi(argv[i + 1]);
		else if (!strcmp(argv[i], "--work-ms"))
			self.work_s = atof(argv[i + 1]) / 1000.0;
		else if (!strcmp(argv[i], "--max-seconds"))
			max_seconds = atof(argv[i + 1]);
	}
	fd = listen_on(address, bound);
	if (fd < 0 || !self.name)
		return EXIT_FAILURE;
	self.loop = ev_default_loop(0);
	self.runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_io_init(&io, on_accept, fd, EV_READ);
	ev_io_start(self.loop, &io);
	ev_timer_init(&end, on_end, max_seconds, 0.0);
	ev_timer_start(self.loop, &end);
	printf("{\"event\":\"listening\",\"address\":\"%s\"}\n", bound);
	fflush(stdout);
	ev_run(self.loop, 0);
	return EXIT_SUCCESS;
}
