#include "fed_impl.h"

#include "fs_log.h"

/* Servers write the entries again that the copy lacks. */
static void defer_removals(struct fed *fed, int64_t now_us)
{
	fed->grace_until_us = now_us + FED_REMOVAL_GRACE_US;
	fed->targets.grace_until_us =
		MAX(fed->targets.grace_until_us, fed->grace_until_us);
	dir_defer(fed->dir, fed->grace_until_us);
}

static void log_era(const char *event, GLogLevelFlags level,
		    const struct fed *fed, uint64_t era, const char *source)
{
	fs_log_eventf("fed", level, event,
		      "\"era\":%" G_GUINT64_FORMAT
		      ",\"known\":%" G_GUINT64_FORMAT ",\"source\":\"%s\"",
		      era, fed->era, source);
}

/* Until leftovers are over, servers that live may be taken for gone, also at a peer's
 * word: a list after that has them. */
static void note_era(struct fed *fed, uint64_t era, int64_t now_us)
{
	fed->era = era;
	dir_note_era(fed->dir, era, now_us);
	fed->relist_us = now_us + DIR_LEFTOVER_US;
}

/* Takes over a newer era. */
static void begin_era(struct fed *fed, uint64_t era, const char *source,
		      int64_t now_us)
{
	log_era("store_restored", G_LOG_LEVEL_MESSAGE, fed, era, source);
	note_era(fed, era, now_us);
	defer_removals(fed, now_us);
	fed_read_restart(fed, now_us);
	fed_node_restart(fed, now_us);
	fed_queue_era(fed);
}

/* The first era that this node hears of tells nothing. */
static bool is_first(struct fed *fed, uint64_t era, int64_t now_us)
{
	if (fed->era_known)
		return false;
	fed->era_known = true;
	note_era(fed, era, now_us);
	return true;
}

enum fed_era fed_note_era(struct fed *fed, uint64_t era, int64_t now_us)
{
	uint64_t stated = fed->era_stated;

	if (era == KVS_NO_ERA)
		return FED_ERA_KNOWN;
	fed->era_stated = era;
	if (is_first(fed, era, now_us) || era == fed->era)
		return FED_ERA_KNOWN;
	if (era < fed->era) {
		log_era("answer_outdated", G_LOG_LEVEL_INFO, fed, era, "store");
		return FED_ERA_VOID;
	}
	/* Eras rise by one. A wrong one that is far too high would make all later
	 * answers void, at each node that hears of it. */
	if (era - fed->era > 1 && era != stated) {
		log_era("era_doubted", G_LOG_LEVEL_WARNING, fed, era, "store");
		return FED_ERA_VOID;
	}
	begin_era(fed, era, "store", now_us);
	return FED_ERA_NEWER;
}

void fed_hear_era(struct fed *fed, uint64_t era, const char *source,
		  int64_t now_us)
{
	/* A peer that has heard of none states 0. */
	if (era > fed->era && !is_first(fed, era, now_us))
		begin_era(fed, era, source, now_us);
}
