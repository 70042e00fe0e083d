#include "fed_impl.h"

#include "fs_log.h"

static void note_away(struct fed *fed, bool away, int err)
{
	if (fed->away == away)
		return;
	fed->away = away;
	fs_log_eventf("fed", away ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_MESSAGE,
		      away ? "store_lost" : "store_regained",
		      "\"reason\":\"%s\"", fs_err_name(err));
}

static int64_t retry_us(struct fed *fed, uint32_t failed)
{
	int64_t delay_us = FED_RETRY_MIN_US << MIN(failed, 4U);

	delay_us = MIN(delay_us, FED_RETRY_MAX_US);
	return delay_us / 2 + fed_random(fed, delay_us / 2);
}

static void call_failed(struct fed_watcher *loop, int err, int64_t now_us)
{
	struct fed *fed = loop->fed;

	loop->failed++;
	loop->next_us = now_us + retry_us(fed, loop->failed);
	if (err == FS_E_STALE) {
		/* History was dropped: the list tells all there is. */
		fs_log_eventf("fed", G_LOG_LEVEL_INFO, "history_lost",
			      "\"prefix\":\"%s\",\"rev\":%" G_GUINT64_FORMAT,
			      loop->prefix, loop->from_rev);
		loop->listed = false;
		loop->next_us = now_us;
		loop->failed = 0;
		return;
	}
	if (loop->failed >= 2 && !loop->config)
		note_away(fed, true, err);
}

static void call_answered(struct fed_watcher *loop, int64_t now_us)
{
	struct fed *fed = loop->fed;

	int64_t known_us = MAX(fed->last_rx_us, loop->answered_us);

	/* Nothing is known of the store since then: it may have been away, and
	 * entries may have lapsed meanwhile. */
	if (fed->directory_known && now_us - known_us > FED_STORE_GAP_US)
		loop->grace_until_us = now_us + FED_REMOVAL_GRACE_US;
	if (!loop->config)
		note_away(fed, false, 0);
	loop->failed = 0;
	loop->answered_us = now_us;
}

static void take_target(struct fed_watcher *loop, const struct kvs_item *item,
			int64_t now_us)
{
	struct fed *fed = loop->fed;
	const char *id = item->key + strlen(loop->prefix);
	struct dir_entry entry = {0};

	if (item->gone) {
		dir_remove(fed->dir, id, item->rev, loop->grace_until_us,
			   now_us);
		return;
	}
	/* Another writer's entry names no server. */
	if (!fed->platform.decode_target(item, &entry)) {
		ctr_count(fed->node->ctr, "fed_entries_malformed", 1);
		return;
	}
	if (dir_put(fed->dir, &entry, now_us))
		fed_queue_entry(fed, &entry);
}

static void take_item(struct fed_watcher *loop, const struct kvs_item *item,
		      int64_t now_us)
{
	struct fed *fed = loop->fed;

	if (!g_str_has_prefix(item->key, loop->prefix))
		return;
	if (!loop->config)
		take_target(loop, item, now_us);
	else if (!item->gone && !strcmp(item->key, fed->platform.config_key))
		fed_apply_config(fed, item->value, item->size, "store", now_us);
}

static void on_watched(void *arg, int err, const struct kvs_page *page)
{
	struct fed_watcher *loop = arg;
	int64_t now_us = fs_now_us();

	loop->running = false;
	if (err) {
		call_failed(loop, err, now_us);
		return;
	}
	call_answered(loop, now_us);
	for (uint32_t i = 0; i < page->count; i++)
		take_item(loop, &page->items[i], now_us);
	loop->from_rev = MAX(loop->from_rev, page->at_rev);
	loop->next_us = now_us + (loop->config ? 0 : FED_TARGET_PAUSE_US);
}

static void on_listed(void *arg, int err, const struct kvs_page *page);

static void begin_call(struct fed_watcher *loop)
{
	struct fed *fed = loop->fed;
	struct kvs *kvs = &fed->platform.kvs;

	loop->running = true;
	if (loop->listed) {
		kvs->ops->watch(kvs->store, loop->prefix, loop->from_rev,
				loop->config ? FED_CONFIG_LONG_POLL_US :
					       FED_TARGET_LONG_POLL_US,
				on_watched, loop);
		return;
	}
	if (!loop->page_after && !loop->config)
		dir_list_begin(fed->dir);
	kvs->ops->range(kvs->store, loop->prefix, loop->page_after, on_listed,
			loop);
}

static void on_listed(void *arg, int err, const struct kvs_page *page)
{
	struct fed_watcher *loop = arg;
	int64_t now_us = fs_now_us();

	loop->running = false;
	if (err) {
		call_failed(loop, err, now_us);
		return;
	}
	call_answered(loop, now_us);
	if (!loop->page_after)
		loop->list_rev = page->at_rev;
	for (uint32_t i = 0; i < page->count; i++)
		take_item(loop, &page->items[i], now_us);
	loop->next_us = now_us;
	if (page->more && page->count) {
		const char *last = page->items[page->count - 1].key;

		g_free(loop->page_after);
		loop->page_after = g_strdup(last);
		/* At once: a long list must not wait for a tick a page. */
		begin_call(loop);
		return;
	}
	g_clear_pointer(&loop->page_after, g_free);
	if (!loop->config) {
		dir_list_end(loop->fed->dir, loop->list_rev,
			     loop->grace_until_us, now_us);
		loop->fed->directory_known = true;
	}
	loop->listed = true;
	if (loop->fed->targets.listed && loop->fed->config.listed)
		loop->fed->listed_us = now_us;
	loop->from_rev = loop->list_rev;
	fed_check_ready(loop->fed);
}

static void loop_tick(struct fed_watcher *loop, int64_t now_us)
{
	if (loop->fed->reading && !loop->running && now_us >= loop->next_us)
		begin_call(loop);
}

static void stop_reading(struct fed_watcher *loop)
{
	struct kvs *kvs = &loop->fed->platform.kvs;

	if (loop->running)
		kvs->ops->forget(kvs->store, loop);
	loop->running = false;
	/* What changes meanwhile is only known from peers: list again. */
	loop->listed = false;
	g_clear_pointer(&loop->page_after, g_free);
	loop->failed = 0;
}

void fed_read_tick(struct fed *fed, int64_t now_us)
{
	dir_tick(fed->dir, now_us);
	if (!fed->reading) {
		stop_reading(&fed->targets);
		stop_reading(&fed->config);
		return;
	}
	loop_tick(&fed->targets, now_us);
	loop_tick(&fed->config, now_us);
}

void fed_read_init(struct fed *fed)
{
	fed->targets.fed = fed;
	fed->targets.prefix = fed->platform.target_prefix;
	fed->config.fed = fed;
	fed->config.prefix = fed->platform.config_prefix;
	fed->config.config = true;
}
