/**
 * @file rte.h
 * @brief Finds the route of a request. Pure.
 *
 * A host is compared without its port and without regard to case; an exact
 * host takes precedence over "*". Within a host the longest path prefix wins,
 * compared at "/" boundaries: "/pay" matches "/pay" and "/pay/1", not
 * "/payslips".
 */
#ifndef RTE_H
#define RTE_H

#include "cfg.h"

/** Returns the bit of a method name, or 0 if no route can have it. */
uint32_t rte_method(const char *method);

/** Returns whether @p prefix matches @p path at a "/" boundary. */
bool rte_path_match(const char *prefix, const char *path);

/**
 * Finds the route of a request.
 * @param host    value of the Host field, with or without a port
 * @param path    path without query, in the spelling of the prefixes
 * @param method  bit of enum cfg_method
 * @param route   out: handle of the route
 * @return 0, FS_E_NO_ROUTE, or FS_E_METHOD if only other methods match
 */
int rte_find(const struct cfg *cfg, const char *host, const char *path,
	     uint32_t method, handle *route);

/**
 * Returns the service of a request. Routes with shares draw it by their weights, which
 * hold on average.
 * @param random  evenly distributed over all values
 */
handle rte_draw_service(const struct cfg_route *route, uint64_t random);

#endif
