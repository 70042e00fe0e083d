/**
 * @file lnk.h
 * @brief Link task: messages between nodes over persistent TCP connections.
 *
 * Each node opens one connection to every peer it sends to, and only the node
 * that opened a connection sends messages on it; the acceptor only answers the
 * handshake and heartbeats. Two nodes that send to each other therefore use
 * two connections: simultaneous opens need no tie-break, and a connection
 * failure in one direction affects only one sender's messages.
 *
 * A challenge-response handshake with nonces proves that both ends have the
 * fleet key and binds the connection to the name, the incarnation and a serial
 * number of the opener. Later frames are not authenticated individually.
 *
 * Delivery is at most once: a message is written to one connection and never
 * retransmitted on another. After a newer connection of a node has been
 * accepted, frames of its older ones are not delivered, so that a cancel
 * cannot overtake the request it cancels.
 *
 * Limits: FS_LINK_QUEUE_MAX queued bytes per link, LNK_IN_MAX accepted
 * connections, at most LNK_HANDSHAKES_MAX of them with an incomplete handshake.
 */
#ifndef LNK_H
#define LNK_H

#include "frm.h"
#include "lnk_hello.h"
#include "node.h"

#define LNK_IN_MAX (2 * FS_NODES_MAX) /* accepted connections */
#define LNK_HANDSHAKES_MAX 128	      /* of them with an incomplete handshake */
#define LNK_IDLE_TIMEOUT_US (60 * FS_US_PER_S)	  /* without messages */
#define LNK_HANDSHAKE_TIMEOUT_US FS_US_PER_S	  /* opener, connect included */
#define LNK_READ_TURN_MAX (4 * FS_LINK_QUEUE_MAX) /* bytes per wakeup */

/** A queued outbound frame. */
struct lnk_frame {
	GByteArray *bytes;
	bool control;	  /* handshake, heartbeat or LNK_BYE */
	bool request;	  /* carries a MSG_REQUEST of this node */
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
	GQueue frames;	     /* struct lnk_frame */
	size_t queued_bytes; /* bytes of frames */
	size_t written;	     /* bytes of the first frame already written */
	struct frm_reader reader;
	int64_t opened_us;
	int64_t last_rx_us;
	int64_t last_message_us; /* when a message was last queued */
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
	node_id peer; /* authenticated once state is LNK_UP */
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
	int64_t last_tick_us;
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

/** Opens a connection. @return NULL if the socket could not be set up */
struct lnk_out *lnk_out_open(struct lnk *lnk, const struct mem_member *member,
			     int64_t now_us);

/** Queues a message and takes ownership of it; may break the link. */
void lnk_out_send(struct lnk_out *out, struct msg *m, int64_t now_us);

/** Writes the frames that the state allows until the socket buffer is full.
 *  @return false if a write error broke the link, which is then freed */
bool lnk_out_flush(struct lnk_out *out);

/** Sends heartbeats and enforces time-outs; may close the link. */
void lnk_out_tick(struct lnk_out *out, int64_t now_us);

/**
 * Resets and frees a link. Its unwritten requests are refused as not run, then
 * all tasks receive MSG_LINK_DOWN.
 * @param reason  stable identifier for the log and a counter label
 */
void lnk_out_break(struct lnk_out *out, const char *reason);

/** Closes and frees a link without notifying tasks. */
void lnk_out_free(struct lnk_out *out);

/* Connections opened by peers (lnk_in.c). */

/** Takes ownership of an accepted socket and starts to read from it. */
void lnk_in_new(struct lnk *lnk, int fd, const struct sockaddr_in *address,
		int64_t now_us);

/** Enforces the handshake and receive time-outs; may close the link. */
void lnk_in_tick(struct lnk_in *in, int64_t now_us);

void lnk_in_free(struct lnk_in *in);

/* Notifications shared by both sides (lnk_tell.c). */

/** Sends the entry task a refusal with outcome FS_NOT_RUN for a request that
 *  was never completely written. */
void lnk_refuse_not_run(struct lnk *lnk, node_id peer, const struct req_id *id);

/** Sends MSG_LINK_DOWN for @p peer to all tasks. */
void lnk_notify_down(struct lnk *lnk, node_id peer);

/** Logs and counts the end of a connection. */
void lnk_log_end(struct lnk *lnk, const char *side, node_id peer,
		 const struct sockaddr_in *address, const char *reason);

#endif
