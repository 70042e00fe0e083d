/**
 * @file fleet_lnk.h
 * @brief Link tasks on a loop, and raw sockets that play a peer by hand.
 */
#ifndef FLEET_LNK_H
#define FLEET_LNK_H

#include "lnk.h"

#define PAIR_KEY "a fleet key of the tests"

/** One node with a link task; what its tasks get is kept. */
struct pair_node {
	struct node node;
	struct lnk *lnk;
	GPtrArray *got; /* struct msg, of entry and dispatch */
	uint32_t downs; /* MSG_LINK_DOWN seen by the entry task */
};

/** A socket that plays a peer of a node. */
struct raw_peer {
	int fd;
	struct frm_reader reader;
	struct lnk_hello hello;
	struct lnk_challenge challenge;
};

/** Starts a node called @p name that listens on loopback. */
void pair_begin(struct pair_node *p, struct ev_loop *loop, const char *name,
		const char *key);
void pair_end(struct pair_node *p);

/** Tells a node that @p name lives at @p peer. */
void pair_meet(struct pair_node *p, const char *name,
	       const struct sockaddr_in *peer);

/** Sends a MSG_REQUEST whose body has @p bytes. */
void pair_request(struct pair_node *p, const char *to, uint64_t counter,
		  size_t bytes);
void pair_cancel(struct pair_node *p, const char *to, uint64_t counter);

/** Runs the loop for a time. */
void pair_run(struct ev_loop *loop, int64_t us);

/** Runs until a condition holds; fails after 6 s. */
#define pair_until(loop, condition)                              \
	do {                                                     \
		int64_t end_us = fs_now_us() + 6 * FS_US_PER_S;  \
		while (!(condition)) {                           \
			g_assert_cmpint(fs_now_us(), <, end_us); \
			pair_run(loop, 2000);                    \
		}                                                \
	} while (0)

/** Returns the message of a type for a request, or NULL. */
const struct msg *pair_find(const struct pair_node *p, enum msg_type type,
			    uint64_t counter);

/** Connects to a node and sends a HELLO in the name of @p name. */
void raw_open(struct raw_peer *raw, struct pair_node *p, const char *name,
	      uint64_t incarnation, uint64_t serial);

/** Waits for the challenge and proves the name with @p key. */
void raw_prove(struct raw_peer *raw, struct ev_loop *loop, const char *key);

/** Listens on loopback; the address goes to @p address. */
int raw_listen(struct sockaddr_in *address);

/** Accepts a node's connection as @p name and proves it with @p key. */
void raw_accept(struct raw_peer *raw, struct ev_loop *loop, int listen_fd,
		const char *name, const char *key);

/** Sends one frame of a kind. */
void raw_send(struct raw_peer *raw, enum lnk_kind kind, const void *data,
	      size_t size);

/** Sends a MSG_REQUEST or MSG_CANCEL by hand. */
void raw_message(struct raw_peer *raw, enum msg_type type, uint64_t counter);

/** Returns whether the node has closed the connection. */
bool raw_closed(struct raw_peer *raw);
void raw_end(struct raw_peer *raw);

#endif
