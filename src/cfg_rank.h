/**
 * @file cfg_rank.h
 * @brief Which services get requests of more than one rank.
 *
 * Only for these ranks are counted, sent to other nodes and decided by.
 */
#ifndef CFG_RANK_H
#define CFG_RANK_H

#include "cfg.h"

/** Sets cfg_service.ranked of all services of a complete configuration. */
void cfg_rank_services(struct cfg *cfg);

#endif
