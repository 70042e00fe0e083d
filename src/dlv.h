/**
 * @file dlv.h
 * @brief Delivery of what was written to a caller's connection. Pure.
 *
 * An answer in the kernel's send buffer is not delivered yet: it is lost if the
 * connection is reset. Only bytes that the caller's side has confirmed are safe.
 */
#ifndef DLV_H
#define DLV_H

#include <stddef.h>
#include <stdint.h>

/** What a connection has written and its caller has not confirmed. */
struct dlv {
	size_t unconfirmed;  /* bytes */
	int64_t progress_us; /* when that last changed */
};

enum dlv_state {
	DLV_WAITING,   /* no progress was seen since the last update */
	DLV_MOVING,    /* the caller is reading */
	DLV_CONFIRMED, /* nothing is left */
	DLV_STALLED,   /* nothing has changed for too long */
};

/** Begins with bytes that were just written. */
void dlv_begin(struct dlv *dlv, size_t unconfirmed, int64_t now_us);

/**
 * Takes in how many bytes are unconfirmed now; more may have been written.
 * @param stall_us  without a change for so long, a delivery has stalled
 */
enum dlv_state dlv_update(struct dlv *dlv, size_t unconfirmed, int64_t stall_us,
			  int64_t now_us);

#endif
