/**
 * @file lnk_hello.h
 * @brief Link frames: kinds, and the handshake that authenticates peers.
 *
 * The first byte of a payload is its kind; a message or the members of a
 * handshake frame follow as msgpack. The handshake:
 *
 *   opener    HELLO      name, incarnation, serial, receiver, nonce
 *   acceptor  CHALLENGE  name, incarnation, nonce, MAC
 *   opener    PROOF      MAC
 *
 * Both MACs cover the HELLO and the CHALLENGE without its MAC. Each starts with
 * a label of its side, which prevents reflection of one as the other. A peer
 * with a wrong MAC is refused.
 */
#ifndef LNK_HELLO_H
#define LNK_HELLO_H

#include "fs_err.h"
#include "sig.h"

#define LNK_NONCE_SIZE 16 /* bytes */

/** Kinds of frames. */
enum lnk_kind {
	LNK_MESSAGE = 1,
	LNK_HELLO,
	LNK_CHALLENGE,
	LNK_PROOF,
	LNK_PING,
	LNK_PONG,
	LNK_BYE, /* the opener closes an idle link */
};

/** First frame of the opener. */
struct lnk_hello {
	char name[FS_NAME_MAX];
	uint64_t incarnation;
	uint64_t serial; /* of the connection, increases within an incarnation */
	node_id to;	 /* intended receiver */
	uint8_t nonce[LNK_NONCE_SIZE];
};

/** First frame of the acceptor. */
struct lnk_challenge {
	char name[FS_NAME_MAX];
	uint64_t incarnation;
	uint8_t nonce[LNK_NONCE_SIZE];
	uint8_t mac[SIG_SIZE];
};

/** Fills in a random nonce; aborts if the system has no random source. */
void lnk_nonce_fill(uint8_t nonce[LNK_NONCE_SIZE]);

/** Appends one payload, its kind first, without the frame header. */
void lnk_hello_write(const struct lnk_hello *hello, GByteArray *out);
void lnk_challenge_write(const struct lnk_challenge *challenge,
			 GByteArray *out);
void lnk_proof_write(const uint8_t mac[SIG_SIZE], GByteArray *out);

/** Decodes a payload that follows its kind. @return 0 or FS_E_PROTOCOL */
int lnk_hello_read(const uint8_t *data, size_t size, struct lnk_hello *out);
int lnk_challenge_read(const uint8_t *data, size_t size,
		       struct lnk_challenge *out);
int lnk_proof_read(const uint8_t *data, size_t size, uint8_t mac[SIG_SIZE]);

/** The end that computes a MAC. */
enum lnk_side {
	LNK_OPENER,
	LNK_ACCEPTOR,
};

/** Computes the MAC of one end. @return 0 or FS_E_INVALID */
int lnk_mac(const char *key, enum lnk_side side, const struct lnk_hello *hello,
	    const struct lnk_challenge *challenge, uint8_t out[SIG_SIZE]);

/** Returns whether @p mac is valid for the given end. */
bool lnk_mac_verify(const char *key, enum lnk_side side,
		    const struct lnk_hello *hello,
		    const struct lnk_challenge *challenge,
		    const uint8_t mac[SIG_SIZE]);

#endif
