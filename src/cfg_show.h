/**
 * @file cfg_show.h
 * @brief A configuration as operators may see it: without its keys.
 *
 * In the place of a key stands a fingerprint, so that a changed key shows. It has 32
 * bits: enough to tell two keys apart, too few to stand for one.
 */
#ifndef CFG_SHOW_H
#define CFG_SHOW_H

#include "cfg.h"

/** Returns the fingerprint of a key. */
uint32_t cfg_show_key(const char *key);

/** Returns the text of a configuration with fingerprints for keys, to be freed. A
 *  text with keys is JSON. */
char *cfg_show_text(const struct cfg *cfg);

#endif
