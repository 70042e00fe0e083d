#include "fleet_ent.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char text[] =
	"deployment: test\n"
	"failure_domains:\n"
	"  - {name: r-a, region: r}\n"
	"  - {name: r-b, region: r}\n"
	"services:\n"
	"  - name: shop\n"
	"    floor: 50%\n"
	"    slots: 4\n"
	"    detection: careful\n"
	"    retry_percent: 10\n"
	"    objective: {good: 99.5%, latency_ms: 500}\n"
	"    servers:\n"
	"      - {name: s1, address: \"127.0.0.1:1\", failure_domain: r-a}\n"
	"      - {name: s2, address: \"127.0.0.1:2\", failure_domain: r-b}\n"
	"routes:\n"
	"  - {name: pay, path: /pay, methods: [POST], service: shop,\n"
	"     deadline_ms: 300}\n"
	"  - {name: list, path: /list, methods: [GET, HEAD], service: shop,\n"
	"     deadline_ms: 300, repeat: allowed, tries: 3}\n";

static void keep(struct gate *g, struct msg *m)
{
	struct msg *copy = g_memdup2(m, sizeof(*m));

	memset(m, 0, sizeof(*m)); /* the copy owns the members now */
	g_ptr_array_add(g->sent, copy);
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct gate *g = task;

	(void)now_us;
	if (m->type == MSG_STOPPED)
		g->stopped = true;
	else if (m->type < MSG_REMOTE_COUNT)
		keep(g, m);
}

static void send_remote(void *arg, struct msg *m, int64_t now_us)
{
	(void)now_us;
	keep(arg, m);
	g_free(m);
}

static const struct bus_task_ops ops = {.name = "test", .receive = receive};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

void gate_run(struct gate *g, int64_t us)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timer, (double)us / FS_US_PER_S, 0);
	ev_timer_start(g->loop, &timer);
	ev_run(g->loop, 0);
	ev_timer_stop(g->loop, &timer);
}

static void add_member(struct mem_member *m, const char *name,
		       const char *domain)
{
	m->id = fs_node_id(name);
	g_strlcpy(m->name, name, FS_NAME_MAX);
	g_strlcpy(m->region, "r", FS_DOMAIN_MAX);
	g_strlcpy(m->domain, domain, FS_DOMAIN_MAX);
	set_parse_address("127.0.0.1:80", &m->caller);
	m->direct = true;
}

static void put_in_force(struct gate *g)
{
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg CFG_AUTO = NULL;
	struct mem_view *view =
		g_malloc0(sizeof(*view) + 2 * sizeof(struct mem_member));
	bool first = fs_node_id("a") < fs_node_id("b");

	g_assert_cmpint(cfg_load(text, 1, &problems, &cfg), ==, 0);
	view->refs = 1;
	view->self = g->node.self;
	view->count = 2;
	add_member(&view->members[first ? 0 : 1], "a", "r-a");
	add_member(&view->members[first ? 1 : 0], "b", "r-b");
	bus_send_all(g->node.bus, MSG_CONFIG, cfg);
	bus_send_all(g->node.bus, MSG_VIEW, view);
	mem_view_unref(view);
}

void gate_begin(struct gate *g)
{
	struct node *node = &g->node;

	memset(g, 0, sizeof(*g));
	g->loop = node->loop = ev_default_loop(EVFLAG_AUTO);
	g->sent = g_ptr_array_new_with_free_func((GDestroyNotify)msg_free);
	g_strlcpy(node->set.name, "a", FS_NAME_MAX);
	g_strlcpy(node->set.region, "r", FS_DOMAIN_MAX);
	set_parse_address("127.0.0.1:0", &node->set.caller_listen);
	node->self = fs_node_id("a");
	node->incarnation = 77;
	node->bus = bus_new(g->loop, node->self);
	node->ctr = ctr_new();
	node->aud = aud_new();
	node->brn = brn_new();
	bus_attach(node->bus, MSG_TASK_DISPATCH, &ops, g);
	bus_attach(node->bus, MSG_TASK_NODE, &ops, g);
	bus_attach_remote(node->bus, send_remote, g);
	g->ent = ent_new(node);
	g_assert_nonnull(g->ent);
	put_in_force(g);
	gate_run(g, 5000);
}

void gate_end(struct gate *g)
{
	ent_free(g->ent);
	brn_free(g->node.brn);
	aud_free(g->node.aud);
	ctr_free(g->node.ctr);
	bus_free(g->node.bus);
	g_ptr_array_unref(g->sent);
}

void gate_call(struct gate *g, struct gate_caller *c, const char *bytes)
{
	memset(c, 0, sizeof(*c));
	c->got = g_string_new(NULL);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(connect(c->fd, (struct sockaddr *)&g->node.caller,
				sizeof(g->node.caller)),
			==, 0);
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
	g_assert_cmpint(send(c->fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==,
			(ssize_t)strlen(bytes));
}

void gate_read(struct gate_caller *c)
{
	char buffer[16 * 1024];
	ssize_t n;

	while ((n = recv(c->fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(c->got, buffer, n);
	c->closed = c->closed || n == 0 || errno != EAGAIN;
}

void gate_hang_up(struct gate_caller *c)
{
	close(c->fd);
	g_string_free(c->got, TRUE);
}

const struct msg *gate_sent(const struct gate *g, enum msg_type type, guint n)
{
	for (guint i = 0; i < g->sent->len; i++) {
		const struct msg *m = g_ptr_array_index(g->sent, i);

		if (m->type == type && !n--)
			return m;
	}
	return NULL;
}

void gate_expect(struct gate *g, struct gate_caller *c, int status,
		 const char *outcome)
{
	g_autofree char *line = g_strdup_printf("HTTP/1.1 %d ", status);
	g_autofree char *field =
		g_strdup_printf("Fescuesaddle-Outcome: %s\r\n", outcome);

	gate_until(g, (gate_read(c), strstr(c->got->str, "\r\n\r\n")));
	g_assert_true(g_str_has_prefix(c->got->str, line));
	g_assert_nonnull(strstr(c->got->str, field));
}

void gate_reply(struct gate *g, const struct msg *request, struct msg *reply)
{
	reply->from = request->to;
	bus_deliver(g->node.bus, reply);
	gate_run(g, 5000);
}

void gate_refuse(struct gate *g, const struct msg *request, int err,
		 enum fs_outcome outcome)
{
	struct msg *m = msg_new(MSG_REFUSAL, g->node.self, MSG_TASK_ENTRY);

	m->refusal.id = request->request.id;
	m->refusal.err = err;
	m->refusal.outcome = outcome;
	gate_reply(g, request, m);
}

void gate_answer(struct gate *g, const struct msg *request, const char *data,
		 int64_t length, bool last)
{
	struct msg *m = msg_new(MSG_ANSWER, g->node.self, MSG_TASK_ENTRY);

	m->answer.id = request->request.id;
	m->answer.status = 200;
	m->answer.headers = msg_headers_new();
	msg_headers_add(m->answer.headers, "X-Kept", "1");
	msg_headers_add(m->answer.headers, "Connection", "X-Hop");
	msg_headers_add(m->answer.headers, "X-Hop", "1");
	m->answer.length = length;
	m->answer.data = g_bytes_new(data, strlen(data));
	m->answer.last = last;
	gate_reply(g, request, m);
}

void gate_piece(struct gate *g, const struct msg *request, uint64_t offset,
		const char *data, bool last)
{
	struct msg *m = msg_new(MSG_PIECE, g->node.self, MSG_TASK_ENTRY);

	m->piece.id = request->request.id;
	m->piece.offset = offset;
	m->piece.data = g_bytes_new(data, strlen(data));
	m->piece.last = last;
	gate_reply(g, request, m);
}

void gate_break(struct gate *g, const struct msg *request)
{
	struct msg *m = msg_new(MSG_LINK_DOWN, g->node.self, MSG_TASK_ENTRY);

	m->link_down.node = request->to;
	bus_deliver(g->node.bus, m);
	gate_run(g, 5000);
}
