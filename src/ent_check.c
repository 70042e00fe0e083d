#include "ent_check.h"

#include <string.h>

static bool is_field_value(const char *text)
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

/* Accepts digits only: no sign, space or list. */
static bool parse_length(const char *text, int64_t *out)
{
	size_t size = strlen(text);

	if (size == 0 || size > 15 || strspn(text, "0123456789") != size)
		return false;
	*out = (int64_t)g_ascii_strtoull(text, NULL, 10);
	return true;
}

/** Header fields that may occur only once. */
struct single_fields {
	const char *host;
	const char *length;
	const char *coding;
	const char *key;
	const char *expect;
};

/* Records a field that may occur only once. Returns false on a duplicate. */
static bool record_single(struct single_fields *s, const struct msg_header *h)
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

static int check_singles(const char *version, const struct single_fields *s,
			 struct ent_head *out)
{
	bool is_http_1_0 = !strcmp(version, "HTTP/1.0");

	if (!is_http_1_0 && strcmp(version, "HTTP/1.1") != 0)
		return FS_E_BAD_REQUEST;
	if ((!s->host && !is_http_1_0) || (s->host && !is_host(s->host)))
		return FS_E_BAD_REQUEST;
	if (s->key && !is_key(s->key))
		return FS_E_BAD_REQUEST;
	if (s->expect && g_ascii_strcasecmp(s->expect, "100-continue") != 0)
		return FS_E_BAD_REQUEST;
	if (s->coding && (is_http_1_0 || s->length ||
			  g_ascii_strcasecmp(s->coding, "chunked") != 0))
		return FS_E_BAD_REQUEST;
	out->body_length = s->coding ? -1 : 0;
	if (s->length && !parse_length(s->length, &out->body_length))
		return FS_E_BAD_REQUEST;
	out->no_chunks = strcmp(version, "HTTP/1.1") != 0;
	out->host = s->host ? s->host : "";
	out->key = s->key;
	return 0;
}

/* The library appends the value on a folded line to the name of a field that has none
 * before it, and then does not know how long the body is. */
static bool hides_framing(const char *name)
{
	static const char *const framing[] = {"Content-Length",
					      "Transfer-Encoding"};

	for (size_t i = 0; i < G_N_ELEMENTS(framing); i++) {
		size_t size = strlen(framing[i]);

		if (!g_ascii_strncasecmp(name, framing[i], size) && name[size])
			return true;
	}
	return false;
}

int ent_check_headers(const char *version, const GArray *headers,
		      struct ent_head *out)
{
	struct single_fields fields = {0};
	size_t bytes = 0;

	for (guint i = 0; i < headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(headers, struct msg_header, i);

		if (!msg_is_token(h->name) || !is_field_value(h->value) ||
		    hides_framing(h->name))
			return FS_E_BAD_REQUEST;
		if (!record_single(&fields, h))
			return FS_E_BAD_REQUEST;
		bytes += strlen(h->name) + strlen(h->value) + 4;
	}
	if (headers->len > FS_HEADERS_MAX || bytes > FS_HEADER_BYTES_MAX)
		return FS_E_HEADERS_TOO_LARGE;
	return check_singles(version, &fields, out);
}

/* Decodes one byte of a path. Returns the number of characters consumed, or 0
 * for a byte that is not allowed. */
static size_t decode_byte(const char *p, char *out)
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

/* Rejects empty, "." and ".." segments; a trailing "/" is allowed. */
static bool segments_valid(const char *path)
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

static bool query_valid(const char *query)
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
		size_t step = decode_byte(target + i, &out[n]);

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
	if (strlen(target) > ENT_TARGET_MAX || !query_valid(target + size))
		return FS_E_BAD_REQUEST;
	*path = g_malloc0(size + 1);
	if (decode_path(target, size, *path) && segments_valid(*path))
		return 0;
	g_clear_pointer(path, g_free);
	return FS_E_BAD_REQUEST;
}

int ent_check_raw_target(const char *target, char **path)
{
	*path = NULL;
	if (*target != '/')
		return FS_E_BAD_REQUEST;
	for (const unsigned char *p = (const unsigned char *)target; *p; p++) {
		if (*p <= ' ' || *p == 0x7f || *p == '#')
			return FS_E_BAD_REQUEST;
	}
	*path = g_strndup(target, strcspn(target, "?"));
	return 0;
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

/* Returns whether a Connection field lists the field. */
static bool named_by_connection(const GArray *headers, const char *name)
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

		if (!is_hop_by_hop(h->name) &&
		    !named_by_connection(headers, h->name))
			msg_headers_add(out, h->name, h->value);
	}
	return out;
}
