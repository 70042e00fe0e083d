/**
 * @file cli_burn.h
 * @brief What the burn report tells of one service, summed over the nodes.
 */
#ifndef CLI_BURN_H
#define CLI_BURN_H

#include "cli_nodes.h"

#define CLI_BURN_WINDOWS 3  /* 5 min, 1 h, 6 h */
#define CLI_BURN_BUCKETS 72 /* of 5 min */

/** Counts of one window over all nodes. */
struct cli_burn_window {
	int64_t total;
	int64_t good;
	int64_t retried;
};

/** One service over all nodes. */
struct cli_burn {
	const struct cfg_service *service;
	struct cli_burn_window windows[CLI_BURN_WINDOWS];
	int64_t total[CLI_BURN_BUCKETS]; /* oldest first */
	int64_t bad[CLI_BURN_BUCKETS];
	GHashTable *causes; /* name to count */
	GHashTable *servers;
};

/** Returns the share of bad answers. */
double cli_burn_share(const struct cli_burn_window *w);

/** Returns how many times faster than allowed the error budget is spent. */
double cli_burn_rate(const struct cli_burn *b, const struct cli_burn_window *w);

/** Appends one service as text, JSON, or a section of the HTML page. */
void cli_burn_text(const struct cli_burn *b, GString *out);
void cli_burn_json(const struct cli_burn *b, GString *out);
void cli_burn_html(const struct cli_burn *b, GString *out);

/** Appends the page before and after its sections. */
void cli_burn_html_begin(const char *deployment, const GPtrArray *nodes,
			 uint32_t answered, GString *out);
void cli_burn_html_end(GString *out);

#endif
