/**
 * @file cnf_priv.h
 * @brief Shared by the files that make up the configuration task.
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
#define CNF_REQUEST_TIMEOUT_US FS_US_PER_S /* then another member is asked */
#define CNF_READY_TIMEOUT_US (5 * FS_US_PER_S) /* for the newest of the peers */
#define CNF_LEAVING_REFRESH_US \
	(3 * FS_US_PER_S)	 /* leaving targets are told again */
#define CNF_EMPTY_LIST_REPEATS 3 /* an empty list is told this often */

/** A kind of call to the platform that is repeated for as long as needed. */
struct cnf_call {
	bool running;
	bool answered;	 /* at least once since the start */
	uint32_t failed; /* in a row */
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
	int64_t taken_us;
	/* Platform */
	bool watcher;
	struct cnf_call read;
	struct cnf_call vms;
	uint64_t revision; /* of the key, as last read */
	/* Peers */
	node_id asked;
	uint64_t asked_version;
	int64_t asked_us;
	/* Leaving targets */
	GArray *listed; /* struct plt_vm: leaving targets of the VM list */
	bool listed_known;
	GHashTable *told; /* node_id * to empties still to be sent */
	int64_t told_us;
	bool tell_now;
	struct cnf_leaving *leaving;
};

/** Offers a text to the store and acts on the result. */
void cnf_offer(struct cnf *cnf, uint64_t version, const char *text,
	       int64_t now_us);

/** Sets the time of the next call after a success or a failure. */
void cnf_call_end(struct cnf *cnf, struct cnf_call *call, bool ok,
		  int64_t pause_us, int64_t now_us);

/* Platform: cnf_platform.c */
void cnf_platform_tick(struct cnf *cnf, int64_t now_us);
/** Returns whether this node is among those that watch for its region. */
bool cnf_is_watcher(const struct cnf *cnf);

/* Peers: cnf_peers.c */
void cnf_peers_tick(struct cnf *cnf, int64_t now_us);
void cnf_peers_hint(struct cnf *cnf, node_id id, uint64_t version,
		    int64_t now_us);
void cnf_peers_answer_request(struct cnf *cnf, const struct msg *m);
/** Returns the highest version that live members told of. */
uint64_t cnf_peers_newest(const struct cnf *cnf, node_id *id);

/* Leaving targets: cnf_tell.c */
void cnf_broadcast_set_vms(struct cnf *cnf, const struct plt_vm *vms,
			   uint32_t count);
void cnf_broadcast_tick(struct cnf *cnf, int64_t now_us);
void cnf_broadcast_receive(struct cnf *cnf, const struct msg *m,
			   int64_t now_us);

#endif
