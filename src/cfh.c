#include "cfh.h"

static void step_clear(void *element)
{
	struct cfh_step *step = element;

	g_bytes_unref(step->bytes);
}

GArray *cfh_steps_new(void)
{
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(struct cfh_step));

	g_array_set_clear_func(steps, step_clear);
	return steps;
}

void cfh_steps_add(GArray *steps, const struct cfh_step *step)
{
	struct cfh_step copy = *step;

	copy.bytes = g_bytes_ref(step->bytes);
	g_array_append_val(steps, copy);
}

static const struct cfh_step *step_at(const GArray *steps, guint i)
{
	return &g_array_index(steps, struct cfh_step, i);
}

void cfh_init(struct cfh *history)
{
	*history = (struct cfh){.steps = cfh_steps_new()};
}

void cfh_clear(struct cfh *history)
{
	g_array_unref(history->steps);
	g_clear_pointer(&history->whole, g_bytes_unref);
	g_clear_pointer(&history->text, g_free);
}

static void drop_steps(struct cfh *history, guint count)
{
	for (guint i = 0; i < count; i++)
		history->step_bytes -=
			g_bytes_get_size(step_at(history->steps, i)->bytes);
	g_array_remove_range(history->steps, 0, count);
}

/* Keeps a step; a whole text begins a new history. */
static void keep_step(struct cfh *history, const struct cfh_step *step)
{
	if (!step->base)
		drop_steps(history, history->steps->len);
	cfh_steps_add(history->steps, step);
	history->step_bytes += g_bytes_get_size(step->bytes);
	while (history->steps->len > 1 &&
	       (history->steps->len > CFH_STEPS_MAX ||
		history->step_bytes > CFH_BYTES_MAX))
		drop_steps(history, 1);
}

static void set_text(struct cfh *history, uint64_t version, char *text)
{
	g_free(history->text);
	history->text = text;
	history->version = version;
	g_clear_pointer(&history->whole, g_bytes_unref);
}

int cfh_put(struct cfh *history, uint64_t version, const char *text)
{
	struct cfh_step step = {
		.version = version,
		.base = history->version,
		.bytes = dlt_encode(history->text, text),
	};

	if (!step.bytes)
		return FS_E_INVALID;
	keep_step(history, &step);
	g_bytes_unref(step.bytes);
	set_text(history, version, g_strdup(text));
	return 0;
}

int cfh_apply(struct cfh *history, const struct cfh_step *step)
{
	char *text;
	int err;

	if (step->version <= history->version)
		return 0;
	if (step->base && step->base != history->version)
		return FS_E_STALE;
	err = dlt_decode(step->base ? history->text : NULL, step->bytes, &text);
	if (err)
		return err;
	keep_step(history, step);
	set_text(history, step->version, text);
	return 0;
}

static void add_whole(struct cfh *history, GArray *steps)
{
	struct cfh_step step = {.version = history->version};

	if (!history->whole)
		history->whole = dlt_encode(NULL, history->text);
	if (!history->whole)
		return;
	step.bytes = history->whole;
	cfh_steps_add(steps, &step);
}

void cfh_steps_since(struct cfh *history, uint64_t known, GArray *steps)
{
	guint from = 0;

	if (known >= history->version)
		return;
	while (from < history->steps->len &&
	       step_at(history->steps, from)->base != known)
		from++;
	if (from == history->steps->len) {
		add_whole(history, steps);
		return;
	}
	for (guint i = from; i < history->steps->len; i++)
		cfh_steps_add(steps, step_at(history->steps, i));
}

const struct cfh_step *cfh_last_step(const struct cfh *history)
{
	return history->steps->len ?
		       step_at(history->steps, history->steps->len - 1) :
		       NULL;
}
