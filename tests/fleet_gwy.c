#include "fleet_gwy.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gwy_impl.h"
#include "plf_statement.h"

/* Bytes of a socket. A receive buffer below a segment of the loopback device would
 * be refilled by window probes only, which take seconds. */
#define SMALL_SEND_BUFFER 4096
#define SMALL_RECEIVE_BUFFER (32 * 1024)
/* Set before the connection is made, the segments are as small. */
#define NARROW_RECEIVE_BUFFER (8 * 1024)

static const struct gwy_fields fields = {
	.target =
		{
			.request_id = "X-Id",
			.deadline_ms = "X-Left",
			.response_seal = "X-Seal",
			.idle_s = 3,
			.connect_us = 300 * FS_US_PER_MS,
		},
	.instance = "X-For",
	.not_run = "X-Not-Run",
	.organisation = "Organisation",
	.read_statement = plf_statement_read,
};

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct yard *y = task;

	(void)now_us;
	if (m->type != MSG_STOPPED)
		return;
	y->stopped = true;
	ev_break(y->loop, EVBREAK_ALL);
}

static const struct bus_task_ops ops = {.name = "test", .receive = receive};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

void yard_run(struct yard *y, int64_t us)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, (double)us / FS_US_PER_S, 0);
	ev_timer_start(y->loop, &timer);
	ev_run(y->loop, 0);
	ev_timer_stop(y->loop, &timer);
}

void yard_stop(struct yard *y)
{
	y->node.stopping = true;
	bus_send_all(y->node.bus, MSG_STOP, NULL);
	yard_run(y, FS_US_PER_MS);
}

void yard_exit(struct yard *y)
{
	yard_until(y, y->stopped);
	gwy_free(y->gwy);
	y->gwy = NULL;
}

static void add_route(struct cfg_draft *draft, const struct yard_config *config,
		      const char *name, const char *prefix, bool safe)
{
	g_autofree char *path = prefix ? g_strdup(prefix) :
					 g_strdup_printf("/%s/", name);
	struct cfg_service service = {.name = (char *)name};
	struct cfg_route route = {
		.name = (char *)name,
		.host = (char *)"h",
		.path = path,
		.methods = CFG_GET | CFG_HEAD | CFG_POST,
		.service = cfg_draft_service(draft, &service),
		.deadline_us = config->timeout_us,
		.objective_us = FS_US_PER_S,
		.repeatable = safe,
		.tries = 2,
	};

	g_assert_cmpint(cfg_draft_route(draft, &route), ==, 0);
}

void yard_configure(struct yard *y, const struct yard_config *config)
{
	struct cfg_draft *draft = cfg_draft_new("", config->version);
	struct cfg_limits limits = {
		.body_bytes = 1 << 20,
		.header_us = config->header_us,
		.idle_us = config->idle_us,
	};
	struct cfg *cfg CFG_AUTO = NULL;

	if (!config->without_pay)
		add_route(draft, config, "pay", config->pay_path, false);
	add_route(draft, config, "list", NULL, true);
	cfg_draft_limits(draft, &limits);
	if (config->extend)
		config->extend(draft);
	cfg = cfg_draft_end(draft);
	bus_send_all(y->node.bus, MSG_CONFIG, cfg);
	yard_run(y, 5000);
}

void yard_begin(struct yard *y)
{
	yard_begin_with_fds(y, 1024);
}

void yard_begin_with_fds(struct yard *y, uint32_t max_fds)
{
	const struct yard_config config = {
		.version = 1,
		.idle_us = 5 * FS_US_PER_S,
		.timeout_us = YARD_TIMEOUT_MS * FS_US_PER_MS,
	};
	struct node *node = &y->node;

	memset(y, 0, sizeof(*y));
	g_strlcpy(node->set.name, "a", FS_NAME_MAX);
	g_strlcpy(node->set.domain, "d", FS_DOMAIN_MAX);
	g_strlcpy(node->set.fleet_key, "0123456789abcdef", FS_NAME_MAX);
	set_parse_address("127.0.0.1:0", &node->set.caller_listen);
	set_parse_address("127.0.0.1:0", &node->set.load_listen);
	node->set.memory_bytes = 64 << 20;
	node->set.max_fds = max_fds;
	node->set.stop_grace_us = 6 * FS_US_PER_S;
	node->set.retry_ratio = 0.2;
	node->set.retry_slack = 10;
	node->set.retry_window_us = 10 * FS_US_PER_S;
	node_open(node);
	y->loop = node->loop;
	node->ready = true;
	y->dir = dir_new(g_free);
	bus_attach(node->bus, MSG_TASK_NODE, &ops, y);
	y->gwy = gwy_new(node, &fields, y->dir);
	g_assert_nonnull(y->gwy);
	yard_configure(y, &config);
}

void yard_end(struct yard *y)
{
	gwy_free(y->gwy);
	dir_free(y->dir);
	for (uint32_t i = 0; i < y->target_count; i++)
		fake_free(y->targets[i]);
	brn_free(y->node.brn);
	aud_free(y->node.aud);
	ctr_free(y->node.ctr);
	bus_free(y->node.bus);
}

struct fake *yard_target(struct yard *y, const char *service,
			 fake_serve_fn serve, void *arg)
{
	struct fake *fake = fake_new(y->loop, serve, arg);
	struct dir_entry entry = {.slots = 4, .rev.number = 1, .write.born = 1};

	g_snprintf(entry.id, sizeof(entry.id), "s%u", y->target_count);
	g_strlcpy(entry.service, service, sizeof(entry.service));
	g_strlcpy(entry.address, fake_address(fake), sizeof(entry.address));
	g_strlcpy(entry.domain, "d", sizeof(entry.domain));
	g_assert_cmpint(dir_put(y->dir, &entry, fs_now_us()), ==, DIR_CHANGED);
	y->targets[y->target_count++] = fake;
	return fake;
}

static void connect_caller(struct yard *y, struct yard_caller *c,
			   int receive_buffer)
{
	memset(c, 0, sizeof(*c));
	c->got = g_string_new(NULL);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (receive_buffer)
		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	g_assert_cmpint(connect(c->fd, (struct sockaddr *)&y->node.caller,
				sizeof(y->node.caller)),
			==, 0);
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
}

void yard_connect_narrow(struct yard *y, struct yard_caller *c)
{
	connect_caller(y, c, NARROW_RECEIVE_BUFFER);
}

void yard_call(struct yard *y, struct yard_caller *c, const char *bytes)
{
	connect_caller(y, c, 0);
	yard_send(c, bytes);
}

void yard_send(struct yard_caller *c, const char *bytes)
{
	g_string_truncate(c->got, 0);
	g_assert_cmpint(send(c->fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(bytes));
}

void yard_read(struct yard_caller *c)
{
	char buffer[16 * 1024];
	ssize_t n;

	while ((n = recv(c->fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(c->got, buffer, n);
	c->closed = c->closed || n == 0 || errno != EAGAIN;
}

void yard_hang_up(struct yard_caller *c)
{
	close(c->fd);
	g_string_free(c->got, TRUE);
}

void yard_expect(struct yard *y, struct yard_caller *c, int status)
{
	g_autofree char *line = g_strdup_printf("HTTP/1.1 %d ", status);

	yard_until(y, (yard_read(c),
		       c->closed || strstr(c->got->str, "\r\n\r\n")));
	if (!g_str_has_prefix(c->got->str, line))
		g_error("expected %d, got: %s%s", status, c->got->str,
			c->closed ? " (closed)" : "");
}

char *yard_field(const struct fake_request *request, const char *name)
{
	g_autofree char *start = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(request->head, start);

	if (!at)
		return NULL;
	at += strlen(start);
	return g_strndup(at, strcspn(at, "\r"));
}

void yard_ok(struct fake_conn *conn, const struct fake_request *request,
	     const char *body)
{
	g_autofree char *id = yard_field(request, "X-Id");
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: z\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				id ? id : "", strlen(body), body);

	fake_send_text(conn, text);
}

guint yard_arrivals(const struct yard *y)
{
	guint n = 0;

	for (uint32_t i = 0; i < y->target_count; i++)
		n += fake_requests(y->targets[i])->len;
	return n;
}

void yard_shrink_sockets(struct yard_caller *c, const struct gwy_request *req)
{
	const int send_size = SMALL_SEND_BUFFER;
	const int receive_size = SMALL_RECEIVE_BUFFER;
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_size,
		   sizeof(receive_size));
	setsockopt(info->connect_fd, SOL_SOCKET, SO_SNDBUF, &send_size,
		   sizeof(send_size));
}

int yard_log_begin(void)
{
	int stderr_fd = dup(STDERR_FILENO);
	int memory_fd = memfd_create("log", MFD_CLOEXEC);

	g_assert_cmpint(dup2(memory_fd, STDERR_FILENO), >=, 0);
	close(memory_fd);
	return stderr_fd;
}

char *yard_log_end(int stderr_fd)
{
	off_t size = lseek(STDERR_FILENO, 0, SEEK_CUR);
	char *text = g_malloc0(size + 1);

	g_assert_cmpint(pread(STDERR_FILENO, text, size, 0), ==, size);
	g_assert_cmpint(dup2(stderr_fd, STDERR_FILENO), >=, 0);
	close(stderr_fd);
	return text;
}
