#include "fleet_kvs.h"

#include <string.h>

#include "fs_err.h"

/** A key after one change. */
struct shelf_item {
	char *key;
	char *value; /* NULL: removed */
	uint64_t rev;
};

/** A call that waits for its answer. */
struct shelf_call {
	uint64_t serial;
	bool watch;
	char *prefix; /* or the key of a get */
	char *after;
	uint64_t from;
	kvs_page_fn page_done;
	kvs_write_fn write_done;
	void *arg;
};

static void item_free(void *data)
{
	struct shelf_item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void call_free(void *data)
{
	struct shelf_call *call = data;

	g_free(call->prefix);
	g_free(call->after);
	g_free(call);
}

void shelf_begin(struct shelf *shelf)
{
	memset(shelf, 0, sizeof(*shelf));
	shelf->items = g_hash_table_new(g_str_hash, g_str_equal);
	shelf->history = g_ptr_array_new_with_free_func(item_free);
	shelf->calls = g_ptr_array_new_with_free_func(call_free);
	shelf->rev = 1;
	shelf->era = 1;
	shelf->page = 2;
}

void shelf_end(struct shelf *shelf)
{
	g_hash_table_unref(shelf->items);
	g_ptr_array_unref(shelf->history);
	g_ptr_array_unref(shelf->calls);
}

void shelf_put(struct shelf *shelf, const char *key, const char *value)
{
	struct shelf_item *item = g_new0(struct shelf_item, 1);

	item->key = g_strdup(key);
	item->value = g_strdup(value);
	item->rev = ++shelf->rev;
	g_ptr_array_add(shelf->history, item);
	g_hash_table_replace(shelf->items, item->key, item);
}

bool shelf_has(const struct shelf *shelf, const char *key)
{
	const struct shelf_item *item = g_hash_table_lookup(shelf->items, key);

	return item && item->value;
}

void shelf_compact(struct shelf *shelf)
{
	shelf->oldest = shelf->rev;
}

void shelf_restore(struct shelf *shelf, uint64_t rev)
{
	g_hash_table_remove_all(shelf->items);
	for (guint i = 0; i < shelf->history->len;) {
		struct shelf_item *item = g_ptr_array_index(shelf->history, i);

		if (item->rev > rev) {
			g_ptr_array_remove_index(shelf->history, i);
			continue;
		}
		g_hash_table_replace(shelf->items, item->key, item);
		i++;
	}
	shelf->rev = rev;
	shelf->era++;
	shelf->oldest = MIN(shelf->oldest, rev);
}

static struct shelf_call *wait_for(struct shelf *shelf, const char *prefix,
				   void *arg)
{
	struct shelf_call *call = g_new0(struct shelf_call, 1);

	call->prefix = g_strdup(prefix);
	call->arg = arg;
	call->serial = ++shelf->count;
	g_ptr_array_add(shelf->calls, call);
	return call;
}

static void get(void *store, const char *key, kvs_page_fn done, void *arg)
{
	wait_for(store, key, arg)->page_done = done;
}

static void range(void *store, const char *prefix, const char *after,
		  kvs_page_fn done, void *arg)
{
	struct shelf_call *call = wait_for(store, prefix, arg);

	call->after = g_strdup(after);
	call->page_done = done;
}

static void watch(void *store, const char *prefix, uint64_t after,
		  int64_t wait_us, kvs_page_fn done, void *arg)
{
	struct shelf_call *call = wait_for(store, prefix, arg);

	(void)wait_us;
	call->watch = true;
	call->from = after;
	call->page_done = done;
}

static void lease(void *store, int64_t ttl_us, kvs_write_fn done, void *arg)
{
	(void)ttl_us;
	wait_for(store, "", arg)->write_done = done;
}

static void keep(void *store, uint64_t id, kvs_write_fn done, void *arg)
{
	(void)id;
	wait_for(store, "", arg)->write_done = done;
}

static void put(void *store, const char *key, const char *value, uint64_t id,
		kvs_write_fn done, void *arg)
{
	(void)id;
	shelf_put(store, key, value);
	wait_for(store, "", arg)->write_done = done;
}

static void forget(void *store, void *arg)
{
	struct shelf *shelf = store;

	for (guint i = shelf->calls->len; i-- > 0;) {
		struct shelf_call *call = g_ptr_array_index(shelf->calls, i);

		if (call->arg == arg)
			g_ptr_array_remove_index(shelf->calls, i);
	}
}

static uint64_t calls(const void *store)
{
	return ((const struct shelf *)store)->count;
}

static const struct kvs_ops ops = {
	.get = get,
	.range = range,
	.watch = watch,
	.lease = lease,
	.renew = keep,
	.put = put,
	.cancel = forget,
	.calls = calls,
};

struct kvs shelf_kvs(struct shelf *shelf)
{
	return (struct kvs){.ops = &ops, .store = shelf};
}

static int compare(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void add(GArray *out, const struct shelf_item *item)
{
	struct kvs_item one = {
		.key = item->key,
		.value = item->value,
		.size = item->value ? strlen(item->value) : 0,
		.rev = item->rev,
		.removed = !item->value,
	};

	g_array_append_val(out, one);
}

static bool add_range(const struct shelf *shelf, const struct shelf_call *call,
		      GArray *out)
{
	guint n;
	g_autofree const char **keys =
		(const char **)g_hash_table_get_keys_as_array(shelf->items, &n);

	qsort(keys, n, sizeof(*keys), compare);
	for (guint i = 0; i < n; i++) {
		const struct shelf_item *item =
			g_hash_table_lookup(shelf->items, keys[i]);

		if (!item->value || !g_str_has_prefix(keys[i], call->prefix) ||
		    (call->after && strcmp(keys[i], call->after) <= 0))
			continue;
		if (out->len == shelf->page)
			return true;
		add(out, item);
	}
	return false;
}

static void add_events(const struct shelf *shelf, const struct shelf_call *call,
		       GArray *out)
{
	for (guint i = 0; i < shelf->history->len; i++) {
		const struct shelf_item *item =
			g_ptr_array_index(shelf->history, i);

		if (item->rev > call->from &&
		    g_str_has_prefix(item->key, call->prefix))
			add(out, item);
	}
}

static void answer(struct shelf *shelf, const struct shelf_call *call)
{
	uint64_t era = shelf->wrong_era ? shelf->wrong_era : shelf->era;
	g_autoptr(GArray)
		items = g_array_new(FALSE, TRUE, sizeof(struct kvs_item));
	struct kvs_page page = {.at_rev = shelf->rev, .era = era};
	int err = shelf->refuse;
	struct kvs_result result = {.lease = !err, .era = era};

	shelf->wrong_era = 0;
	if (!call->page_done) {
		call->write_done(call->arg, err, &result);
		return;
	}
	if (!err && call->watch &&
	    (call->from < shelf->oldest || call->from > shelf->rev))
		err = FS_E_STALE;
	if (!err && call->watch)
		add_events(shelf, call, items);
	else if (!err)
		page.more = add_range(shelf, call, items);
	page.items = (const struct kvs_item *)(void *)items->data;
	page.count = items->len;
	call->page_done(call->arg, err, &page);
}

void shelf_answer(struct shelf *shelf)
{
	uint64_t last = shelf->count;

	/* A callback may cancel calls and begin others. */
	while (shelf->calls->len) {
		struct shelf_call *call = g_ptr_array_index(shelf->calls, 0);

		if (call->serial > last)
			return;
		g_ptr_array_steal_index(shelf->calls, 0);
		answer(shelf, call);
		call_free(call);
	}
}
