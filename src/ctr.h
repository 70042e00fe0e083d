/**
 * @file ctr.h
 * @brief Counters and latency histograms of the daemon.
 *
 * A counter is found or made by name once and then counted through a handle.
 * Names are "module_event" with optional labels in braces, such as
 * "dsp_answers{service=checkout,class=good}". Histograms have fixed log-linear
 * buckets: eight per power of two, from 1 us to over an hour, so that a
 * quantile is exact within 12.5 %.
 *
 * Limits: CTR_MAX names of each kind; past that all go to an overflow entry.
 */
#ifndef CTR_H
#define CTR_H

#include "fs_types.h"

#define CTR_MAX 8192	     /* counters, and histograms each */
#define CTR_BUCKETS (8 * 33) /* of one histogram */

struct ctr;

struct ctr *ctr_new(void);
void ctr_free(struct ctr *ctr);

/** Finds or makes a counter. */
handle ctr_counter(struct ctr *ctr, const char *name);

/** Finds or makes a histogram of times in us. */
handle ctr_histogram(struct ctr *ctr, const char *name);

void ctr_add(struct ctr *ctr, handle counter, uint64_t n);
uint64_t ctr_get(const struct ctr *ctr, handle counter);

/** Finds or makes a counter by name and adds to it; for rare events. */
void ctr_count(struct ctr *ctr, const char *name, uint64_t n);

void ctr_observe(struct ctr *ctr, handle histogram, int64_t us);

/** Returns the time in us below which a share @p q of observations lies. */
int64_t ctr_quantile(const struct ctr *ctr, handle histogram, double q);

/**
 * Appends all as text, a line each: "name value" of counters, and of
 * histograms "name_count", "name_p50_us" and "name_p99_us".
 */
void ctr_text(const struct ctr *ctr, GString *out);

/**
 * Appends all as a JSON object: {"counters":{...},"histograms":{name:
 * {"count":n,"sum_us":n,"p50_us":n,"p99_us":n}}}.
 */
void ctr_json(const struct ctr *ctr, GString *out);

#endif
