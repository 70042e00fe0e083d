/**
 * @file mem_core.h
 * @brief State machine of the membership protocol, without sockets or clock.
 *
 * SWIM-style failure detection. Each period a node pings one member, in
 * shuffled round-robin order. A member that does not answer is pinged
 * indirectly, through relays in other failure domains; if a relay receives an
 * ack, the member is alive and only the network path is at fault
 * (direct = false). Otherwise it is suspect, and is declared dead unless it
 * refutes that before the suspicion timeout with a higher refutation number.
 * Updates are piggybacked on all datagrams a bounded number of times; new ones
 * are also pushed at once. Nodes whose digests differ compare their tables
 * (anti-entropy). Dead members and unknown seeds are contacted periodically,
 * so that a partition heals without an operator.
 *
 * A node that receives nothing from any member sends its suspicions only to
 * the suspects. A node that was paused restarts all suspicion timeouts before
 * it declares anyone dead.
 */
#ifndef MEM_CORE_H
#define MEM_CORE_H

#include "mem.h"

struct mem_core;

#define MEM_TICK_US 100000 /* between calls of mem_core_tick() */

/** Sends one datagram, unsigned. */
typedef void (*mem_send_fn)(void *arg, const struct sockaddr_in *to,
			    const uint8_t *data, size_t size);

/**
 * Creates the state of one node.
 * @param self  name, region, failure domain, addresses, incarnation
 * @param seed  of the pseudo-random generator
 */
struct mem_core *mem_core_new(const struct mem_member *self, uint64_t seed,
			      mem_send_fn send, void *arg);
void mem_core_free(struct mem_core *core);

/** Adds a seed address, contacted while no present member has it. */
void mem_core_add_seed(struct mem_core *core,
		       const struct sockaddr_in *address);

/** Replaces the contact addresses that come from the VM list. */
void mem_core_set_vm_contacts(struct mem_core *core,
			      const struct sockaddr_in *addresses,
			      uint32_t count);

/** Runs the timers; called every MEM_TICK_US. */
void mem_core_tick(struct mem_core *core, int64_t now_us);

/** Processes one datagram without its signature. @return 0 or FS_E_PROTOCOL */
int mem_core_receive(struct mem_core *core, const uint8_t *data, size_t size,
		     int64_t now_us);

/** Announces that this node is leaving. */
void mem_core_leave(struct mem_core *core);

/** Sets the configuration version of this node and pushes it to members. */
void mem_core_set_config(struct mem_core *core, uint64_t version,
			 int64_t now_us);

/** Returns whether membership changed since the last mem_core_view(). */
bool mem_core_changed(const struct mem_core *core);

/** Creates a view of the members and clears the changed flag. */
struct mem_view *mem_core_view(struct mem_core *core);

/** Creates a view with serial 0 and leaves the changed flag as it is. */
struct mem_view *mem_core_peek(const struct mem_core *core);

/**
 * Returns a member that reported a higher configuration version than this
 * node's since the last call, or 0.
 */
node_id mem_core_pop_hint(struct mem_core *core, uint64_t *version);

/** Returns the number of alive members, this node included. */
uint32_t mem_core_alive(const struct mem_core *core);

#endif
