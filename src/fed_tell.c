#include "fed_impl.h"

#include <string.h>

#include "fs_log.h"

static struct msg *pending_changes(struct fed *fed)
{
	if (!fed->changes)
		fed->changes = msg_new(MSG_FEED_ENTRIES, 0, MSG_TASK_CONFIG);
	return fed->changes;
}

static void queue_entry(struct fed *fed, const struct dir_entry *entry)
{
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "target",
		      "\"target\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
		      "\"leaving\":%s,\"era\":%" G_GUINT64_FORMAT
		      ",\"rev\":%" G_GUINT64_FORMAT
		      ",\"write\":%" G_GUINT64_FORMAT ",\"source\":\"%s\"",
		      entry->id, entry->service, entry->address,
		      entry->leaving ? "true" : "false", entry->rev.era,
		      entry->rev.number, entry->write.count,
		      fed->merging ? "peer" : "store");
	fed->changed_us = fs_now_us();
	if (fed->role.chosen && !fed->merging)
		g_array_append_val(pending_changes(fed)->feed_entries.entries,
				   *entry);
}

/* The entry is older than what is known of the server, see dir.h. */
static void report_leftover(struct fed *fed, const struct dir_entry *entry)
{
	ctr_count(fed->node->ctr, "fed_leftovers", 1);
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "target_leftover",
		      "\"target\":\"%s\",\"era\":%" G_GUINT64_FORMAT
		      ",\"rev\":%" G_GUINT64_FORMAT
		      ",\"write\":%" G_GUINT64_FORMAT ",\"source\":\"%s\"",
		      entry->id, entry->rev.era, entry->rev.number,
		      entry->write.count, fed->merging ? "peer" : "store");
}

void fed_apply_entry(struct fed *fed, const struct dir_entry *entry,
		     int64_t now_us)
{
	enum dir_effect effect = dir_put(fed->dir, entry, now_us);

	if (effect == DIR_LEFTOVER)
		report_leftover(fed, entry);
	if (effect == DIR_CHANGED)
		queue_entry(fed, entry);
}

void fed_queue_removal(void *arg, const struct dir_target *target,
		       struct rev rev)
{
	struct fed *fed = arg;
	struct msg_removed removed = {.last = target->entry.write, .rev = rev};

	fs_log_eventf(
		"fed", G_LOG_LEVEL_INFO, "target_gone",
		"\"target\":\"%s\",\"service\":\"%s\",\"era\":%" G_GUINT64_FORMAT
		",\"rev\":%" G_GUINT64_FORMAT ",\"source\":\"%s\"",
		target->entry.id, target->entry.service, rev.era, rev.number,
		fed->merging ? "peer" : "store");
	fed->changed_us = fs_now_us();
	if (!fed->role.chosen || fed->merging)
		return;
	g_strlcpy(removed.id, target->entry.id, sizeof(removed.id));
	g_array_append_val(pending_changes(fed)->feed_entries.removed, removed);
}

void fed_queue_era(struct fed *fed)
{
	if (fed->role.chosen)
		pending_changes(fed);
}

static struct msg *copy_changes(const struct fed *fed, node_id to)
{
	struct msg *m = msg_new(MSG_FEED_ENTRIES, to, MSG_TASK_CONFIG);
	const GArray *entries = fed->changes->feed_entries.entries;
	const GArray *removed = fed->changes->feed_entries.removed;

	m->feed_entries.snapshot.era = fed->era;
	g_array_append_vals(m->feed_entries.entries, entries->data,
			    entries->len);
	g_array_append_vals(m->feed_entries.removed, removed->data,
			    removed->len);
	return m;
}

/* The load exchange forwards it to all nodes. */
static void send_heartbeat(struct fed *fed, int64_t now_us)
{
	struct msg *m =
		msg_new(MSG_FEED_HEARTBEAT, fed->node->self, MSG_TASK_LOAD);

	m->feed_heartbeat.digest = dir_digest(fed->dir);
	m->feed_heartbeat.config_version = fed->cfg ? fed->cfg->version : 0;
	m->feed_heartbeat.era = fed->era;
	m->feed_heartbeat.fresh =
		fed->targets.listed &&
		now_us - fed->targets.answered_us < FED_FRESH_US &&
		now_us - fed->config.answered_us <
			FED_FRESH_US + FED_CONFIG_LONG_POLL_US;
	bus_send(fed->node->bus, m);
}

/* Other failure domains have their own readers. */
static void broadcast_to_domain(struct fed *fed)
{
	for (uint32_t i = 0; fed->view && i < fed->view->count; i++) {
		const struct mem_member *m = &fed->view->members[i];

		if (m->id != fed->node->self && m->state != MEM_DEAD &&
		    !strcmp(m->domain, fed->node->set.domain))
			bus_send(fed->node->bus, copy_changes(fed, m->id));
	}
}

void fed_broadcast_tick(struct fed *fed, int64_t now_us)
{
	if (fed->role.chosen && fed->changes)
		broadcast_to_domain(fed);
	g_clear_pointer(&fed->changes, msg_free);
	if (fed->role.chosen)
		send_heartbeat(fed, now_us);
}

static void request_entries(struct fed *fed,
			    const struct msg_feed_heartbeat *heartbeat,
			    int64_t now_us)
{
	if (heartbeat->digest == dir_digest(fed->dir)) {
		/* The reader has what is to be removed here, and tells of it if
		 * that changes. */
		dir_keep(fed->dir);
		return;
	}
	/* Changes in flight cause a digest mismatch for a moment. */
	if (now_us - fed->changed_us < FED_QUERY_INTERVAL_US ||
	    now_us - fed->queried_us < FED_QUERY_INTERVAL_US)
		return;
	fed->queried_us = now_us;
	bus_send(fed->node->bus,
		 msg_new(MSG_FEED_REQUEST, heartbeat->reader, MSG_TASK_CONFIG));
}

/* Returns whether this node follows the store by its own calls. */
static bool reads_in_time(const struct fed *fed, int64_t now_us)
{
	return fed->role.reading && fed->targets.listed &&
	       now_us - fed->targets.answered_us < FED_FRESH_US;
}

void fed_receive_heartbeat(struct fed *fed, const struct msg *m, int64_t now_us)
{
	const struct msg_feed_heartbeat *heartbeat = &m->feed_heartbeat;

	if (!heartbeat->fresh) {
		/* The reader of this domain has lost the store: those of other
		 * domains count at once. */
		if (heartbeat->local)
			fed->role.local_rx_us =
				MIN(fed->role.local_rx_us,
				    now_us - FED_READER_TIMEOUT_US);
		return;
	}
	fed->role.last_rx_us = now_us;
	if (heartbeat->local)
		fed->role.local_rx_us = now_us;
	/* The message that tells of a restoration may be lost, and digests stay
	 * equal over it. */
	fed_hear_era(fed, heartbeat->era, "heartbeat", now_us);
	fed_config_hear(fed, heartbeat->reader, heartbeat->config_version,
			now_us);
	if (!heartbeat->local &&
	    now_us - fed->role.local_rx_us < FED_READER_TIMEOUT_US)
		return;
	if (!reads_in_time(fed, now_us))
		request_entries(fed, heartbeat, now_us);
}

/* Returns whether this node's own reading tells that an entry's server is gone: it
 * is not known at a later revision. */
static bool is_superseded(const struct fed *fed, const struct dir_entry *entry)
{
	struct rev read = {.era = fed->era, .number = fed->targets.from_rev};

	return fed->targets.listed && !dir_target_find(fed->dir, entry->id) &&
	       rev_compare(entry->rev, read) <= 0;
}

void fed_merge_entries(struct fed *fed, const struct msg *m, int64_t now_us)
{
	const GArray *entries = m->feed_entries.entries;
	const GArray *removed = m->feed_entries.removed;
	bool complete = m->feed_entries.snapshot.number != 0;

	fed_hear_era(fed, m->feed_entries.snapshot.era, "peer", now_us);
	/* The directory keeps track of one list at a time, and this node's own
	 * removes as well what it lacks. */
	if (fed->targets.page_after)
		complete = false;
	fed->merging = true;
	if (complete)
		dir_list_begin(fed->dir);
	for (guint i = 0; i < entries->len; i++) {
		const struct dir_entry *entry =
			&g_array_index(entries, struct dir_entry, i);

		if (is_superseded(fed, entry))
			ctr_count(fed->node->ctr, "fed_superseded", 1);
		else
			fed_apply_entry(fed, entry, now_us);
	}
	for (guint i = 0; i < removed->len; i++) {
		const struct msg_removed *r =
			&g_array_index(removed, struct msg_removed, i);

		dir_merge_removal(fed->dir, r->id, r->rev, r->last,
				  fed->grace_until_us, now_us);
	}
	/* A sender that started recently has no removal records of targets
	 * removed before: drop what its complete list lacks. */
	if (complete)
		dir_list_end(fed->dir, m->feed_entries.snapshot,
			     fed->grace_until_us, now_us);
	fed->merging = false;
	if (entries->len)
		fed->directory_known = true;
}

/** A complete answer under construction. */
struct full_sync {
	struct msg *m;
	int64_t now_us;
};

static void add_target(void *arg, const struct dir_target *target)
{
	struct full_sync *full = arg;
	struct dir_entry entry = target->entry;

	entry.cold_us = MAX(target->warm_us - full->now_us, 0);
	g_array_append_val(full->m->feed_entries.entries, entry);
}

static void add_removed(void *arg, const char *id, struct rev rev,
			struct dir_write last)
{
	struct full_sync *full = arg;
	struct msg_removed removed = {.last = last, .rev = rev};

	g_strlcpy(removed.id, id, sizeof(removed.id));
	g_array_append_val(full->m->feed_entries.removed, removed);
}

void fed_send_all_entries(struct fed *fed, const struct msg *ask,
			  int64_t now_us)
{
	struct full_sync full = {
		.m = msg_new(MSG_FEED_ENTRIES, ask->from, MSG_TASK_CONFIG),
		.now_us = now_us,
	};

	full.m->feed_entries.snapshot.era = fed->era;
	if (fed->targets.listed)
		full.m->feed_entries.snapshot.number = fed->targets.from_rev;
	dir_each(fed->dir, add_target, &full);
	dir_each_tombstone(fed->dir, add_removed, &full);
	bus_send(fed->node->bus, full.m);
}
