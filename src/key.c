#include "key.h"

#include <string.h>

/** One key; also the key of the hash table. */
struct key_item {
	char *service;
	char *key;
	uint32_t shard;
	bool in_flight;
	bool local;
	int64_t admitted_us;
	GList link; /* position in key_table.order */
};

struct key_table {
	uint32_t max;
	GHashTable *items; /* struct key_item, is its own key */
	GQueue order;	   /* struct key_item.link, oldest first */
};

static guint item_hash(gconstpointer p)
{
	const struct key_item *item = p;

	return g_str_hash(item->service) * 31 + g_str_hash(item->key);
}

static gboolean item_equal(gconstpointer a, gconstpointer b)
{
	const struct key_item *x = a;
	const struct key_item *y = b;

	return !strcmp(x->key, y->key) && !strcmp(x->service, y->service);
}

static void item_free(void *p)
{
	struct key_item *item = p;

	g_free(item->service);
	g_free(item->key);
	g_free(item);
}

struct key_table *key_table_new(uint32_t max)
{
	struct key_table *table = g_new0(struct key_table, 1);

	table->max = max;
	table->items =
		g_hash_table_new_full(item_hash, item_equal, item_free, NULL);
	g_queue_init(&table->order);
	return table;
}

void key_table_free(struct key_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->items);
	g_free(table);
}

static struct key_item *find(const struct key_table *table, const char *service,
			     const char *key)
{
	struct key_item lookup = {
		.service = (char *)service,
		.key = (char *)key,
	};

	return g_hash_table_lookup(table->items, &lookup);
}

static void remove_item(struct key_table *table, struct key_item *item)
{
	g_queue_unlink(&table->order, &item->link);
	g_hash_table_remove(table->items, item);
}

static bool is_expired(const struct key_item *item, int64_t now_us)
{
	return now_us - item->admitted_us >= FS_KEY_WINDOW_US &&
	       !(item->local && item->in_flight);
}

static struct key_item *add(struct key_table *table,
			    const struct key_entry *entry)
{
	struct key_item *item = g_new0(struct key_item, 1);

	item->service = g_strdup(entry->service);
	item->key = g_strdup(entry->key);
	item->shard = entry->shard;
	item->in_flight = entry->in_flight;
	item->local = entry->local;
	item->admitted_us = entry->admitted_us;
	item->link.data = item;
	g_hash_table_add(table->items, item);
	g_queue_push_tail_link(&table->order, &item->link);
	return item;
}

int key_check(struct key_table *table, const char *service, const char *key,
	      int64_t now_us)
{
	struct key_item *item = find(table, service, key);

	if (item && is_expired(item, now_us)) {
		remove_item(table, item);
		item = NULL;
	}
	if (item)
		return item->in_flight ? FS_E_KEY_IN_FLIGHT : FS_E_KEY_SPENT;
	if (key_count(table) >= table->max)
		key_expire(table, now_us);
	return key_count(table) < table->max ? 0 : FS_E_NO_MEMORY;
}

int key_begin(struct key_table *table, const char *service, const char *key,
	      uint32_t shard, int64_t now_us)
{
	struct key_entry entry = {
		.service = service,
		.key = key,
		.shard = shard,
		.in_flight = true,
		.local = true,
		.admitted_us = now_us,
	};
	int err = key_check(table, service, key, now_us);

	if (err)
		return err;
	add(table, &entry);
	return 0;
}

void key_end(struct key_table *table, const char *service, const char *key,
	     bool not_run)
{
	struct key_item *item = find(table, service, key);

	if (!item || !item->local || !item->in_flight)
		return;
	if (not_run)
		remove_item(table, item);
	else
		item->in_flight = false;
}

int key_merge(struct key_table *table, const struct key_entry *entry,
	      int64_t now_us)
{
	struct key_item *item = find(table, entry->service, entry->key);

	if (item && is_expired(item, now_us)) {
		remove_item(table, item);
		item = NULL;
	}
	if (item) {
		if (!item->local && !entry->in_flight)
			item->in_flight = false;
		return 0;
	}
	if (now_us - entry->admitted_us >= FS_KEY_WINDOW_US)
		return 0;
	if (key_count(table) >= table->max)
		key_expire(table, now_us);
	if (key_count(table) >= table->max)
		return FS_E_NO_MEMORY;
	add(table, entry)->local = false;
	return 0;
}

void key_each(const struct key_table *table, key_each_fn fn, void *arg)
{
	for (GList *l = table->order.head; l; l = l->next) {
		const struct key_item *item = l->data;
		struct key_entry entry = {
			.service = item->service,
			.key = item->key,
			.shard = item->shard,
			.in_flight = item->in_flight,
			.local = item->local,
			.admitted_us = item->admitted_us,
		};

		fn(arg, &entry);
	}
}

void key_expire(struct key_table *table, int64_t now_us)
{
	GList *next;

	for (GList *l = table->order.head; l; l = next) {
		struct key_item *item = l->data;

		next = l->next;
		if (is_expired(item, now_us))
			remove_item(table, item);
		else if (!item->in_flight)
			break;
	}
}

uint32_t key_count(const struct key_table *table)
{
	return g_hash_table_size(table->items);
}
