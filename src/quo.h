/**
 * @file quo.h
 * @brief Limits of organisations over the whole fleet. Pure.
 *
 * Each node keeps a copy of the bucket of every organisation in use: it fills at
 * the limit's rate, and is emptied by what this node admits and by what others
 * report. What they admitted since their last reports is not known, so a bucket
 * that may be empty is drawn from by odds: what it holds, to the requests that
 * others are likely to have had in that time. What was admitted too much is taken
 * from the following time.
 *
 * A limit may be exceeded by an allowance. Part of it covers what is on its way, so
 * that nothing within the limit is refused for old reports; the rest is kept for
 * errors of the odds.
 *
 * A node that hears nobody gives out its part of the rate from an empty bucket, and
 * a group that lost the others gives out the group's part.
 */
#ifndef QUO_H
#define QUO_H

#include "fs_types.h"

/* Without a report for this long a node goes by its own part of the limits. */
#define QUO_ALONE_US (1500 * FS_US_PER_MS)

/** What may be exceeded; zero: nothing. */
struct quo_rule {
	int64_t window_us; /* any span of this length counts */
	double overage;	   /* share of what a limit allows in a window */
	double slack;	   /* requests in a window */
};

struct quo_limit {
	double rate;  /* requests a second */
	double burst; /* requests beyond that at once */
};

/** What a node knows of the others. */
struct quo_fleet {
	double share;	  /* part of each limit for the nodes in touch */
	uint32_t nodes;	  /* in touch, this one included */
	int64_t delay_us; /* of urgent reports, from node to node */
	int64_t slow_us;  /* of other reports, usually */
	int64_t heard_us; /* when reports of others last arrived */
	uint32_t known;	  /* nodes that share the limits */
};

/** Requests that others, or all nodes of a domain, had since the last report. */
struct quo_report {
	uint64_t organisation;
	struct quo_limit limit;
	int64_t admitted; /* negative: more were given back */
	int64_t asked;
	bool own; /* those of this node may be among them */
};

/** State of a bucket, for logs. */
struct quo_level {
	bool in_use;
	double level;	    /* requests that may be admitted */
	double others_rate; /* requests a second that other nodes have */
	int64_t silent_us;  /* since others were heard */
	bool alone;
};

struct quo;

/** @param full  buckets are full at first: the whole fleet starts */
struct quo *quo_new(const struct quo_rule *rule, bool full, uint64_t seed,
		    int64_t now_us);
void quo_free(struct quo *quo);

/** Returns the key of an organisation's bucket. */
uint64_t quo_key(const char *organisation);

/** Takes note of the fleet; to be called at least every 0.5 s, as a longer gap
 *  means that this process was paused. */
void quo_set_fleet(struct quo *quo, const struct quo_fleet *fleet,
		   int64_t now_us);

/** Admits a request. @return 0, or the time in us until a place is likely */
int64_t quo_take(struct quo *quo, uint64_t organisation,
		 const struct quo_limit *limit, int64_t now_us);

/** Gives back the place of a request that did not run. */
void quo_return(struct quo *quo, uint64_t organisation, int64_t now_us);

/** Counts what others admitted. */
void quo_report(struct quo *quo, const struct quo_report *report,
		int64_t now_us);

/** Returns whether a bucket may run empty before a report that is not urgent
 *  arrives. @param unreported  requests of this node or domain, not reported yet
 *  @param senders  how many nodes or domains may have as many */
bool quo_is_low(struct quo *quo, uint64_t organisation, int64_t unreported,
		uint32_t senders, int64_t now_us);

/** Drops buckets that are full and unused. */
void quo_expire(struct quo *quo, int64_t now_us);

uint32_t quo_size(const struct quo *quo);

/** Returns the state of a bucket; zero without one. */
struct quo_level quo_level(struct quo *quo, uint64_t organisation,
			   int64_t now_us);

#endif
