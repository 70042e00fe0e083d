/**
 * @file fs_err.h
 * @brief The closed list of error kinds and the answer each one gives.
 *
 * Functions return 0 or a negative error number from this list. A refusal to
 * a caller is made from one kind: the table gives its HTTP status, whether the
 * request was run, and a sentence for people.
 */
#ifndef FS_ERR_H
#define FS_ERR_H

#include "fs_types.h"

enum fs_err {
	FS_OK = 0,
	/* Refusals before a dispatcher has the request */
	FS_E_BAD_REQUEST = -1,	     /* malformed or ambiguous request */
	FS_E_NO_ROUTE = -2,	     /* no route matches host and path */
	FS_E_METHOD = -3,	     /* the route does not take this method */
	FS_E_BODY_TOO_LARGE = -4,    /* request body over the limit */
	FS_E_HEADERS_TOO_LARGE = -5, /* header fields over the limit */
	FS_E_NOT_READY = -6,	     /* this node has no configuration yet */
	FS_E_ENTRY_FULL = -7,	     /* too many requests at this node */
	FS_E_NO_DISPATCHER = -8,     /* no live dispatcher for the service */
	FS_E_SERVICE_LEAVING = -9,   /* the service is being taken out of use */
	/* Refusals by the dispatcher before a target has the request */
	FS_E_NOT_OWNER = -10,  /* another node dispatches this shard */
	FS_E_QUEUE_FULL = -11, /* too many requests wait */
	FS_E_WAIT_TOO_LONG =
		-12, /* the queue is too long for an answer in time */
	FS_E_DEADLINE_QUEUED = -13, /* the deadline passed while waiting */
	FS_E_NO_TARGET = -14,	    /* no target may take this request now */
	FS_E_CONNECT = -15,	    /* the target could not be connected to */
	FS_E_CANCELLED = -16,	    /* withdrawn while it waited */
	FS_E_KEY_IN_FLIGHT = -17,   /* same Idempotency-Key is being run */
	FS_E_KEY_SPENT = -18,	    /* same Idempotency-Key ran or may have */
	FS_E_SHED = -19,	    /* given up for a higher priority */
	FS_E_TARGET_REFUSED = -20,  /* the target's status means not run */
	FS_E_STOPPING = -21,	    /* this node exits before it could end */
	FS_E_UNAUTHORIZED = -22,    /* no key, or one of no organisation */
	FS_E_QUOTA = -23,	    /* the organisation is over its limit */
	/* Failures after a byte may have reached a target */
	FS_E_DEADLINE = -30,	    /* no answer within the deadline */
	FS_E_DISPATCHER_LOST = -31, /* the dispatcher no longer answers */
	FS_E_TARGET_RESET = -32,    /* the connection broke before an answer */
	FS_E_TRUNCATED = -33,	    /* the answer ended early */
	FS_E_ANSWER_INVALID = -34,  /* the answer was not valid HTTP */
	FS_E_CALLER_GONE = -35,	    /* the caller closed its connection */
	FS_E_STOPPED = -36,	    /* this node exits before its answer */
	FS_E_NO_CHUNKS =
		-37, /* the answer's end can't be shown to this caller */
	/* Errors inside the fleet and its tools */
	FS_E_INVALID = -40,	/* an argument or a setting is wrong */
	FS_E_NO_MEMORY = -41,	/* a bounded table is full */
	FS_E_IO = -42,		/* a system call on a socket or file failed */
	FS_E_PROTOCOL = -43,	/* a frame or message is malformed */
	FS_E_NOT_FOUND = -44,	/* no such key, node, server or service */
	FS_E_CONFLICT = -45,	/* compare-and-swap found another value */
	FS_E_UNAVAILABLE = -46, /* the platform or a peer does not answer */
	FS_E_AMBIGUOUS = -47,	/* a write may or may not have been done */
	FS_E_CONFIG = -48,	/* the configuration text is refused */
	FS_E_FLOOR = -49,	/* the service's floor forbids an ejection */
	FS_E_STALE = -50, /* an older epoch or version than the known one */
	FS_E_AUDIT = -51, /* a recorded decision does not follow */
};

/** What a caller is told of one error kind. */
struct fs_answer {
	enum fs_err err;
	const char *name;	 /* stable word in headers, bodies and logs */
	unsigned int status;	 /* HTTP status */
	enum fs_outcome outcome; /* whether the request may have run */
	const char *text;	 /* one sentence for people */
};

/** Returns the table row of @p err; FS_E_INVALID's row for unknown numbers. */
const struct fs_answer *fs_answer_of(int err);

/** Returns the stable word of @p err, "ok" for 0. */
const char *fs_err_name(int err);

/** Returns the error number whose stable word is @p name, or FS_E_NOT_FOUND. */
int fs_err_by_name(const char *name);

/** Returns "answered", "not-run" or "unknown". */
const char *fs_outcome_name(enum fs_outcome outcome);

#endif
