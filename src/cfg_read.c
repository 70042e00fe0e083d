#include "cfg_read.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "set.h"

static void problem_free(void *data)
{
	struct cfg_problem *problem = data;

	g_free(problem->path);
	g_free(problem->text);
	g_free(problem);
}

GPtrArray *cfg_problems_new(void)
{
	return g_ptr_array_new_with_free_func(problem_free);
}

void cfg_reader_at(struct cfg_reader *r, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_vsnprintf(r->path, sizeof(r->path), format, args);
	va_end(args);
}

void cfg_problem(struct cfg_reader *r, const char *key, const char *format, ...)
{
	struct cfg_problem *problem;
	va_list args;

	if (r->problems->len >= CFG_PROBLEMS_MAX)
		return;
	problem = g_new0(struct cfg_problem, 1);
	if (key && *r->path)
		problem->path = g_strdup_printf("%s.%s", r->path, key);
	else
		problem->path = g_strdup(key ? key : r->path);
	va_start(args, format);
	problem->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(r->problems, problem);
}

bool cfg_read_present(struct cfg_reader *r, const char *key, const char *text)
{
	if (text && *text)
		return true;
	cfg_problem(r, key, "%s is missing; it has no default", key);
	return false;
}

static bool parse_int(const char *text, int64_t *out)
{
	char *end;

	if (!g_ascii_isdigit(*text) && *text != '-')
		return false;
	errno = 0;
	*out = g_ascii_strtoll(text, &end, 10);
	return !errno && end != text && !*end;
}

void cfg_read_int(struct cfg_reader *r, const char *key, const char *text,
		  int64_t min, int64_t max, const char *unit, int64_t *out)
{
	int64_t value;

	if (!text)
		return;
	if (!parse_int(text, &value) || value < min || value > max) {
		cfg_problem(r, key,
			    "\"%.64s\" is not a whole number from %" PRId64
			    " to %" PRId64 "%s%s",
			    text, min, max, *unit ? " " : "", unit);
		return;
	}
	*out = value;
}

void cfg_read_u32(struct cfg_reader *r, const char *key, const char *text,
		  uint32_t min, uint32_t max, const char *unit, uint32_t *out)
{
	int64_t value = *out;

	cfg_read_int(r, key, text, min, max, unit, &value);
	*out = (uint32_t)value;
}

void cfg_read_ms(struct cfg_reader *r, const char *key, const char *text,
		 int64_t min_ms, int64_t max_ms, int64_t *out_us)
{
	int64_t ms = *out_us / FS_US_PER_MS;

	cfg_read_int(r, key, text, min_ms, max_ms, "ms", &ms);
	*out_us = ms * FS_US_PER_MS;
}

void cfg_read_percent(struct cfg_reader *r, const char *key, const char *text,
		      double min, double max, double *out)
{
	char *end = NULL;
	double value = 0;
	bool number;

	if (!text)
		return;
	number = g_ascii_isdigit(*text) && !strpbrk(text, "xXpPnNeE");
	if (number)
		value = g_ascii_strtod(text, &end);
	if (!number || strcmp(end, "%") != 0 || value < min || value > max) {
		cfg_problem(r, key,
			    "\"%.64s\" is not a share from %g%% to %g%%, "
			    "written such as \"75%%\"",
			    text, min, max);
		return;
	}
	*out = value;
}

void cfg_read_number(struct cfg_reader *r, const char *key, const char *text,
		     double min, double max, double *out)
{
	char *end = NULL;
	double value = 0;

	if (!text)
		return;
	if (g_ascii_isdigit(*text))
		value = g_ascii_strtod(text, &end);
	if (!end || *end || value < min || value > max) {
		cfg_problem(r, key, "\"%.64s\" is not a number from %g to %g",
			    text, min, max);
		return;
	}
	*out = value;
}

void cfg_read_bool(struct cfg_reader *r, const char *key, const char *text,
		   bool *out)
{
	if (!text)
		return;
	if (!strcmp(text, "true"))
		*out = true;
	else if (!strcmp(text, "false"))
		*out = false;
	else
		cfg_problem(r, key, "\"%.64s\" is neither true nor false",
			    text);
}

void cfg_read_word(struct cfg_reader *r, const char *key, const char *text,
		   const char *const *words, uint32_t count, uint32_t *out)
{
	g_autoptr(GString) list = NULL;

	if (!text)
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(text, words[i])) {
			*out = i;
			return;
		}
	}
	list = g_string_new(NULL);
	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(list, "%s%s", i ? ", " : "", words[i]);
	cfg_problem(r, key, "\"%.64s\" is none of: %s", text, list->str);
}

bool cfg_read_name(struct cfg_reader *r, const char *key, const char *text,
		   size_t size)
{
	g_autofree char *most = NULL;
	bool right;

	if (!cfg_read_present(r, key, text))
		return false;
	right = g_ascii_isalnum(*text) &&
		(size == CFG_ANY_SIZE || strlen(text) < size);
	for (const char *c = text; *c && right; c++)
		right = g_ascii_isalnum(*c) || strchr("-_.", *c);
	if (right)
		return true;
	most = size == CFG_ANY_SIZE ? g_strdup("") :
				      g_strdup_printf("at most %zu ", size - 1);
	cfg_problem(r, key,
		    "\"%.64s\" is not a name: %sletters, digits, \"-\", \"_\" "
		    "or \".\", first a letter or digit",
		    text, most);
	return false;
}

/* Whether no segment is empty, "." or "..". */
static bool path_normal(const char *path)
{
	if (strstr(path, "//") || strstr(path, "/./") || strstr(path, "/../"))
		return false;
	return !g_str_has_suffix(path, "/.") && !g_str_has_suffix(path, "/..");
}

bool cfg_read_path(struct cfg_reader *r, const char *key, const char *text)
{
	size_t length = strlen(text);
	bool right = *text == '/' && path_normal(text);

	for (const char *c = text; *c && right; c++)
		right = g_ascii_isgraph(*c) && !strchr("?#%\\\"", *c);
	if (length > 1 && text[length - 1] == '/')
		right = false;
	if (!right)
		cfg_problem(r, key,
			    "\"%.64s\" is not a normalised path: \"/\" first, "
			    "no empty, \".\" or \"..\" segment, no \"/\" at "
			    "the end, none of ?#%%\\\" nor spaces",
			    text);
	return right;
}

bool cfg_read_address(struct cfg_reader *r, const char *key, const char *text,
		      uint32_t *ip, uint16_t *port)
{
	struct sockaddr_in address;

	if (!cfg_read_present(r, key, text))
		return false;
	if (set_parse_address(text, &address) || !address.sin_port ||
	    !address.sin_addr.s_addr) {
		cfg_problem(r, key,
			    "\"%.64s\" is not an address: an IP number and a "
			    "port, such as 10.0.0.1:8080",
			    text);
		return false;
	}
	*ip = ntohl(address.sin_addr.s_addr);
	*port = ntohs(address.sin_port);
	return true;
}
