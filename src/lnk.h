/**
 * @file lnk.h
 * @brief Link task: messages between nodes over kept TCP connections.
 *
 * Each node opens one connection to every peer it sends to, and only the node
 * that opened a connection sends messages on it; the other end answers the
 * handshake and heartbeats. Two nodes that talk both ways hold two
 * connections: no tie has to be broken when both open at once, and a
 * connection that fails in one direction takes only one sender's messages.
 *
 * A handshake with nonces proves both ends' knowledge of the fleet key and
 * binds the connection to the name, the incarnation and a serial number of the
 * opener. Frames after it are not authenticated one by one.
 *
 * A message is handed to the kernel at most once and never again on another
 * connection. Once a newer connection of a node is accepted, frames of its
 * older ones are not delivered any more, so that a cancel can not overtake
 * the request it withdraws.
 *
 * Limits: FS_LINK_QUEUE_MAX bytes waiting per link, LNK_IN_MAX accepted
 * connections, of which LNK_HANDSHAKES_MAX before the end of their handshake.
 */
#ifndef LNK_H
#define LNK_H

#include "frm.h"
#include "lnk_hello.h"
#include "node.h"

#define LNK_IN_MAX (2 * FS_NODES_MAX)	       /* accepted connections */
#define LNK_HANDSHAKES_MAX 128		       /* of them in their handshake */
#define LNK_IDLE_TIMEOUT_US (60 * FS_US_PER_S) /* unused links are closed */
#define LNK_HANDSHAKE_TIMEOUT_US FS_US_PER_S   /* connect and handshake */
#define LNK_READ_TURN_MAX (4 * FS_LINK_QUEUE_MAX) /* bytes read in one turn */

/** A frame that waits to be written. */
struct lnk_frame {
	GByteArray *bytes;
	bool control;	  /* heartbeat or handshake */
	bool request;	  /* a MSG_REQUEST of this node */
	struct req_id id; /* of that request */
};

enum lnk_state {
	LNK_CONNECTING,
	LNK_HANDSHAKE,
	LNK_UP,
};

/** A connection that this node opened. */
struct lnk_out {
	struct lnk *lnk;
	node_id peer;
	struct lnk_hello hello;
	int fd;
	ev_io io;
	enum lnk_state state;
	GQueue frames;	/* struct lnk_frame */
	size_t queued;	/* bytes of frames */
	size_t written; /* bytes of the first frame that the kernel has */
	struct frm_reader reader;
	int64_t opened_us;
	int64_t last_rx_us;
	int64_t used_us; /* last message sent */
};

/** A connection that a peer opened. */
struct lnk_in {
	struct lnk *lnk;
	int fd;
	ev_io io;
	enum lnk_state state;
	struct sockaddr_in address;
	struct lnk_hello hello; /* of the peer */
	struct lnk_challenge challenge;
	node_id peer; /* proven once state is LNK_UP */
	GByteArray *output;
	struct frm_reader reader;
	int64_t opened_us;
	int64_t last_rx_us;
};

/** The newest connection accepted from a node. */
struct lnk_accepted {
	uint64_t incarnation;
	uint64_t serial;
};

struct lnk {
	struct node *node;
	int listen_fd;
	ev_io accept_io;
	ev_timer tick;
	ev_prepare flush;
	int64_t ticked_us;
	struct mem_view *view;
	GHashTable *out;      /* node_id to struct lnk_out */
	GPtrArray *in;	      /* struct lnk_in */
	GHashTable *accepted; /* node_id to struct lnk_accepted */
	uint64_t serial;      /* of the last connection opened */
	handle frames_out;    /* counters */
	handle frames_in;
	handle bytes_out;
	handle bytes_in;
};

/* Connections opened by this node (lnk_out.c). */

/** Opens a connection; NULL if the socket could not be made. */
struct lnk_out *lnk_out_open(struct lnk *lnk, const struct mem_member *member,
			     int64_t now_us);

/** Queues a message and takes it over; may break the link. */
void lnk_out_send(struct lnk_out *out, struct msg *m, int64_t now_us);

/** Writes what the kernel takes. Returns false if that broke the link, which is
 *  freed then. */
bool lnk_out_flush(struct lnk_out *out);

/** Heartbeats and time limits; may close the link. */
void lnk_out_tick(struct lnk_out *out, int64_t now_us);

/**
 * Closes a link. Its unwritten requests are refused as not run, then all tasks
 * are told that the link is down.
 * @param reason  stable word for the log and a counter
 */
void lnk_out_break(struct lnk_out *out, const char *reason);

/** Closes a link without telling anybody. */
void lnk_out_free(struct lnk_out *out);

/* Connections opened by peers (lnk_in.c). */

/** Takes over an accepted socket. */
void lnk_in_new(struct lnk *lnk, int fd, const struct sockaddr_in *address,
		int64_t now_us);

/** Heartbeats and time limits; may close the link. */
void lnk_in_tick(struct lnk_in *in, int64_t now_us);

void lnk_in_free(struct lnk_in *in);

/* Shared parts (lnk_tell.c). */

/** Tells the entry task that a request was never written. */
void lnk_refuse_not_run(struct lnk *lnk, node_id peer, const struct req_id *id);

/** Tells all tasks that the link to @p peer is down. */
void lnk_notify_down(struct lnk *lnk, node_id peer);

/** Logs and counts the end of a connection. */
void lnk_log_end(struct lnk *lnk, const char *side, node_id peer,
		 const struct sockaddr_in *address, const char *reason);

#endif
