/**
 * @file fed_impl.h
 * @brief Parts of the feed task that its files share.
 */
#ifndef FED_IMPL_H
#define FED_IMPL_H

#include "cfh.h"
#include "fed.h"
#include "fed_role.h"

/* A reader is fresh if the service answered it within this time. */
#define FED_FRESH_US (1100 * FS_US_PER_MS)
/* Servers report about every 1.5 s, so a watch on them returns at once. The
 * pause limits a reader to about two calls per second. */
#define FED_TARGET_PAUSE_US (450 * FS_US_PER_MS)
#define FED_TARGET_LONG_POLL_US (600 * FS_US_PER_MS)
/* Changes of the configuration are rare: the watch waits for one. */
#define FED_CONFIG_LONG_POLL_US (2000 * FS_US_PER_MS)
#define FED_RETRY_MIN_US (150 * FS_US_PER_MS) /* after a failed call */
#define FED_RETRY_MAX_US (1000 * FS_US_PER_MS)

/* Servers renew an expired entry within 2 s of the service's return. */
#define FED_REMOVAL_GRACE_US (2200 * FS_US_PER_MS)

/* After this long without an answer or a fresh reader an outage of the store is
 * assumed: twice the longest wait of an answered watch on targets. */
#define FED_STORE_GAP_US (2000 * FS_US_PER_MS)

/* Minimum interval between two queries to peers. */
#define FED_QUERY_INTERVAL_US (300 * FS_US_PER_MS)

/* A reader sends each new configuration to its domain. A node that has heard of a
 * newer one, and has not got it after this time, asks for it. */
#define FED_CONFIG_WAIT_US (500 * FS_US_PER_MS)
#define FED_CONFIG_WAIT_JITTER_US (250 * FS_US_PER_MS)
/* Nodes ask one peer at a time, and the next one if it has not answered. */
#define FED_CONFIG_REQUEST_TIMEOUT_US (600 * FS_US_PER_MS)

/* In this time a node answers requests with SPR_BYTES, or with one answer that is
 * larger. */
#define FED_CONFIG_ANSWERS_INTERVAL_US (250 * FS_US_PER_MS)

/* The lease of a node's own key is renewed three times within its TTL. */
#define FED_LEASE_TTL_US (12 * FS_US_PER_S)
#define FED_LEASE_RENEW_US (4 * FS_US_PER_S)
/* While no other members are known. */
#define FED_LIST_NODES_INTERVAL_US (3 * FS_US_PER_S)
/* Seeds answer well before that. */
#define FED_BOOTSTRAP_DELAY_US (700 * FS_US_PER_MS)

/** Reads one prefix: lists it, then watches from the revision of the list. */
struct fed_watcher {
	struct fed *fed;
	const char *prefix;
	bool is_config;	     /* else the targets */
	bool running;	     /* a call is in flight */
	bool listed;	     /* the list is complete: watch */
	uint64_t from_rev;   /* the watch continues after it */
	struct rev list_rev; /* of the first page of the list */
	char *page_after;    /* last key of the previous page, or NULL */
	uint32_t failures;   /* consecutive failed calls */
	int64_t next_us;
	int64_t answered_us;
	int64_t reached_us;	/* the same, with answers that are void */
	int64_t grace_until_us; /* removals are deferred until then */
};

/** Texts of the configuration, and the search for newer ones. */
struct fed_config {
	struct cfh history;  /* up to the newest text received */
	uint64_t refused;    /* version of a text that is malformed */
	uint64_t wanted;     /* newest version that a peer has told of */
	node_id wanted_from; /* that peer */
	int64_t ask_us;	     /* a peer is asked for it from then on */
	int64_t request_us;  /* of the request in flight */
	uint32_t requests;   /* for the wanted version */
	int64_t answers_us;  /* answers to peers are counted from then on */
	size_t answer_bytes;
	bool request_running;
	bool whole; /* the next request is for the whole text */
};

struct fed {
	struct node *node;
	struct fed_platform platform;
	struct dir *dir;
	struct cfg *cfg; /* in force */
	struct fed_config texts;
	struct mem_view *view;
	struct fed_watcher targets;
	struct fed_watcher config;
	struct fed_role role;
	uint64_t era;	     /* highest one known, or 0 */
	uint64_t era_stated; /* by the previous answer of the store */
	uint64_t random;
	int64_t changed_us;	/* last change of the directory */
	int64_t relist_us;	/* leftovers are over; 0: no list is due */
	int64_t grace_until_us; /* removals by peers are deferred until then */
	int64_t queried_us;
	struct msg *changes; /* MSG_FEED_ENTRIES to broadcast, or NULL */
	/* This node's own key */
	uint64_t lease;
	int64_t lease_next_us;
	int64_t nodes_next_us;
	/* States */
	bool store_lost;      /* calls of this node fail */
	bool era_known;	      /* the store or a peer has stated one */
	bool directory_known; /* listed, or received from a peer */
	bool merging;	      /* changes being applied are a peer's */
	bool lease_running;
	bool nodes_running;
};

/** Marks the node ready once configuration and directory are known (fed.c). */
void fed_check_ready(struct fed *fed);

/* Configuration (fed_config.c) */

/** Takes a text of the store: puts it into force if its version is newer, and
 * sends it to the domain if this node is its reader. */
void fed_config_read(struct fed *fed, const char *text, size_t size,
		     int64_t now_us);
/** Notes that a peer has a version. */
void fed_config_hear(struct fed *fed, node_id peer, uint64_t version,
		     int64_t now_us);
/** Takes, and relays, what a peer has sent. */
void fed_config_receive(struct fed *fed, const struct msg *m, int64_t now_us);
/** Answers a request, with nothing if this node has no newer one, or has answered
 * many just before: most other nodes can answer as well. */
void fed_config_answer(struct fed *fed, const struct msg *ask, int64_t now_us);
void fed_config_tick(struct fed *fed, int64_t now_us);

/* Restorations of the store (fed_era.c) */

/** What an answer tells of the store's era. */
enum fed_era {
	FED_ERA_KNOWN, /* the one known, or not stated */
	FED_ERA_NEWER, /* the store was restored: everything is read anew */
	FED_ERA_VOID,  /* from before a restoration, or doubtful */
};

/** Notes the era of an answer of the store, KVS_NO_ERA if it does not state one.
 * One that is newer by more than one counts when the next answer states it too. */
enum fed_era fed_note_era(struct fed *fed, uint64_t era, int64_t now_us);
/** Notes the era that a peer knows. */
void fed_hear_era(struct fed *fed, uint64_t era, const char *source,
		  int64_t now_us);

/* Reading (fed_read.c) */
void fed_read_init(struct fed *fed);
/** Cancels the calls in flight; the lists begin anew with the next tick. */
void fed_read_restart(struct fed *fed, int64_t now_us);
void fed_read_tick(struct fed *fed, int64_t now_us);

/* Exchange with peers (fed_tell.c) */

/** Applies an entry, and queues a changed target for broadcast with the next
 * tick. */
void fed_apply_entry(struct fed *fed, const struct dir_entry *entry,
		     int64_t now_us);
/** Queues a removed target likewise. */
void fed_queue_removal(void *arg, const struct dir_target *target,
		       struct rev rev);
/** Tells the domain of the era known, with the next tick. */
void fed_queue_era(struct fed *fed);
void fed_broadcast_tick(struct fed *fed, int64_t now_us);
/** Handles the heartbeat of another reader. */
void fed_receive_heartbeat(struct fed *fed, const struct msg *m,
			   int64_t now_us);
void fed_merge_entries(struct fed *fed, const struct msg *m, int64_t now_us);
void fed_send_all_entries(struct fed *fed, const struct msg *ask,
			  int64_t now_us);

/* This node's key (fed_node.c) */
/** Registers the key anew: its lease may be lost, or another writer's by now. */
void fed_node_restart(struct fed *fed, int64_t now_us);
void fed_node_tick(struct fed *fed, int64_t now_us);

/** Returns a random number below @p limit. */
int64_t fed_random(struct fed *fed, int64_t limit);

#endif
