/**
 * @file tgt.h
 * @brief One HTTP exchange with a target: a request written once, its answer.
 *
 * An exchange writes its request at most once, to one connection. libcurl
 * retries a request by itself when a reused connection closes under it. Two
 * guards prevent that, each sufficient alone: a request that is not repeatable
 * always opens its own connection, which no other request uses, and
 * CURLOPT_PREREQFUNCTION aborts the second writing of any request.
 *
 * A pooled connection is reused only if nothing has arrived on it since its
 * last answer; otherwise the request opens a new one.
 *
 * An answer is complete only if its end is distinguishable from a cut: by
 * Content-Length, by chunks, or because it has no body. A body that ends with
 * its connection, is short, or is longer than its Content-Length is an error,
 * and so is an answer that names another request in Fescuesaddle-Request.
 * Bytes behind the last chunk, or behind an answer without a body, are discarded: the
 * answer itself is complete. The connection is not used again: what follows such
 * bytes would be taken for a part of the next answer. The same holds after trailer
 * fields and, with a dialect, after an answer that names no request.
 *
 * libcurl is lenient with framing. What it takes for a status line, an end of the
 * header fields or the size of a chunk, and is none, makes an answer invalid.
 *
 * A process that was paused or busy over a time limit first reads what arrived
 * meanwhile, so that an answer that came in time is not given up.
 *
 * With a dialect (see struct tgt_dialect) some of this differs.
 *
 * Bytes without end: a body is read until the deadline, as fast as the caller takes
 * it; framing is limited (TGT_FRAMING_BYTES_MAX).
 *
 * Limits: an answer's header fields are limited by TGT_HEADERS_MAX and
 * TGT_HEADER_BYTES_MAX. A body is buffered up to FS_ANSWER_WHOLE_MAX; a longer
 * one is streamed, with at most FS_ANSWER_WINDOW bytes buffered here, or what the
 * owner allows.
 */
#ifndef TGT_H
#define TGT_H

#include "msg.h"
#include "tgt_pool.h"

#define TGT_HEADERS_MAX 128		 /* header fields of an answer */
#define TGT_HEADER_BYTES_MAX (64 * 1024) /* bytes of all of them */
#define TGT_CONNECT_MAX_US 1000000LL	 /* longest time to connect */
/* Framing of a body in chunks that libcurl drops: this much, and this much for each
 * byte of the body. A chunk of one byte takes 5 bytes more. */
#define TGT_FRAMING_BYTES_MAX (256 * 1024)
#define TGT_FRAMING_PER_BYTE_MAX 8
/* A short body arrives with its head; one that is not needed is not waited for
 * longer, which costs the connection. */
#define TGT_UNNEEDED_BODY_MAX_US (20 * FS_US_PER_MS)
#define TGT_POOL_CONNECTIONS 512 /* idle connections at most */
/* Turns of the loop after a time limit in which what has arrived is still read:
 * libcurl reads 16 KiB of an answer in a turn. */
#define TGT_LATE_TURNS_MAX \
	((FS_ANSWER_WHOLE_MAX + TGT_HEADER_BYTES_MAX) / (16 * 1024) + 2)

struct tgt;

/** What tells where an answer's body ends. */
enum tgt_framing {
	TGT_FRAMING_NONE, /* no head was read, or the answer has no body */
	TGT_FRAMING_LENGTH,
	TGT_FRAMING_CHUNKS,
	TGT_FRAMING_CONNECTION, /* the end of the connection */
};

/** How an exchange ended. */
struct tgt_result {
	int err;      /* 0: a complete answer; FS_E_CONNECT, FS_E_DEADLINE,
			  * FS_E_TARGET_RESET, FS_E_TRUNCATED or
			  * FS_E_ANSWER_INVALID */
	bool written; /* a byte of the request may have reached the target */
	bool reused;  /* the connection came from the pool */
	bool headers_complete; /* the header fields of an answer were read */
	int64_t took_us;       /* until the header fields, or until the end */
	enum tgt_framing framing;
	int64_t body_bytes; /* that were read, without framing */
	bool bytes_behind;  /* more was read behind the end of the answer */
};

/** Callbacks to the owner of an exchange; never called inside tgt_start(). */
struct tgt_ops {
	/**
	 * The header fields were read.
	 * @return whether the body is needed; if not, the answer counts as complete
	 *         without it
	 */
	bool (*needs_body)(void *arg, struct tgt *tgt);
	/** The body is too long to be buffered: its first part can be read. */
	void (*stream_started)(void *arg, struct tgt *tgt);
	/** After stream_started(): more bytes can be read. */
	void (*body_available)(void *arg, struct tgt *tgt);
	/** Some of the body arrived. Returns whether so many bytes may be buffered of
	 *  a streamed one; another one is read on. NULL: up to FS_ANSWER_WINDOW. */
	bool (*may_buffer)(void *arg, struct tgt *tgt, size_t bytes);
	/**
	 * The header fields did not arrive in time.
	 * @return whether to abort the exchange; otherwise it continues until
	 *         its deadline
	 */
	bool (*headers_overdue)(void *arg, struct tgt *tgt);
	/** Called once at the end; not after tgt_free(). */
	void (*done)(void *arg, struct tgt *tgt,
		     const struct tgt_result *result);
};

/**
 * Differences of a platform's targets from the fleet's own interface.
 * They identify an answer by the caller's request id, mark a success with a
 * seal, may end a body with its connection, and may send bytes behind a
 * complete answer; a connection with such bytes is not reused.
 */
struct tgt_dialect {
	const char *request_id;	 /* header field, echoed by the target */
	const char *deadline_ms; /* header field: time left, in ms */
	/** Header field that only a target's own success has. */
	const char *response_seal;
	long idle_s;	    /* idle time-out of pooled connections */
	int64_t connect_us; /* longest time to connect */
};

/** Parameters of an exchange; all of them are copied or referenced. */
struct tgt_request {
	const char *address;	     /* "ip:port" of the target */
	const struct msg_request *m; /* method, header fields, body */
	const char *id;		     /* the request id as text */
	bool repeatable;	     /* pooled connections may be used */
	bool new_connection; /* open a new connection even if repeatable */
	int64_t deadline_us; /* when the complete answer must be here */
	int64_t headers_deadline_us; /* when its header fields must be here */
	/** Bytes of the answer's header fields; more make it invalid. At most
	 *  TGT_HEADER_BYTES_MAX, which 0 stands for. */
	size_t header_bytes_max;
	const struct tgt_dialect *dialect; /* NULL: the fleet's own fields */
};

/** Returns whether a request can be written unchanged: no control bytes. */
bool tgt_request_valid(const struct msg_request *m);

/**
 * Starts an exchange.
 * @return NULL if libcurl can't add the transfer; nothing was written then
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

/** Returns whether bytes of the answer, or its end, have arrived and were not read yet.
 *  Takes nothing: libcurl still gets each byte, and an error. */
bool tgt_has_unread(const struct tgt *tgt);

/** Returns whether the connection came from the pool. */
bool tgt_reused(const struct tgt *tgt);

/** Returns the status of the answer. */
uint32_t tgt_status(const struct tgt *tgt);

/** Returns the name of a framing, for logs. */
const char *tgt_framing_name(enum tgt_framing framing);

/** Returns a new reference to the header fields. */
GArray *tgt_peek_headers(struct tgt *tgt);

/** Moves the header fields, without hop-by-hop ones, to the caller. */
GArray *tgt_steal_headers(struct tgt *tgt);

/** Returns whether the answer states that the target is draining. */
bool tgt_draining(const struct tgt *tgt);

/**
 * Returns the length of the complete body, or -1 if unknown; for an answer to
 * HEAD, that of the body which is not sent.
 */
int64_t tgt_length(const struct tgt *tgt);

/** Reads and removes up to @p max bytes of the buffered body. */
GBytes *tgt_read_body(struct tgt *tgt, size_t max);

/** Moves up to @p max bytes of the buffered body to @p out. @return how many */
size_t tgt_copy_body(struct tgt *tgt, char *out, size_t max);

/** Returns the number of buffered bytes. */
size_t tgt_buffered_bytes(const struct tgt *tgt);

/** Resumes receiving after bytes were read; not inside the callbacks of ops. */
void tgt_resume(struct tgt *tgt);

#endif
