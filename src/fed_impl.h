/**
 * @file fed_impl.h
 * @brief Parts of the feed task that its files share.
 */
#ifndef FED_IMPL_H
#define FED_IMPL_H

#include "fed.h"

/* A node that has just started knows few members yet: it reads for itself, but
 * does not tell others. */
#define FED_SETTLE_US (1200 * FS_US_PER_MS)
/* Without a fresh reader for so long a node reads for itself; leaves half of
 * the 2 s in which a change has to be in force for its own calls. */
#define FED_READER_TIMEOUT_US (1200 * FS_US_PER_MS)
/* A reader that is not chosen any more goes on for the time in which the next
 * one, which may just have started, settles and lists. */
#define FED_HANDOVER_US (2500 * FS_US_PER_MS)
/* Nor does a node that has just read all there is: after a start readers are
 * heard within this time. */
#define FED_LIST_FRESH_US (2500 * FS_US_PER_MS)
/* A reader is fresh if the service answered it within this time. */
#define FED_FRESH_US (1100 * FS_US_PER_MS)
/* Heard readers this long before its own reading ends, so that it does not
 * stop and start by turns. */
#define FED_READ_HYSTERESIS_US (1 * FS_US_PER_S)

/* Servers report every 1.5 s or so, hence a watch on them returns at once:
 * the pause bounds the calls of a reader to about two a second. */
#define FED_TARGET_PAUSE_US (450 * FS_US_PER_MS)
#define FED_TARGET_LONG_POLL_US (600 * FS_US_PER_MS)
/* Changes of the configuration are rare: the watch waits for one. */
#define FED_CONFIG_LONG_POLL_US (2000 * FS_US_PER_MS)
#define FED_RETRY_MIN_US (150 * FS_US_PER_MS) /* after a failed call */
#define FED_RETRY_MAX_US (1000 * FS_US_PER_MS)

/* A lapsed entry is back within 2 s of the service's return. */
#define FED_REMOVAL_GRACE_US (2200 * FS_US_PER_MS)

/* Without an answer or a fresh reader for so long the store may have been
 * away: twice the longest wait of a watch on targets that is answered. */
#define FED_STORE_GAP_US (2000 * FS_US_PER_MS)

#define FED_QUERY_INTERVAL_US \
	(300 * FS_US_PER_MS) /* between two questions to peers */

/* A node's own key: renewed three times within its lease. */
#define FED_LEASE_TTL_US (12 * FS_US_PER_S)
#define FED_LEASE_RENEW_US (4 * FS_US_PER_S)
#define FED_LIST_NODES_INTERVAL_US \
	(3 * FS_US_PER_S) /* while no others are known */
#define FED_BOOTSTRAP_DELAY_US \
	(700 * FS_US_PER_MS) /* seeds answer well before that */

/** One reading of a prefix: a list, then watches from its revision. */
struct fed_watcher {
	struct fed *fed;
	const char *prefix;
	bool is_config;	   /* of the configuration; else of the targets */
	bool running;	   /* a call is under way */
	bool listed;	   /* the list is complete: watch */
	uint64_t from_rev; /* where the watch goes on */
	uint64_t list_rev; /* of the first page of the list */
	char *page_after;  /* last key of the previous page, or NULL */
	uint32_t failures; /* calls in a row */
	int64_t next_us;
	int64_t answered_us;
	int64_t grace_until_us; /* removals take effect only then */
};

struct fed {
	struct node *node;
	struct fed_platform platform;
	struct dir *dir;
	struct cfg *cfg;
	struct mem_view *view;
	struct fed_watcher targets;
	struct fed_watcher config;
	uint64_t random;
	int64_t chosen_us; /* when it last was; it still tells for a while */
	int64_t started_us;
	int64_t last_rx_us;   /* last beat of a fresh reader */
	int64_t no_reader_us; /* last time without one */
	int64_t local_rx_us;  /* last beat of a fresh one in this domain */
	int64_t listed_us;    /* when it last had a whole list itself */
	int64_t changed_us;   /* last change of the directory */
	int64_t queried_us;
	int64_t config_queried_us;
	struct msg *changes; /* MSG_FEED_ENTRIES to be told, or NULL */
	/* This node's own key */
	uint64_t lease;
	int64_t lease_next_us;
	int64_t nodes_next_us;
	/* States */
	bool chosen;	      /* this node is a reader by its weight */
	bool reading;	      /* it reads, chosen or not */
	bool store_lost;      /* the service does not answer this node */
	bool directory_known; /* listed, or told by a peer */
	bool merging;	      /* what changes now came from a peer */
	bool lease_running;
	bool nodes_running;
};

/* Configuration (fed.c) */

/** Makes the node ready once it knows what it needs. */
void fed_check_ready(struct fed *fed);

/** Takes a configuration's text if its version is newer. */
void fed_apply_config(struct fed *fed, const char *text, size_t size,
		      const char *source, int64_t now_us);

/* Reading (fed_read.c) */
void fed_read_init(struct fed *fed);
void fed_read_tick(struct fed *fed, int64_t now_us);

/* Telling peers (fed_tell.c) */

/** Notes a changed or removed target, to be told with the next tick. */
void fed_queue_entry(struct fed *fed, const struct dir_entry *entry);
void fed_queue_removal(void *arg, const struct dir_target *target,
		       uint64_t rev);
void fed_broadcast_tick(struct fed *fed, int64_t now_us);
/** Takes the beat of another reader. */
void fed_receive_heartbeat(struct fed *fed, const struct msg *m,
			   int64_t now_us);
/** Asks a peer for its configuration if that is newer. */
void fed_request_config(struct fed *fed, node_id peer, uint64_t version,
			int64_t now_us);
void fed_merge_entries(struct fed *fed, const struct msg *m, int64_t now_us);
void fed_send_all_entries(struct fed *fed, const struct msg *ask,
			  int64_t now_us);

/* This node's key (fed_node.c) */
void fed_node_tick(struct fed *fed, int64_t now_us);

/** Returns a random number below @p limit. */
int64_t fed_random(struct fed *fed, int64_t limit);

#endif
