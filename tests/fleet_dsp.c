#include "fleet_dsp.h"

#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <string.h>

#include "aud_replay.h"

#define WAIT_US (5 * FS_US_PER_S)

static void collect(GPtrArray *list, struct msg *m)
{
	struct msg *kept = g_new0(struct msg, 1);

	*kept = *m;
	memset(m, 0, sizeof(*m));
	m->type = MSG_CANCEL; /* holds nothing to free */
	g_ptr_array_add(list, kept);
}

static void on_entry(void *task, struct msg *m, int64_t now_us)
{
	struct scene *s = task;

	(void)now_us;
	if (m->type == MSG_ANSWER || m->type == MSG_PIECE ||
	    m->type == MSG_REFUSAL)
		collect(s->replies, m);
}

static void on_node(void *task, struct msg *m, int64_t now_us)
{
	struct scene *s = task;

	(void)now_us;
	collect(s->told, m);
}

static const struct bus_task_ops entry_ops = {"entry", on_entry};
static const struct bus_task_ops node_ops = {"node", on_node};

static char *config_text(const struct scene *s)
{
	const struct scene_setup *u = &s->setup;
	GString *text = g_string_new("");

	g_string_append_printf(text,
			       "deployment: test\n"
			       "failure_domains:\n"
			       "  - {name: a, region: r}\n"
			       "services:\n"
			       "  - name: shop\n"
			       "    floor: 50%%\n"
			       "    slots: %u\n"
			       "    queue: %u\n"
			       "    detection: careful\n"
			       "    retry_percent: 10\n"
			       "    objective: {good: 99%%, latency_ms: 500}\n"
			       "%s"
			       "    servers:\n",
			       u->slots, u->queue,
			       u->service ? u->service : "");
	for (uint32_t i = 0; i < u->targets; i++)
		g_string_append_printf(text,
				       "      - {name: shop-%u, address: "
				       "\"%s\", failure_domain: a}\n",
				       i + 1, fake_address(s->fakes[i]));
	g_string_append_printf(
		text,
		"routes:\n"
		"  - {name: pay, path: /pay, methods: [POST], service: shop,"
		" deadline_ms: %u, priority: high}\n"
		"  - {name: list, path: /list, methods: [GET, HEAD], service:"
		" shop, deadline_ms: %u, repeat: allowed, tries: 3}\n"
		"  - {name: export, path: /export, methods: [GET], service:"
		" shop, deadline_ms: %u, repeat: allowed, tries: 2,"
		" priority: low}\n",
		u->deadline_ms, u->deadline_ms, u->deadline_ms);
	return g_string_free(text, FALSE);
}

void scene_configure(struct scene *s)
{
	g_autofree char *text = config_text(s);
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg = NULL;
	struct msg *m;

	if (cfg_load(text, ++s->version, &problems, &cfg))
		g_error("%s", ((struct cfg_problem *)problems->pdata[0])->text);
	m = msg_new(MSG_CONFIG, s->node.self, MSG_TASK_DISPATCH);
	m->config.cfg = cfg;
	bus_send(s->node.bus, m);
}

static void set_defaults(struct scene_setup *u)
{
	u->targets = u->targets ? u->targets : 2;
	u->slots = u->slots ? u->slots : 2;
	u->queue = u->queue ? u->queue : 4;
	u->deadline_ms = u->deadline_ms ? u->deadline_ms : 2000;
}

static void free_msg(void *m)
{
	msg_free(m);
}

/* Log lines would mix with the results. */
static int logged;

void scene_begin(struct scene *s, const struct scene_setup *setup)
{
	memset(s, 0, sizeof(*s));
	if (!logged++)
		fs_log_init("test", open("/dev/null", O_WRONLY | O_CLOEXEC));
	s->setup = *setup;
	set_defaults(&s->setup);
	s->loop = ev_loop_new(EVFLAG_AUTO);
	s->replies = g_ptr_array_new_with_free_func(free_msg);
	s->told = g_ptr_array_new_with_free_func(free_msg);
	s->node.loop = s->loop;
	s->node.self = fs_node_id("entry-1");
	s->node.bus = bus_new(s->loop, s->node.self);
	s->node.ctr = ctr_new();
	s->node.aud = aud_new();
	g_strlcpy(s->node.set.region, "r", sizeof(s->node.set.region));
	bus_attach(s->node.bus, MSG_TASK_ENTRY, &entry_ops, s);
	bus_attach(s->node.bus, MSG_TASK_NODE, &node_ops, s);
	for (uint32_t i = 0; i < s->setup.targets; i++)
		s->fakes[i] = fake_new(s->loop, setup->serve, setup->arg);
	s->dsp = dsp_new(&s->node);
	scene_configure(s);
}

/* Every decision of the scene must follow from its text and its numbers. */
static void check_records(const struct scene *s)
{
	GString *out = g_string_new(NULL);
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonArray *all;

	aud_ring_json(s->node.aud, 0, out);
	g_assert_true(json_parser_load_from_data(parser, out->str, -1, NULL));
	all = json_node_get_array(json_parser_get_root(parser));
	for (guint i = 0; i < json_array_get_length(all); i++) {
		g_autofree char *text =
			json_to_string(json_array_get_element(all, i), FALSE);
		g_autofree char *reason = NULL;
		struct aud_record rec;

		g_assert_cmpint(aud_record_parse(text, &rec), ==, 0);
		if (rec.config_version == s->dsp->cfg->version)
			aud_replay_check(s->dsp->cfg, &rec, &reason);
		if (reason)
			g_printerr("%s: %s\n", reason, text);
		g_assert_null(reason);
	}
	g_string_free(out, TRUE);
}

void scene_end(struct scene *s)
{
	check_records(s);
	dsp_free(s->dsp);
	for (uint32_t i = 0; i < s->setup.targets; i++)
		fake_free(s->fakes[i]);
	bus_free(s->node.bus);
	g_ptr_array_unref(s->replies);
	g_ptr_array_unref(s->told);
	aud_free(s->node.aud);
	ctr_free(s->node.ctr);
	ev_loop_destroy(s->loop);
}

static struct req_id id_of(const struct scene *s, uint64_t counter)
{
	return (struct req_id){s->node.self, 1, counter};
}

struct msg *scene_request(struct scene *s, uint64_t counter, const char *route)
{
	struct msg *m = msg_new(MSG_REQUEST, s->node.self, MSG_TASK_DISPATCH);
	struct msg_request *r = &m->request;
	bool pay = !strcmp(route, "pay");

	r->id = id_of(s, counter);
	r->config_version = s->version;
	r->service = g_strdup("shop");
	r->region = g_strdup("r");
	r->route = g_strdup(route);
	r->remaining_us = s->setup.deadline_ms * FS_US_PER_MS;
	r->method = g_strdup(pay ? "POST" : "GET");
	r->host = g_strdup("shop.example");
	r->target = g_strdup_printf("/%s/%u", route, (uint32_t)counter);
	r->headers = msg_headers_new();
	r->body = g_bytes_new_static("x", pay ? 1 : 0);
	return m;
}

void scene_send(struct scene *s, uint64_t counter, const char *route)
{
	bus_send(s->node.bus, scene_request(s, counter, route));
}

void scene_cancel(struct scene *s, uint64_t counter)
{
	struct msg *m = msg_new(MSG_CANCEL, s->node.self, MSG_TASK_DISPATCH);

	m->cancel.id = id_of(s, counter);
	bus_send(s->node.bus, m);
}

void scene_credit(struct scene *s, uint64_t counter, uint32_t bytes)
{
	struct msg *m = msg_new(MSG_CREDIT, s->node.self, MSG_TASK_DISPATCH);

	m->credit.id = id_of(s, counter);
	m->credit.bytes = bytes;
	bus_send(s->node.bus, m);
}

void scene_run(struct scene *s, int64_t us)
{
	fake_run(s->loop, NULL, NULL, us);
}

static bool has_replies(void *arg)
{
	const struct scene *s = arg;

	return s->replies->len >= s->want;
}

void scene_wait(struct scene *s, uint32_t replies)
{
	s->want = replies;
	g_assert_true(fake_run(s->loop, has_replies, s, WAIT_US));
}

static bool has_received(void *arg)
{
	const struct scene *s = arg;

	return scene_received(s) >= s->want;
}

void scene_wait_target(struct scene *s, uint32_t requests)
{
	s->want = requests;
	g_assert_true(fake_run(s->loop, has_received, s, WAIT_US));
}

const struct msg *scene_reply(const struct scene *s, uint64_t counter)
{
	const struct msg *found = NULL;

	for (guint i = 0; i < s->replies->len; i++) {
		const struct msg *m = s->replies->pdata[i];
		const struct req_id *id = m->type == MSG_ANSWER ?
						  &m->answer.id :
					  m->type == MSG_PIECE ? &m->piece.id :
								 &m->refusal.id;

		if (id->counter == counter)
			found = m;
	}
	return found;
}

void scene_refused(const struct scene *s, uint64_t counter, int err,
		   enum fs_outcome outcome)
{
	const struct msg *m = scene_reply(s, counter);

	g_assert_nonnull(m);
	g_assert_cmpint(m->type, ==, MSG_REFUSAL);
	g_assert_cmpstr(fs_err_name(m->refusal.err), ==, fs_err_name(err));
	g_assert_cmpint(m->refusal.outcome, ==, outcome);
}

void scene_answered(const struct scene *s, uint64_t counter, uint32_t status)
{
	const struct msg *m = scene_reply(s, counter);

	g_assert_nonnull(m);
	g_assert_cmpint(m->type, ==, MSG_ANSWER);
	g_assert_cmpuint(m->answer.status, ==, status);
	g_assert_true(m->answer.last);
}

uint32_t scene_received(const struct scene *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->setup.targets; i++)
		n += fake_requests(s->fakes[i])->len;
	return n;
}

uint32_t scene_in_flight(const struct scene *s)
{
	GHashTableIter iter;
	struct dsp_server *server;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, s->dsp->servers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&server))
		n += server->in_flight;
	return n;
}
