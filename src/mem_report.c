#include "mem_report.h"

#include "fs_log.h"
#include "set.h"

const char *mem_state_name(enum mem_state state)
{
	switch (state) {
	case MEM_ALIVE:
		return "alive";
	case MEM_SUSPECT:
		return "suspect";
	case MEM_LEAVING:
		return "leaving";
	default:
		return "dead";
	}
}

static void append_text(GString *out, const char *name, const char *value)
{
	g_string_append_printf(out, "\"%s\":", name);
	fs_json_string(out, value);
	g_string_append_c(out, ',');
}

static void append_address(GString *out, const char *name,
			   const struct sockaddr_in *address)
{
	char text[FS_ADDRESS_MAX];

	set_format_address(address, text);
	append_text(out, name, text);
}

static void report_member(const struct mem_member *m)
{
	g_autoptr(GString) fields = g_string_new(NULL);

	append_text(fields, "member", m->name);
	append_text(fields, "state", mem_state_name(m->state));
	append_address(fields, "peer", &m->peer);
	g_string_append_printf(
		fields, "\"direct\":%s,\"incarnation\":%" G_GUINT64_FORMAT,
		m->direct ? "true" : "false", m->incarnation);
	fs_log_event("mem", G_LOG_LEVEL_MESSAGE, "member", fields->str);
}

static bool differs(const struct mem_member *a, const struct mem_member *b)
{
	return a->state != b->state || a->direct != b->direct ||
	       a->incarnation != b->incarnation;
}

void mem_report_changes(const struct mem_view *before,
			const struct mem_view *after)
{
	for (uint32_t i = 0; i < after->count; i++) {
		const struct mem_member *m = &after->members[i];
		const struct mem_member *old =
			before ? mem_view_find(before, m->id) : NULL;

		if (!old || differs(old, m))
			report_member(m);
	}
}

static void member_json(const struct mem_member *m, GString *out)
{
	g_string_append_c(out, '{');
	append_text(out, "name", m->name);
	append_text(out, "region", m->region);
	append_text(out, "failure_domain", m->domain);
	append_text(out, "state", mem_state_name(m->state));
	append_address(out, "peer", &m->peer);
	append_address(out, "caller", &m->caller);
	append_address(out, "operator", &m->operator);
	g_string_append_printf(out,
			       "\"direct\":%s,"
			       "\"incarnation\":%" G_GUINT64_FORMAT ","
			       "\"config_version\":%" G_GUINT64_FORMAT "}",
			       m->direct ? "true" : "false", m->incarnation,
			       m->config_version);
}

void mem_report_json(const struct mem_view *view, GString *out)
{
	uint32_t alive = 0;

	for (uint32_t i = 0; view && i < view->count; i++)
		alive += view->members[i].state == MEM_ALIVE;
	g_string_append_printf(out, "{\"alive\":%u,\"list\":[", alive);
	for (uint32_t i = 0; view && i < view->count; i++) {
		if (i)
			g_string_append_c(out, ',');
		member_json(&view->members[i], out);
	}
	g_string_append(out, "]}");
}
