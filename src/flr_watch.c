#include <string.h>

#include "flr.h"

/** When an entry was first observed in its current state. */
struct flr_first_seen {
	uint64_t epoch; /* that set the state */
	int64_t since_us;
};

struct flr_watch {
	GHashTable *first_seen; /* server name to struct flr_first_seen */
	uint64_t epoch;		/* of the last record observed */
	bool rolled_back;	/* the epoch went down once */
	int64_t rolled_back_us;
};

struct flr_watch *flr_watch_new(void)
{
	struct flr_watch *watch = g_new0(struct flr_watch, 1);

	watch->first_seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return watch;
}

void flr_watch_free(struct flr_watch *watch)
{
	if (!watch)
		return;
	g_hash_table_unref(watch->first_seen);
	g_free(watch);
}

static void observe_entry(struct flr_watch *watch,
			  const struct flr_entry *entry, int64_t seen_us)
{
	struct flr_first_seen *seen =
		g_hash_table_lookup(watch->first_seen, entry->server);

	if (seen && seen->epoch == entry->epoch)
		return;
	if (!seen) {
		seen = g_new0(struct flr_first_seen, 1);
		g_hash_table_insert(watch->first_seen, g_strdup(entry->server),
				    seen);
	}
	seen->epoch = entry->epoch;
	seen->since_us = seen_us;
}

static gboolean is_absent(gpointer server, gpointer seen, gpointer record)
{
	(void)seen;
	return !flr_find(record, server);
}

int flr_watch_observe(struct flr_watch *watch, const struct flr_record *record,
		      int64_t seen_us)
{
	bool stale = record->epoch < watch->epoch;

	if (stale) {
		g_hash_table_remove_all(watch->first_seen);
		watch->rolled_back = true;
		watch->rolled_back_us = seen_us;
	}
	watch->epoch = record->epoch;
	for (guint i = 0; i < record->entries->len; i++)
		observe_entry(
			watch,
			&g_array_index(record->entries, struct flr_entry, i),
			seen_us);
	g_hash_table_foreach_remove(watch->first_seen, is_absent,
				    (gpointer)record);
	return stale ? FS_E_STALE : 0;
}

bool flr_watch_may_grant(const struct flr_watch *watch,
			 const struct flr_times *times, int64_t now_us)
{
	return !watch->rolled_back ||
	       now_us - watch->rolled_back_us >= times->hold_down_us;
}

/* Whether an entry was observed in its current state for @p hold_down_us. */
static bool in_state_for(const struct flr_watch *watch,
			 const struct flr_entry *entry, int64_t hold_down_us,
			 int64_t now_us)
{
	const struct flr_first_seen *seen =
		g_hash_table_lookup(watch->first_seen, entry->server);

	return seen && seen->epoch == entry->epoch &&
	       now_us - seen->since_us >= hold_down_us;
}

uint32_t flr_expire(struct flr_record *record, const struct flr_scope *scope,
		    const struct flr_watch *watch,
		    const struct flr_times *times, int64_t now_us)
{
	uint32_t changed = 0;

	for (guint i = record->entries->len; i-- > 0;) {
		struct flr_entry *entry =
			&g_array_index(record->entries, struct flr_entry, i);
		bool past = entry->state == FLR_PAST;

		if (entry->state == FLR_OUT ||
		    !in_state_for(watch, entry,
				  past ? times->retention_us :
					 times->hold_down_us,
				  now_us))
			continue;
		if (!changed++) {
			record->epoch++;
			record->config_version = scope->cfg->version;
		}
		if (past) {
			g_array_remove_index(record->entries, i);
			continue;
		}
		entry->state = FLR_PAST;
		entry->epoch = record->epoch;
	}
	return changed;
}
