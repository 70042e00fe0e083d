#include "fs_json.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* Longer ones are no numbers of any use, such as 1 with a million zeros. */
#define NUMBER_BYTES_MAX 64

/** A tree under construction. */
struct builder {
	JsonNode *open[FS_JSON_DEPTH_MAX]; /* arrays and objects; [0] is owned */
	char *member[FS_JSON_DEPTH_MAX];   /* of an open object, or NULL */
	uint32_t depth;
	uint32_t members_max; /* of an object */
	JsonNode *root;
};

/* Adds a value, which the tree then owns. */
static void add(struct builder *b, JsonNode *node)
{
	JsonNode *parent = b->depth ? b->open[b->depth - 1] : NULL;

	if (!parent)
		b->root = node;
	else if (JSON_NODE_HOLDS_ARRAY(parent))
		json_array_add_element(json_node_get_array(parent), node);
	else
		json_object_set_member(json_node_get_object(parent),
				       b->member[b->depth - 1], node);
}

/* Returns 0, which stops the parser, if the text is too deep. */
static int open_node(struct builder *b, JsonNode *node)
{
	if (b->depth == FS_JSON_DEPTH_MAX) {
		json_node_unref(node);
		return 0;
	}
	add(b, node);
	b->open[b->depth++] = node;
	return 1;
}

static int close_node(void *arg)
{
	struct builder *b = arg;

	b->depth--;
	g_clear_pointer(&b->member[b->depth], g_free);
	return 1;
}

static int on_null(void *arg)
{
	add(arg, json_node_init_null(json_node_alloc()));
	return 1;
}

static int on_boolean(void *arg, int value)
{
	add(arg, json_node_init_boolean(json_node_alloc(), value != 0));
	return 1;
}

/* Whole numbers that fit 64 bits are integers, the others doubles. */
static int on_number(void *arg, const char *text, size_t size)
{
	char copy[NUMBER_BYTES_MAX + 1];
	JsonNode *node;
	gint64 whole;

	if (size > NUMBER_BYTES_MAX)
		return 0;
	memcpy(copy, text, size);
	copy[size] = '\0';
	node = json_node_alloc();
	if (!strpbrk(copy, ".eE") &&
	    g_ascii_string_to_signed(copy, 10, G_MININT64, G_MAXINT64, &whole,
				     NULL))
		json_node_init_int(node, whole);
	else
		json_node_init_double(node, g_ascii_strtod(copy, NULL));
	add(arg, node);
	return 1;
}

/* Copies a text. A NUL in it must neither cut it nor refuse the whole, which may be a
 * page of entries: U+FFFD takes its place. */
static char *copy_text(const unsigned char *text, size_t size)
{
	if (memchr(text, '\0', size))
		return g_utf8_make_valid((const char *)text, (gssize)size);
	return g_strndup((const char *)text, size);
}

static int on_string(void *arg, const unsigned char *text, size_t size)
{
	g_autofree char *copy = copy_text(text, size);

	add(arg, json_node_init_string(json_node_alloc(), copy));
	return 1;
}

static int on_member(void *arg, const unsigned char *text, size_t size)
{
	struct builder *b = arg;
	JsonObject *object = json_node_get_object(b->open[b->depth - 1]);
	char **member = &b->member[b->depth - 1];

	g_free(*member);
	*member = copy_text(text, size);
	return !json_object_has_member(object, *member) &&
	       json_object_get_size(object) < b->members_max;
}

static int on_object(void *arg)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, json_object_new());
	return open_node(arg, node);
}

static int on_array(void *arg)
{
	JsonNode *node = json_node_new(JSON_NODE_ARRAY);

	json_node_take_array(node, json_array_new());
	return open_node(arg, node);
}

static const yajl_callbacks callbacks = {
	.yajl_null = on_null,
	.yajl_boolean = on_boolean,
	.yajl_number = on_number,
	.yajl_string = on_string,
	.yajl_start_map = on_object,
	.yajl_map_key = on_member,
	.yajl_end_map = close_node,
	.yajl_start_array = on_array,
	.yajl_end_array = close_node,
};

static JsonNode *parse(const char *text, gssize size, uint32_t members_max)
{
	size_t length = size < 0 ? strlen(text) : (size_t)size;
	struct builder b = {.members_max = members_max};
	yajl_handle parser = yajl_alloc(&callbacks, NULL, &b);
	bool ok = yajl_parse(parser, (const unsigned char *)text, length) ==
			  yajl_status_ok &&
		  yajl_complete_parse(parser) == yajl_status_ok;

	yajl_free(parser);
	for (uint32_t i = 0; i < FS_JSON_DEPTH_MAX; i++)
		g_free(b.member[i]);
	if (!ok)
		g_clear_pointer(&b.root, json_node_unref);
	return b.root;
}

JsonNode *fs_json_parse(const char *text, gssize size)
{
	return parse(text, size, FS_JSON_MEMBERS_MAX);
}

JsonNode *fs_json_parse_report(const char *text, gssize size)
{
	return parse(text, size, FS_JSON_REPORT_MEMBERS_MAX);
}

JsonObject *fs_json_parse_object(const char *text, gssize size)
{
	g_autoptr(JsonNode) root = fs_json_parse(text, size);

	return root && JSON_NODE_HOLDS_OBJECT(root) ?
		       json_node_dup_object(root) :
		       NULL;
}
