#include "org.h"

#include <string.h>

#include "msg.h"

#define KEY_FIELD "Authorization"
#define SCHEME "Bearer"
#define SPACE " \t"

/* Returns the only value of the field, or NULL and why there is none. */
static const char *find_field(const GArray *headers, const char **fault)
{
	const char *value = NULL;

	*fault = "none";
	for (guint i = 0; i < headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(headers, struct msg_header, i);

		if (g_ascii_strcasecmp(h->name, KEY_FIELD) != 0)
			continue;
		if (value) {
			*fault = "twice";
			return NULL;
		}
		value = h->value;
	}
	return value;
}

/* Returns the key in a field's value, to be freed, or NULL for another scheme. */
static char *read_key(const char *value)
{
	const size_t length = strlen(SCHEME);
	const char *at = value + strspn(value, SPACE);

	if (g_ascii_strncasecmp(at, SCHEME, length) != 0 || at[length] != ' ')
		return NULL;
	at += length;
	return g_strchomp(g_strdup(at + strspn(at, " ")));
}

int org_find(const struct cfg *cfg, handle route, const GArray *headers,
	     struct org_caller *out)
{
	g_autofree char *key = NULL;
	const char *value;

	out->organisation = FS_NONE;
	out->fault = NULL;
	if (!cfg->needs_keys || cfg->routes[route].anonymous)
		return 0;
	value = find_field(headers, &out->fault);
	if (!value)
		return FS_E_UNAUTHORIZED;
	key = read_key(value);
	out->organisation = key ? cfg_find_key(cfg, key) : FS_NONE;
	out->fault = key ? "unknown" : "scheme";
	if (out->organisation == FS_NONE)
		return FS_E_UNAUTHORIZED;
	out->fault = NULL;
	return 0;
}

/* Some servers read both characters as the same. */
static char fold(char c)
{
	return c == '_' ? '-' : g_ascii_tolower(c);
}

static bool is_same_field(const char *a, const char *b)
{
	while (*a && fold(*a) == fold(*b)) {
		a++;
		b++;
	}
	return fold(*a) == fold(*b);
}

bool org_is_withheld(const struct cfg *cfg, const char *field, const char *name)
{
	return cfg->needs_keys &&
	       (is_same_field(name, KEY_FIELD) || is_same_field(name, field));
}
