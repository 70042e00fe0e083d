#include "dir.h"

#include <string.h>
#include <xxhash.h>

/** A removal that is remembered. */
struct removed {
	uint64_t rev;
	int64_t at_us;
};

struct dir {
	GHashTable *by_id;    /* id to struct dir_target, referenced */
	GHashTable *by_hash;  /* hash to the same */
	GHashTable *services; /* name to struct dir_service */
	GHashTable *removed;  /* id to struct removed */
	GDestroyNotify free_user_data;
	dir_removed_fn on_gone;
	void *on_gone_arg;
	uint64_t digest;
};

static void service_free(void *data)
{
	struct dir_service *service = data;

	g_ptr_array_unref(service->targets);
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
	dir->removed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dir->free_user_data = free_user_data;
	return dir;
}

void dir_on_removed(struct dir *dir, dir_removed_fn fn, void *arg)
{
	dir->on_gone = fn;
	dir->on_gone_arg = arg;
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

/* Targets that are still referenced outlive the directory, without a judge;
 * the directory's own reference is the caller's to give back. */
static void retire(struct dir *dir, struct dir_target *target)
{
	target->gone = true;
	if (dir->free_user_data && target->judge)
		dir->free_user_data(target->judge);
	target->judge = NULL;
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
		retire(dir, target);
		dir_target_unref(target);
	}
	g_hash_table_unref(dir->by_id);
	g_hash_table_unref(dir->by_hash);
	g_hash_table_unref(dir->removed);
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

/* What others have to know: everything but the revision and the warm-up. All
 * of it goes through the hash: the digest adds these up, and equal changes of
 * two targets must not cancel out. */
static uint64_t content_hash(const struct dir_entry *e)
{
	const uint64_t numbers[] = {e->born, e->slots, e->leaving};
	uint64_t h = XXH64(numbers, sizeof(numbers), 0);

	h = XXH64(e->id, strlen(e->id), h);
	h = XXH64(e->service, strlen(e->service), h);
	h = XXH64(e->address, strlen(e->address), h);
	return XXH64(e->domain, strlen(e->domain), h);
}

static uint32_t name_hash(const struct dir_entry *e)
{
	return (uint32_t)XXH64(e->id, strlen(e->id), e->born);
}

static void add(struct dir *dir, struct dir_target *target)
{
	struct dir_service *service =
		g_hash_table_lookup(dir->services, target->entry.service);

	if (!service) {
		service = g_new0(struct dir_service, 1);
		service->name = g_strdup(target->entry.service);
		service->targets = g_ptr_array_new();
		g_hash_table_insert(dir->services, service->name, service);
	}
	g_ptr_array_add(service->targets, target);
	g_hash_table_replace(dir->by_id, target->entry.id, target);
	g_hash_table_replace(dir->by_hash, GUINT_TO_POINTER(target->hash),
			     target);
	dir->digest ^= content_hash(&target->entry);
}

/* Takes a target out; its reference is the caller's to give back. */
static void detach(struct dir *dir, struct dir_target *target)
{
	struct dir_service *service =
		g_hash_table_lookup(dir->services, target->entry.service);

	dir->digest ^= content_hash(&target->entry);
	g_ptr_array_remove(service->targets, target);
	if (!service->targets->len)
		g_hash_table_remove(dir->services, target->entry.service);
	g_hash_table_remove(dir->by_id, target->entry.id);
	if (dir_target_by_hash(dir, target->hash) == target)
		g_hash_table_remove(dir->by_hash,
				    GUINT_TO_POINTER(target->hash));
	retire(dir, target);
}

static bool put_new(struct dir *dir, const struct dir_entry *entry,
		    int64_t now_us)
{
	const struct removed *removed =
		g_hash_table_lookup(dir->removed, entry->id);
	struct dir_target *target;

	if ((removed && removed->rev >= entry->rev) ||
	    g_hash_table_size(dir->by_id) >= DIR_TARGETS_MAX)
		return false;
	g_hash_table_remove(dir->removed, entry->id);
	target = g_new0(struct dir_target, 1);
	target->refs = 1;
	target->entry = *entry;
	target->hash = name_hash(entry);
	target->warm_us = now_us + entry->cold_us;
	target->joined_us = now_us;
	target->listed = true;
	add(dir, target);
	return true;
}

/* Another start or another service is another target. */
static bool is_other(const struct dir_entry *a, const struct dir_entry *b)
{
	return a->born != b->born || strcmp(a->service, b->service) != 0 ||
	       strcmp(a->address, b->address) != 0;
}

bool dir_put(struct dir *dir, const struct dir_entry *entry, int64_t now_us)
{
	struct dir_target *target = dir_target_find(dir, entry->id);
	uint64_t before;

	if (!target)
		return put_new(dir, entry, now_us);
	if (entry->rev < target->entry.rev)
		return false;
	target->listed = true;
	target->missing_us = 0;
	if (is_other(entry, &target->entry)) {
		detach(dir, target);
		dir_target_unref(target);
		return put_new(dir, entry, now_us);
	}
	before = content_hash(&target->entry);
	target->entry = *entry;
	dir->digest ^= before ^ content_hash(entry);
	target->warm_us = now_us + entry->cold_us;
	return before != content_hash(entry);
}

static void remember(struct dir *dir, const char *id, uint64_t rev,
		     int64_t now_us)
{
	struct removed *removed = g_new0(struct removed, 1);

	removed->rev = rev;
	removed->at_us = now_us;
	g_hash_table_replace(dir->removed, g_strdup(id), removed);
}

/* Drops a target and tells of it. */
static void drop_gone(struct dir *dir, struct dir_target *target, uint64_t rev,
		      int64_t now_us)
{
	remember(dir, target->entry.id, rev, now_us);
	detach(dir, target);
	if (dir->on_gone)
		dir->on_gone(dir->on_gone_arg, target, rev);
	dir_target_unref(target);
}

void dir_remove(struct dir *dir, const char *id, uint64_t rev,
		int64_t grace_until_us, int64_t now_us)
{
	struct dir_target *target = dir_target_find(dir, id);
	const struct removed *removed;

	if (!target) {
		removed = g_hash_table_lookup(dir->removed, id);
		if (!removed || removed->rev < rev)
			remember(dir, id, rev, now_us);
		return;
	}
	if (target->entry.rev > rev)
		return;
	if (grace_until_us > now_us && !target->entry.leaving) {
		if (!target->missing_us)
			target->missing_us = grace_until_us;
		return;
	}
	drop_gone(dir, target, rev, now_us);
}

void dir_list_begin(struct dir *dir)
{
	GHashTableIter iter;
	void *target;

	g_hash_table_iter_init(&iter, dir->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &target))
		((struct dir_target *)target)->listed = false;
}

void dir_list_end(struct dir *dir, uint64_t rev, int64_t grace_until_us,
		  int64_t now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(dir->by_id);

	for (GList *l = all; l; l = l->next) {
		struct dir_target *target = l->data;

		if (!target->listed && target->entry.rev <= rev)
			dir_remove(dir, target->entry.id, rev, grace_until_us,
				   now_us);
	}
}

static gboolean is_forgotten(void *id, void *value, void *now)
{
	const struct removed *removed = value;

	(void)id;
	return *(int64_t *)now - removed->at_us > DIR_TOMBSTONE_RETENTION_US;
}

void dir_tick(struct dir *dir, int64_t now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(dir->by_id);

	for (GList *l = all; l; l = l->next) {
		struct dir_target *target = l->data;

		if (target->missing_us && target->missing_us <= now_us)
			drop_gone(dir, target, target->entry.rev, now_us);
	}
	g_hash_table_foreach_remove(dir->removed, is_forgotten, &now_us);
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

void dir_each_tombstone(const struct dir *dir,
			void (*fn)(void *arg, const char *id, uint64_t rev),
			void *arg)
{
	GHashTableIter iter;
	void *id;
	void *removed;

	g_hash_table_iter_init(&iter, dir->removed);
	while (g_hash_table_iter_next(&iter, &id, &removed))
		fn(arg, id, ((struct removed *)removed)->rev);
}

uint32_t dir_count(const struct dir *dir)
{
	return g_hash_table_size(dir->by_id);
}
