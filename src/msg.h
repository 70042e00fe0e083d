/**
 * @file msg.h
 * @brief Typed messages between tasks, in one process or between nodes.
 *
 * A message is made with msg_new(), filled in, and given to the bus, which
 * owns it from then on. Text members are allocated with GLib and may be NULL
 * where the comment says so; byte strings are GBytes. Messages marked "local"
 * never leave the process and have no encoding.
 */
#ifndef MSG_H
#define MSG_H

#include "cfg.h"
#include "dir.h"
#include "fs_err.h"
#include "fs_types.h"
#include "mem.h"

enum msg_type {
	/* Requests: entry to dispatch */
	MSG_REQUEST = 1, /* run this */
	MSG_CANCEL,	 /* withdraw it */
	MSG_CREDIT,	 /* the caller took so many bytes of the answer */
	/* Requests: dispatch to entry */
	MSG_ANSWER,  /* status, header fields, first or only piece */
	MSG_PIECE,   /* more of the answer's body */
	MSG_REFUSAL, /* no answer, and why; also confirms a cancel */
	/* Shards: between dispatchers */
	MSG_HANDOVER, /* what a leaving dispatcher knows of a shard */
	/* Reachability: dispatch to the probe task of another domain */
	MSG_PROBE_REQUEST,
	MSG_PROBE_RESULT,
	/* Configuration: between nodes */
	MSG_CONFIG_REQUEST, /* send me your newest text */
	MSG_CONFIG_TEXT,    /* the newest text I know */
	/* Leaving targets: from the pollers of the VM list to dispatchers */
	MSG_TARGETS_LEAVING,
	/* Directory of targets: between the feed tasks of nodes */
	MSG_FEED_ENTRIES, /* entries that changed, or all of them */
	MSG_FEED_REQUEST, /* send me all you have */
	MSG_REMOTE_COUNT,
	/* Local only */
	MSG_CONFIG = 64,   /* a new configuration is in force */
	MSG_VIEW,	   /* membership has changed */
	MSG_EJECT_REQUEST, /* dispatch asks for an ejection or a return */
	MSG_RECORD,    /* the ejection record of a service is known or lapsed */
	MSG_STOP,      /* planned stop: finish what is in flight */
	MSG_STOPPED,   /* the task has nothing left in flight */
	MSG_LINK_DOWN, /* the link to a node broke or fell silent */
	MSG_CONFIG_HINT,    /* a member has a newer configuration */
	MSG_CONTACTS,	    /* entry VMs of the platform's list */
	MSG_FEED_HEARTBEAT, /* what a reader knows, and how fresh it is; between
			  * nodes it goes with the load exchange */
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

/** Tasks that take messages. */
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

/** How busy a shard is, as told with every message to an entry. */
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
	bool forced;	/* the owner could not be reached: take it anyway */
	int64_t remaining_us; /* until the deadline, when sent */
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
	int64_t length;	 /* of the whole body; -1: not known before;
			  * to HEAD: of the body that is not sent */
	GBytes *data;	 /* first piece; never NULL */
	bool last;	 /* the first piece is the whole body */
	struct msg_load load;
	char *server;	/* name of the target */
	uint32_t tries; /* how many targets were tried */
};

/** MSG_PIECE. */
struct msg_piece {
	struct req_id id;
	uint64_t offset; /* of the first byte within the body */
	GBytes *data;	 /* never NULL */
	bool last;	 /* the body ends here, whole */
};

/** MSG_REFUSAL. */
struct msg_refusal {
	struct req_id id;
	int err;		 /* enum fs_err */
	enum fs_outcome outcome; /* FS_NOT_RUN or FS_UNKNOWN */
	int64_t retry_after_us;	 /* 0: no advice */
	struct msg_load load;
	uint32_t tries;
};

/** An idempotency key as a dispatcher remembers it. */
struct msg_key {
	char *key;
	bool in_flight;
	int64_t age_us; /* since it was first seen */
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
	bool draining; /* told by the target; local only */
};

/** MSG_CONFIG_REQUEST. */
struct msg_config_request {
	uint64_t known; /* version the sender has */
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
	bool fresh;		 /* the store answered it a moment ago */
	bool local;		 /* of this failure domain */
	node_id reader;		 /* whose it is */
};

/** A target that was removed. */
struct msg_removed {
	char id[FS_NAME_MAX];
	uint64_t rev;
};

/** MSG_FEED_ENTRIES. */
struct msg_feed_entries {
	uint64_t snapshot_rev; /* these are all entries of that revision; 0: only
			     * changes, or not known to be all */
	GArray *entries;       /* struct dir_entry; cold_us from now on */
	GArray *removed;       /* struct msg_removed */
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
	char *rule;	/* name of the rule that judged the server */
	bool reinstate; /* true: return it, false: eject it */
};

struct flr_record;

/** MSG_RECORD. */
struct msg_record {
	char *service;
	struct flr_record *record; /* owned by the message; NULL: lapsed */
	int64_t confirmed_us;	   /* when the platform was last read */
};

/** MSG_LINK_DOWN. */
struct msg_link_down {
	node_id node;
};

/** MSG_STOPPED. */
struct msg_stopped {
	enum msg_task task; /* that has nothing left in flight */
};

/** One message. */
struct msg {
	enum msg_type type;
	node_id from;	    /* set by the bus */
	node_id to;	    /* the node itself, or a peer */
	enum msg_task task; /* receiver at that node */
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

/** Makes an empty message; its members are zero. */
struct msg *msg_new(enum msg_type type, node_id to, enum msg_task task);

/** Frees a message with all that it holds. NULL is allowed. */
void msg_free(struct msg *m);

/** Makes an empty array of struct msg_header that frees its elements. */
GArray *msg_headers_new(void);

/** Appends a copy of a header field. */
void msg_headers_add(GArray *headers, const char *name, const char *value);

/** Returns the value of the first field @p name, any case, or NULL. */
const char *msg_headers_get(const GArray *headers, const char *name);

/**
 * Encodes a remote message with msgpack, without a frame.
 * @param out  bytes are appended
 * @return 0, or FS_E_INVALID for a local type
 */
int msg_encode(const struct msg *m, GByteArray *out);

/**
 * Decodes one payload.
 * @param out  out: the message, NULL on error
 * @return 0, or FS_E_PROTOCOL for anything malformed
 */
int msg_decode(const uint8_t *data, size_t size, struct msg **out);

#endif
