#include "mem_table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void mem_table_init(struct mem_table *table)
{
	memset(table, 0, sizeof(*table));
	table->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	table->nodes = g_ptr_array_new();
}

void mem_table_clear(struct mem_table *table)
{
	g_clear_pointer(&table->nodes, g_ptr_array_unref);
	g_clear_pointer(&table->by_id, g_hash_table_unref);
}

struct mem_node *mem_table_find(const struct mem_table *table, node_id id)
{
	return g_hash_table_lookup(table->by_id, &id);
}

struct mem_node *mem_table_longest_dead(const struct mem_table *table)
{
	struct mem_node *oldest = NULL;

	for (guint i = 0; i < table->nodes->len; i++) {
		struct mem_node *node = g_ptr_array_index(table->nodes, i);

		if (!mem_node_present(node) &&
		    (!oldest || node->dead_since_us < oldest->dead_since_us))
			oldest = node;
	}
	return oldest;
}

struct mem_node *mem_table_add(struct mem_table *table,
			       const struct mem_member *member)
{
	struct mem_node *node;

	if (table->nodes->len >= FS_NODES_MAX)
		return NULL;
	node = g_new0(struct mem_node, 1);
	node->m = *member;
	g_hash_table_insert(table->by_id, &node->m.id, node);
	g_ptr_array_add(table->nodes, node);
	mem_table_recount(table);
	return node;
}

void mem_table_remove(struct mem_table *table, struct mem_node *node)
{
	node_id id = node->m.id;

	g_ptr_array_remove(table->nodes, node);
	g_hash_table_remove(table->by_id, &id);
	mem_table_recount(table);
}

void mem_table_recount(struct mem_table *table)
{
	table->present = 0;
	table->suspects = 0;
	table->recontacts = 0;
	table->digest_stale = true;
	for (guint i = 0; i < table->nodes->len; i++) {
		const struct mem_node *node =
			g_ptr_array_index(table->nodes, i);

		table->present += mem_node_present(node);
		table->suspects += node->m.state == MEM_SUSPECT;
		table->recontacts += node->recontact;
	}
}

uint64_t mem_table_digest(struct mem_table *table)
{
	if (!table->digest_stale)
		return table->digest;
	table->digest = 0;
	table->digest_stale = false;
	for (guint i = 0; i < table->nodes->len; i++) {
		const struct mem_node *node =
			g_ptr_array_index(table->nodes, i);

		if (mem_node_present(node))
			table->digest ^= XXH64(&node->m.id, sizeof(node->m.id),
					       node->m.incarnation);
	}
	return table->digest;
}

struct mem_update mem_node_update(const struct mem_node *node, bool full)
{
	struct mem_update update = {
		.id = node->m.id,
		.incarnation = node->m.incarnation,
		.refutation = node->refutation,
		.state = node->m.state,
		.full = full,
	};

	if (full)
		update.member = node->m;
	return update;
}

static int compare_members(const void *a, const void *b)
{
	const struct mem_member *x = a;
	const struct mem_member *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

struct mem_view *mem_table_view(const struct mem_table *table, node_id self,
				uint64_t serial)
{
	guint count = table->nodes->len;
	struct mem_view *view =
		g_malloc0(sizeof(*view) + count * sizeof(view->members[0]));

	view->refs = 1;
	view->serial = serial;
	view->self = self;
	view->count = count;
	for (guint i = 0; i < count; i++) {
		const struct mem_node *node =
			g_ptr_array_index(table->nodes, i);

		view->members[i] = node->m;
	}
	qsort(view->members, count, sizeof(view->members[0]), compare_members);
	return view;
}
