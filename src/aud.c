#include "aud.h"

#include <string.h>

#include "fs_log.h"

struct aud {
	uint64_t incarnation;
	uint64_t serial;	 /* of the last record */
	struct aud_record *ring; /* FS_AUDIT_RING, by serial */
	uint32_t used;
};

struct aud *aud_new(void)
{
	struct aud *aud = g_new0(struct aud, 1);

	aud->incarnation = (uint64_t)fs_wall_us();
	return aud;
}

void aud_free(struct aud *aud)
{
	if (!aud)
		return;
	g_free(aud->ring);
	g_free(aud);
}

void aud_begin(struct aud_record *rec, enum aud_kind kind, enum aud_rule rule,
	       uint64_t config_version, int64_t now_us)
{
	memset(rec, 0, sizeof(*rec));
	rec->kind = kind;
	rec->rule = rule;
	rec->config_version = config_version;
	rec->now_us = now_us;
}

void aud_add(struct aud_record *rec, const char *name, int64_t value)
{
	struct aud_number *number;

	if (rec->evidence_count >= FS_AUDIT_EVIDENCE_MAX)
		return;
	number = &rec->evidence[rec->evidence_count++];
	number->name = name;
	number->value = value;
}

bool aud_number_of(const struct aud_record *rec, const char *name, int64_t *out)
{
	for (uint32_t i = 0; i < rec->evidence_count; i++) {
		if (strcmp(rec->evidence[i].name, name) != 0)
			continue;
		*out = rec->evidence[i].value;
		return true;
	}
	return false;
}

/* The ring starts small and doubles, since most nodes decide little. */
static void ring_keep(struct aud *aud, const struct aud_record *rec)
{
	if (!aud->ring ||
	    (aud->serial > aud->used && aud->used < FS_AUDIT_RING)) {
		aud->used = aud->used ? aud->used * 2 : 64;
		aud->ring = g_renew(struct aud_record, aud->ring, aud->used);
	}
	aud->ring[(aud->serial - 1) % aud->used] = *rec;
}

void aud_emit(struct aud *aud, struct aud_record *rec)
{
	g_autoptr(GString) fields = g_string_sized_new(512);

	rec->incarnation = aud->incarnation;
	rec->serial = ++aud->serial;
	rec->wall_us = fs_wall_us();
	ring_keep(aud, rec);
	g_string_append(fields, "\"record\":");
	aud_record_json(rec, fields);
	fs_log_event("aud", G_LOG_LEVEL_MESSAGE, "decision", fields->str);
}

void aud_ring_json(const struct aud *aud, uint64_t serial, GString *out)
{
	uint64_t first = aud->serial > aud->used ? aud->serial - aud->used : 0;
	const char *separator = "";

	g_string_append_c(out, '[');
	for (uint64_t i = MAX(first, serial); i < aud->serial; i++) {
		g_string_append(out, separator);
		aud_record_json(&aud->ring[i % aud->used], out);
		separator = ",";
	}
	g_string_append_c(out, ']');
}

void aud_request_text(const struct req_id *id, char *out, size_t size)
{
	g_snprintf(out, size,
		   "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
		   "x-%" G_GUINT64_FORMAT,
		   (guint64)id->node, (guint64)id->incarnation,
		   (guint64)id->counter);
}
