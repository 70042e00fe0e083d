#include "msg_codec.h"

/** Input and read position of a scan. */
struct scan {
	const uint8_t *data;
	size_t size;
	size_t at;
};

/* Reads a big-endian number of 1, 2 or 4 bytes. */
static bool scan_number(struct scan *s, size_t bytes, uint64_t *out)
{
	if (s->size - s->at < bytes)
		return false;
	*out = 0;
	while (bytes--)
		*out = *out << 8 | s->data[s->at++];
	return true;
}

static bool scan_skip(struct scan *s, uint64_t bytes)
{
	if (bytes > s->size - s->at)
		return false;
	s->at += bytes;
	return true;
}

static bool scan_sized(struct scan *s, size_t width)
{
	uint64_t bytes;

	return scan_number(s, width, &bytes) && scan_skip(s, bytes);
}

static bool scan_object(struct scan *s, int depth);

static bool scan_array(struct scan *s, uint64_t count, int depth)
{
	if (depth >= MSG_DEPTH_MAX || count > s->size - s->at)
		return false;
	while (count--) {
		if (!scan_object(s, depth + 1))
			return false;
	}
	return true;
}

/* Skips a fixed-width number: tags 0xca to 0xd3 are floats, unsigned integers,
 * then signed integers. */
static bool scan_fixed(struct scan *s, uint8_t tag)
{
	static const uint8_t widths[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};

	return scan_skip(s, widths[tag - 0xca]);
}

/* Payloads use no maps or extension types, so these are rejected. */
static bool scan_object(struct scan *s, int depth)
{
	uint64_t count;
	uint8_t tag;

	if (s->at >= s->size)
		return false;
	tag = s->data[s->at++];
	if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 ||
	    tag == 0xc3)
		return true;
	if (tag >= 0xa0 && tag <= 0xbf)
		return scan_skip(s, tag & 0x1f);
	if (tag >= 0x90 && tag <= 0x9f)
		return scan_array(s, tag & 0x0f, depth);
	if (tag >= 0xc4 && tag <= 0xc6)
		return scan_sized(s, (size_t)1 << (tag - 0xc4));
	if (tag >= 0xd9 && tag <= 0xdb)
		return scan_sized(s, (size_t)1 << (tag - 0xd9));
	if (tag >= 0xca && tag <= 0xd3)
		return scan_fixed(s, tag);
	if (tag == 0xdc || tag == 0xdd)
		return scan_number(s, tag == 0xdc ? 2 : 4, &count) &&
		       scan_array(s, count, depth);
	return false;
}

bool msg_scan(const uint8_t *data, size_t size)
{
	struct scan s = {.data = data, .size = size};

	return scan_object(&s, 0) && s.at == size;
}
