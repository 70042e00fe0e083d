#include "tgt_chunks.h"

#include <glib.h>

#define DIGITS_MAX 16 /* as many as libcurl reads */

/* Behind the digits: spaces, an extension, or the end of the line. */
static enum tgt_chunks_part part_after_size(char byte)
{
	switch (byte) {
	case ' ':
	case '\t':
		return TGT_CHUNKS_SPACE;
	case ';':
		return TGT_CHUNKS_EXTENSION;
	case '\r':
		return TGT_CHUNKS_SIZE_END;
	default:
		return TGT_CHUNKS_MALFORMED;
	}
}

static enum tgt_chunks_part end_size(struct tgt_chunks *chunks)
{
	bool is_last = !chunks->left;

	if (!chunks->digits)
		return TGT_CHUNKS_MALFORMED;
	chunks->digits = 0;
	return is_last ? TGT_CHUNKS_TRAILER_START : TGT_CHUNKS_DATA;
}

static enum tgt_chunks_part read_size(struct tgt_chunks *chunks, char byte)
{
	if (byte == '\n')
		return end_size(chunks);
	if (!g_ascii_isxdigit(byte))
		return chunks->digits ? part_after_size(byte) :
					TGT_CHUNKS_MALFORMED;
	if (chunks->digits++ == DIGITS_MAX)
		return TGT_CHUNKS_MALFORMED;
	chunks->left = chunks->left * 16 + (uint64_t)g_ascii_xdigit_value(byte);
	return TGT_CHUNKS_SIZE;
}

static enum tgt_chunks_part read_byte(struct tgt_chunks *chunks, char byte)
{
	bool is_line_end = byte == '\n';

	switch (chunks->part) {
	case TGT_CHUNKS_SIZE:
		return read_size(chunks, byte);
	case TGT_CHUNKS_SPACE:
		return is_line_end ? end_size(chunks) : part_after_size(byte);
	case TGT_CHUNKS_EXTENSION:
		return is_line_end ? end_size(chunks) : TGT_CHUNKS_EXTENSION;
	case TGT_CHUNKS_SIZE_END:
		return is_line_end ? end_size(chunks) : TGT_CHUNKS_MALFORMED;
	case TGT_CHUNKS_DATA_END:
		return is_line_end  ? TGT_CHUNKS_SIZE :
		       byte == '\r' ? TGT_CHUNKS_DATA_END :
				      TGT_CHUNKS_MALFORMED;
	case TGT_CHUNKS_TRAILER_START:
		return is_line_end  ? TGT_CHUNKS_ENDED :
		       byte == '\r' ? TGT_CHUNKS_TRAILER_END :
				      TGT_CHUNKS_TRAILER;
	case TGT_CHUNKS_TRAILER:
		return is_line_end ? TGT_CHUNKS_TRAILER_START :
				     TGT_CHUNKS_TRAILER;
	case TGT_CHUNKS_TRAILER_END:
		return is_line_end ? TGT_CHUNKS_ENDED : TGT_CHUNKS_MALFORMED;
	default:
		return TGT_CHUNKS_MALFORMED;
	}
}

/* Takes bytes of a chunk's data. */
static size_t take_data(struct tgt_chunks *chunks, size_t size)
{
	size_t n = (size_t)MIN(chunks->left, (uint64_t)size);

	chunks->left -= n;
	if (!chunks->left)
		chunks->part = TGT_CHUNKS_DATA_END;
	return n;
}

size_t tgt_chunks_read(struct tgt_chunks *chunks, const char *data, size_t size)
{
	size_t at = 0;

	while (at < size && chunks->part != TGT_CHUNKS_ENDED &&
	       chunks->part != TGT_CHUNKS_MALFORMED) {
		if (chunks->part == TGT_CHUNKS_DATA) {
			at += take_data(chunks, size - at);
			continue;
		}
		chunks->part = read_byte(chunks, data[at]);
		if (chunks->part != TGT_CHUNKS_MALFORMED)
			at++;
	}
	return at;
}
