#include "fed_impl.h"

#include "fs_log.h"

static void defer_removals(struct fed_watcher *watcher, int64_t until_us)
{
	watcher->grace_until_us = MAX(watcher->grace_until_us, until_us);
}

enum fed_era fed_note_era(struct fed *fed, uint64_t era, int64_t now_us)
{
	uint64_t known = fed->era;

	if (!era || era == known)
		return FED_ERA_KNOWN;
	if (era < known) {
		fs_log_eventf("fed", G_LOG_LEVEL_INFO, "answer_outdated",
			      "\"era\":%" G_GUINT64_FORMAT
			      ",\"known\":%" G_GUINT64_FORMAT,
			      era, known);
		return FED_ERA_OLDER;
	}
	fed->era = era;
	if (!known)
		return FED_ERA_KNOWN;
	fs_log_eventf("fed", G_LOG_LEVEL_MESSAGE, "store_restored",
		      "\"era\":%" G_GUINT64_FORMAT
		      ",\"known\":%" G_GUINT64_FORMAT,
		      era, known);
	/* Servers write the entries again that the copy lacks. */
	defer_removals(&fed->targets, now_us + FED_REMOVAL_GRACE_US);
	fed_read_restart(fed, now_us);
	return FED_ERA_NEWER;
}
