/**
 * @file fleet_plf.h
 * @brief Entries of the platform's store, for tests of the adapter.
 */
#ifndef FLEET_PLF_H
#define FLEET_PLF_H

#include "plf_decode.h"

/** Decodes a server's entry under a key, as it stands at revision 9. */
bool entry_decode(const char *key, const char *text, size_t size,
		  struct dir_entry *out);

#endif
