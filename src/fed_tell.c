#include "fed_impl.h"

#include <string.h>

#include "fs_log.h"

static struct msg *changes_of(struct fed *fed)
{
	if (!fed->changes)
		fed->changes = msg_new(MSG_FEED_ENTRIES, 0, MSG_TASK_CONFIG);
	return fed->changes;
}

void fed_tell_entry(struct fed *fed, const struct dir_entry *entry)
{
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "target",
		      "\"target\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
		      "\"leaving\":%s,\"rev\":%" G_GUINT64_FORMAT
		      ",\"source\":\"%s\"",
		      entry->id, entry->service, entry->address,
		      entry->leaving ? "true" : "false", entry->rev,
		      fed->merging ? "peer" : "store");
	fed->changed_us = fs_now_us();
	if (fed->chosen && !fed->merging)
		g_array_append_val(changes_of(fed)->feed_entries.entries,
				   *entry);
}

void fed_tell_gone(void *arg, const struct dir_target *target, uint64_t rev)
{
	struct fed *fed = arg;
	struct msg_removed removed = {.rev = rev};

	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "target_gone",
		      "\"target\":\"%s\",\"service\":\"%s\",\"rev\":%"
		      G_GUINT64_FORMAT ",\"source\":\"%s\"",
		      target->entry.id, target->entry.service, rev,
		      fed->merging ? "peer" : "store");
	fed->changed_us = fs_now_us();
	if (!fed->chosen || fed->merging)
		return;
	g_strlcpy(removed.id, target->entry.id, sizeof(removed.id));
	g_array_append_val(changes_of(fed)->feed_entries.removed, removed);
}

static struct msg *copy_entries(const struct msg *from, node_id to)
{
	struct msg *m = msg_new(MSG_FEED_ENTRIES, to, MSG_TASK_CONFIG);
	const GArray *entries = from->feed_entries.entries;
	const GArray *removed = from->feed_entries.removed;

	g_array_append_vals(m->feed_entries.entries, entries->data,
			    entries->len);
	g_array_append_vals(m->feed_entries.removed, removed->data,
			    removed->len);
	return m;
}

static struct msg *beat_of(const struct fed *fed, node_id to, int64_t now_us)
{
	struct msg *m = msg_new(MSG_FEED_BEAT, to, MSG_TASK_CONFIG);

	m->feed_beat.digest = dir_digest(fed->dir);
	m->feed_beat.config_version = fed->cfg ? fed->cfg->version : 0;
	m->feed_beat.fresh =
		fed->targets.listed &&
		now_us - fed->targets.answered_us < FED_FRESH_US &&
		now_us - fed->config.answered_us <
			FED_FRESH_US + FED_CONFIG_WAIT_US;
	return m;
}

/* Changes go first, so that the digest behind them fits. */
static void tell_all(struct fed *fed, int64_t now_us)
{
	struct bus *bus = fed->node->bus;
	bool far = fed->changes || !fed->beat_us ||
		   now_us - fed->beat_far_us >= FED_BEAT_FAR_US;

	for (uint32_t i = 0; fed->view && i < fed->view->count; i++) {
		const struct mem_member *m = &fed->view->members[i];

		if (m->id == fed->node->self || m->state == MEM_DEAD ||
		    (!far && strcmp(m->domain, fed->node->set.domain) != 0))
			continue;
		if (fed->changes)
			bus_send(bus, copy_entries(fed->changes, m->id));
		bus_send(bus, beat_of(fed, m->id, now_us));
	}
	g_clear_pointer(&fed->changes, msg_free);
	fed->beat_us = now_us;
	if (far)
		fed->beat_far_us = now_us;
}

void fed_tell_config(struct fed *fed)
{
	/* The beat names the new version; peers ask for its text. */
	fed->beat_us = 0;
}

void fed_tell_tick(struct fed *fed, int64_t now_us)
{
	if (!fed->chosen) {
		g_clear_pointer(&fed->changes, msg_free);
		return;
	}
	if (fed->changes || now_us - fed->beat_us >= FED_BEAT_US)
		tell_all(fed, now_us);
}

void fed_tell_beat(struct fed *fed, const struct msg *m, int64_t now_us)
{
	const struct msg_feed_beat *beat = &m->feed_beat;

	if (!beat->fresh)
		return;
	fed->heard_us = now_us;
	/* A reader has the list itself; changes under way explain a digest
	 * that differs for a moment. */
	if (fed->reading && fed->directory_known)
		return;
	if (beat->digest == dir_digest(fed->dir) ||
	    now_us - fed->changed_us < FED_ASK_US ||
	    now_us - fed->asked_us < FED_ASK_US)
		return;
	fed->asked_us = now_us;
	bus_send(fed->node->bus,
		 msg_new(MSG_FEED_ASK, m->from, MSG_TASK_CONFIG));
}

void fed_tell_entries(struct fed *fed, const struct msg *m, int64_t now_us)
{
	const GArray *entries = m->feed_entries.entries;
	const GArray *removed = m->feed_entries.removed;

	fed->merging = true;
	for (guint i = 0; i < entries->len; i++) {
		const struct dir_entry *entry =
			&g_array_index(entries, struct dir_entry, i);

		if (dir_put(fed->dir, entry, now_us))
			fed_tell_entry(fed, entry);
	}
	for (guint i = 0; i < removed->len; i++) {
		const struct msg_removed *r =
			&g_array_index(removed, struct msg_removed, i);

		dir_remove(fed->dir, r->id, r->rev, 0, now_us);
	}
	fed->merging = false;
	if (entries->len)
		fed->directory_known = true;
}

/** What a whole answer is made of. */
struct whole {
	struct msg *m;
	int64_t now_us;
};

static void add_target(void *arg, const struct dir_target *target)
{
	struct whole *whole = arg;
	struct dir_entry entry = target->entry;

	entry.cold_us = MAX(target->warm_us - whole->now_us, 0);
	g_array_append_val(whole->m->feed_entries.entries, entry);
}

static void add_removed(void *arg, const char *id, uint64_t rev)
{
	struct whole *whole = arg;
	struct msg_removed removed = {.rev = rev};

	g_strlcpy(removed.id, id, sizeof(removed.id));
	g_array_append_val(whole->m->feed_entries.removed, removed);
}

void fed_tell_asked(struct fed *fed, const struct msg *ask, int64_t now_us)
{
	struct whole whole = {
		.m = msg_new(MSG_FEED_ENTRIES, ask->from, MSG_TASK_CONFIG),
		.now_us = now_us,
	};

	dir_each(fed->dir, add_target, &whole);
	dir_each_removed(fed->dir, add_removed, &whole);
	bus_send(fed->node->bus, whole.m);
}
