/**
 * @file aud.h
 * @brief Records of every decision, so that each can be confirmed later.
 *
 * A record says what was decided, by which rule, under which version of the
 * configuration, and the numbers it was decided from. It goes to the log as
 * one JSON line (module "aud", event "decision") and into a bounded ring for
 * the operator interface. aud_replay.h recomputes a record from the
 * operators' text and its numbers.
 *
 * The rules and the names of their numbers stand in aud_rules.h. The code
 * that decides and the code that replays call the same pure function.
 */
#ifndef AUD_H
#define AUD_H

#include "cfg.h"
#include "fs_err.h"
#include "fs_types.h"

/** What kind of choice a record is about. */
enum aud_kind {
	AUD_REFUSAL, /* a request is refused */
	AUD_RETRY,   /* a request is tried again, or is not */
	AUD_STEER,   /* a dispatcher gives a server less or more */
	AUD_EJECT,   /* a server is taken out of use */
	AUD_RETURN,  /* it is taken back */
	AUD_SHARD,   /* a shard's dispatcher changes */
	AUD_CONFIG,  /* a configuration is taken or refused */
	AUD_DRAIN,   /* a node, target or service is leaving */
	AUD_KIND_COUNT,
};

#include "aud_rules.h"

/** One number a decision was made from. */
struct aud_number {
	const char *name; /* a string constant */
	int64_t value;
};

/** One decision. Text members are copied by aud_emit(). */
struct aud_record {
	enum aud_kind kind;
	enum aud_rule rule;
	uint64_t incarnation; /* of the node; set by aud_emit() */
	uint64_t serial;      /* from 1 without gaps; set by aud_emit() */
	int64_t wall_us;      /* set by aud_emit() */
	int64_t now_us;	      /* monotonic, as the rule saw it */
	uint64_t config_version;
	char service[FS_NAME_MAX];
	char server[FS_NAME_MAX]; /* or empty */
	char route[FS_NAME_MAX];  /* or empty */
	char request[64];	  /* "node-incarnation-counter", or empty */
	char choice[32];	  /* what was decided, such as "queue_full",
				   * "suspect", "accepted" */
	struct aud_number evidence[FS_AUDIT_EVIDENCE_MAX];
	uint32_t evidence_count;
};

struct aud;

struct aud *aud_new(void);
void aud_free(struct aud *aud);

/** Starts a record; the caller fills in what it concerns. */
void aud_begin(struct aud_record *rec, enum aud_kind kind, enum aud_rule rule,
	       uint64_t config_version, int64_t now_us);

/** Adds a number; more than FS_AUDIT_EVIDENCE_MAX are dropped. */
void aud_add(struct aud_record *rec, const char *name, int64_t value);

/** Logs the record and keeps it in the ring. */
void aud_emit(struct aud *aud, struct aud_record *rec);

/** Returns the number @p name of a record in @p out, or false. */
bool aud_number_of(const struct aud_record *rec, const char *name,
		   int64_t *out);

/** Returns the stable word of a kind, such as "refusal". */
const char *aud_kind_name(enum aud_kind kind);

/** Returns the kind whose word is @p name, or AUD_KIND_COUNT. */
enum aud_kind aud_kind_by_name(const char *name);

/** Returns the kind that the records of a rule have. */
enum aud_kind aud_rule_kind(enum aud_rule rule);

/** Appends a record as one JSON object. */
void aud_record_json(const struct aud_record *rec, GString *out);

/** Appends the ring's records after @p serial as a JSON array. */
void aud_ring_json(const struct aud *aud, uint64_t serial, GString *out);

/** Writes a request id as text, at most 64 bytes. */
void aud_request_text(const struct req_id *id, char *out, size_t size);

#endif
