/**
 * @file msg.h
 * @brief Typed messages between tasks, in one process or between nodes.
 *
 * The caller creates a message with msg_new(), fills it in and passes it to the
 * bus, which takes ownership. String members are allocated with GLib and may be
 * NULL where documented; byte strings are GBytes. Messages marked "local" never
 * leave the process and have no encoding.
 */
#ifndef MSG_H
#define MSG_H

#include "cfg.h"
#include "cfh.h"
#include "dir.h"
#include "fs_err.h"
#include "fs_types.h"
#include "mem.h"

enum msg_type {
	/* Requests: entry to dispatcher */
	MSG_REQUEST = 1, /* forwards a client request */
	MSG_CANCEL,	 /* cancels a request */
	MSG_CREDIT, /* flow control: bytes of the answer consumed by the caller */
	/* Requests: dispatcher to entry */
	MSG_ANSWER, /* status, header fields, first or only piece of the body */
	MSG_PIECE,  /* a further piece of the answer's body */
	MSG_REFUSAL, /* request failed without an answer; also confirms a cancel */
	/* Shards: between dispatchers */
	MSG_HANDOVER, /* shard state transferred by a leaving dispatcher */
	/* Reachability: to the probe task of another failure domain, and back */
	MSG_PROBE_REQUEST,
	MSG_PROBE_RESULT,
	/* Configuration: between nodes */
	MSG_CONFIG_REQUEST, /* requests the receiver's newest configuration */
	MSG_CONFIG_TEXT,    /* the sender's newest configuration */
	/* Leaving targets: from the pollers of the VM list to dispatchers */
	MSG_TARGETS_LEAVING,
	/* Directory of targets: between the feed tasks of nodes */
	MSG_FEED_ENTRIES, /* changed entries, or a full snapshot */
	MSG_FEED_REQUEST, /* requests a full snapshot */
	/* Configuration: between the feed tasks of nodes, for a request or not */
	MSG_FEED_CONFIG,
	MSG_REMOTE_COUNT,
	/* Local only */
	MSG_CONFIG = 64,   /* a new configuration took effect */
	MSG_VIEW,	   /* the membership view changed */
	MSG_EJECT_REQUEST, /* dispatcher requests ejection or reinstatement */
	MSG_RECORD, /* the ejection record of a service was updated or expired */
	MSG_STOP,   /* planned shutdown: drain in-flight work */
	MSG_STOPPED,	 /* the task has drained its in-flight work */
	MSG_LINK_DOWN,	 /* the link to a node broke or timed out */
	MSG_CONFIG_HINT, /* a member has a newer configuration */
	MSG_CONTACTS,	 /* addresses of entry VMs in the platform's VM list */
	MSG_FEED_HEARTBEAT, /* directory digest and freshness of a reader;
			     * between nodes sent with the load exchange */
};

/** MSG_CONFIG_HINT. */
struct msg_config_hint {
	node_id node;
	uint64_t version;
};

/** MSG_CONTACTS. */
struct msg_contacts {
	GArray *addresses; /* struct sockaddr_in */
};

/** Tasks that receive messages. */
enum msg_task {
	MSG_TASK_ENTRY = 1,
	MSG_TASK_DISPATCH,
	MSG_TASK_PROBE,
	MSG_TASK_EJECT,
	MSG_TASK_CONFIG,
	MSG_TASK_MEMBERS,
	MSG_TASK_PLATFORM,
	MSG_TASK_OPERATOR,
	MSG_TASK_LINK,
	MSG_TASK_NODE, /* the daemon itself */
	MSG_TASK_LOAD, /* load exchange of a gateway */
	MSG_TASK_COUNT,
};

/** A header field of a request or an answer. */
struct msg_header {
	char *name;
	char *value;
};

/** Load of a shard, reported with each answer and refusal to an entry. */
struct msg_load {
	uint32_t free_slots; /* of usable servers */
	uint32_t waiting;    /* requests in the queue */
};

/** MSG_REQUEST. */
struct msg_request {
	struct req_id id;
	uint64_t config_version;
	char *service;	/* name */
	char *region;	/* of the shard */
	uint32_t shard; /* index within service and region */
	char *route;	/* name */
	bool forced; /* the shard owner is unreachable: accept as a non-owner */
	int64_t remaining_us; /* time to the deadline at sending */
	char *key;	      /* Idempotency-Key, or NULL */
	char *method;
	char *host;
	char *target;	 /* path and query as received */
	GArray *headers; /* struct msg_header, hop-by-hop ones removed */
	GBytes *body;	 /* never NULL */
};

/** MSG_CANCEL. */
struct msg_cancel {
	struct req_id id;
};

/** MSG_CREDIT. */
struct msg_credit {
	struct req_id id;
	uint32_t bytes;
};

/** MSG_ANSWER. */
struct msg_answer {
	struct req_id id;
	uint32_t status;
	enum fs_outcome outcome; /* FS_NOT_RUN for a target's refusal */
	GArray *headers; /* struct msg_header, hop-by-hop ones removed */
	int64_t length;	 /* of the complete body; -1: not known in advance;
			  * for HEAD: of the body that is not sent */
	GBytes *data;	 /* first piece; never NULL */
	bool last;	 /* the first piece is the complete body */
	struct msg_load load;
	char *server;	/* name of the target */
	uint32_t tries; /* number of attempts, one target each */
};

/** MSG_PIECE. */
struct msg_piece {
	struct req_id id;
	uint64_t offset; /* of the first byte within the body */
	GBytes *data;	 /* never NULL */
	bool last;	 /* final piece of a complete body */
};

/** MSG_REFUSAL. */
struct msg_refusal {
	struct req_id id;
	int err;		 /* enum fs_err */
	enum fs_outcome outcome; /* FS_NOT_RUN or FS_UNKNOWN */
	int64_t retry_after_us;	 /* 0: no estimate */
	struct msg_load load;
	uint32_t tries;
};

/** State of an idempotency key at a dispatcher. */
struct msg_key {
	char *key;
	bool in_flight;
	int64_t age_us; /* since the key was first received */
};

/** MSG_HANDOVER. */
struct msg_handover {
	char *service;
	char *region;
	uint32_t shard;
	GArray *keys; /* struct msg_key */
};

/** MSG_PROBE_REQUEST. */
struct msg_probe_request {
	uint64_t serial;
	char *server; /* name */
};

/** MSG_PROBE_RESULT. */
struct msg_probe_result {
	uint64_t serial;
	char *server;
	bool reachable;
	int64_t took_us;
	bool draining; /* reported by the target; local only, not encoded */
};

/** MSG_CONFIG_REQUEST. */
struct msg_config_request {
	uint64_t known; /* configuration version of the sender */
};

/** MSG_CONFIG_TEXT. */
struct msg_config_text {
	uint64_t version;
	char *text;
};

/** MSG_TARGETS_LEAVING: the complete list for the shards of the receiver. */
struct msg_targets_leaving {
	GPtrArray *servers; /* char *, names */
};

/** MSG_FEED_HEARTBEAT. */
struct msg_feed_heartbeat {
	uint64_t digest;	 /* dir_digest() of the sender */
	uint64_t config_version; /* 0: none */
	uint64_t era;		 /* of the store, see rev.h */
	bool fresh;		 /* the store has answered recently */
	bool local;		 /* the reader is in this failure domain */
	node_id reader;		 /* node that reads the store */
};

/** A target removed from the directory. */
struct msg_removed {
	char id[FS_TARGET_ID_MAX];
	struct dir_write last; /* see dir_merge_removal() */
	struct rev rev;
};

/** MSG_FEED_ENTRIES. */
struct msg_feed_entries {
	struct rev snapshot; /* the newest era that the sender knows, and
			      * the revision of which the entries are a full
			      * snapshot; number 0: changes only, or not
			      * known to be complete */
	GArray *entries;     /* struct dir_entry; cold_us: remaining warm-up */
	GArray *removed;     /* struct msg_removed */
};

/** MSG_FEED_CONFIG. */
struct msg_feed_config {
	GArray *steps; /* struct cfh_step; empty: no newer one is known */
	GArray *relay; /* node_id: the receiver sends the message on to them */
};

/** MSG_CONFIG. */
struct msg_config {
	struct cfg *cfg;
};

/** MSG_VIEW. */
struct msg_view {
	struct mem_view *view;
};

/** MSG_EJECT_REQUEST. */
struct msg_eject_request {
	char *service;
	char *server;
	char *rule; /* name of the detection rule that triggered the request */
	bool reinstate; /* true: reinstate the server, false: eject it */
};

struct flr_record;

/** MSG_RECORD. */
struct msg_record {
	char *service;
	struct flr_record *record; /* owned by the message; NULL: expired */
	int64_t confirmed_us;	   /* time of the last read from the platform */
};

/** MSG_LINK_DOWN. */
struct msg_link_down {
	node_id node;
};

/** MSG_STOPPED. */
struct msg_stopped {
	enum msg_task task; /* the task that has drained its in-flight work */
};

/** One message. */
struct msg {
	enum msg_type type;
	node_id from;	    /* set by the bus */
	node_id to;	    /* this node or a peer */
	enum msg_task task; /* receiving task at that node */
	union {
		struct msg_request request;
		struct msg_cancel cancel;
		struct msg_credit credit;
		struct msg_answer answer;
		struct msg_piece piece;
		struct msg_refusal refusal;
		struct msg_handover handover;
		struct msg_probe_request probe_request;
		struct msg_probe_result probe_result;
		struct msg_config_request config_request;
		struct msg_config_text config_text;
		struct msg_targets_leaving targets_leaving;
		struct msg_feed_heartbeat feed_heartbeat;
		struct msg_feed_entries feed_entries;
		struct msg_feed_config feed_config;
		struct msg_config config;
		struct msg_view view;
		struct msg_eject_request eject_request;
		struct msg_record record;
		struct msg_link_down link_down;
		struct msg_config_hint config_hint;
		struct msg_contacts contacts;
		struct msg_stopped stopped;
	};
};

/** Creates a message with its members zeroed; the arrays of MSG_HANDOVER,
 * MSG_FEED_ENTRIES and MSG_FEED_CONFIG are created empty. */
struct msg *msg_new(enum msg_type type, node_id to, enum msg_task task);

/** Frees a message and its members. NULL is allowed. */
void msg_free(struct msg *m);

/** Creates an empty array of struct msg_header that frees its elements. */
GArray *msg_headers_new(void);

/** Appends a copy of a header field. */
void msg_headers_add(GArray *headers, const char *name, const char *value);

/** Returns the value of the first header field @p name (case-insensitive), or
 * NULL. */
const char *msg_headers_get(const GArray *headers, const char *name);

/** Returns whether a text is a token of HTTP, as methods and names of fields are. */
bool msg_is_token(const char *text);

/**
 * Encodes a remote message with msgpack, without frame header.
 * @param out  bytes are appended
 * @return 0, or FS_E_INVALID for a local type
 */
int msg_encode(const struct msg *m, GByteArray *out);

/**
 * Decodes one payload.
 * @param out  out: the message, NULL on error
 * @return 0, or FS_E_PROTOCOL if the payload is malformed
 */
int msg_decode(const uint8_t *data, size_t size, struct msg **out);

#endif
