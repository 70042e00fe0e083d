/**
 * @file fleet_kvs.h
 * @brief A key-value service inside a test, behind the interface of kvs.h.
 *
 * Calls are answered when the test says so with shelf_answer(), so that it
 * chooses what happens between a call and its answer. The service pages, drops
 * its history, refuses, and is restored from a copy.
 */
#ifndef FLEET_KVS_H
#define FLEET_KVS_H

#include <glib.h>

#include "kvs.h"

struct shelf {
	GHashTable *items;  /* key to struct shelf_item */
	GPtrArray *history; /* struct shelf_item, one a change */
	GPtrArray *calls;   /* struct shelf_call, waiting */
	uint64_t rev;
	uint64_t era;	    /* rises with each restoration */
	uint64_t wrong_era; /* the next answer alone states it; 0: none */
	uint64_t oldest;    /* history before it is dropped */
	uint64_t count;	    /* of calls */
	uint32_t page;	    /* items in one */
	int refuse;	    /* error of every call, or 0 */
};

void shelf_begin(struct shelf *shelf);
void shelf_end(struct shelf *shelf);

/** Returns it as a store. */
struct kvs shelf_kvs(struct shelf *shelf);

/** Changes a key; NULL removes it. */
void shelf_put(struct shelf *shelf, const char *key, const char *value);

/** Returns whether a key exists. */
bool shelf_has(const struct shelf *shelf, const char *key);

/** Forgets all history so far. */
void shelf_compact(struct shelf *shelf);

/** Returns to the state at revision @p rev, as if from a copy of then. */
void shelf_restore(struct shelf *shelf, uint64_t rev);

/** Answers all calls that wait; a watch without news is answered empty. */
void shelf_answer(struct shelf *shelf);

#endif
