#include "tgt_body.h"

#include <string.h>

/* Bodies that come in small parts would need a block for each of them. */
#define BLOCK_BYTES_MIN 1024

struct tgt_block {
	size_t room;
	size_t from; /* of the bytes that were not taken yet */
	size_t to;
	char data[];
};

static struct tgt_block *block_new(size_t size)
{
	size_t room = MAX(size, BLOCK_BYTES_MIN);
	struct tgt_block *block = g_malloc(sizeof(*block) + room);

	block->room = room;
	block->from = block->to = 0;
	return block;
}

void tgt_body_append(struct tgt_body *body, const char *data, size_t size)
{
	struct tgt_block *last = g_queue_peek_tail(&body->blocks);

	body->bytes += size;
	while (size) {
		size_t n = last ? MIN(size, last->room - last->to) : 0;

		if (n) {
			memcpy(last->data + last->to, data, n);
			last->to += n;
		} else {
			last = block_new(size);
			g_queue_push_tail(&body->blocks, last);
		}
		data += n;
		size -= n;
	}
}

size_t tgt_body_take(struct tgt_body *body, char *out, size_t max)
{
	size_t taken = 0;

	while (taken < max && body->bytes) {
		struct tgt_block *first = g_queue_peek_head(&body->blocks);
		size_t n = MIN(max - taken, first->to - first->from);

		memcpy(out + taken, first->data + first->from, n);
		first->from += n;
		taken += n;
		body->bytes -= n;
		if (first->from == first->to)
			g_free(g_queue_pop_head(&body->blocks));
	}
	return taken;
}

void tgt_body_clear(struct tgt_body *body)
{
	g_queue_clear_full(&body->blocks, g_free);
	body->bytes = 0;
}
