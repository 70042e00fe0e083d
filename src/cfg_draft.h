/**
 * @file cfg_draft.h
 * @brief Builds a configuration table by table, for adapters.
 *
 * A platform may hold routes and services in a form of its own, and tell of
 * the servers elsewhere (dir.h). An adapter decodes that form into a draft;
 * the draft checks what belongs together and becomes a struct cfg like that of
 * an operators' text. Services are added before the routes that name them.
 */
#ifndef CFG_DRAFT_H
#define CFG_DRAFT_H

#include "cfg.h"

struct cfg_draft;

/** Begins a draft. @param text  what it is decoded from, kept to be shown */
struct cfg_draft *cfg_draft_new(const char *text, uint64_t version);
void cfg_draft_free(struct cfg_draft *draft);

/** Sets what callers may send. */
void cfg_draft_limits(struct cfg_draft *draft, const struct cfg_limits *limits);

/**
 * Adds a service; its texts are copied.
 * @return its handle, or FS_NONE if the name is empty, too long or known
 */
handle cfg_draft_service(struct cfg_draft *draft,
			 const struct cfg_service *service);

/** Returns the handle of a service that was added, or FS_NONE. */
handle cfg_draft_find(const struct cfg_draft *draft, const char *name);

/**
 * Adds a route; its texts and shares are copied.
 * @return 0, or FS_E_CONFIG if it has no name, no path, the name of another
 *         route, or no service
 */
int cfg_draft_route(struct cfg_draft *draft, const struct cfg_route *route);

/** Ends the draft, which is freed, and gives the configuration. */
struct cfg *cfg_draft_end(struct cfg_draft *draft);

#endif
