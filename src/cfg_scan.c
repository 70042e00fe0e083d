#include "cfg_scan.h"

#include <string.h>
#include <yaml.h>

/* One open list or mapping; schema is NULL below something unknown. */
struct frame {
	const cyaml_schema_value_t *schema;
	bool mapping;
	bool key_next;			   /* of a mapping */
	uint32_t index;			   /* of a list's next entry */
	uint64_t seen;			   /* fields of a mapping, as bits */
	size_t path_length;		   /* of the path to this frame */
	const cyaml_schema_value_t *value; /* of the current key */
};

struct scan {
	struct cfg_reader r;
	GHashTable *lines;
	GString *path;
	struct frame frames[CFG_SCAN_DEPTH + 1];
	uint32_t depth;
	const cyaml_schema_value_t *root;
	int line; /* of the current event */
	uint32_t documents;
	uint32_t unknown; /* findings that are unknown settings */
	bool stop;
};

static void G_GNUC_PRINTF(2, 3) report(struct scan *s, const char *format, ...)
{
	g_autofree char *text = NULL;
	guint before = s->r.problems->len;
	struct cfg_problem *problem;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_strlcpy(s->r.path, s->path->str, sizeof(s->r.path));
	cfg_problem(&s->r, NULL, "%s", text);
	if (s->r.problems->len == before)
		return;
	problem = g_ptr_array_index(s->r.problems, before);
	problem->line = s->line;
}

static void note_line(struct scan *s)
{
	if (s->lines && g_hash_table_contains(s->lines, s->path->str))
		g_hash_table_insert(s->lines, g_strdup(s->path->str),
				    GINT_TO_POINTER(s->line));
}

static void report_unknown(struct scan *s, const struct frame *f)
{
	g_autoptr(GString) known = g_string_new(NULL);
	const cyaml_schema_field_t *field = f->schema->mapping.fields;

	for (; field->key; field++)
		g_string_append_printf(known, "%s%s", known->len ? ", " : "",
				       field->key);
	s->unknown++;
	report(s, "unknown setting; the ones here are: %s", known->str);
}

/* A mapping's key: finds the schema of the value that follows. */
static void take_key(struct scan *s, struct frame *f, const char *key)
{
	const cyaml_schema_field_t *field;
	uint32_t bit = 0;

	f->key_next = false;
	f->value = NULL;
	if (s->path->len)
		g_string_append_c(s->path, '.');
	g_string_append(s->path, key);
	if (!f->schema)
		return;
	for (field = f->schema->mapping.fields; field->key; field++, bit++) {
		if (!strcmp(field->key, key))
			break;
	}
	if (!field->key) {
		report_unknown(s, f);
		return;
	}
	if (f->seen & (1ULL << bit))
		report(s, "the setting is there twice; keep one");
	f->seen |= 1ULL << bit;
	f->value = &field->value;
}

/* Before a value: makes the path point at it and returns its schema. */
static const cyaml_schema_value_t *value_begins(struct scan *s)
{
	struct frame *f;

	if (!s->depth)
		return s->root;
	f = &s->frames[s->depth - 1];
	if (f->mapping)
		return f->value;
	g_string_append_printf(s->path, "[%u]", f->index);
	if (!f->schema)
		return NULL;
	if (f->index == f->schema->sequence.max) {
		report(s, "the list has more than %u entries",
		       f->schema->sequence.max);
		s->stop = true;
	}
	return f->schema->sequence.entry;
}

/* After a value: the path points at the list or mapping again. */
static void value_ends(struct scan *s)
{
	struct frame *f;

	if (!s->depth)
		return;
	f = &s->frames[s->depth - 1];
	g_string_truncate(s->path, f->path_length);
	f->key_next = f->mapping;
	f->index++;
}

static const char *shape_name(enum cyaml_type type)
{
	if (type == CYAML_MAPPING)
		return "a mapping of settings";
	return type == CYAML_SEQUENCE ? "a list" : "one value";
}

/* Whether a value has the shape of its schema; if not, it is reported. */
static bool right_shape(struct scan *s, const cyaml_schema_value_t *schema,
			enum cyaml_type type)
{
	if (!schema || schema->type == type)
		return true;
	report(s, "%s is needed here, not %s", shape_name(schema->type),
	       shape_name(type));
	return false;
}

static void take_scalar(struct scan *s, const yaml_event_t *event)
{
	const char *text = (const char *)event->data.scalar.value;
	struct frame *f = s->depth ? &s->frames[s->depth - 1] : NULL;
	const cyaml_schema_value_t *schema;

	if (strlen(text) != event->data.scalar.length)
		report(s, "a NUL character is not allowed");
	if (f && f->mapping && f->key_next) {
		take_key(s, f, text);
		note_line(s);
		return;
	}
	schema = value_begins(s);
	note_line(s);
	right_shape(s, schema, CYAML_STRING);
	value_ends(s);
}

static void take_open(struct scan *s, bool mapping)
{
	struct frame *f = s->depth ? &s->frames[s->depth - 1] : NULL;
	const cyaml_schema_value_t *schema;

	if (f && f->mapping && f->key_next) {
		report(s, "a setting's name must be plain text");
		s->stop = true;
		return;
	}
	schema = value_begins(s);
	note_line(s);
	if (!right_shape(s, schema, mapping ? CYAML_MAPPING : CYAML_SEQUENCE))
		schema = NULL;
	if (s->depth == CFG_SCAN_DEPTH) {
		report(s, "nested more than %d deep", CFG_SCAN_DEPTH);
		s->stop = true;
		return;
	}
	s->frames[s->depth++] = (struct frame){
		.schema = schema,
		.mapping = mapping,
		.key_next = mapping,
		.path_length = s->path->len,
	};
}

static void take_close(struct scan *s)
{
	const struct frame *f = &s->frames[--s->depth];

	if (!f->mapping && f->schema && f->index < f->schema->sequence.min)
		report(s, "the list is empty; name at least %u",
		       f->schema->sequence.min);
	value_ends(s);
}

static void check_anchor(struct scan *s, const yaml_char_t *anchor,
			 const yaml_char_t *tag)
{
	if (anchor)
		report(s, "anchors are not taken; write the value out");
	if (tag)
		report(s, "tags are not taken; write the plain value");
}

static void take_event(struct scan *s, const yaml_event_t *event)
{
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (s->documents++) {
			report(s, "a second document; one text is one "
				  "document");
			s->stop = true;
		}
		break;
	case YAML_ALIAS_EVENT:
		report(s, "aliases are not taken; write the value out");
		s->stop = true;
		break;
	case YAML_SCALAR_EVENT:
		check_anchor(s, event->data.scalar.anchor,
			     event->data.scalar.tag);
		take_scalar(s, event);
		break;
	case YAML_SEQUENCE_START_EVENT:
		check_anchor(s, event->data.sequence_start.anchor,
			     event->data.sequence_start.tag);
		take_open(s, false);
		break;
	case YAML_MAPPING_START_EVENT:
		check_anchor(s, event->data.mapping_start.anchor,
			     event->data.mapping_start.tag);
		take_open(s, true);
		break;
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		take_close(s);
		break;
	default:
		break;
	}
}

/* The line of a byte; the parser has no mark for bytes it cannot read. */
static int line_of(const char *text, size_t size, size_t offset)
{
	int line = 1;

	for (size_t i = 0; i < offset && i < size; i++)
		line += text[i] == '\n';
	return line;
}

static void report_parser(struct scan *s, const yaml_parser_t *parser,
			  const char *text, size_t size)
{
	if (parser->error == YAML_READER_ERROR)
		s->line = line_of(text, size, parser->problem_offset);
	else
		s->line = (int)parser->problem_mark.line + 1;
	g_string_truncate(s->path, 0);
	report(s, "not valid YAML: %s%s%s",
	       parser->problem ? parser->problem : "out of memory",
	       parser->context ? ", " : "",
	       parser->context ? parser->context : "");
	s->stop = true;
}

static void run(struct scan *s, const char *text, size_t size)
{
	yaml_parser_t parser;
	yaml_event_t event;
	bool ended = false;

	yaml_parser_initialize(&parser);
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(&parser, (const yaml_char_t *)text, size);
	while (!ended && !s->stop) {
		if (!yaml_parser_parse(&parser, &event)) {
			report_parser(s, &parser, text, size);
			break;
		}
		s->line = (int)event.start_mark.line + 1;
		ended = event.type == YAML_STREAM_END_EVENT;
		take_event(s, &event);
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
}

int cfg_scan(const char *text, size_t size, const cyaml_schema_value_t *schema,
	     GPtrArray *problems, GHashTable *lines)
{
	guint before = problems->len;
	struct scan s = {
		.r.problems = problems,
		.lines = lines,
		.path = g_string_new(NULL),
		.root = schema,
	};

	run(&s, text, size);
	g_string_free(s.path, TRUE);
	if (problems->len == before)
		return 0;
	return problems->len - before == s.unknown ? FS_E_CONFIG :
						     FS_E_PROTOCOL;
}

/* Cuts the last part off a path. @return false if none is left */
static bool path_up(char *path)
{
	char *dot = strrchr(path, '.');
	char *bracket = strrchr(path, '[');
	char *cut = dot > bracket ? dot : bracket;

	if (!cut)
		return false;
	*cut = '\0';
	return true;
}

static void want_lines(GHashTable *lines, const char *path)
{
	g_autofree char *up = g_strdup(path);

	do {
		g_hash_table_insert(lines, g_strdup(up), NULL);
	} while (path_up(up));
}

static int find_line(GHashTable *lines, const char *path)
{
	g_autofree char *up = g_strdup(path);
	int line;

	do {
		line = GPOINTER_TO_INT(g_hash_table_lookup(lines, up));
	} while (!line && path_up(up));
	return line;
}

static gint by_line(gconstpointer a, gconstpointer b)
{
	const struct cfg_problem *const *x = a;
	const struct cfg_problem *const *y = b;

	return (*x)->line - (*y)->line;
}

void cfg_scan_lines(const char *text, size_t size,
		    const cyaml_schema_value_t *schema, GPtrArray *problems)
{
	g_autoptr(GPtrArray) ignored = cfg_problems_new();
	g_autoptr(GHashTable) lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		want_lines(lines, p->path);
	}
	cfg_scan(text, size, schema, ignored, lines);
	for (guint i = 0; i < problems->len; i++) {
		struct cfg_problem *p = g_ptr_array_index(problems, i);

		if (!p->line)
			p->line = find_line(lines, p->path);
	}
	g_ptr_array_sort(problems, by_line);
}
