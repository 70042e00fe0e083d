/**
 * @file cnf_store.h
 * @brief The configuration in force on one node, and validation of new ones.
 *
 * Configurations arrive from the platform and from peers, in any order, with
 * repeats. One is accepted only if its version is higher than that in force and
 * it passes all checks, so that versions are monotonic. A rejected one leaves
 * the old one in force. The functions do no I/O and depend on no clock.
 */
#ifndef CNF_STORE_H
#define CNF_STORE_H

#include "aud.h"
#include "cfg.h"

/** Configuration state of a node. */
struct cnf_store {
	struct cfg *cfg;	   /* in force, or NULL */
	uint64_t rejected_version; /* last rejected version, or 0 */
	char *problem;		   /* reason of the rejection, or NULL */
};

/** The value under the key "config" of the platform. */
struct cnf_value {
	uint64_t version;
	char *text;
};

void cnf_store_clear(struct cnf_store *store);

/** Returns the version in force, 0 if there is none. */
uint64_t cnf_store_version(const struct cnf_store *store);

/** Returns whether @p version is newer than that in force and not rejected. */
bool cnf_store_should_fetch(const struct cnf_store *store, uint64_t version);

/**
 * Decides on one version; the audit replays this decision.
 * @param problems  number of findings; 0 if the text was not checked
 * @return AUD_R_CONFIG_TAKEN, AUD_R_CONFIG_OLD or AUD_R_CONFIG_BAD
 */
enum aud_rule cnf_decide(uint64_t version, uint64_t known, uint64_t problems);

/**
 * Accepts or rejects a configuration.
 * @param problems  out: number of findings in the text
 * @return the rule that was applied
 */
enum aud_rule cnf_store_offer(struct cnf_store *store, uint64_t version,
			      const char *text, uint64_t *problems);

/**
 * Parses {"version":n,"change_id":"...","by":"...","text":"..."}.
 * @param out  out: the caller frees its text
 * @return 0 or FS_E_PROTOCOL
 */
int cnf_value_parse(const char *json, struct cnf_value *out);

#endif
