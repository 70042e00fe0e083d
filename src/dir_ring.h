/**
 * @file dir_ring.h
 * @brief Order of a service's targets that is the same on all nodes.
 */
#ifndef DIR_RING_H
#define DIR_RING_H

#include "dir.h"

/** Adds a target to those of its service, which are sorted by hash. */
void dir_ring_add(GPtrArray *ring, struct dir_target *target);

#endif
