/**
 * @file cfg_kinds.h
 * @brief The kinds of objects in a configuration, with their settings as text.
 */
#ifndef CFG_KINDS_H
#define CFG_KINDS_H

#include "cfg.h"

#define CFG_SETTINGS_MAX 20
#define CFG_KIND_COUNT 6

/** The settings of one object as text, in a fixed order. */
struct cfg_object {
	const char *settings[CFG_SETTINGS_MAX];
	char *values[CFG_SETTINGS_MAX];
	uint32_t count;
};

/** A kind of object: how many, their names, and what is in one. */
struct cfg_kind {
	const char *name;
	uint32_t (*count)(const struct cfg *cfg);
	const char *(*name_of)(const struct cfg *cfg, handle h);
	handle (*find)(const struct cfg *cfg, const char *name);
	void (*describe)(const struct cfg *cfg, handle h, struct cfg_object *o);
};

/** Deployment, failure domain, service, server, route, organisation. */
extern const struct cfg_kind cfg_kinds[CFG_KIND_COUNT];

/** Frees the values of an object. */
void cfg_object_clear(struct cfg_object *o);

#endif
