#include "tgt_late.h"

bool tgt_late_postpones(struct tgt_late *late, int64_t bytes_read)
{
	if (late->turns == TGT_LATE_TURNS_MAX ||
	    (late->turns && late->bytes_read == bytes_read)) {
		late->turns = 0;
		return false;
	}
	late->turns++;
	late->bytes_read = bytes_read;
	return true;
}
