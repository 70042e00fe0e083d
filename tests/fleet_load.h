/* A bounded load of callers in the test's own process: every request has a
 * token of its own, and every answer's bytes are checked against it. */
#ifndef FLEET_LOAD_H
#define FLEET_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLEET_THREADS_MAX 16 /* of one load */

/* One kind of request of a load. */
struct fleet_kind {
	const char *method;
	const char *path;
	size_t bytes;	     /* of the answer asked for */
	unsigned int weight; /* share among the kinds */
	double timeout_s;    /* the caller gives up after this */
	bool keyed;	     /* sends the token as Idempotency-Key */
};

/* What to run. */
struct fleet_plan {
	const char *const *addresses; /* of entries, NULL-ended; may change */
	const struct fleet_kind *kinds;
	unsigned int kind_count;
	unsigned int concurrency; /* requests in flight at most */
	double rate;		  /* requests/s; 0: as fast as answers come */
	unsigned int total;	  /* requests at most */
	double seconds;		  /* no new requests after this */
	unsigned int seed;
	/* Called about every 10 ms with the time since the start. */
	void (*tick)(void *arg, double elapsed_s);
	void *arg;
};

/* How one request ended. */
struct fleet_result {
	char token[32];
	unsigned int kind;
	long status;	/* 0: no answer */
	bool whole;	/* the answer ended without an error */
	bool own;	/* every byte belongs to this request */
	bool not_run;	/* Fescuesaddle-Outcome: not-run */
	bool unknown;	/* Fescuesaddle-Outcome: unknown */
	char error[32]; /* Fescuesaddle-Error, or empty */
	double start_s; /* since the start of the load */
	double took_s;
};

/* Runs a plan; returns an array of struct fleet_result. */
GArray *fleet_load_run(const struct fleet_plan *plan);

/* Splits a plan without a tick among threads, so that the callers are not what
 * limits it. */
GArray *fleet_load_run_parallel(const struct fleet_plan *plan,
				unsigned int threads);

/* Returns the time in seconds below which a share of the good answers of one
 * kind lies (-1: of all kinds), and how many there were. */
double fleet_quantile(const GArray *results, int kind, double q,
		      unsigned int *count);

/* Counts the good answers: status 200, whole, own. */
unsigned int fleet_good(const GArray *results, int kind);

#endif
