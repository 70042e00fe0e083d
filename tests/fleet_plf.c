#include "fleet_plf.h"

bool entry_decode(const char *key, const char *text, size_t size,
		  struct dir_entry *out)
{
	struct kvs_item item = {
		.key = key,
		.value = text,
		.size = size,
		.rev = 9,
	};

	return plf_decode_target(&item, out);
}
