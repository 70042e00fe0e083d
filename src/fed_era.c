#include "fed_impl.h"

#include "fs_log.h"

/* Servers write the entries again that the copy lacks. */
static void defer_removals(struct fed *fed, int64_t now_us)
{
	fed->grace_until_us = now_us + FED_REMOVAL_GRACE_US;
	fed->targets.grace_until_us =
		MAX(fed->targets.grace_until_us, fed->grace_until_us);
}

enum fed_era fed_note_era(struct fed *fed, uint64_t era, const char *source,
			  int64_t now_us)
{
	uint64_t known = fed->era;
	bool first = !fed->era_known;

	if (era == KVS_NO_ERA)
		return FED_ERA_KNOWN;
	fed->era_known = true;
	if (era == known)
		return FED_ERA_KNOWN;
	if (era < known) {
		fs_log_eventf("fed", G_LOG_LEVEL_INFO, "answer_outdated",
			      "\"era\":%" G_GUINT64_FORMAT
			      ",\"known\":%" G_GUINT64_FORMAT
			      ",\"source\":\"%s\"",
			      era, known, source);
		return FED_ERA_OLDER;
	}
	fed->era = era;
	dir_note_era(fed->dir, era, now_us);
	if (first)
		return FED_ERA_KNOWN;
	fs_log_eventf("fed", G_LOG_LEVEL_MESSAGE, "store_restored",
		      "\"era\":%" G_GUINT64_FORMAT
		      ",\"known\":%" G_GUINT64_FORMAT ",\"source\":\"%s\"",
		      era, known, source);
	defer_removals(fed, now_us);
	fed_read_restart(fed, now_us);
	fed_node_restart(fed, now_us);
	fed_queue_era(fed);
	return FED_ERA_NEWER;
}
