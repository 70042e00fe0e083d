#include "dlv.h"

void dlv_begin(struct dlv *dlv, size_t unconfirmed, int64_t now_us)
{
	dlv->unconfirmed = unconfirmed;
	dlv->progress_us = now_us;
}

enum dlv_state dlv_update(struct dlv *dlv, size_t unconfirmed, int64_t stall_us,
			  int64_t now_us)
{
	size_t before = dlv->unconfirmed;

	dlv->unconfirmed = unconfirmed;
	/* More was written: what was confirmed meanwhile can't be told. */
	if (unconfirmed != before)
		dlv->progress_us = now_us;
	if (!unconfirmed)
		return DLV_CONFIRMED;
	if (unconfirmed < before)
		return DLV_MOVING;
	return now_us - dlv->progress_us < stall_us ? DLV_WAITING : DLV_STALLED;
}
