/* Leaving targets, planned stops, and idempotency keys that follow the owner. */
#include <string.h>

#include "fleet_dsp.h"

static void serve_draining(void *arg, struct fake_conn *conn,
			   const struct fake_request *request)
{
	const bool *draining = arg;
	g_autofree char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n",
		*draining ? "Draining: 1\r\n" : "");

	(void)request;
	fake_send_text(conn, text);
}

static uint32_t count_requests(const struct fake *fake)
{
	const GPtrArray *all = fake_requests(fake);
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct fake_request *r = all->pdata[i];

		n += strncmp(r->head, "GET /health", 11) != 0;
	}
	return n;
}

static void test_drain_signal(void)
{
	struct scene s;
	bool draining = true;

	scene_begin(&s, &(struct scene_setup){
				.targets = 1,
				.serve = serve_draining,
				.arg = &draining,
				.service = "    probe: {path: /health}\n"});
	scene_send(&s, 1, "pay");
	scene_wait(&s, 1);
	scene_answered(&s, 1, 200);
	scene_send(&s, 2, "pay");
	scene_wait(&s, 2);
	scene_refused(&s, 2, FS_E_NO_TARGET, FS_NOT_RUN);
	draining = false;
	scene_run(&s, 2500 * FS_US_PER_MS);
	/* A stale probe answer must not make the target usable. */
	scene_send(&s, 3, "pay");
	scene_wait(&s, 3);
	scene_refused(&s, 3, FS_E_NO_TARGET, FS_NOT_RUN);
	g_assert_cmpuint(count_requests(s.fakes[0]), ==, 1);
	scene_end(&s);
	g_assert_true(dsp_drain_has_ended(true, 0));
	g_assert_true(dsp_drain_has_ended(false, 30 * FS_US_PER_S));
	g_assert_false(dsp_drain_has_ended(false, 29 * FS_US_PER_S));
}

static void test_leaving_by_vm_list(void)
{
	struct scene s;
	struct msg *m;

	scene_begin(&s, &(struct scene_setup){0});
	m = msg_new(MSG_TARGETS_LEAVING, s.node.self, MSG_TASK_DISPATCH);
	m->targets_leaving.servers = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(m->targets_leaving.servers, g_strdup("shop-1"));
	bus_send(s.node.bus, m);
	for (uint64_t i = 1; i <= 4; i++)
		scene_send(&s, i, "list");
	scene_wait(&s, 4);
	g_assert_cmpuint(fake_requests(s.fakes[0])->len, ==, 0);
	g_assert_cmpuint(fake_requests(s.fakes[1])->len, ==, 4);
	scene_end(&s);
}

static void serve_slowly(void *arg, struct fake_conn *conn,
			 const struct fake_request *request)
{
	(void)arg;
	(void)request;
	fake_send_later(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			300 * FS_US_PER_MS);
}

/* A new configuration and a planned stop interrupt no request. */
static void test_in_flight_finishes(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 1,
					      .slots = 1,
					      .serve = serve_slowly});
	scene_send(&s, 1, "pay");
	scene_send(&s, 2, "pay");
	scene_wait_target(&s, 1);
	scene_configure(&s);
	bus_send(s.node.bus, msg_new(MSG_STOP, s.node.self, MSG_TASK_DISPATCH));
	scene_run(&s, 100 * FS_US_PER_MS);
	g_assert_cmpuint(scene_in_flight(&s), ==, 1);
	g_assert_cmpuint(s.told->len, ==, 0);
	scene_wait(&s, 2);
	scene_answered(&s, 1, 200);
	scene_answered(&s, 2, 200);
	g_assert_cmpuint(s.told->len, ==, 0);
	scene_run(&s, 900 * FS_US_PER_MS);
	g_assert_cmpuint(s.told->len, ==, 1);
	g_assert_cmpint(((struct msg *)s.told->pdata[0])->type, ==,
			MSG_STOPPED);
	scene_end(&s);
}

static void send_stop(struct scene *s)
{
	bus_send(s->node.bus,
		 msg_new(MSG_STOP, s->node.self, MSG_TASK_DISPATCH));
}

static void wait_stopped(struct scene *s, guint times)
{
	for (int i = 0; i < 100 && s->told->len < times; i++)
		scene_run(s, 20 * FS_US_PER_MS);
	g_assert_cmpuint(s->told->len, ==, times);
}

/* Guards against a peer's request that arrives in the turn in which the process
 * leaves its loop: it was begun and dropped, its outcome unknown to its caller. */
static void test_request_in_the_last_turn_is_not_begun(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 1});
	/* Peers still hand requests over until the entry task has stopped. */
	send_stop(&s);
	wait_stopped(&s, 1);
	scene_send(&s, 1, "pay");
	scene_wait(&s, 1);
	scene_answered(&s, 1, 200);
	send_stop(&s);
	wait_stopped(&s, 2);
	scene_send(&s, 2, "pay");
	scene_wait(&s, 2);
	scene_refused(&s, 2, FS_E_NOT_OWNER, FS_NOT_RUN);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

static void test_service_leaving(void)
{
	struct scene s;

	scene_begin(&s,
		    &(struct scene_setup){.service = "    leaving: true\n"});
	scene_send(&s, 1, "pay");
	scene_wait(&s, 1);
	scene_refused(&s, 1, FS_E_SERVICE_LEAVING, FS_NOT_RUN);
	scene_end(&s);
}

static void send_key(struct scene *s, uint64_t counter)
{
	struct msg *m = scene_request(s, counter, "pay");

	m->request.key = g_strdup("k");
	bus_send(s->node.bus, m);
}

static void test_keys(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.serve = serve_slowly});
	fake_refuse(s.fakes[0]);
	send_key(&s, 1);
	scene_wait_target(&s, 1);
	send_key(&s, 2);
	scene_wait(&s, 1);
	scene_refused(&s, 2, FS_E_KEY_IN_FLIGHT, FS_NOT_RUN);
	scene_wait(&s, 2);
	scene_answered(&s, 1, 200);
	send_key(&s, 3);
	scene_wait(&s, 3);
	scene_refused(&s, 3, FS_E_KEY_SPENT, FS_NOT_RUN);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

/* The key of a request that was not run can be used again. */
static void test_key_freed_if_not_run(void)
{
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.targets = 1});
	fake_refuse(s.fakes[0]);
	send_key(&s, 1);
	send_key(&s, 2);
	scene_wait(&s, 2);
	scene_refused(&s, 1, FS_E_CONNECT, FS_NOT_RUN);
	g_assert_cmpint(scene_reply(&s, 2)->refusal.err, !=, FS_E_KEY_SPENT);
	g_assert_cmpuint(key_count(s.dsp->keys), ==, 0);
	scene_end(&s);
}

static void on_remote(void *arg, struct msg *m, int64_t now_us)
{
	(void)now_us;
	g_ptr_array_add(arg, m);
}

static void free_msg(void *m)
{
	msg_free(m);
}

/* Sends the dispatcher a view with another node, which owns all shards if this
 * one leaves. */
static void send_view(struct scene *s, node_id other, enum mem_state self)
{
	node_id ids[2] = {MIN(other, s->node.self), MAX(other, s->node.self)};
	struct mem_view *view =
		g_malloc0(sizeof(*view) + 2 * sizeof(struct mem_member));
	struct msg *m = msg_new(MSG_VIEW, s->node.self, MSG_TASK_DISPATCH);

	view->refs = 1;
	view->self = s->node.self;
	view->count = 2;
	for (int i = 0; i < 2; i++) {
		view->members[i].id = ids[i];
		view->members[i].direct = true;
		view->members[i].state = ids[i] == other ? MEM_ALIVE : self;
		g_strlcpy(view->members[i].region, "r", FS_DOMAIN_MAX);
		g_strlcpy(view->members[i].domain, "a", FS_DOMAIN_MAX);
	}
	m->view.view = view;
	bus_send(s->node.bus, m);
}

static void test_another_owner(void)
{
	g_autoptr(GPtrArray) remote = g_ptr_array_new_with_free_func(free_msg);
	node_id other = fs_node_id("entry-2");
	const struct msg *m;
	struct scene s;

	scene_begin(&s, &(struct scene_setup){0});
	bus_attach_remote(s.node.bus, on_remote, remote);
	send_key(&s, 1);
	scene_wait(&s, 1);
	send_view(&s, other, MEM_LEAVING);
	scene_send(&s, 2, "pay");
	scene_wait(&s, 2);
	scene_refused(&s, 2, FS_E_NOT_OWNER, FS_NOT_RUN);
	g_assert_cmpuint(remote->len, ==, 1);
	m = remote->pdata[0];
	g_assert_cmpint(m->type, ==, MSG_HANDOVER);
	g_assert_cmpuint(m->to, ==, other);
	g_assert_cmpuint(m->handover.keys->len, ==, 1);
	/* The same view again causes no further handover. */
	send_view(&s, other, MEM_LEAVING);
	scene_run(&s, 50 * FS_US_PER_MS);
	g_assert_cmpuint(remote->len, ==, 1);
	scene_end(&s);
}

static void test_handover_is_applied(void)
{
	struct msg_key key = {.key = g_strdup("k"), .age_us = 5};
	struct scene s;
	struct msg *m;

	scene_begin(&s, &(struct scene_setup){0});
	m = msg_new(MSG_HANDOVER, s.node.self, MSG_TASK_DISPATCH);
	m->handover.service = g_strdup("shop");
	m->handover.region = g_strdup("r");
	g_array_append_val(m->handover.keys, key);
	bus_send(s.node.bus, m);
	send_key(&s, 1);
	scene_wait(&s, 1);
	scene_refused(&s, 1, FS_E_KEY_SPENT, FS_NOT_RUN);
	g_assert_cmpuint(scene_received(&s), ==, 0);
	scene_end(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dsp/drain_signal", test_drain_signal);
	g_test_add_func("/dsp/leaving_by_vm_list", test_leaving_by_vm_list);
	g_test_add_func("/dsp/in_flight_finishes", test_in_flight_finishes);
	g_test_add_func("/dsp/request_in_the_last_turn_is_not_begun",
			test_request_in_the_last_turn_is_not_begun);
	g_test_add_func("/dsp/service_leaving", test_service_leaving);
	g_test_add_func("/dsp/keys", test_keys);
	g_test_add_func("/dsp/key_freed_if_not_run", test_key_freed_if_not_run);
	g_test_add_func("/dsp/another_owner", test_another_owner);
	g_test_add_func("/dsp/handover_is_applied", test_handover_is_applied);
	return g_test_run();
}
