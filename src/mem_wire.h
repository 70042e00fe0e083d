/**
 * @file mem_wire.h
 * @brief Datagrams of the membership protocol, encoded with msgpack.
 *
 * A datagram names its sender and carries updates on members. An update is
 * compact (which state of which process) or full (with name, place and
 * addresses). The code that signs datagrams is not here.
 *
 * Limits: MEM_PAYLOAD_MAX bytes; what does not fit is left out.
 */
#ifndef MEM_WIRE_H
#define MEM_WIRE_H

#include "mem.h"

#define MEM_SIGNATURE_SIZE 16
#define MEM_PAYLOAD_MAX (FS_DATAGRAM_MAX - MEM_SIGNATURE_SIZE)

enum mem_type {
	MEM_PING = 1, /* answered by MEM_ACK with the same sequence number */
	MEM_ACK,      /* subject: the member that answered */
	MEM_PING_REQ, /* ping the subject for me */
	MEM_GOSSIP,   /* updates only, not answered */
	MEM_SYNC,     /* all present members with ids from low to high */
	MEM_PULL,     /* send me full updates on these members */
	MEM_MEMBERS,  /* full updates, as asked for */
	MEM_TYPE_END,
};

/** What is told of one member. */
struct mem_update {
	node_id id;
	uint64_t incarnation;
	uint32_t refutation; /* grows when the member denies its death */
	enum mem_state state;
	bool full;		  /* member is filled in */
	struct mem_member member; /* name, place, addresses, version */
};

/** One datagram. */
struct mem_packet {
	enum mem_type type;
	node_id sender;
	uint64_t incarnation;
	uint32_t refutation;
	enum mem_state state;	 /* MEM_ALIVE or MEM_LEAVING */
	struct sockaddr_in peer; /* where answers go, as advertised */
	uint64_t config_version;
	uint64_t digest; /* of the sender's present members */
	uint32_t sequence;
	node_id subject; /* ACK and PING_REQ */
	node_id low;	 /* SYNC */
	node_id high;	 /* SYNC */
	GArray *updates; /* struct mem_update */
};

/** Makes and frees a packet's array of updates. */
void mem_packet_init(struct mem_packet *packet, enum mem_type type);
void mem_packet_clear(struct mem_packet *packet);

/** Returns the encoded size of an update, or a little more. */
size_t mem_update_size(const struct mem_update *update);

/** Returns whether @p a is newer than @p b; both concern one member. */
bool mem_update_supersedes(const struct mem_update *a,
			   const struct mem_update *b);

/** Appends the encoded packet to @p out. */
void mem_wire_encode(const struct mem_packet *packet, GByteArray *out);

/**
 * Decodes a datagram without its signature.
 * @param packet  out: to be cleared by the caller, also after an error
 * @return 0, or FS_E_PROTOCOL
 */
int mem_wire_decode(const uint8_t *data, size_t size,
		    struct mem_packet *packet);

#endif
