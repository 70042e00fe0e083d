#include "fs_log.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static char log_node[64] = "-";
static int log_fd = STDERR_FILENO;

void fs_json_string(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (const unsigned char *p = (const unsigned char *)text; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(out, "\\%c", *p);
		else if (*p < 0x20 || *p == 0x7f)
			g_string_append_printf(out, "\\u%04x", *p);
		else
			g_string_append_c(out, (char)*p);
	}
	g_string_append_c(out, '"');
}

static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

static const char *field_of(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++) {
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	}
	return NULL;
}

static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer data)
{
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *stamp =
		g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	g_autoptr(GString) line = g_string_sized_new(256);
	const char *module = field_of(fields, n_fields, "FS_MODULE");
	const char *event = field_of(fields, n_fields, "FS_EVENT");
	const char *json = field_of(fields, n_fields, "FS_FIELDS");
	const char *text = field_of(fields, n_fields, "MESSAGE");

	(void)data;
	g_string_append_printf(line, "{\"module\":\"%s\",\"event\":\"%s\"",
			       module ? module : "glib",
			       event ? event : "message");
	g_string_append_printf(line, ",\"level\":\"%s\",\"time\":\"%s\"",
			       level_name(level), stamp);
	g_string_append(line, ",\"node\":");
	fs_json_string(line, log_node);
	if (json && *json)
		g_string_append_printf(line, ",%s", json);
	if (!event && text) {
		g_string_append(line, ",\"text\":");
		fs_json_string(line, text);
	}
	g_string_append(line, "}\n");
	if (write(log_fd, line->str, line->len) < 0)
		return G_LOG_WRITER_UNHANDLED;
	return G_LOG_WRITER_HANDLED;
}

void fs_log_init(const char *node, int fd)
{
	g_strlcpy(log_node, node, sizeof(log_node));
	log_fd = fd;
	g_log_set_writer_func(write_json, NULL, NULL);
}

void fs_log_event(const char *module, GLogLevelFlags level, const char *event,
		  const char *fields)
{
	const GLogField record[] = {
		{"FS_MODULE", module, -1},
		{"FS_EVENT", event, -1},
		{"FS_FIELDS", fields, -1},
	};

	g_log_structured_array(level, record, G_N_ELEMENTS(record));
}

void fs_log_eventf(const char *module, GLogLevelFlags level, const char *event,
		   const char *format, ...)
{
	g_autofree char *fields = NULL;
	va_list args;

	va_start(args, format);
	fields = g_strdup_vprintf(format, args);
	va_end(args);
	fs_log_event(module, level, event, fields);
}
