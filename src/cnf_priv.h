/**
 * @file cnf_priv.h
 * @brief Internal interface of the configuration task.
 */
#ifndef CNF_PRIV_H
#define CNF_PRIV_H

#include "cnf_leaving.h"
#include "cnf_store.h"
#include "node.h"

#define CNF_KEY "config"
#define CNF_TICK_US 100000
#define CNF_WATCH_WAIT_US (2 * FS_US_PER_S) /* one long poll */
#define CNF_RETRY_MIN_US 250000
#define CNF_RETRY_MAX_US (2 * FS_US_PER_S)
#define CNF_REQUEST_TIMEOUT_US FS_US_PER_S     /* then another peer */
#define CNF_READY_TIMEOUT_US (5 * FS_US_PER_S) /* for the peers' newest */
/* Interval at which unchanged lists of leaving targets are sent again. */
#define CNF_LEAVING_REFRESH_US (3 * FS_US_PER_S)
#define CNF_EMPTY_LIST_REPEATS 3 /* transmissions of an empty list */

/** A repeated call to the platform, with backoff after failures. */
struct cnf_call {
	bool running;
	bool answered;	   /* at least one success since the start */
	uint32_t failures; /* consecutive */
	int64_t next_us;
};

struct cnf {
	struct node *node;
	struct cnf_store store;
	struct mem_view *view;
	struct shd_map *map;
	ev_timer tick;
	uint64_t random;
	int64_t started_us;
	int64_t in_force_since_us;
	/* Platform */
	bool watcher;
	struct cnf_call read;
	struct cnf_call vms;
	uint64_t revision; /* of the key, as last read */
	/* Peers */
	node_id requested_from;
	uint64_t requested_version;
	int64_t requested_us;
	/* Leaving targets */
	GArray *leaving_vms; /* struct plt_vm: leaving targets */
	bool leaving_vms_known;
	GHashTable *notified; /* node_id * to remaining empty lists */
	int64_t last_broadcast_us;
	bool broadcast_due;
	struct cnf_leaving *leaving;
};

/** Offers a configuration to the store; audits and publishes the result. */
void cnf_offer(struct cnf *cnf, uint64_t version, const char *text,
	       int64_t now_us);

/** Sets the time of the next call after a success or a failure. */
void cnf_call_end(struct cnf *cnf, struct cnf_call *call, bool ok,
		  int64_t pause_us, int64_t now_us);

/* Platform: cnf_platform.c */
void cnf_platform_tick(struct cnf *cnf, int64_t now_us);
/** Returns whether this node is one of the watchers of its region. */
bool cnf_is_watcher(const struct cnf *cnf);

/* Peers: cnf_peers.c */
void cnf_peers_tick(struct cnf *cnf, int64_t now_us);
void cnf_peers_hint(struct cnf *cnf, node_id id, uint64_t version,
		    int64_t now_us);
void cnf_peers_answer_request(struct cnf *cnf, const struct msg *m);
/** Returns the highest version that alive peers reported, and its node. */
uint64_t cnf_peers_newest(const struct cnf *cnf, node_id *id);

/* Leaving targets: cnf_tell.c */
void cnf_broadcast_set_vms(struct cnf *cnf, const struct plt_vm *vms,
			   uint32_t count);
void cnf_broadcast_tick(struct cnf *cnf, int64_t now_us);
void cnf_broadcast_receive(struct cnf *cnf, const struct msg *m,
			   int64_t now_us);

#endif
