#include "aud.h"

#include "fs_log.h"

static void add_text(GString *out, const char *name, const char *text)
{
	if (!*text)
		return;
	g_string_append_printf(out, ",\"%s\":", name);
	fs_json_string(out, text);
}

void aud_record_json(const struct aud_record *rec, GString *out)
{
	g_string_append_printf(out,
			       "{\"incarnation\":%" G_GUINT64_FORMAT
			       ",\"serial\":%" G_GUINT64_FORMAT
			       ",\"kind\":\"%s\",\"rule\":\"%s\"",
			       (guint64)rec->incarnation, (guint64)rec->serial,
			       aud_kind_name(rec->kind),
			       aud_rule_name(rec->rule));
	g_string_append_printf(out,
			       ",\"wall_us\":%" G_GINT64_FORMAT
			       ",\"now_us\":%" G_GINT64_FORMAT
			       ",\"config_version\":%" G_GUINT64_FORMAT,
			       (gint64)rec->wall_us, (gint64)rec->now_us,
			       (guint64)rec->config_version);
	add_text(out, "service", rec->service);
	add_text(out, "server", rec->server);
	add_text(out, "route", rec->route);
	add_text(out, "request", rec->request);
	add_text(out, "choice", rec->choice);
	g_string_append(out, ",\"numbers\":{");
	for (uint32_t i = 0; i < rec->evidence_count; i++)
		g_string_append_printf(out, "%s\"%s\":%" G_GINT64_FORMAT,
				       i ? "," : "", rec->evidence[i].name,
				       (gint64)rec->evidence[i].value);
	g_string_append(out, "}}");
}
