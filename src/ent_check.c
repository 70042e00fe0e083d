#include "ent_check.h"

#include <string.h>

static bool is_token(const char *text)
{
	if (!*text)
		return false;
	for (const char *p = text; *p; p++) {
		if (!g_ascii_isalnum(*p) && !strchr("!#$%&'*+-.^_`|~", *p))
			return false;
	}
	return true;
}

static bool is_value(const char *text)
{
	for (const unsigned char *p = (const unsigned char *)text; *p; p++) {
		if ((*p < 0x20 && *p != '\t') || *p == 0x7f)
			return false;
	}
	return true;
}

static bool is_host(const char *text)
{
	if (!*text || strlen(text) > 255)
		return false;
	for (const char *p = text; *p; p++) {
		if (!g_ascii_isalnum(*p) && !strchr(".-_:[]", *p))
			return false;
	}
	return true;
}

static bool is_key(const char *text)
{
	if (!*text || strlen(text) >= FS_KEY_MAX)
		return false;
	for (const char *p = text; *p; p++) {
		if (!g_ascii_isgraph(*p) && *p != ' ')
			return false;
	}
	return true;
}

/* Only digits: no sign, space or list. */
static bool parse_length(const char *text, int64_t *out)
{
	size_t size = strlen(text);

	if (size == 0 || size > 15 || strspn(text, "0123456789") != size)
		return false;
	*out = (int64_t)g_ascii_strtoull(text, NULL, 10);
	return true;
}

/** Fields that may come once only. */
struct singles {
	const char *host;
	const char *length;
	const char *coding;
	const char *key;
	const char *expect;
};

/* Notes a field that may come once. Returns false if it came before. */
static bool note_single(struct singles *s, const struct msg_header *h)
{
	const struct {
		const char *name;
		const char **slot;
	} rows[] = {
		{"Host", &s->host},
		{"Content-Length", &s->length},
		{"Transfer-Encoding", &s->coding},
		{"Idempotency-Key", &s->key},
		{"Expect", &s->expect},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		if (g_ascii_strcasecmp(rows[i].name, h->name) != 0)
			continue;
		if (*rows[i].slot)
			return false;
		*rows[i].slot = h->value;
	}
	return true;
}

static int check_singles(const char *version, const struct singles *s,
			 struct ent_head *out)
{
	bool old = !strcmp(version, "HTTP/1.0");

	if (!old && strcmp(version, "HTTP/1.1") != 0)
		return FS_E_BAD_REQUEST;
	if ((!s->host && !old) || (s->host && !is_host(s->host)))
		return FS_E_BAD_REQUEST;
	if (s->key && !is_key(s->key))
		return FS_E_BAD_REQUEST;
	if (s->expect && g_ascii_strcasecmp(s->expect, "100-continue") != 0)
		return FS_E_BAD_REQUEST;
	if (s->coding &&
	    (old || s->length || g_ascii_strcasecmp(s->coding, "chunked") != 0))
		return FS_E_BAD_REQUEST;
	out->body_length = s->coding ? -1 : 0;
	if (s->length && !parse_length(s->length, &out->body_length))
		return FS_E_BAD_REQUEST;
	out->host = s->host ? s->host : "";
	out->key = s->key;
	return 0;
}

int ent_check_headers(const char *version, const GArray *headers,
		      struct ent_head *out)
{
	struct singles singles = {0};
	size_t bytes = 0;

	for (guint i = 0; i < headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(headers, struct msg_header, i);

		if (!is_token(h->name) || !is_value(h->value))
			return FS_E_BAD_REQUEST;
		if (!note_single(&singles, h))
			return FS_E_BAD_REQUEST;
		bytes += strlen(h->name) + strlen(h->value) + 4;
	}
	if (headers->len > FS_HEADERS_MAX || bytes > FS_HEADER_BYTES_MAX)
		return FS_E_HEADERS_TOO_LARGE;
	return check_singles(version, &singles, out);
}

/* Decodes one byte of a path. Returns how many characters it took, or 0 for a
 * byte that has no place in one. */
static size_t decode(const char *p, char *out)
{
	if (*p != '%') {
		*out = *p;
		return strchr("\\;#\"<>^`{|}", *p) || !g_ascii_isgraph(*p) ? 0 :
									     1;
	}
	if (!g_ascii_isxdigit(p[1]) || !g_ascii_isxdigit(p[2]))
		return 0;
	*out = (char)(g_ascii_xdigit_value(p[1]) * 16 +
		      g_ascii_xdigit_value(p[2]));
	return strchr("/\\;?%", *out) || g_ascii_iscntrl(*out) ? 0 : 3;
}

/* Refuses empty, "." and ".." segments; a closing "/" is allowed. */
static bool segments_ok(const char *path)
{
	if (path[0] != '/')
		return false;
	for (const char *p = path; (p = strchr(p, '/')); p++) {
		size_t size = strcspn(p + 1, "/");

		if (size == 0 && p[1] == '/')
			return false;
		if ((size == 1 && p[1] == '.') ||
		    (size == 2 && p[1] == '.' && p[2] == '.'))
			return false;
	}
	return true;
}

static bool query_ok(const char *query)
{
	for (const char *p = query; *p; p++) {
		if (!g_ascii_isgraph(*p) || *p == '#')
			return false;
	}
	return true;
}

static bool decode_path(const char *target, size_t size, char *out)
{
	size_t n = 0;

	for (size_t i = 0; i < size; n++) {
		size_t step = decode(target + i, &out[n]);

		if (!step || !out[n])
			return false;
		i += step;
	}
	return true;
}

int ent_check_target(const char *target, char **path)
{
	size_t size = strcspn(target, "?");

	*path = NULL;
	if (strlen(target) > ENT_TARGET_MAX || !query_ok(target + size))
		return FS_E_BAD_REQUEST;
	*path = g_malloc0(size + 1);
	if (decode_path(target, size, *path) && segments_ok(*path))
		return 0;
	g_clear_pointer(path, g_free);
	return FS_E_BAD_REQUEST;
}

static bool is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Host",
		"Expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!g_ascii_strcasecmp(names[i], name))
			return true;
	}
	return !g_ascii_strncasecmp(name, "Fescuesaddle-", 13);
}

/* Returns whether a Connection field names the field. */
static bool is_named(const GArray *headers, const char *name)
{
	for (guint i = 0; i < headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(headers, struct msg_header, i);
		g_auto(GStrv) names = NULL;

		if (g_ascii_strcasecmp(h->name, "Connection") != 0)
			continue;
		names = g_strsplit(h->value, ",", -1);
		for (char **n = names; *n; n++) {
			if (!g_ascii_strcasecmp(g_strstrip(*n), name))
				return true;
		}
	}
	return false;
}

GArray *ent_check_copy_end_to_end(const GArray *headers)
{
	GArray *out = msg_headers_new();

	for (guint i = 0; headers && i < headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(headers, struct msg_header, i);

		if (!is_hop_by_hop(h->name) && !is_named(headers, h->name))
			msg_headers_add(out, h->name, h->value);
	}
	return out;
}
