/**
 * @file mem_wire.h
 * @brief Datagrams of the membership protocol, encoded with msgpack.
 *
 * A datagram has a header with the state of its sender, and updates on
 * members. An update is compact (id, incarnation, refutation, state) or full
 * (also name, region, failure domain, addresses and version). mem.c signs
 * datagrams.
 *
 * Limits: MEM_PAYLOAD_MAX bytes; updates that do not fit are left out.
 */
#ifndef MEM_WIRE_H
#define MEM_WIRE_H

#include "mem.h"

#define MEM_SIGNATURE_SIZE 16
#define MEM_PAYLOAD_MAX (FS_DATAGRAM_MAX - MEM_SIGNATURE_SIZE)

enum mem_type {
	MEM_PING = 1, /* answered by MEM_ACK with the same sequence number */
	MEM_ACK,      /* subject: the member that answered */
	MEM_PING_REQ, /* requests an indirect ping of the subject */
	MEM_GOSSIP,   /* updates only, no reply */
	MEM_SYNC,     /* all present members with ids in [low, high] */
	MEM_PULL,     /* requests full updates on these members */
	MEM_MEMBERS,  /* full updates, the reply to SYNC and PULL */
	MEM_TYPE_END,
};

/** State of one member as carried in a datagram. */
struct mem_update {
	node_id id;
	uint64_t incarnation;
	uint32_t refutation; /* raised by the member to refute a suspicion */
	enum mem_state state;
	bool full;		  /* member is valid */
	struct mem_member member; /* name, domain, addresses, version */
};

/** One datagram. */
struct mem_packet {
	enum mem_type type;
	node_id sender;
	uint64_t incarnation;
	uint32_t refutation;
	enum mem_state state;	 /* MEM_ALIVE or MEM_LEAVING */
	struct sockaddr_in peer; /* advertised address for replies */
	uint64_t config_version;
	uint64_t digest; /* of the sender's present members */
	uint32_t sequence;
	node_id subject; /* ACK and PING_REQ */
	node_id low;	 /* SYNC */
	node_id high;	 /* SYNC */
	GArray *updates; /* struct mem_update */
};

/** Initializes a packet; mem_packet_clear() frees its updates. */
void mem_packet_init(struct mem_packet *packet, enum mem_type type);
void mem_packet_clear(struct mem_packet *packet);

/** Returns an upper bound of the encoded size of an update in bytes. */
size_t mem_update_size(const struct mem_update *update);

/** Returns whether @p a is newer than @p b; both concern one member. */
bool mem_update_supersedes(const struct mem_update *a,
			   const struct mem_update *b);

/** Appends the encoded packet to @p out. */
void mem_wire_encode(const struct mem_packet *packet, GByteArray *out);

/**
 * Decodes a datagram without its signature.
 * @param packet  out: cleared by the caller, also after an error
 * @return 0, or FS_E_PROTOCOL
 */
int mem_wire_decode(const uint8_t *data, size_t size,
		    struct mem_packet *packet);

#endif
