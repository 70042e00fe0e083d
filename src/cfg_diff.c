#include "cfg_diff.h"

#include <string.h>

#include "cfg_kinds.h"
#include "fs_log.h"

static void change_free(void *data)
{
	struct cfg_change *change = data;

	g_free(change->name);
	g_free(change->before);
	g_free(change->after);
	g_free(change);
}

static void add(GPtrArray *changes, const char *kind, const char *name,
		const char *setting, const char *before, const char *after)
{
	struct cfg_change *change = g_new0(struct cfg_change, 1);

	change->kind = kind;
	change->name = g_strdup(name);
	change->setting = setting;
	change->before = g_strdup(before);
	change->after = g_strdup(after);
	g_ptr_array_add(changes, change);
}

/* All settings of one object on one line. */
static char *summary(const struct cfg_object *o)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < o->count; i++)
		g_string_append_printf(text, "%s%s %s", i ? ", " : "",
				       o->settings[i], o->values[i]);
	return g_string_free(text, FALSE);
}

static void compare_one(GPtrArray *changes, const struct cfg_kind *kind,
			const char *name, struct cfg_object *before,
			struct cfg_object *after)
{
	for (uint32_t i = 0; i < after->count; i++) {
		if (strcmp(before->values[i], after->values[i]) != 0)
			add(changes, kind->name, name, after->settings[i],
			    before->values[i], after->values[i]);
	}
}

static void compare_kind(GPtrArray *changes, const struct cfg_kind *kind,
			 const struct cfg *before, const struct cfg *after)
{
	uint32_t count = before ? kind->count(before) : 0;
	struct cfg_object old = {.count = 0};
	struct cfg_object new = {.count = 0};

	for (handle h = 0; h < count; h++) {
		const char *name = kind->name_of(before, h);
		handle there = kind->find(after, name);

		kind->describe(before, h, &old);
		if (there != FS_NONE) {
			kind->describe(after, there, &new);
			compare_one(changes, kind, name, &old, &new);
		} else {
			g_autofree char *gone = summary(&old);

			add(changes, kind->name, name, NULL, gone, NULL);
		}
		cfg_object_clear(&old);
		cfg_object_clear(&new);
	}
	for (handle h = 0; h < kind->count(after); h++) {
		const char *name = kind->name_of(after, h);
		g_autofree char *text = NULL;

		if (before && kind->find(before, name) != FS_NONE)
			continue;
		kind->describe(after, h, &new);
		text = summary(&new);
		add(changes, kind->name, name, NULL, NULL, text);
		cfg_object_clear(&new);
	}
}

GPtrArray *cfg_diff(const struct cfg *before, const struct cfg *after)
{
	GPtrArray *changes = g_ptr_array_new_with_free_func(change_free);

	for (size_t i = 0; i < CFG_KIND_COUNT; i++)
		compare_kind(changes, &cfg_kinds[i], before, after);
	return changes;
}

void cfg_diff_text(const GPtrArray *changes, GString *out)
{
	if (!changes->len)
		g_string_append(out, "no difference\n");
	for (guint i = 0; i < changes->len; i++) {
		const struct cfg_change *c = g_ptr_array_index(changes, i);

		g_string_append_printf(out, "%s %s", c->kind, c->name);
		if (c->setting)
			g_string_append_printf(out, ": %s %s -> %s\n",
					       c->setting, c->before, c->after);
		else
			g_string_append_printf(out, " %s%s%s\n",
					       c->after ? "added" : "removed",
					       c->after && *c->after ? ": " :
								       "",
					       c->after ? c->after : "");
	}
}

static void member(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "\"%s\":", name);
	if (value)
		fs_json_string(out, value);
	else
		g_string_append(out, "null");
}

void cfg_diff_json(const GPtrArray *changes, GString *out)
{
	g_string_append_c(out, '[');
	for (guint i = 0; i < changes->len; i++) {
		const struct cfg_change *c = g_ptr_array_index(changes, i);

		g_string_append(out, i ? ",{" : "{");
		member(out, "kind", c->kind);
		g_string_append_c(out, ',');
		member(out, "name", c->name);
		g_string_append_c(out, ',');
		member(out, "setting", c->setting);
		g_string_append_c(out, ',');
		member(out, "before", c->before);
		g_string_append_c(out, ',');
		member(out, "after", c->after);
		g_string_append_c(out, '}');
	}
	g_string_append_c(out, ']');
}
