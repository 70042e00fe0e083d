/**
 * @file cfg_build.h
 * @brief Turns the raw structs of a text into the tables of cfg.h.
 *
 * Internal to the cfg module. All parts of a text are gone through, also after
 * a problem, so that one run finds as much as possible.
 */
#ifndef CFG_BUILD_H
#define CFG_BUILD_H

#include "cfg_raw.h"
#include "cfg_read.h"

/** State of one load. */
struct cfg_build {
	const struct cfg_raw *raw;
	struct cfg *cfg;
	struct cfg_reader r;
	GHashTable *domains;   /* name to handle + 1 */
	GHashTable *addresses; /* of servers, to server handle + 1 */
	uint32_t server_room;  /* servers the table has room for */
};

/** Adds a name to an index. @return false if it was there */
bool cfg_build_index(GHashTable *index, const char *name, handle h);

/** Looks a name up in an index. @return the handle or FS_NONE */
handle cfg_build_find(GHashTable *index, const char *name);

/** Keeps a copy of a text with the configuration. */
char *cfg_build_keep(struct cfg_build *b, const char *text);

void cfg_build_domains(struct cfg_build *b);
void cfg_build_services(struct cfg_build *b);
void cfg_build_servers(struct cfg_build *b, handle service);
void cfg_build_dependencies(struct cfg_build *b);
void cfg_build_routes(struct cfg_build *b);

#endif
