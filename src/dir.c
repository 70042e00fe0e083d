#include "dir_ring.h"

#include <string.h>
#include <xxhash.h>

/** Tombstone of a removed target. */
struct tombstone {
	struct dir_write last; /* known; its start may be DIR_BORN_UNKNOWN */
	struct rev rev; /* of the removal, or of the leftover seen since */
	int64_t at_us;
};

struct dir {
	GHashTable *by_id;	/* id to struct dir_target, referenced */
	GHashTable *by_hash;	/* hash to the same */
	GHashTable *services;	/* name to struct dir_service */
	GHashTable *tombstones; /* id to struct removed */
	GDestroyNotify free_user_data;
	dir_removed_fn on_removed;
	void *on_removed_arg;
	uint64_t digest;
	uint64_t era;	/* highest one known */
	int64_t era_us; /* known since */
};

static void service_free(void *data)
{
	struct dir_service *service = data;

	g_ptr_array_unref(service->targets);
	g_ptr_array_unref(service->ring);
	g_free(service->name);
	g_free(service);
}

struct dir *dir_new(GDestroyNotify free_user_data)
{
	struct dir *dir = g_new0(struct dir, 1);

	dir->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	dir->by_hash = g_hash_table_new(NULL, NULL);
	dir->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      service_free);
	dir->tombstones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dir->free_user_data = free_user_data;
	return dir;
}

void dir_on_removed(struct dir *dir, dir_removed_fn fn, void *arg)
{
	dir->on_removed = fn;
	dir->on_removed_arg = arg;
}

struct dir_target *dir_target_ref(struct dir_target *target)
{
	target->refs++;
	return target;
}

void dir_target_unref(struct dir_target *target)
{
	if (target && --target->refs == 0)
		g_free(target);
}

/* Targets that are still referenced outlive the directory, without user data.
 * The caller releases the reference of the directory. */
static void invalidate(struct dir *dir, struct dir_target *target)
{
	target->removed_from_dir = true;
	if (dir->free_user_data && target->user_data)
		dir->free_user_data(target->user_data);
	target->user_data = NULL;
}

void dir_free(struct dir *dir)
{
	GHashTableIter iter;
	void *target;

	if (!dir)
		return;
	g_hash_table_unref(dir->services);
	g_hash_table_iter_init(&iter, dir->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &target)) {
		invalidate(dir, target);
		dir_target_unref(target);
	}
	g_hash_table_unref(dir->by_id);
	g_hash_table_unref(dir->by_hash);
	g_hash_table_unref(dir->tombstones);
	g_free(dir);
}

const struct dir_service *dir_find(const struct dir *dir, const char *name)
{
	return g_hash_table_lookup(dir->services, name);
}

struct dir_target *dir_target_find(const struct dir *dir, const char *id)
{
	return g_hash_table_lookup(dir->by_id, id);
}

struct dir_target *dir_target_by_hash(const struct dir *dir, uint32_t hash)
{
	return g_hash_table_lookup(dir->by_hash, GUINT_TO_POINTER(hash));
}

/* Content that peers need: everything but the revision and the warm-up. All of
 * it goes through the hash: the digest combines the hashes by XOR, and equal
 * changes of two targets must not cancel out. */
static uint64_t content_hash(const struct dir_entry *e)
{
	const uint64_t numbers[] = {e->write.born, e->slots, e->leaving};
	uint64_t h = XXH64(numbers, sizeof(numbers), 0);

	h = XXH64(e->id, strlen(e->id), h);
	h = XXH64(e->service, strlen(e->service), h);
	h = XXH64(e->address, strlen(e->address), h);
	return XXH64(e->domain, strlen(e->domain), h);
}

static uint32_t name_hash(const struct dir_entry *e)
{
	return (uint32_t)XXH64(e->id, strlen(e->id), e->write.born);
}

static void add(struct dir *dir, struct dir_target *target)
{
	struct dir_service *service =
		g_hash_table_lookup(dir->services, target->entry.service);

	if (!service) {
		service = g_new0(struct dir_service, 1);
		service->name = g_strdup(target->entry.service);
		service->targets = g_ptr_array_new();
		service->ring = g_ptr_array_new();
		g_hash_table_insert(dir->services, service->name, service);
	}
	g_ptr_array_add(service->targets, target);
	dir_ring_add(service->ring, target);
	g_hash_table_replace(dir->by_id, target->entry.id, target);
	g_hash_table_replace(dir->by_hash, GUINT_TO_POINTER(target->hash),
			     target);
	dir->digest ^= content_hash(&target->entry);
}

/* Removes a target from the directory; the caller releases its reference. */
static void detach(struct dir *dir, struct dir_target *target)
{
	struct dir_service *service =
		g_hash_table_lookup(dir->services, target->entry.service);

	dir->digest ^= content_hash(&target->entry);
	g_ptr_array_remove(service->targets, target);
	g_ptr_array_remove(service->ring, target);
	if (!service->targets->len)
		g_hash_table_remove(dir->services, target->entry.service);
	g_hash_table_remove(dir->by_id, target->entry.id);
	if (dir_target_by_hash(dir, target->hash) == target)
		g_hash_table_remove(dir->by_hash,
				    GUINT_TO_POINTER(target->hash));
	invalidate(dir, target);
}

void dir_note_era(struct dir *dir, uint64_t era, int64_t now_us)
{
	if (era <= dir->era)
		return;
	dir->era = era;
	dir->era_us = now_us;
}

/* Returns the order of two writes of a server, like strcmp(): 0 if they are the same
 * one, or if either is not counted. */
static int write_compare(struct dir_write a, struct dir_write b)
{
	if (!a.count || !b.count)
		return 0;
	if (a.born != b.born)
		return a.born < b.born ? -1 : 1;
	return (a.count > b.count) - (a.count < b.count);
}

/* Returns whether an entry tells of a target that was removed before. No entry has
 * the revision of a removal, so an equal one is the leftover again. */
static bool is_of_removed(const struct dir *dir, struct tombstone *tombstone,
			  const struct dir_entry *entry, int64_t now_us)
{
	if (write_compare(entry->write, tombstone->last) < 0)
		return true;
	if (entry->write.born > tombstone->last.born ||
	    now_us - dir->era_us >= DIR_LEFTOVER_US)
		return false;
	if (entry->rev.era == tombstone->rev.era)
		return !rev_compare(entry->rev, tombstone->rev);
	tombstone->rev = entry->rev;
	tombstone->at_us = now_us;
	return true;
}

static enum dir_effect put_new(struct dir *dir, const struct dir_entry *entry,
			       int64_t now_us)
{
	struct tombstone *tombstone =
		g_hash_table_lookup(dir->tombstones, entry->id);
	struct dir_target *target;

	if ((tombstone && rev_compare(entry->rev, tombstone->rev) < 0) ||
	    g_hash_table_size(dir->by_id) >= DIR_TARGETS_MAX)
		return DIR_UNCHANGED;
	if (tombstone && is_of_removed(dir, tombstone, entry, now_us))
		return DIR_LEFTOVER;
	g_hash_table_remove(dir->tombstones, entry->id);
	target = g_new0(struct dir_target, 1);
	target->refs = 1;
	target->entry = *entry;
	target->hash = name_hash(entry);
	target->warm_us = now_us + entry->cold_us;
	target->joined_us = now_us;
	target->listed = true;
	add(dir, target);
	return DIR_CHANGED;
}

/* A new start, service or address makes it another target. */
static bool is_other_instance(const struct dir_entry *a,
			      const struct dir_entry *b)
{
	return a->write.born != b->write.born ||
	       strcmp(a->service, b->service) != 0 ||
	       strcmp(a->address, b->address) != 0;
}

/* Returns whether an entry of a newer era is older than the one known. */
static bool is_leftover(const struct dir_entry *entry,
			const struct dir_entry *known)
{
	return entry->write.born < known->write.born ||
	       (!is_other_instance(entry, known) && known->leaving &&
		!entry->leaving);
}

/* Ends a deferred removal if an entry is later than it. */
static void note_sight(struct dir_target *target, const struct dir_entry *entry)
{
	target->listed = true;
	if (rev_compare(entry->rev, target->missing_rev) > 0)
		target->missing_us = 0;
}

/* Takes over the revision of an entry that is older than the target's: whatever the
 * server writes next is later. If it says the same, the server does not write again
 * what it finds in a restored store. */
static enum dir_effect note_older(struct dir_target *target,
				  const struct dir_entry *entry)
{
	int order = rev_compare(entry->rev, target->entry.rev);

	if (order < 0)
		return DIR_UNCHANGED;
	if (content_hash(entry) == content_hash(&target->entry))
		note_sight(target, entry);
	target->listed = true;
	target->entry.rev = entry->rev;
	return order ? DIR_LEFTOVER : DIR_UNCHANGED;
}

static enum dir_effect update(struct dir *dir, struct dir_target *target,
			      const struct dir_entry *entry, int64_t now_us)
{
	bool first_sight = entry->rev.era > target->entry.rev.era;
	uint64_t before = content_hash(&target->entry);
	int64_t warm_us = now_us + entry->cold_us;

	target->entry = *entry;
	target->warm_us = first_sight ? MIN(target->warm_us, warm_us) : warm_us;
	dir->digest ^= before ^ content_hash(entry);
	return before != content_hash(entry) ? DIR_CHANGED : DIR_UNCHANGED;
}

enum dir_effect dir_put(struct dir *dir, const struct dir_entry *entry,
			int64_t now_us)
{
	struct dir_target *target = dir_target_find(dir, entry->id);
	const struct dir_entry *known;
	struct dir_entry newer;
	int written;
	int order;

	dir_note_era(dir, entry->rev.era, now_us);
	if (!target)
		return put_new(dir, entry, now_us);
	known = &target->entry;
	written = write_compare(entry->write, known->write);
	if (written < 0)
		return note_older(target, entry);
	order = rev_compare(entry->rev, known->rev);
	if (order < 0 && !written)
		return DIR_UNCHANGED;
	note_sight(target, entry);
	if (!written && entry->rev.era > known->rev.era &&
	    is_leftover(entry, known))
		return note_older(target, entry);
	/* The leftover again. */
	if (!written && !order && is_leftover(entry, known))
		return DIR_UNCHANGED;
	newer = *entry;
	if (order < 0)
		newer.rev = known->rev;
	if (is_other_instance(&newer, known)) {
		detach(dir, target);
		dir_target_unref(target);
		return put_new(dir, &newer, now_us);
	}
	return update(dir, target, &newer, now_us);
}

static void add_tombstone(struct dir *dir, const char *id, struct rev rev,
			  struct dir_write last, int64_t now_us)
{
	struct tombstone *tombstone = g_new0(struct tombstone, 1);

	tombstone->rev = rev;
	tombstone->last = last;
	tombstone->at_us = now_us;
	g_hash_table_replace(dir->tombstones, g_strdup(id), tombstone);
}

/* Removes a target and calls the callback. */
static void remove_and_notify(struct dir *dir, struct dir_target *target,
			      struct rev rev, struct dir_write last,
			      int64_t now_us)
{
	add_tombstone(dir, target->entry.id, rev, last, now_us);
	detach(dir, target);
	if (dir->on_removed)
		dir->on_removed(dir->on_removed_arg, target, rev);
	dir_target_unref(target);
}

/* Remembers the removal of a target that is not in the directory. */
static void note_removal(struct dir *dir, const char *id, struct rev rev,
			 struct dir_write last, int64_t now_us)
{
	const struct tombstone *tombstone =
		g_hash_table_lookup(dir->tombstones, id);

	if (tombstone && rev_compare(tombstone->rev, rev) >= 0)
		return;
	/* The same removal, told again, or the end of a leftover: a later start
	 * would be a target. */
	if (tombstone && last.born == DIR_BORN_UNKNOWN)
		last = tombstone->last;
	add_tombstone(dir, id, rev, last, now_us);
}

/* Removes a target, or defers that to the end of the grace time. */
static void take_out(struct dir *dir, struct dir_target *target, struct rev rev,
		     int64_t grace_until_us, int64_t now_us)
{
	if (grace_until_us <= now_us || target->entry.leaving) {
		remove_and_notify(dir, target, rev, target->entry.write,
				  now_us);
		return;
	}
	if (!target->missing_us)
		target->missing_us = grace_until_us;
	target->missing_rev = rev;
}

void dir_remove(struct dir *dir, const char *id, struct rev rev,
		int64_t grace_until_us, int64_t now_us)
{
	const struct dir_write unknown = {.born = DIR_BORN_UNKNOWN};
	struct dir_target *target = dir_target_find(dir, id);

	dir_note_era(dir, rev.era, now_us);
	if (!target) {
		note_removal(dir, id, rev, unknown, now_us);
		return;
	}
	if (rev_compare(target->entry.rev, rev) <= 0)
		take_out(dir, target, rev, grace_until_us, now_us);
}

void dir_merge_removal(struct dir *dir, const char *id, struct rev rev,
		       struct dir_write last, int64_t grace_until_us,
		       int64_t now_us)
{
	struct dir_target *target = dir_target_find(dir, id);
	bool knew_start = target && last.born != DIR_BORN_UNKNOWN &&
			  target->entry.write.born <= last.born;

	dir_note_era(dir, rev.era, now_us);
	if (!target)
		note_removal(dir, id, rev, last, now_us);
	else if (write_compare(target->entry.write, last) < 0)
		remove_and_notify(dir, target, rev, last, now_us);
	else if (rev_compare(target->entry.rev, rev) || knew_start)
		dir_remove(dir, id, rev, grace_until_us, now_us);
}

void dir_list_begin(struct dir *dir)
{
	GHashTableIter iter;
	void *target;

	g_hash_table_iter_init(&iter, dir->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &target))
		((struct dir_target *)target)->listed = false;
}

void dir_list_end(struct dir *dir, struct rev rev, int64_t grace_until_us,
		  int64_t now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(dir->by_id);

	for (GList *l = all; l; l = l->next) {
		struct dir_target *target = l->data;

		if (!target->listed && rev_compare(target->entry.rev, rev) <= 0)
			dir_remove(dir, target->entry.id, rev, grace_until_us,
				   now_us);
	}
}

void dir_defer(struct dir *dir, int64_t grace_until_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dir->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct dir_target *target = value;

		if (target->missing_us)
			target->missing_us =
				MAX(target->missing_us, grace_until_us);
	}
}

void dir_keep(struct dir *dir)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, dir->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct dir_target *)value)->missing_us = 0;
}

static gboolean is_expired(void *id, void *value, void *now)
{
	const struct tombstone *tombstone = value;

	(void)id;
	return *(int64_t *)now - tombstone->at_us > DIR_TOMBSTONE_RETENTION_US;
}

void dir_tick(struct dir *dir, int64_t now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(dir->by_id);

	for (GList *l = all; l; l = l->next) {
		struct dir_target *target = l->data;

		if (target->missing_us && target->missing_us <= now_us)
			remove_and_notify(dir, target, target->missing_rev,
					  target->entry.write, now_us);
	}
	g_hash_table_foreach_remove(dir->tombstones, is_expired, &now_us);
}

uint64_t dir_digest(const struct dir *dir)
{
	return dir->digest;
}

void dir_each(const struct dir *dir,
	      void (*fn)(void *arg, const struct dir_target *target), void *arg)
{
	GHashTableIter iter;
	void *target;

	g_hash_table_iter_init(&iter, dir->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &target))
		fn(arg, target);
}

void dir_each_tombstone(const struct dir *dir, dir_tombstone_fn fn, void *arg)
{
	GHashTableIter iter;
	void *id;
	void *value;

	g_hash_table_iter_init(&iter, dir->tombstones);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct tombstone *tombstone = value;

		fn(arg, id, tombstone->rev, tombstone->last);
	}
}

uint32_t dir_count(const struct dir *dir)
{
	return g_hash_table_size(dir->by_id);
}
