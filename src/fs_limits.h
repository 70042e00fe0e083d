/**
 * @file fs_limits.h
 * @brief Named limits of the fleet, with their units.
 *
 * Every fixed limit that more than one module depends on stands here. A limit
 * that operators may change is a default here and a setting elsewhere; see
 * docs/CONFIG.md.
 */
#ifndef FS_LIMITS_H
#define FS_LIMITS_H

/* Names and addresses */
#define FS_NAME_MAX 48 /* bytes of a node, server or service name, with NUL */
#define FS_TARGET_ID_MAX 200 /* bytes of a target's id, with NUL */
#define FS_DOMAIN_MAX 32     /* bytes of a region or failure domain, with NUL */
#define FS_ADDRESS_MAX 48    /* bytes of "ip:port", with NUL */
#define FS_KEY_MAX 128	     /* bytes of an Idempotency-Key, with NUL */

/* Frames between nodes */
#define FS_FRAME_MAX (1280 * 1024)   /* bytes of a frame's payload */
#define FS_DATAGRAM_MAX 1400	     /* bytes of a gossip datagram */
#define FS_LINK_HEARTBEAT_US 1000000 /* between heartbeats on a link */
#define FS_LINK_SILENT_US 3000000    /* a link without answers is closed */
#define FS_LINK_QUEUE_MAX (8 << 20)  /* bytes waiting on one link */

/* Requests and answers */
#define FS_HEADERS_MAX 64		/* header fields of a request */
#define FS_HEADER_BYTES_MAX (16 * 1024) /* bytes of all header fields */
#define FS_BODY_MAX (256 * 1024)	/* bytes of a request body */
#define FS_ANSWER_WHOLE_MAX \
	(128 * 1024)		       /* answers up to this go in one piece */
#define FS_ANSWER_WINDOW (256 * 1024)  /* unacknowledged bytes of a stream */
#define FS_CALLER_CONNECTIONS_MAX 8192 /* caller connections per node */
#define FS_CALLER_IDLE_S 30	       /* idle caller connections are closed */

/* Dispatch */
#define FS_SHARD_SERVERS_MAX 8	     /* servers of one shard */
#define FS_QUEUE_DEFAULT 64	     /* requests waiting per shard */
#define FS_POOL_IDLE_AGE_S 20	     /* pooled target connections */
#define FS_KEY_WINDOW_US 600000000LL /* an idempotency key is remembered */
#define FS_KEYS_MAX 65536	     /* idempotency keys per dispatcher */

/* Membership */
#define FS_NODES_MAX 1024
#define FS_GOSSIP_PERIOD_US 1000000 /* between probes of one member */
#define FS_GOSSIP_ACK_US 300000	    /* a direct answer is late after this */
#define FS_GOSSIP_INDIRECT 3	    /* members asked to check indirectly */
#define FS_SUSPECT_US 4000000	    /* a suspect that stays silent is dead */

/* Ejection records: a view lapses well before its room is granted again */
#define FS_RECORD_POLL_US 5000000   /* between reads of a record */
#define FS_RECORD_LAPSE_US 20000000 /* an unconfirmed record is not enforced */
#define FS_RECORD_HOLD_US 30000000  /* a return keeps its room this long */

/* Configuration */
#define FS_CONFIG_MAX (1000 * 1000) /* bytes of the text */
#define FS_CONFIG_WATCHERS 2	    /* watching nodes per region */
#define FS_VMS_POLL_US 1000000	    /* between reads of the VM list */

/* Audit */
#define FS_AUDIT_RING 4096	 /* records kept for the operator endpoint */
#define FS_AUDIT_EVIDENCE_MAX 12 /* numbers in one record */

#endif
