#include "quo.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* A longer gap between calls is a pause of the process. */
#define PAUSE_US FS_US_PER_S
/* Part of the allowance that covers what is on its way. */
#define COVERED_SHARE 0.4
/* Requests on their way are this many times the mean, for bursts. */
#define BURST_FACTOR 1.5
/* Time constant of the rate of other nodes' requests. */
#define RATE_TIME_US (500 * FS_US_PER_MS)
/* Reports usually come this often; a longer silence counts as delay. */
#define USUAL_SILENCE_US (300 * FS_US_PER_MS)
/* A report that is not urgent takes at most this many times its usual delay. */
#define SLOWEST 2
#define UNUSED_US (20 * FS_US_PER_S)
#define WAIT_MIN_US (100 * FS_US_PER_MS)
#define WAIT_MAX_US (5 * FS_US_PER_S)
#define LOG2_DRAWS 32

/** The bucket of one organisation, as this node knows it. */
struct bucket {
	struct quo_limit limit;
	double level; /* at level_us */
	int64_t level_us;
	int64_t used_us; /* last take or report */
	double others;	 /* requests of others, decaying; at others_us */
	int64_t others_us;
	int64_t unseen_admitted; /* of this node, in no digest yet */
	int64_t unseen_asked;
};

struct quo {
	struct quo_rule rule;
	struct quo_fleet fleet;
	GHashTable *buckets; /* key to struct bucket */
	uint64_t random;
	int64_t empty_us; /* when buckets without state were last empty */
	int64_t seen_us;  /* last call */
	bool alone;
};

uint64_t quo_key(const char *organisation)
{
	return XXH64(organisation, strlen(organisation), 0);
}

struct quo *quo_new(const struct quo_rule *rule, bool full, uint64_t seed,
		    int64_t now_us)
{
	struct quo *quo = g_new0(struct quo, 1);

	quo->rule = *rule;
	quo->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	quo->fleet.share = 1.0;
	quo->fleet.nodes = quo->fleet.known = 1;
	quo->fleet.heard_us = quo->seen_us = now_us;
	quo->empty_us = full ? INT64_MIN / 2 : now_us;
	quo->random = seed;
	return quo;
}

void quo_free(struct quo *quo)
{
	if (!quo)
		return;
	g_hash_table_unref(quo->buckets);
	g_free(quo);
}

/* Returns a number from 0 to below 1. */
static double draw(struct quo *quo)
{
	return (double)(fs_random(&quo->random) >> (64 - LOG2_DRAWS)) /
	       (double)(1ULL << LOG2_DRAWS);
}

/* Returns the part of each limit that this node's group may give out. */
static double share_of(const struct quo *quo)
{
	return quo->alone ? 1.0 / MAX(quo->fleet.known, 1) : quo->fleet.share;
}

/* Returns how much longer than usual nobody was heard. */
static int64_t silence_us(const struct quo *quo, int64_t now_us)
{
	return MAX(now_us - quo->fleet.heard_us - USUAL_SILENCE_US, 0);
}

/* Returns the most that a bucket holds. It isn't emptied yet by what reports on
 * their way will tell, so it may hold as much more as they may tell: less would stay
 * lost until the bucket is full again. A part of a small limit is below one request:
 * the bucket holds one anyway. */
static double capacity(const struct quo *quo, const struct bucket *b,
		       int64_t now_us)
{
	int64_t lag_us = SLOWEST * quo->fleet.slow_us + silence_us(quo, now_us);
	double part = MAX(b->limit.burst * share_of(quo), 1.0);

	if (quo->alone)
		return part;
	return part + b->others * (double)lag_us / RATE_TIME_US;
}

static void fill(const struct quo *quo, struct bucket *b, int64_t now_us)
{
	double s = (double)MAX(now_us - b->level_us, 0) / FS_US_PER_S;

	b->level = MIN(b->level + b->limit.rate * share_of(quo) * s,
		       capacity(quo, b, now_us));
	b->level_us = MAX(b->level_us, now_us);
}

static void fill_all(struct quo *quo, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quo->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fill(quo, value, now_us);
}

/* Empties all buckets. Each node begins at a random part of a request, so that the
 * parts of many nodes add up to the limit also while each is below one. */
static void empty_all(struct quo *quo, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quo->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *b = value;

		b->level = MIN(b->level, 0.0) + draw(quo);
		b->level_us = now_us;
	}
	quo->empty_us = now_us;
}

/* The nodes in touch keep their part of what the buckets hold. */
static void scale_all(struct quo *quo, double factor)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quo->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *b = value;

		if (b->level > 0)
			b->level *= factor;
	}
}

/* Notices pauses of this process and the silence of the others. */
static void advance(struct quo *quo, int64_t now_us)
{
	bool paused = now_us - quo->seen_us > PAUSE_US;
	bool alone = quo->fleet.known > 1 &&
		     (quo->fleet.nodes <= 1 ||
		      now_us - quo->fleet.heard_us > QUO_ALONE_US);

	if (alone != quo->alone)
		fill_all(quo, MIN(now_us, quo->seen_us + PAUSE_US));
	if (paused || (alone && !quo->alone)) {
		quo->alone = alone;
		empty_all(quo, now_us);
	}
	quo->alone = alone;
	quo->seen_us = MAX(quo->seen_us, now_us);
}

void quo_set_fleet(struct quo *quo, const struct quo_fleet *fleet,
		   int64_t now_us)
{
	double before = quo->fleet.share;

	advance(quo, now_us);
	if (fleet->share != before)
		fill_all(quo, now_us);
	quo->fleet = *fleet;
	advance(quo, now_us);
	if (!quo->alone && fleet->share < before && before > 0)
		scale_all(quo, fleet->share / before);
}

static struct bucket *find(const struct quo *quo, uint64_t organisation)
{
	return g_hash_table_lookup(quo->buckets, &organisation);
}

static void set_limit(const struct quo *quo, struct bucket *b,
		      const struct quo_limit *limit, int64_t now_us)
{
	bool lower = limit->burst < b->limit.burst;

	fill(quo, b, now_us);
	b->limit = *limit;
	if (lower)
		b->level = MIN(b->level, capacity(quo, b, now_us));
}

/* A bucket without state is full, unless this node has listened for too short a
 * time to know. */
static struct bucket *bucket_of(struct quo *quo, uint64_t organisation,
				const struct quo_limit *limit, int64_t now_us)
{
	struct bucket *b = find(quo, organisation);

	if (!b) {
		b = g_new0(struct bucket, 1);
		b->limit = *limit;
		b->others_us = now_us;
		b->level_us = quo->empty_us;
		b->level = draw(quo);
		fill(quo, b, now_us);
		g_hash_table_insert(
			quo->buckets,
			g_memdup2(&organisation, sizeof(organisation)), b);
	}
	b->used_us = now_us;
	return b;
}

static double allowance(const struct quo *quo, const struct quo_limit *limit)
{
	double window_s = (double)quo->rule.window_us / FS_US_PER_S;

	return quo->rule.overage * (limit->rate * window_s + limit->burst) +
	       quo->rule.slack;
}

/* A node that hears nobody has no part of the allowance. */
static double covered(const struct quo *quo, const struct bucket *b)
{
	return quo->alone ? 0.0 :
			    COVERED_SHARE * allowance(quo, &b->limit) *
				    share_of(quo);
}

/* Lets the rate of the others decay up to when they were heard. */
static void decay_others(const struct quo *quo, struct bucket *b,
			 int64_t now_us)
{
	int64_t until_us = MIN(now_us, quo->fleet.heard_us + USUAL_SILENCE_US);

	if (until_us <= b->others_us)
		return;
	b->others *= exp(-(double)(until_us - b->others_us) / RATE_TIME_US);
	b->others_us = until_us;
}

/* Returns how many requests others may have had that no report has told yet. */
static double on_the_way(const struct quo *quo, const struct bucket *b,
			 int64_t now_us)
{
	int64_t span_us = quo->fleet.delay_us + silence_us(quo, now_us);

	if (quo->alone)
		return 0.0;
	return BURST_FACTOR * b->others * (double)span_us / RATE_TIME_US;
}

/* Returns what others took from the bucket in the silence, at their last rate. */
static double taken_in_silence(const struct quo *quo, const struct bucket *b,
			       int64_t now_us)
{
	double rate = MIN(b->others * FS_US_PER_S / RATE_TIME_US,
			  b->limit.rate * share_of(quo));

	if (quo->alone)
		return 0.0;
	return rate * (double)silence_us(quo, now_us) / FS_US_PER_S;
}

static int64_t wait_for(const struct quo *quo, const struct bucket *b,
			double missing)
{
	double rate = b->limit.rate * share_of(quo);
	double s = rate > 0 ? MAX(missing, 0.0) / rate : 0.0;

	return (int64_t)CLAMP(s * FS_US_PER_S, (double)WAIT_MIN_US,
			      (double)WAIT_MAX_US);
}

int64_t quo_take(struct quo *quo, uint64_t organisation,
		 const struct quo_limit *limit, int64_t now_us)
{
	struct bucket *b;
	double room;
	double rivals;

	advance(quo, now_us);
	b = bucket_of(quo, organisation, limit, now_us);
	set_limit(quo, b, limit, now_us);
	decay_others(quo, b, now_us);
	b->unseen_asked++;
	room = b->level + covered(quo, b) - taken_in_silence(quo, b, now_us);
	rivals = MAX(on_the_way(quo, b, now_us), 1.0);
	if (room < 1.0 || draw(quo) * rivals >= room)
		return wait_for(quo, b, rivals - room);
	b->unseen_admitted++;
	b->level -= 1.0;
	return 0;
}

void quo_return(struct quo *quo, uint64_t organisation, int64_t now_us)
{
	struct bucket *b;

	advance(quo, now_us);
	b = find(quo, organisation);
	if (!b)
		return;
	b->unseen_admitted--;
	fill(quo, b, now_us);
	b->level = MIN(b->level + 1.0, capacity(quo, b, now_us));
}

/* Returns the part of a reported number that this node has counted already. */
static int64_t counted(int64_t *unseen, int64_t reported)
{
	int64_t part = CLAMP(*unseen, MIN(reported, 0), MAX(reported, 0));

	*unseen -= part;
	return part;
}

void quo_report(struct quo *quo, const struct quo_report *report,
		int64_t now_us)
{
	int64_t admitted = report->admitted;
	int64_t asked = report->asked;
	struct bucket *b;

	advance(quo, now_us);
	b = bucket_of(quo, report->organisation, &report->limit, now_us);
	set_limit(quo, b, &report->limit, now_us);
	if (report->own) {
		admitted -= counted(&b->unseen_admitted, admitted);
		asked -= counted(&b->unseen_asked, asked);
	}
	decay_others(quo, b, now_us);
	b->others += (double)MAX(asked, 0);
	b->level = MIN(b->level - (double)admitted, capacity(quo, b, now_us));
}

bool quo_is_low(struct quo *quo, uint64_t organisation, int64_t unreported,
		uint32_t senders, int64_t now_us)
{
	struct bucket *b = find(quo, organisation);
	double others;

	if (!b)
		return false;
	fill(quo, b, now_us);
	decay_others(quo, b, now_us);
	others =
		b->others * SLOWEST * (double)quo->fleet.slow_us / RATE_TIME_US;
	/* One request says nothing of how many others have. */
	return others + (double)MAX(unreported - 1, 0) * senders >
	       b->level + covered(quo, b);
}

void quo_expire(struct quo *quo, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	advance(quo, now_us);
	g_hash_table_iter_init(&iter, quo->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bucket *b = value;

		fill(quo, b, now_us);
		if (now_us - b->used_us > UNUSED_US &&
		    b->level >= b->limit.burst * share_of(quo))
			g_hash_table_iter_remove(&iter);
	}
}

uint32_t quo_size(const struct quo *quo)
{
	return g_hash_table_size(quo->buckets);
}

struct quo_level quo_level(struct quo *quo, uint64_t organisation,
			   int64_t now_us)
{
	struct bucket *b = find(quo, organisation);
	struct quo_level out = {
		.silent_us = now_us - quo->fleet.heard_us,
		.alone = quo->alone,
	};

	if (!b)
		return out;
	fill(quo, b, now_us);
	decay_others(quo, b, now_us);
	out.in_use = true;
	out.level = b->level;
	out.others_rate = b->others * FS_US_PER_S / RATE_TIME_US;
	return out;
}
