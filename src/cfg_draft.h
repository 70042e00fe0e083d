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

/** Makes all routes but anonymous ones need a key, also if none is added. */
void cfg_draft_need_keys(struct cfg_draft *draft);

/**
 * Adds an organisation; its texts are copied. Its keys are added one by one.
 * @return its handle, or FS_NONE if the name is empty, too long or known, or can't
 *         be a header field's value, the rate or burst is negative or infinite, or
 *         there are too many
 */
handle cfg_draft_organisation(struct cfg_draft *draft,
			      const struct cfg_organisation *organisation);

/**
 * Adds a key of an organisation that was added.
 * @return 0, FS_E_CONFLICT if another organisation has it, or FS_E_CONFIG if it is
 *         empty, too long, has other characters than a header field's value can
 *         hold, or there are too many
 */
int cfg_draft_key(struct cfg_draft *draft, handle organisation,
		  const char *key);

/** Ends the draft, which is freed, and gives the configuration. */
struct cfg *cfg_draft_end(struct cfg_draft *draft);

#endif
