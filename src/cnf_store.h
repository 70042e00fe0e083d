/**
 * @file cnf_store.h
 * @brief The configuration in force on one node, and whether to take another.
 *
 * Texts come from the platform and from peers, in any order and any number of
 * times. One is taken only if its version is higher than that in force and it
 * passes all checks, so that versions never go back. A refused text leaves
 * the old one in force. All functions are pure.
 */
#ifndef CNF_STORE_H
#define CNF_STORE_H

#include "aud.h"
#include "cfg.h"

/** What a node knows of configurations. */
struct cnf_store {
	struct cfg *cfg;  /* in force, or NULL */
	uint64_t refused; /* last version whose text was refused, or 0 */
	char *problem;	  /* why, or NULL */
};

/** The value under the key "config" of the platform. */
struct cnf_value {
	uint64_t version;
	char *text;
};

void cnf_store_clear(struct cnf_store *store);

/** Returns the version in force, 0 if there is none. */
uint64_t cnf_store_version(const struct cnf_store *store);

/** Returns whether the text of @p version is worth asking for. */
bool cnf_store_should_fetch(const struct cnf_store *store, uint64_t version);

/**
 * Decides on one version; the audit calls it again.
 * @param problems  findings in the text; 0 if it was not looked at
 * @return AUD_R_CONFIG_TAKEN, AUD_R_CONFIG_OLD or AUD_R_CONFIG_BAD
 */
enum aud_rule cnf_decide(uint64_t version, uint64_t known, uint64_t problems);

/**
 * Takes or refuses a text.
 * @param problems  out: how many findings the text has
 * @return the rule that decided
 */
enum aud_rule cnf_store_offer(struct cnf_store *store, uint64_t version,
			      const char *text, uint64_t *problems);

/**
 * Parses {"version":n,"change_id":"...","by":"...","text":"..."}.
 * @param out  out: its text is owned by the caller
 * @return 0 or FS_E_PROTOCOL
 */
int cnf_value_parse(const char *json, struct cnf_value *out);

#endif
