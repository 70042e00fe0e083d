/**
 * @file tgt_impl.h
 * @brief Parts of an exchange that the files of tgt share.
 */
#ifndef TGT_IMPL_H
#define TGT_IMPL_H

#include "tgt.h"
#include "tgt_body.h"
#include "tgt_chunks.h"

struct tgt {
	struct tgt_pool *pool;
	struct crl *crl;  /* of the pool */
	curl_socket_t fd; /* of the connection, once written */
	CURL *easy;
	struct curl_slist *fields;
	GBytes *body;
	char *id;
	const struct tgt_dialect *dialect; /* or NULL */
	bool request_id_matched;	   /* the answer names this request */
	const struct tgt_ops *ops;
	void *arg;
	int64_t started_us;
	int64_t deadline_us;
	int64_t headers_deadline_us;
	ev_timer timer;
	bool no_body; /* the method was HEAD */

	bool written; /* a byte of the request may have reached the target */
	bool reused;  /* the connection came from the pool */
	bool past_deadline; /* not written: the deadline had passed */
	/* Not written: the pooled connection was closed or had unread bytes. */
	bool connection_stale;
	int64_t read_before; /* bytes read from the connection before; <0: unknown */
	bool bytes_behind; /* see struct tgt_result */
	bool ended;
	bool streaming;
	bool paused;
	unsigned int late_turns; /* see TGT_LATE_TURNS_MAX */

	/* The answer */
	bool in_head; /* between a status line and the empty line behind its fields */
	bool headers_complete;
	bool invalid;
	bool body_unneeded; /* see needs_body() */
	bool has_codings;   /* its version of HTTP has transfer codings */
	bool chunked;
	bool draining;
	uint32_t status;
	int64_t length; /* -1: unknown */
	int64_t headers_at_us;
	size_t header_bytes;
	size_t header_bytes_max;
	GArray *headers;
	struct tgt_chunks chunks;
	struct tgt_body buffer;
	int64_t received;     /* bytes of the body */
	int64_t raw_received; /* bytes read after the header fields */
};

/** Sets up method, header fields and body of the request. */
void tgt_write_request(struct tgt *tgt, const struct tgt_request *request,
		       int64_t now_us);

/** Parses one line of the answer's header; CURLOPT_HEADERFUNCTION. */
size_t tgt_read_header(char *data, size_t size, size_t n, void *arg);

/** Sets the timer to the next time limit of the exchange. */
void tgt_set_timer(struct tgt *tgt, int64_t now_us);

/** Returns whether the answer has a body by its method and status. */
bool tgt_has_body(const struct tgt *tgt);

/** Returns the framing that the header fields name. */
enum tgt_framing tgt_framing(const struct tgt *tgt);

/** Has the connection closed behind the answer, so that nothing which follows on it can
 *  be taken for a part of the next one. */
void tgt_forbid_reuse(struct tgt *tgt);

/** Does so if bytes were read behind its header
 *  fields, which end it. */
void tgt_check_end_of_headers(struct tgt *tgt);

/** Returns whether a header field is for one connection only. */
bool tgt_is_hop_by_hop(const char *name);

#endif
