#include <string.h>

#include "flr.h"

/** When an entry was first seen in a state. */
struct flr_first_seen {
	uint64_t epoch; /* that set the state */
	int64_t since_us;
};

struct flr_watch {
	GHashTable *sights; /* server name to struct flr_first_seen */
	uint64_t epoch;	    /* highest noted */
	bool lost;	    /* a lower epoch came after a higher one */
	int64_t lost_us;
};

struct flr_watch *flr_watch_new(void)
{
	struct flr_watch *watch = g_new0(struct flr_watch, 1);

	watch->sights =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return watch;
}

void flr_watch_free(struct flr_watch *watch)
{
	if (!watch)
		return;
	g_hash_table_unref(watch->sights);
	g_free(watch);
}

static void note_entry(struct flr_watch *watch, const struct flr_entry *entry,
		       int64_t seen_us)
{
	struct flr_first_seen *sight =
		g_hash_table_lookup(watch->sights, entry->server);

	if (sight && sight->epoch == entry->epoch)
		return;
	if (!sight) {
		sight = g_new0(struct flr_first_seen, 1);
		g_hash_table_insert(watch->sights, g_strdup(entry->server),
				    sight);
	}
	sight->epoch = entry->epoch;
	sight->since_us = seen_us;
}

static gboolean is_gone(gpointer server, gpointer sight, gpointer record)
{
	(void)sight;
	return !flr_find(record, server);
}

int flr_watch_observe(struct flr_watch *watch, const struct flr_record *record,
		      int64_t seen_us)
{
	bool stale = record->epoch < watch->epoch;

	if (stale) {
		g_hash_table_remove_all(watch->sights);
		watch->lost = true;
		watch->lost_us = seen_us;
	}
	watch->epoch = record->epoch;
	for (guint i = 0; i < record->entries->len; i++)
		note_entry(watch,
			   &g_array_index(record->entries, struct flr_entry, i),
			   seen_us);
	g_hash_table_foreach_remove(watch->sights, is_gone, (gpointer)record);
	return stale ? FS_E_STALE : 0;
}

bool flr_watch_may_grant(const struct flr_watch *watch,
			 const struct flr_times *times, int64_t now_us)
{
	return !watch->lost || now_us - watch->lost_us >= times->hold_us;
}

/* Whether an entry has been seen in its present state for @p hold_us. */
static bool seen_for(const struct flr_watch *watch,
		     const struct flr_entry *entry, int64_t hold_us,
		     int64_t now_us)
{
	const struct flr_first_seen *sight =
		g_hash_table_lookup(watch->sights, entry->server);

	return sight && sight->epoch == entry->epoch &&
	       now_us - sight->since_us >= hold_us;
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
		    !seen_for(watch, entry,
			      past ? times->retention_us : times->hold_us,
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
