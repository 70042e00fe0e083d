#include "fed_impl.h"

#include "fs_log.h"

static void set_store_lost(struct fed *fed, bool lost, int err)
{
	if (fed->store_lost == lost)
		return;
	fed->store_lost = lost;
	fs_log_eventf("fed", lost ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE,
		      lost ? "store_lost" : "store_regained",
		      "\"reason\":\"%s\"", fs_err_name(err));
}

static int64_t retry_us(struct fed *fed, uint32_t failures)
{
	int64_t delay_us = FED_RETRY_MIN_US << MIN(failures, 4U);

	delay_us = MIN(delay_us, FED_RETRY_MAX_US);
	return delay_us / 2 + fed_random(fed, delay_us / 2);
}

static void call_failed(struct fed_watcher *watcher, int err, int64_t now_us)
{
	struct fed *fed = watcher->fed;

	watcher->failures++;
	watcher->next_us = now_us + retry_us(fed, watcher->failures);
	if (err == FS_E_STALE) {
		/* The history was compacted: list everything again. */
		fs_log_eventf("fed", G_LOG_LEVEL_INFO, "history_lost",
			      "\"prefix\":\"%s\",\"rev\":%" G_GUINT64_FORMAT,
			      watcher->prefix, watcher->from_rev);
		watcher->listed = false;
		watcher->next_us = now_us;
		watcher->failures = 0;
		return;
	}
	if (watcher->failures >= 2 && !watcher->is_config)
		set_store_lost(fed, true, err);
}

static void call_answered(struct fed_watcher *watcher, int64_t now_us)
{
	struct fed *fed = watcher->fed;
	int64_t known_us = MAX(fed->role.last_rx_us, watcher->answered_us);
	bool gap = now_us - known_us > FED_STORE_GAP_US;

	/* An outage of the store in the meantime is possible, in which entries
	 * may have expired, and could not be written again. */
	if (fed->directory_known && gap)
		watcher->grace_until_us = now_us + FED_REMOVAL_GRACE_US;
	if (gap || fed->store_lost)
		dir_defer(fed->dir, now_us + FED_REMOVAL_GRACE_US);
	if (!watcher->is_config)
		set_store_lost(fed, false, 0);
	watcher->failures = 0;
	watcher->answered_us = now_us;
}

/* Another writer's entry, or a malformed one, names no target. */
static void report_malformed(struct fed *fed, const struct kvs_item *item)
{
	g_autoptr(GString) fields = g_string_new("\"key\":");

	ctr_count(fed->node->ctr, "fed_entries_malformed", 1);
	fs_json_string(fields, item->key);
	g_string_append_printf(fields, ",\"bytes\":%zu", item->size);
	fs_log_event("fed", G_LOG_LEVEL_INFO, "entry_malformed", fields->str);
}

static void apply_target(struct fed_watcher *watcher,
			 const struct kvs_item *item, int64_t now_us)
{
	struct fed *fed = watcher->fed;
	const char *id = item->key + strlen(watcher->prefix);
	struct rev rev = {.era = fed->era, .number = item->rev};
	struct dir_entry entry = {0};

	if (item->removed) {
		dir_remove(fed->dir, id, rev, watcher->grace_until_us, now_us);
		return;
	}
	if (!fed->platform.decode_target(item, &entry)) {
		report_malformed(fed, item);
		return;
	}
	entry.rev.era = fed->era;
	fed_apply_entry(fed, &entry, now_us);
}

static void apply_item(struct fed_watcher *watcher, const struct kvs_item *item,
		       int64_t now_us)
{
	struct fed *fed = watcher->fed;

	if (!g_str_has_prefix(item->key, watcher->prefix))
		return;
	if (!watcher->is_config)
		apply_target(watcher, item, now_us);
	else if (!item->removed && !strcmp(item->key, fed->platform.config_key))
		fed_config_read(fed, item->value, item->size, now_us);
}

/* Returns whether the page of an answer is to be applied. In a restored store
 * only a list can be, from its first page on. */
static bool accept_answer(struct fed_watcher *watcher, int err,
			  const struct kvs_page *page, int64_t now_us)
{
	bool first_page = !watcher->listed && !watcher->page_after;
	enum fed_era era;

	watcher->running = false;
	if (!err)
		watcher->reached_us = now_us;
	era = fed_note_era(watcher->fed, page->era, now_us);
	if (era == FED_ERA_VOID)
		err = FS_E_UNAVAILABLE;
	if (err) {
		call_failed(watcher, err, now_us);
		return false;
	}
	if (era == FED_ERA_NEWER && !first_page)
		return false;
	call_answered(watcher, now_us);
	return true;
}

static void on_watched(void *arg, int err, const struct kvs_page *page)
{
	struct fed_watcher *watcher = arg;
	int64_t now_us = fs_now_us();

	if (!accept_answer(watcher, err, page, now_us))
		return;
	for (uint32_t i = 0; i < page->count; i++)
		apply_item(watcher, &page->items[i], now_us);
	watcher->from_rev = MAX(watcher->from_rev, page->at_rev);
	watcher->next_us =
		now_us + (watcher->is_config ? 0 : FED_TARGET_PAUSE_US);
}

static void on_listed(void *arg, int err, const struct kvs_page *page);

static void begin_call(struct fed_watcher *watcher)
{
	struct fed *fed = watcher->fed;
	struct kvs *kvs = &fed->platform.kvs;

	watcher->running = true;
	if (watcher->listed) {
		kvs->ops->watch(kvs->store, watcher->prefix, watcher->from_rev,
				watcher->is_config ? FED_CONFIG_LONG_POLL_US :
						     FED_TARGET_LONG_POLL_US,
				on_watched, watcher);
		return;
	}
	if (!watcher->page_after && !watcher->is_config)
		dir_list_begin(fed->dir);
	kvs->ops->range(kvs->store, watcher->prefix, watcher->page_after,
			on_listed, watcher);
}

static void set_listed(struct fed *fed, int64_t now_us)
{
	fed->role.listed = true;
	fed->role.listed_us = now_us;
}

static void on_listed(void *arg, int err, const struct kvs_page *page)
{
	struct fed_watcher *watcher = arg;
	struct fed *fed = watcher->fed;
	int64_t now_us = fs_now_us();

	if (!accept_answer(watcher, err, page, now_us))
		return;
	if (!watcher->page_after)
		watcher->list_rev = (struct rev){fed->era, page->at_rev};
	for (uint32_t i = 0; i < page->count; i++)
		apply_item(watcher, &page->items[i], now_us);
	watcher->next_us = now_us;
	/* One page serves until the others arrive: when all nodes of a large
	 * fleet list at once, the store takes a second for them. */
	if (!watcher->is_config && page->count) {
		fed->directory_known = true;
		fed_check_ready(fed);
	}
	if (page->more && page->count) {
		const char *last = page->items[page->count - 1].key;

		g_free(watcher->page_after);
		watcher->page_after = g_strdup(last);
		/* At once: a long list must not wait one tick for each page. */
		begin_call(watcher);
		return;
	}
	g_clear_pointer(&watcher->page_after, g_free);
	if (!watcher->is_config) {
		dir_list_end(fed->dir, watcher->list_rev,
			     watcher->grace_until_us, now_us);
		fed->directory_known = true;
	}
	watcher->listed = true;
	if (fed_is_ready(fed) && fed->targets.listed && fed->config.listed)
		set_listed(fed, now_us);
	watcher->from_rev = watcher->list_rev.number;
	fed_check_ready(fed);
}

static void watcher_tick(struct fed_watcher *watcher, int64_t now_us)
{
	if (watcher->fed->role.reading && !watcher->running &&
	    now_us >= watcher->next_us)
		begin_call(watcher);
}

static void stop_reading(struct fed_watcher *watcher)
{
	struct kvs *kvs = &watcher->fed->platform.kvs;

	if (watcher->running)
		kvs->ops->cancel(kvs->store, watcher);
	watcher->running = false;
	/* The watch misses what changes until reading resumes: list again. */
	watcher->listed = false;
	g_clear_pointer(&watcher->page_after, g_free);
	watcher->failures = 0;
}

void fed_read_restart(struct fed *fed, int64_t now_us)
{
	stop_reading(&fed->targets);
	stop_reading(&fed->config);
	fed->targets.next_us = now_us;
	fed->config.next_us = now_us;
}

/* Entries of the copy that are still there after their leases are of servers that
 * live. */
static void list_again(struct fed *fed)
{
	fed->relist_us = 0;
	if (fed->targets.listed)
		stop_reading(&fed->targets);
}

/* Time does not pass for deferred removals while neither the store nor a fresh reader
 * is heard: servers may not be able to write either. */
static void tick_directory(struct fed *fed, int64_t now_us)
{
	int64_t heard_us = MAX(fed->role.last_rx_us, fed->targets.reached_us);

	dir_tick(fed->dir, MIN(now_us, heard_us + FED_FRESH_US));
}

void fed_read_tick(struct fed *fed, int64_t now_us)
{
	tick_directory(fed, now_us);
	if (!fed->role.reading) {
		stop_reading(&fed->targets);
		stop_reading(&fed->config);
		return;
	}
	if (fed->relist_us && now_us >= fed->relist_us)
		list_again(fed);
	watcher_tick(&fed->targets, now_us);
	watcher_tick(&fed->config, now_us);
}

void fed_read_init(struct fed *fed)
{
	fed->targets.fed = fed;
	fed->targets.prefix = fed->platform.target_prefix;
	fed->config.fed = fed;
	fed->config.prefix = fed->platform.config_prefix;
	fed->config.is_config = true;
}
