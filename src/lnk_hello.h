/**
 * @file lnk_hello.h
 * @brief Frames of a link: their kinds, and the handshake that proves a peer.
 *
 * The first byte of a payload is its kind; a message or the members of a
 * handshake frame follow as msgpack. The handshake:
 *
 *   opener    HELLO      name, incarnation, serial, receiver, nonce
 *   acceptor  CHALLENGE  name, incarnation, nonce, code over both
 *   opener    PROOF      code over both
 *
 * The two codes differ by a label, so that neither can be sent back as the
 * other. A peer is refused if its code is wrong.
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
	LNK_BYE, /* the opener closes an unused link */
};

/** First frame of the opener. */
struct lnk_hello {
	char name[FS_NAME_MAX];
	uint64_t incarnation;
	uint64_t serial; /* of the connection, grows within the incarnation */
	node_id to;	 /* the node it means to reach */
	uint8_t nonce[LNK_NONCE_SIZE];
};

/** First frame of the acceptor. */
struct lnk_challenge {
	char name[FS_NAME_MAX];
	uint64_t incarnation;
	uint8_t nonce[LNK_NONCE_SIZE];
	uint8_t code[SIG_SIZE];
};

/** Fills in a fresh nonce. */
void lnk_nonce_fill(uint8_t nonce[LNK_NONCE_SIZE]);

/** Appends one payload, its kind first, without a frame. */
void lnk_hello_write(const struct lnk_hello *hello, GByteArray *out);
void lnk_challenge_write(const struct lnk_challenge *challenge,
			 GByteArray *out);
void lnk_proof_write(const uint8_t code[SIG_SIZE], GByteArray *out);

/** Reads a payload after its kind. @return 0 or FS_E_PROTOCOL */
int lnk_hello_read(const uint8_t *data, size_t size, struct lnk_hello *out);
int lnk_challenge_read(const uint8_t *data, size_t size,
		       struct lnk_challenge *out);
int lnk_proof_read(const uint8_t *data, size_t size, uint8_t code[SIG_SIZE]);

/** Which end computes a code. */
enum lnk_side {
	LNK_OPENER,
	LNK_ACCEPTOR,
};

/** Computes the code of one end. @return 0 or FS_E_INVALID */
int lnk_mac(const char *key, enum lnk_side side, const struct lnk_hello *hello,
	    const struct lnk_challenge *challenge, uint8_t out[SIG_SIZE]);

/** Returns whether a code is that of the given end. */
bool lnk_mac_verify(const char *key, enum lnk_side side,
		    const struct lnk_hello *hello,
		    const struct lnk_challenge *challenge,
		    const uint8_t code[SIG_SIZE]);

#endif
