#include "cfg_build.h"

#include <string.h>

enum visit {
	VISIT_NEW,
	VISIT_OPEN, /* on the path from the start */
	VISIT_DONE,
};

/* Depth-first search for cycles, without recursion: a text may chain as many
 * services as it lists. */
struct search {
	enum visit *state;
	uint32_t *next; /* dependency to look at, per service */
	handle *stack;
	uint32_t depth;
};

static void resolve(struct cfg_build *b, handle service)
{
	const struct cfg_raw_service *from = &b->raw->services[service];
	struct cfg_service *to = &b->cfg->services[service];

	to->depends_on = g_new0(handle, from->depends_on_count);
	for (uint32_t i = 0; i < from->depends_on_count; i++) {
		const char *name = from->depends_on[i];
		handle other = cfg_build_find(b->cfg->service_index, name);
		char key[32];

		g_snprintf(key, sizeof(key), "depends_on[%u]", i);
		if (other == FS_NONE) {
			cfg_problem(&b->r, key,
				    "unknown service \"%.64s\"; services "
				    "lists them",
				    name);
			continue;
		}
		if (b->cfg->services[other].leaving && !to->leaving)
			cfg_problem(&b->r, key,
				    "%s is leaving while %s depends on it; "
				    "take it out of depends_on first",
				    name, to->name);
		for (uint32_t k = 0; k < to->depends_count; k++) {
			if (to->depends_on[k] == other)
				cfg_problem(&b->r, key,
					    "%s is there twice; once is enough",
					    name);
		}
		to->depends_on[to->depends_count++] = other;
	}
}

static void report_cycle(struct cfg_build *b, const struct search *s,
			 handle again)
{
	g_autoptr(GString) cycle = g_string_new(NULL);
	uint32_t i = 0;

	while (s->stack[i] != again)
		i++;
	for (; i < s->depth; i++)
		g_string_append_printf(cycle, "%s -> ",
				       b->cfg->services[s->stack[i]].name);
	g_string_append(cycle, b->cfg->services[again].name);
	cfg_reader_at(&b->r, "services[%u]", again);
	cfg_problem(&b->r, "depends_on",
		    "services depend on each other in a cycle: %s; take one "
		    "of these dependencies out",
		    cycle->str);
}

static void visit(struct cfg_build *b, struct search *s, handle start)
{
	s->stack[s->depth++] = start;
	s->state[start] = VISIT_OPEN;
	while (s->depth) {
		handle at = s->stack[s->depth - 1];
		const struct cfg_service *service = &b->cfg->services[at];
		handle other;

		if (s->next[at] == service->depends_count) {
			s->state[at] = VISIT_DONE;
			s->depth--;
			continue;
		}
		other = service->depends_on[s->next[at]++];
		if (s->state[other] == VISIT_OPEN) {
			report_cycle(b, s, other);
		} else if (s->state[other] == VISIT_NEW) {
			s->state[other] = VISIT_OPEN;
			s->stack[s->depth++] = other;
		}
	}
}

void cfg_build_dependencies(struct cfg_build *b)
{
	uint32_t count = b->cfg->service_count;
	struct search s = {
		.state = g_new0(enum visit, count),
		.next = g_new0(uint32_t, count),
		.stack = g_new0(handle, count),
	};

	for (handle i = 0; i < count; i++) {
		cfg_reader_at(&b->r, "services[%u]", i);
		resolve(b, i);
	}
	for (handle i = 0; i < count; i++) {
		if (s.state[i] == VISIT_NEW)
			visit(b, &s, i);
	}
	g_free(s.state);
	g_free(s.next);
	g_free(s.stack);
}
