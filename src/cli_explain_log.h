/**
 * @file cli_explain_log.h
 * @brief Tells from a log file of gateways what became of a request.
 *
 * Gives the line of the request in plain words, and what its node believed of
 * each target then: the last lines on them before it.
 */
#ifndef CLI_EXPLAIN_LOG_H
#define CLI_EXPLAIN_LOG_H

#include <glib.h>

/**
 * Reads a log, JSON lines of any number of nodes.
 * @param path     file name
 * @param request  the caller's request id
 * @param out      the explanation is appended
 * @return how many lines concern the request, or FS_E_NOT_FOUND if the file
 *         can't be read
 */
int cli_explain_log(const char *path, const char *request, GString *out);

#endif
