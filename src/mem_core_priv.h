/**
 * @file mem_core_priv.h
 * @brief Internal interface of the membership state machine.
 */
#ifndef MEM_CORE_PRIV_H
#define MEM_CORE_PRIV_H

#include "mem_core.h"
#include "mem_table.h"

/* A longer gap between two ticks counts as a pause of the process. */
#define MEM_PAUSE_MIN_US (10 * MEM_TICK_US)
/* Wait for an indirect ack, after FS_GOSSIP_ACK_US for the direct one. */
#define MEM_INDIRECT_TIMEOUT_US (2 * FS_GOSSIP_ACK_US)
#define MEM_RX_TIMEOUT_US (3 * FS_GOSSIP_PERIOD_US)
#define MEM_CHECKS_MAX 16
#define MEM_RELAYS_MAX 64
#define MEM_RELAY_TIMEOUT_US (2 * FS_GOSSIP_ACK_US)
#define MEM_CONTACT_PERIOD_ALONE_US 500000
#define MEM_CONTACT_PERIOD_US 5000000
#define MEM_SYNC_INTERVAL_MIN_US 5000000 /* between two table comparisons */
#define MEM_SYNC_SETTLE_US 3000000	 /* since the last state change */
#define MEM_DEAD_RETENTION_US (7200 * FS_US_PER_S) /* of dead members */
#define MEM_PUSH_FANOUT 3
/* Bytes between failure domains are dear, and an update has to cross only a few
 * times: a node sends it to other domains in this part of its transmissions, if
 * there are others in its own. */
#define MEM_CROSS_DOMAIN_DIVISOR 2
#define MEM_PUSH_BURST 10
#define MEM_PUSH_REFILL_US 200000
#define MEM_LEAVE_FANOUT 12
#define MEM_LEAVE_REPEATS 5

/** A ping whose ack is outstanding. */
struct mem_check {
	node_id target; /* 0: not in use */
	uint32_t sequence;
	int64_t sent_us;
	bool indirect; /* ping requests were sent to relays */
	bool relayed;  /* a relay received an ack */
};

/** A ping sent on behalf of another member. */
struct mem_relay {
	node_id target; /* 0: not in use */
	uint32_t sequence;
	struct sockaddr_in requester;
	uint32_t requester_sequence;
	int64_t expires_us;
};

struct mem_core {
	struct mem_table table;
	struct mem_node *self;
	mem_send_fn send;
	void *send_arg;
	uint64_t random;
	uint32_t sequence;
	uint64_t view_serial;
	bool changed;
	int64_t changed_us;
	int64_t last_tick_us;
	int64_t last_rx_us; /* last datagram from another member */
	/* Pings */
	GArray *ring; /* node_id, shuffled */
	guint ring_next;
	int64_t next_ping_us;
	struct mem_check checks[MEM_CHECKS_MAX];
	struct mem_relay relays[MEM_RELAYS_MAX];
	/* Updates to piggyback */
	GPtrArray *pending; /* struct mem_node with transmits_left > 0 */
	bool push_due;	    /* new updates wait for a push */
	uint32_t push_tokens;
	int64_t push_refilled_us;
	uint32_t leave_repeats;
	/* Contacts */
	GArray *contacts;    /* struct sockaddr_in, seeds first */
	guint contact_seeds; /* number of seeds among them */
	int64_t next_contact_us;
	int64_t next_sync_us;
	/* Configuration */
	node_id hint;
	uint64_t hint_version;
};

/* Random choices */
uint64_t mem_random(struct mem_core *core);
uint32_t mem_random_below(struct mem_core *core, uint32_t limit);

/** Returns whether a member is in the failure domain of this node. */
bool mem_is_local(const struct mem_core *core, const struct mem_node *node);

/** Returns whether no other member of this failure domain is alive or leaving. */
bool mem_is_alone(const struct mem_core *core);

/** Returns a random member that is alive or leaving, not this node. @param any  of
 *  all failure domains; else of this one, if there is one */
struct mem_node *mem_random_receiver(struct mem_core *core, bool any);

/* Sending: mem_send.c */

/** Initializes a packet with the header of this node. */
void mem_send_begin(struct mem_core *core, struct mem_packet *packet,
		    enum mem_type type);
/** Piggybacks pending updates, sends the packet and clears it.
 *  @param receiver  NULL if it is not known */
void mem_send_end(struct mem_core *core, struct mem_packet *packet,
		  const struct mem_node *receiver,
		  const struct sockaddr_in *to);
/** Sends a packet without pending updates and clears it. */
void mem_send_bare(struct mem_core *core, struct mem_packet *packet,
		   const struct sockaddr_in *to);
/** Pings a member; a dead or suspect one gets that state in it, to refute. */
void mem_send_ping(struct mem_core *core, struct mem_node *node,
		   uint32_t sequence);
/** Queues a member's update for dissemination. */
void mem_send_enqueue(struct mem_core *core, struct mem_node *node, bool full);
/** Drops a member's update: it would carry a state that is not to be told. */
void mem_send_withdraw(struct mem_core *core, struct mem_node *node);
/** Sends the leaving state to MEM_LEAVE_FANOUT random members at once. */
void mem_send_leaving(struct mem_core *core);
/** Pushes new updates to MEM_PUSH_FANOUT random members, rate-limited. */
void mem_send_pushes(struct mem_core *core, int64_t now_us);

/* Checks: mem_check.c */
void mem_check_tick(struct mem_core *core, int64_t now_us);
void mem_check_receive_ack(struct mem_core *core,
			   const struct mem_packet *packet, int64_t now_us);
void mem_check_receive_ping_req(struct mem_core *core,
				const struct mem_packet *packet,
				int64_t now_us);
/** Drops all outstanding pings and restarts the suspicion timeouts. */
void mem_check_reset(struct mem_core *core, int64_t now_us);
/** Returns the time within which a suspect has to refute. */
int64_t mem_suspicion_timeout_us(const struct mem_core *core);

/** Inserts a member at a random position of the ping ring. */
void mem_check_add_to_ring(struct mem_core *core, struct mem_node *node);

/* Updates: mem_merge.c */

/** Merges an update; returns whether the full one has to be pulled. */
bool mem_merge(struct mem_core *core, const struct mem_update *update,
	       int64_t now_us);
/** Sets a state that this node's own failure detector found. */
void mem_declare_state(struct mem_core *core, struct mem_node *node,
		       enum mem_state state, int64_t now_us);

/** Removes a member and the references to it. */
void mem_drop(struct mem_core *core, struct mem_node *node);

/* Anti-entropy and contacts: mem_sync.c */
void mem_sync_tick(struct mem_core *core, int64_t now_us);
void mem_sync_on_mismatch(struct mem_core *core, const struct sockaddr_in *to,
			  int64_t now_us);
void mem_sync_receive(struct mem_core *core, const struct mem_packet *packet);
void mem_sync_answer_pull(struct mem_core *core,
			  const struct mem_packet *packet);

#endif
