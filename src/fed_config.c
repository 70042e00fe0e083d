#include "fed_impl.h"

#include <string.h>

#include "fs_log.h"
#include "spr.h"

static uint64_t version_in_force(const struct fed *fed)
{
	return fed->cfg ? fed->cfg->version : 0;
}

static void log_refused(struct fed *fed, const char *source, const char *reason)
{
	ctr_count(fed->node->ctr, "fed_configs_refused", 1);
	fs_log_eventf("fed", G_LOG_LEVEL_WARNING, "config_refused",
		      "\"source\":\"%s\",\"known\":%" G_GUINT64_FORMAT
		      ",\"reason\":\"%s\"",
		      source, version_in_force(fed), reason);
}

/* Takes ownership of @p cfg. */
static void put_in_force(struct fed *fed, struct cfg *cfg, const char *source,
			 int64_t now_us)
{
	struct aud_record rec;

	aud_begin(&rec, AUD_CONFIG, AUD_R_CONFIG_TAKEN, cfg->version, now_us);
	g_strlcpy(rec.choice, "taken", sizeof(rec.choice));
	aud_add(&rec, "version", (int64_t)cfg->version);
	aud_add(&rec, "known", (int64_t)version_in_force(fed));
	aud_add(&rec, "problems", 0);
	aud_emit(fed->node->aud, &rec);
	cfg_unref(fed->cfg);
	fed->cfg = cfg;
	fs_log_eventf("fed", G_LOG_LEVEL_MESSAGE, "config_in_force",
		      "\"version\":%" G_GUINT64_FORMAT
		      ",\"routes\":%u,\"services\":%u,\"source\":\"%s\"",
		      cfg->version, cfg->route_count, cfg->service_count,
		      source);
	bus_send_all(fed->node->bus, MSG_CONFIG, cfg);
}

/* Returns the version that steps lead to, or 0. */
static uint64_t steps_version(const GArray *steps)
{
	return steps->len ?
		       g_array_index(steps, struct cfh_step, steps->len - 1)
			       .version :
		       0;
}

static size_t steps_bytes(const GArray *steps)
{
	size_t bytes = 0;

	for (guint i = 0; i < steps->len; i++)
		bytes += g_bytes_get_size(
			g_array_index(steps, struct cfh_step, i).bytes);
	return bytes;
}

static void send_steps(struct fed *fed, node_id to, const GArray *steps,
		       const node_id *relay, uint32_t relay_count)
{
	struct msg *m = msg_new(MSG_FEED_CONFIG, to, MSG_TASK_CONFIG);

	for (guint i = 0; i < steps->len; i++)
		cfh_steps_add(m->feed_config.steps,
			      &g_array_index(steps, struct cfh_step, i));
	if (relay_count)
		g_array_append_vals(m->feed_config.relay, relay, relay_count);
	ctr_count(fed->node->ctr, "fed_configs_sent", 1);
	ctr_count(fed->node->ctr, "fed_config_bytes_sent", steps_bytes(steps));
	bus_send(fed->node->bus, m);
}

/* Sends steps to the receivers, some of which relay them to the others. */
static void spread(struct fed *fed, const GArray *steps,
		   const GArray *receivers, const char *cause)
{
	const node_id *ids = (const node_id *)(void *)receivers->data;
	uint32_t parts = spr_parts(receivers->len, steps_bytes(steps));

	for (uint32_t i = 0; i < parts; i++) {
		struct spr_part part = spr_part(receivers->len, parts, i);

		send_steps(fed, ids[part.head], steps, &ids[part.head + 1],
			   part.rest);
	}
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "config_sent",
		      "\"cause\":\"%s\",\"version\":%" G_GUINT64_FORMAT
		      ",\"bytes\":%zu,\"copies\":%u,\"receivers\":%u",
		      cause, steps_version(steps), steps_bytes(steps), parts,
		      receivers->len);
}

static bool is_in_domain(const struct fed *fed, const struct mem_member *m)
{
	return m->id != fed->node->self &&
	       !strcmp(m->domain, fed->node->set.domain);
}

/* Returns the other nodes of this domain. One that may be lost comes last, where
 * few others depend on it. */
static GArray *domain_members(const struct fed *fed)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(node_id));
	uint32_t count = fed->view ? fed->view->count : 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct mem_member *m = &fed->view->members[i];

		if (m->state == MEM_ALIVE && is_in_domain(fed, m))
			g_array_append_val(ids, m->id);
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct mem_member *m = &fed->view->members[i];

		if (m->state != MEM_ALIVE && m->state != MEM_DEAD &&
		    is_in_domain(fed, m))
			g_array_append_val(ids, m->id);
	}
	return ids;
}

static void spread_to_domain(struct fed *fed)
{
	const struct cfh_step *last = cfh_last_step(&fed->texts.history);
	g_autoptr(GArray) members = domain_members(fed);
	g_autoptr(GArray) steps = cfh_steps_new();

	if (!last || !members->len)
		return;
	cfh_steps_add(steps, last);
	spread(fed, steps, members, "change");
}

/* A standby that still reads leaves it to the first in rank while that one is
 * heard. */
static bool sends_changes(const struct fed *fed, int64_t now_us)
{
	return fed->role.chosen &&
	       (fed->role.first ||
		now_us - fed->role.local_rx_us > FED_STANDBY_TIMEOUT_US);
}

void fed_config_read(struct fed *fed, const char *text, size_t size,
		     int64_t now_us)
{
	struct cfg *cfg = fed->platform.decode_config(text, size);

	if (!cfg) {
		log_refused(fed, "store", "malformed");
		return;
	}
	if (cfg->version > fed->texts.history.version) {
		if (cfh_put(&fed->texts.history, cfg->version, text))
			log_refused(fed, "store", "too_long");
		else if (sends_changes(fed, now_us))
			spread_to_domain(fed);
	}
	if (cfg->version > version_in_force(fed))
		put_in_force(fed, cfg, "store", now_us);
	else
		cfg_unref(cfg);
}

/* Decodes the newest text that peers have sent. */
static void apply_newest(struct fed *fed, int64_t now_us)
{
	const struct cfh *history = &fed->texts.history;
	struct cfg *cfg;

	if (history->version <= version_in_force(fed) ||
	    history->version == fed->texts.refused)
		return;
	cfg = fed->platform.decode_config(history->text, strlen(history->text));
	if (cfg && cfg->version == history->version) {
		put_in_force(fed, cfg, "peer", now_us);
		return;
	}
	fed->texts.refused = history->version;
	log_refused(fed, "peer", cfg ? "other_version" : "malformed");
	cfg_unref(cfg);
}

/* Returns whether this domain has a reader, which sends changes to all. */
static bool has_reader(const struct fed *fed, int64_t now_us)
{
	return now_us - fed->role.local_rx_us < FED_READER_TIMEOUT_US;
}

/* A peer that is known to have the version, or any one of this domain: most of them
 * get a change at about the same time. Other domains are asked if this one has no
 * reader, or does not help. */
static node_id select_peer(struct fed *fed, int64_t now_us)
{
	const struct fed_config *texts = &fed->texts;
	const struct mem_member *from =
		fed->view ? mem_view_find(fed->view, texts->wanted_from) : NULL;
	bool local = from && is_in_domain(fed, from);
	g_autoptr(GArray) members = domain_members(fed);

	if (!members->len ||
	    (texts->requests % 2 &&
	     (local || !has_reader(fed, now_us) || texts->requests > 2)))
		return texts->wanted_from;
	return g_array_index(members, node_id,
			     fed_random(fed, (int64_t)members->len));
}

static void request(struct fed *fed, int64_t now_us)
{
	struct fed_config *texts = &fed->texts;
	struct msg *m = msg_new(MSG_CONFIG_REQUEST, select_peer(fed, now_us),
				MSG_TASK_CONFIG);

	m->config_request.known = texts->whole ? 0 : texts->history.version;
	texts->request_running = true;
	texts->request_us = now_us;
	texts->requests++;
	ctr_count(fed->node->ctr, "fed_config_requests", 1);
	bus_send(fed->node->bus, m);
}

/* Returns for how long a newer version is likely to come unasked. */
static int64_t wait_us(struct fed *fed, int64_t now_us)
{
	g_autoptr(GArray) members = domain_members(fed);

	if (!fed->texts.history.version || !members->len)
		return 0;
	return (has_reader(fed, now_us) ? FED_CONFIG_WAIT_US : 0) +
	       fed_random(fed, FED_CONFIG_WAIT_JITTER_US);
}

void fed_config_hear(struct fed *fed, node_id peer, uint64_t version,
		     int64_t now_us)
{
	struct fed_config *texts = &fed->texts;
	bool searching = texts->wanted > texts->history.version;

	if (version <= texts->history.version || version <= texts->wanted)
		return;
	texts->wanted = version;
	texts->wanted_from = peer;
	/* One version more does not begin the wait anew. */
	if (searching)
		return;
	texts->requests = 0;
	texts->ask_us = now_us + wait_us(fed, now_us);
	fed_config_tick(fed, now_us);
}

void fed_config_tick(struct fed *fed, int64_t now_us)
{
	struct fed_config *texts = &fed->texts;

	apply_newest(fed, now_us);
	if (texts->request_running &&
	    now_us - texts->request_us > FED_CONFIG_REQUEST_TIMEOUT_US)
		texts->request_running = false;
	if (texts->wanted > texts->history.version && !texts->request_running &&
	    now_us >= texts->ask_us)
		request(fed, now_us);
}

/* Returns whether this node's link has room for an answer. */
static bool may_answer(struct fed_config *texts, size_t bytes, int64_t now_us)
{
	if (now_us - texts->answers_us > FED_CONFIG_ANSWERS_INTERVAL_US) {
		texts->answers_us = now_us;
		texts->answer_bytes = 0;
	}
	if (texts->answer_bytes && texts->answer_bytes + bytes > SPR_BYTES)
		return false;
	texts->answer_bytes += bytes;
	return true;
}

void fed_config_answer(struct fed *fed, const struct msg *ask, int64_t now_us)
{
	g_autoptr(GArray) steps = cfh_steps_new();

	cfh_steps_since(&fed->texts.history, ask->config_request.known, steps);
	if (!may_answer(&fed->texts, steps_bytes(steps), now_us)) {
		ctr_count(fed->node->ctr, "fed_config_requests_refused", 1);
		g_array_set_size(steps, 0);
	}
	send_steps(fed, ask->from, steps, NULL, 0);
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "config_sent",
		      "\"cause\":\"request\",\"version\":%" G_GUINT64_FORMAT
		      ",\"known\":%" G_GUINT64_FORMAT ",\"bytes\":%zu",
		      fed->texts.history.version, ask->config_request.known,
		      steps_bytes(steps));
}

/* Applies the steps in order. */
static void apply_steps(struct fed *fed, const struct msg *m, int64_t now_us)
{
	struct fed_config *texts = &fed->texts;
	int err = 0;

	for (guint i = 0; i < m->feed_config.steps->len && !err; i++)
		err = cfh_apply(&texts->history,
				&g_array_index(m->feed_config.steps,
					       struct cfh_step, i));
	if (!err) {
		texts->whole = false;
		return;
	}
	/* Steps from the version of this node, or the whole text if its own is
	 * another one under the same number. */
	texts->whole = err == FS_E_PROTOCOL;
	if (texts->whole)
		log_refused(fed, "peer", fs_err_name(err));
	fed_config_hear(fed, m->from, steps_version(m->feed_config.steps),
			now_us);
	texts->ask_us = now_us;
}

void fed_config_receive(struct fed *fed, const struct msg *m, int64_t now_us)
{
	const GArray *relay = m->feed_config.relay;
	uint64_t before = fed->texts.history.version;

	if (relay->len)
		spread(fed, m->feed_config.steps, relay, "relay");
	else
		fed->texts.request_running = false;
	apply_steps(fed, m, now_us);
	if (fed->texts.history.version == before)
		return;
	if (!relay->len && sends_changes(fed, now_us))
		spread_to_domain(fed);
	/* Decoding a long text takes a small VM a while: relayed messages leave
	 * before the next tick. */
	if (!relay->len)
		apply_newest(fed, now_us);
}
