/**
 * @file mem_core_priv.h
 * @brief Shared by the files that make up the membership's state machine.
 */
#ifndef MEM_CORE_PRIV_H
#define MEM_CORE_PRIV_H

#include "mem_core.h"
#include "mem_table.h"

#define MEM_PAUSE_MIN_US (10 * MEM_TICK_US) /* a longer gap between two ticks */
#define MEM_INDIRECT_TIMEOUT_US \
	(2 * FS_GOSSIP_ACK_US) /* after the direct wait */
#define MEM_RX_TIMEOUT_US (3 * FS_GOSSIP_PERIOD_US)
#define MEM_CHECKS_MAX 16
#define MEM_RELAYS_MAX 64
#define MEM_RELAY_TIMEOUT_US (2 * FS_GOSSIP_ACK_US)
#define MEM_CONTACT_PERIOD_ALONE_US 500000
#define MEM_CONTACT_PERIOD_US 5000000
#define MEM_SYNC_INTERVAL_MIN_US 5000000 /* between two comparisons of tables */
#define MEM_SYNC_SETTLE_US 3000000	 /* without changes before one */
#define MEM_DEAD_RETENTION_US (7200 * FS_US_PER_S) /* dead members are kept */
#define MEM_PUSH_FANOUT 3
#define MEM_PUSH_BURST 10
#define MEM_PUSH_REFILL_US 200000
#define MEM_LEAVE_FANOUT 8
#define MEM_LEAVE_REPEATS 3

/** A ping that waits for its answer. */
struct mem_check {
	node_id target; /* 0: not in use */
	uint32_t sequence;
	int64_t sent_us;
	bool indirect; /* others were asked */
	bool relayed;  /* others heard it */
};

/** A ping sent for another member. */
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
	int64_t ticked_us;
	int64_t last_rx_us; /* last datagram from another member */
	/* Pings */
	GArray *ring; /* node_id, shuffled */
	guint ring_next;
	int64_t next_ping_us;
	struct mem_check checks[MEM_CHECKS_MAX];
	struct mem_relay relays[MEM_RELAYS_MAX];
	/* Updates to be sent */
	GPtrArray *hot; /* struct mem_node with sends_left */
	bool push;	/* new updates are to be pushed */
	uint32_t push_tokens;
	int64_t push_refilled_us;
	uint32_t leave_repeats;
	/* Contacts */
	GArray *contacts;    /* struct sockaddr_in, seeds first */
	guint contact_seeds; /* how many of them are seeds */
	int64_t next_contact_us;
	int64_t next_sync_us;
	/* Configuration */
	node_id hint;
	uint64_t hint_version;
};

/* Random choices */
uint64_t mem_random(struct mem_core *core);
uint32_t mem_random_below(struct mem_core *core, uint32_t limit);

/** Returns a random member that is alive or leaving, not this node. */
struct mem_node *mem_random_live(struct mem_core *core);

/* Sending: mem_send.c */

/** Starts a packet from this node. */
void mem_send_begin(struct mem_core *core, struct mem_packet *packet,
		    enum mem_type type);
/** Adds pending updates, sends the packet and clears it. */
void mem_send_end(struct mem_core *core, struct mem_packet *packet,
		  const struct sockaddr_in *to);
/** Sends a packet without pending updates and clears it. */
void mem_send_bare(struct mem_core *core, struct mem_packet *packet,
		   const struct sockaddr_in *to);
/** Pings a member; if it is held dead or suspect it is told so. */
void mem_send_ping(struct mem_core *core, struct mem_node *node,
		   uint32_t sequence);
/** Marks a member's update as one to be sent to others. */
void mem_send_enqueue(struct mem_core *core, struct mem_node *node, bool full);
/** Tells many members at once that this node is leaving. */
void mem_send_leaving(struct mem_core *core);
/** Pushes new updates to a few members, within a bounded rate. */
void mem_send_pushes(struct mem_core *core, int64_t now_us);

/* Checks: mem_check.c */
void mem_check_tick(struct mem_core *core, int64_t now_us);
void mem_check_receive_ack(struct mem_core *core,
			   const struct mem_packet *packet, int64_t now_us);
void mem_check_receive_ping_req(struct mem_core *core,
				const struct mem_packet *packet,
				int64_t now_us);
/** Forgets all pings under way and grants suspects a fresh period. */
void mem_check_reset(struct mem_core *core, int64_t now_us);
/** Returns how long a suspect has to deny it. */
int64_t mem_suspicion_timeout_us(const struct mem_core *core);

/** Gives a member its turn in the round of pings. */
void mem_check_add_to_ring(struct mem_core *core, struct mem_node *node);

/* Updates: mem_merge.c */

/** Takes an update; returns whether more on this member is to be pulled. */
bool mem_merge(struct mem_core *core, const struct mem_update *update,
	       int64_t now_us);
/** Changes the state of a member, by this node's own judgement. */
void mem_declare_state(struct mem_core *core, struct mem_node *node,
		       enum mem_state state, int64_t now_us);

/** Drops a member with all that refers to it. */
void mem_drop(struct mem_core *core, struct mem_node *node);

/* Comparing tables: mem_sync.c */
void mem_sync_tick(struct mem_core *core, int64_t now_us);
void mem_sync_on_mismatch(struct mem_core *core, const struct sockaddr_in *to,
			  int64_t now_us);
void mem_sync_receive(struct mem_core *core, const struct mem_packet *packet);
void mem_sync_answer_pull(struct mem_core *core,
			  const struct mem_packet *packet);

#endif
