/**
 * @file brn.h
 * @brief Per service and minute: answers that met the objective, and not.
 *
 * The entry task notes every answer or refusal once. The counts of the last
 * six hours are kept per minute, so that burn rates over short and long
 * windows can be told without storage.
 */
#ifndef BRN_H
#define BRN_H

#include "fs_types.h"

struct brn;

struct brn *brn_new(void);
void brn_free(struct brn *brn);

/**
 * Notes the end of one request.
 * @param service  name
 * @param good     whole answer, no server error, within the objective's time
 * @param cause    NULL if good; else "slow", "server_error" or the stable word
 *                 of an error kind
 * @param server   the target that answered last, or NULL
 * @param retried  more than one target was tried
 */
void brn_note(struct brn *brn, const char *service, bool good,
	      const char *cause, const char *server, bool retried,
	      int64_t now_us);

/** Appends all services with their windows and causes as a JSON object. */
void brn_json(const struct brn *brn, GString *out, int64_t now_us);

#endif
