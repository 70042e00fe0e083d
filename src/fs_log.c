#include "fs_log.h"

#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Lines of level info a second, and at once; warnings always go out. Twice what
 * a node wrote in the worst second of a day with all nodes restarted (101). */
#define INFO_PER_S 200
#define INFO_BURST 400

/** Bounds the lines of level info. */
static struct {
	bool on;
	double left;	    /* lines that may be written now */
	int64_t counted_us; /* when that was right */
	uint64_t dropped;   /* lines left out since the last one */
	uint64_t dropped_all;
} budget = {.left = INFO_BURST};

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

/* Returns whether a line may be written now. */
static bool may_write(GLogLevelFlags level)
{
	int64_t now_us = g_get_monotonic_time();

	if (!budget.on || !(level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)))
		return true;
	if (budget.counted_us)
		budget.left += (double)(now_us - budget.counted_us) *
			       INFO_PER_S / G_USEC_PER_SEC;
	budget.left = MIN(budget.left, INFO_BURST);
	budget.counted_us = now_us;
	if (budget.left >= 1.0) {
		budget.left -= 1.0;
		return true;
	}
	budget.dropped++;
	budget.dropped_all++;
	return false;
}

void fs_log_bound(void)
{
	budget.on = true;
	/* A reader that is slow must not hold up the loop. */
	fcntl(log_fd, F_SETFL, fcntl(log_fd, F_GETFL) | O_NONBLOCK);
}

uint64_t fs_log_dropped(void)
{
	return budget.dropped_all;
}

/* Never waits for a reader: a line that does not fit is left out. */
static void put_line(const GString *line)
{
	if (write(log_fd, line->str, line->len) >= 0) {
		budget.dropped = 0;
		return;
	}
	budget.dropped++;
	budget.dropped_all++;
}

static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer data)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *stamp = NULL;
	g_autoptr(GString) line = NULL;
	const char *module = field_of(fields, n_fields, "FS_MODULE");
	const char *event = field_of(fields, n_fields, "FS_EVENT");
	const char *json = field_of(fields, n_fields, "FS_FIELDS");
	const char *text = field_of(fields, n_fields, "MESSAGE");

	(void)data;
	if (!may_write(level))
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = g_string_sized_new(256);
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
	if (budget.dropped)
		g_string_append_printf(line, ",\"dropped\":%" G_GUINT64_FORMAT,
				       budget.dropped);
	g_string_append(line, "}\n");
	put_line(line);
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
