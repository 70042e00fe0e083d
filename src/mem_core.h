/**
 * @file mem_core.h
 * @brief State machine of the membership protocol, without sockets or clock.
 *
 * Each period a node pings one member, in a shuffled round. A member that
 * does not answer is pinged through others in other failure domains; if they
 * hear it, it lives and only the path is at fault (direct = false). If nobody
 * does, it is suspect, and dead unless it denies that in time with a higher
 * refutation number. Updates ride on all datagrams a bounded number of times;
 * new ones are also pushed at once. Nodes whose digests differ compare their
 * tables. Dead members and unknown seeds are contacted again from time to
 * time, so that a partition heals by itself.
 *
 * A node that hears nobody accuses others only to itself. A node that was
 * paused grants everybody a fresh period before it judges.
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
 * Makes the state of one node.
 * @param self  the node: name, place, addresses, incarnation
 * @param seed  of its random choices
 */
struct mem_core *mem_core_new(const struct mem_member *self, uint64_t seed,
			      mem_send_fn send, void *arg);
void mem_core_free(struct mem_core *core);

/** Names an address where a member may always be looked for. */
void mem_core_add_seed(struct mem_core *core,
		       const struct sockaddr_in *address);

/** Names the addresses of the VM list, in place of those named before. */
void mem_core_set_vm_contacts(struct mem_core *core,
			      const struct sockaddr_in *addresses,
			      uint32_t count);

/** Does what is due; to be called every MEM_TICK_US. */
void mem_core_tick(struct mem_core *core, int64_t now_us);

/** Takes one datagram, without its signature. @return 0 or FS_E_PROTOCOL */
int mem_core_receive(struct mem_core *core, const uint8_t *data, size_t size,
		     int64_t now_us);

/** Announces that this node is leaving. */
void mem_core_leave(struct mem_core *core);

/** Sets the configuration version of this node and tells a few members. */
void mem_core_set_config(struct mem_core *core, uint64_t version,
			 int64_t now_us);

/** Returns whether membership changed since the last view was made. */
bool mem_core_changed(const struct mem_core *core);

/** Makes a view of the members; they count as unchanged from then on. */
struct mem_view *mem_core_view(struct mem_core *core);

/** Makes a view for a look, without a serial number. */
struct mem_view *mem_core_peek(const struct mem_core *core);

/**
 * Returns a member whose configuration version is higher than this node's,
 * heard of since the last call, or 0.
 */
node_id mem_core_pop_hint(struct mem_core *core, uint64_t *version);

/** Returns how many members are alive, this node included. */
uint32_t mem_core_alive(const struct mem_core *core);

#endif
