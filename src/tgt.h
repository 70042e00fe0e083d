/**
 * @file tgt.h
 * @brief One exchange with a target: a request written once, its answer read.
 *
 * An exchange writes its request at most once, to one connection. libcurl
 * sends a request again by itself when a kept connection closes under it; two
 * guards prevent that, and each is enough alone: a request that may not be
 * repeated always opens its own connection, which no other request uses, and
 * CURLOPT_PREREQFUNCTION aborts the second writing of any request.
 *
 * A kept connection is used only if nothing has arrived on it since its last
 * answer; else the request goes by a new one.
 *
 * The answer is taken as whole only if its end can be told from a cut: by
 * Content-Length, by chunks, or because it has no body. A body that ends with
 * its connection, is short, or is longer than its Content-Length is an error,
 * and so is an answer that names another request in Fescuesaddle-Request.
 * Bytes that arrive behind the last chunk, or behind an answer to HEAD, are
 * dropped: the answer itself is whole.
 *
 * With a dialect (see struct tgt_dialect) some of this differs.
 *
 * Limits: an answer's header fields as in TGT_HEADERS_MAX and
 * TGT_HEADER_BYTES_MAX. A body is buffered up to FS_ANSWER_WHOLE_MAX; a longer
 * one is streamed, with at most FS_ANSWER_WINDOW bytes waiting here.
 */
#ifndef TGT_H
#define TGT_H

#include "msg.h"
#include "tgt_pool.h"

#define TGT_HEADERS_MAX 128		 /* header fields of an answer */
#define TGT_HEADER_BYTES_MAX (64 * 1024) /* bytes of all of them */
#define TGT_CONNECT_MAX_US 1000000LL	 /* longest time to connect */
#define TGT_POOL_CONNECTIONS 512	 /* kept idle at most */

struct tgt;

/** How an exchange ended. */
struct tgt_result {
	int err;	 /* 0: a whole answer; FS_E_CONNECT, FS_E_DEADLINE,
			  * FS_E_TARGET_RESET, FS_E_TRUNCATED or
			  * FS_E_ANSWER_INVALID */
	bool written;	 /* a byte of the request may have reached the target */
	bool reused;	 /* the connection came from the pool */
	bool headed;	 /* the header fields of an answer were read */
	int64_t took_us; /* until the header fields, or until the end */
};

/** What the owner of an exchange is told; never from inside tgt_start(). */
struct tgt_ops {
	/** The body is too long to be buffered: its first part is here. */
	void (*begun)(void *arg, struct tgt *tgt);
	/** After begun(): there are bytes to take. */
	void (*more)(void *arg, struct tgt *tgt);
	/** The header fields did not come in time. @return whether to give
	 *  the exchange up; else it goes on until its deadline */
	bool (*silent)(void *arg, struct tgt *tgt);
	/** The end, told once; not after tgt_free(). */
	void (*done)(void *arg, struct tgt *tgt, const struct tgt_result *end);
};

/**
 * How targets of a platform differ from those of the fleet's own interface.
 * They name an answer by the caller's request id and prove a success, may end a body with its
 * connection, and may send bytes behind an answer that is whole; a connection
 * with such bytes is not used again.
 */
struct tgt_dialect {
	const char *request_id;	 /* header field, echoed by the target */
	const char *deadline_ms; /* header field: what is left, in ms */
	const char *proof;	 /* header field that only a target's own
				  * success bears */
	long idle_s;		 /* kept connections are used for so long */
	int64_t connect_us;	 /* longest time to connect */
};

/** What an exchange is started with; all of it is copied or referenced. */
struct tgt_request {
	const char *address;	     /* "ip:port" of the target */
	const struct msg_request *m; /* method, header fields, body */
	const char *id;		     /* the request id as text */
	bool repeatable;	     /* pooled connections may be used */
	bool fresh;		     /* use no pooled connection all the same */
	int64_t deadline_us;	     /* when the whole answer must be here */
	int64_t head_us;	     /* when its header fields must be here */
	const struct tgt_dialect *dialect; /* NULL: the fleet's own fields */
};

/** Returns whether a request can be written as it is: no control bytes. */
bool tgt_request_valid(const struct msg_request *m);

/**
 * Starts an exchange.
 * @return NULL if libcurl has no room; nothing was written then
 */
struct tgt *tgt_start(struct tgt_pool *pool, const struct tgt_request *request,
		      const struct tgt_ops *ops, void *arg, int64_t now_us);

/**
 * Stops an exchange that has not ended, and frees it. The connection is
 * closed, which cancels the request at the target.
 * @return whether a byte of the request may have reached the target
 */
bool tgt_free(struct tgt *tgt);

/** Returns whether a byte of the request may have reached the target. */
bool tgt_written(const struct tgt *tgt);

/** Returns whether it runs on a connection that was kept from before. */
bool tgt_reused(const struct tgt *tgt);

/** Returns the status of the answer. */
uint32_t tgt_status(const struct tgt *tgt);

/** Returns the header fields with a new reference; they stay the answer's. */
GArray *tgt_peek_headers(struct tgt *tgt);

/** Takes the header fields, hop-by-hop ones removed. */
GArray *tgt_steal_headers(struct tgt *tgt);

/** Returns whether the answer says that the target is leaving. */
bool tgt_draining(const struct tgt *tgt);

/** Returns the length of the whole body, or -1 if it was not told; of an answer
 *  to HEAD, that of the body which is not sent. */
int64_t tgt_length(const struct tgt *tgt);

/** Takes up to @p max bytes of the body. */
GBytes *tgt_read_body(struct tgt *tgt, size_t max);

/** Returns how many bytes can be taken. */
size_t tgt_buffered_bytes(const struct tgt *tgt);

/** Reads on after bytes were taken; not from inside the functions of ops. */
void tgt_resume(struct tgt *tgt);

#endif
