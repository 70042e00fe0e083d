#include "cnf_priv.h"
#include "fs_log.h"

void cnf_call_end(struct cnf *cnf, struct cnf_call *call, bool ok,
		  int64_t pause_us, int64_t now_us)
{
	int64_t delay_us = CNF_RETRY_MIN_US << MIN(call->failures, 8);

	call->running = false;
	call->answered = call->answered || ok;
	call->failures = ok ? 0 : call->failures + 1;
	if (ok) {
		call->next_us = now_us + pause_us;
		return;
	}
	delay_us = MIN(delay_us, CNF_RETRY_MAX_US);
	call->next_us = now_us + delay_us / 2 +
			(int64_t)(fs_random(&cnf->random) % (uint64_t)delay_us);
}

static void audit(struct cnf *cnf, enum aud_rule rule, uint64_t version,
		  uint64_t known, uint64_t problems, int64_t now_us)
{
	struct aud_record rec;

	aud_begin(&rec, AUD_CONFIG, rule, version, now_us);
	g_strlcpy(rec.choice, rule == AUD_R_CONFIG_TAKEN ? "taken" : "refused",
		  sizeof(rec.choice));
	aud_add(&rec, "version", (int64_t)version);
	aud_add(&rec, "known", (int64_t)known);
	aud_add(&rec, "problems", (int64_t)problems);
	aud_emit(cnf->node->aud, &rec);
}

static void activate(struct cnf *cnf, int64_t now_us)
{
	struct cfg *cfg = cnf->store.cfg;

	shd_map_free(cnf->map);
	cnf->map = shd_map_new(cfg);
	cnf->in_force_since_us = now_us;
	cnf->broadcast_due = true;
	fs_log_eventf("cnf", G_LOG_LEVEL_MESSAGE, "config",
		      "\"version\":%" G_GUINT64_FORMAT, cfg->version);
	bus_send_all(cnf->node->bus, MSG_CONFIG, cfg);
}

void cnf_offer(struct cnf *cnf, uint64_t version, const char *text,
	       int64_t now_us)
{
	uint64_t known = cnf_store_version(&cnf->store);
	uint64_t problems;
	enum aud_rule rule;

	/* A repeat of the version in force or rejected last is not audited. */
	if (version == known || version == cnf->store.rejected_version)
		return;
	rule = cnf_store_offer(&cnf->store, version, text, &problems);
	audit(cnf, rule, version, known, problems, now_us);
	if (rule == AUD_R_CONFIG_TAKEN)
		activate(cnf, now_us);
	else if (rule == AUD_R_CONFIG_BAD)
		fs_log_eventf("cnf", G_LOG_LEVEL_WARNING, "config_refused",
			      "\"version\":%" G_GUINT64_FORMAT, version);
}

/* A node is ready once it has the newest configuration reported by its alive
 * peers, or any configuration after CNF_READY_TIMEOUT_US. */
static void ready_tick(struct cnf *cnf, int64_t now_us)
{
	uint64_t newest;
	node_id id;

	if (cnf->node->ready || !cnf->store.cfg)
		return;
	newest = cnf_peers_newest(cnf, &id);
	if (cnf_store_should_fetch(&cnf->store, newest) &&
	    now_us - cnf->started_us < CNF_READY_TIMEOUT_US)
		return;
	cnf->node->ready = true;
	fs_log_eventf("node", G_LOG_LEVEL_MESSAGE, "ready",
		      "\"config_version\":%" G_GUINT64_FORMAT,
		      cnf_store_version(&cnf->store));
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cnf *cnf = timer->data;
	int64_t now_us = fs_now_us();

	(void)loop;
	(void)events;
	cnf_platform_tick(cnf, now_us);
	cnf_peers_tick(cnf, now_us);
	cnf_broadcast_tick(cnf, now_us);
	ready_tick(cnf, now_us);
}

static void set_view(struct cnf *cnf, struct mem_view *view)
{
	mem_view_unref(cnf->view);
	cnf->view = mem_view_ref(view);
	cnf->broadcast_due = true;
}

static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct cnf *cnf = task;

	switch (m->type) {
	case MSG_VIEW:
		set_view(cnf, m->view.view);
		break;
	case MSG_CONFIG_HINT:
		cnf_peers_hint(cnf, m->config_hint.node, m->config_hint.version,
			       now_us);
		break;
	case MSG_CONFIG_REQUEST:
		cnf_peers_answer_request(cnf, m);
		break;
	case MSG_CONFIG_TEXT:
		cnf->requested_from = 0;
		cnf_offer(cnf, m->config_text.version, m->config_text.text,
			  now_us);
		break;
	case MSG_TARGETS_LEAVING:
		cnf_broadcast_receive(cnf, m, now_us);
		break;
	default:
		break;
	}
}

static const struct bus_task_ops ops = {
	.name = "config",
	.receive = receive,
};

static void write_status(const void *task, GString *out, int64_t now_us)
{
	const struct cnf *cnf = task;

	(void)now_us;
	g_string_append_printf(out,
			       "{\"version\":%" G_GUINT64_FORMAT
			       ",\"watching\":%s,\"platform\":\"%s\","
			       "\"problem\":",
			       cnf_store_version(&cnf->store),
			       cnf->watcher ? "true" : "false",
			       cnf->read.failures ? "away" : "found");
	if (cnf->store.problem)
		fs_json_string(out, cnf->store.problem);
	else
		g_string_append(out, "null");
	g_string_append_c(out, '}');
}

struct cnf *cnf_new(struct node *node)
{
	struct cnf *cnf = g_new0(struct cnf, 1);

	cnf->node = node;
	cnf->random = node->self ^ node->incarnation;
	cnf->started_us = fs_now_us();
	cnf->leaving_vms = g_array_new(FALSE, TRUE, sizeof(struct plt_vm));
	cnf->notified = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	cnf->leaving = cnf_leaving_new();
	bus_attach(node->bus, MSG_TASK_CONFIG, &ops, cnf);
	node_add_status(node, "config", write_status, cnf);
	ev_timer_init(&cnf->tick, on_tick, 0.0, CNF_TICK_US / 1e6);
	cnf->tick.data = cnf;
	ev_timer_start(node->loop, &cnf->tick);
	return cnf;
}

void cnf_free(struct cnf *cnf)
{
	if (!cnf)
		return;
	plt_cancel(cnf->node->platform, cnf);
	ev_timer_stop(cnf->node->loop, &cnf->tick);
	cnf_store_clear(&cnf->store);
	mem_view_unref(cnf->view);
	shd_map_free(cnf->map);
	g_array_unref(cnf->leaving_vms);
	g_hash_table_unref(cnf->notified);
	cnf_leaving_free(cnf->leaving);
	g_free(cnf);
}
