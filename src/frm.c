#include "frm.h"

#include <string.h>

#include "fs_err.h"

void frm_reader_init(struct frm_reader *reader)
{
	memset(reader, 0, sizeof(*reader));
	reader->bytes = g_byte_array_new();
}

void frm_reader_clear(struct frm_reader *reader)
{
	g_clear_pointer(&reader->bytes, g_byte_array_unref);
}

void frm_push(struct frm_reader *reader, const void *data, size_t size)
{
	if (reader->offset == reader->bytes->len)
		g_byte_array_set_size(reader->bytes, 0);
	else if (reader->offset)
		g_byte_array_remove_range(reader->bytes, 0,
					  (guint)reader->offset);
	reader->offset = 0;
	g_byte_array_append(reader->bytes, data, (guint)size);
}

int frm_next(struct frm_reader *reader, const uint8_t **data, size_t *size)
{
	const uint8_t *p = reader->bytes->data + reader->offset;
	size_t available = reader->bytes->len - reader->offset;
	uint32_t length;

	if (reader->failed)
		return FS_E_PROTOCOL;
	if (available < FRM_HEADER_SIZE)
		return 0;
	memcpy(&length, p, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length == 0 || length > FS_FRAME_MAX) {
		reader->failed = true;
		return FS_E_PROTOCOL;
	}
	if (available < FRM_HEADER_SIZE + (size_t)length)
		return 0;
	*data = p + FRM_HEADER_SIZE;
	*size = length;
	reader->offset += FRM_HEADER_SIZE + (size_t)length;
	return 1;
}

size_t frm_begin(GByteArray *out)
{
	static const uint8_t empty[FRM_HEADER_SIZE];
	size_t start = out->len;

	g_byte_array_append(out, empty, sizeof(empty));
	return start;
}

int frm_end(GByteArray *out, size_t start)
{
	size_t size = out->len - start - FRM_HEADER_SIZE;
	uint32_t length = GUINT32_TO_BE((uint32_t)size);

	if (size == 0 || size > FS_FRAME_MAX)
		return FS_E_INVALID;
	memcpy(out->data + start, &length, sizeof(length));
	return 0;
}
