/**
 * @file fescuesaddle.h
 * @brief Functions for programs that read the fleet's texts and logs.
 *
 * Link with libfescuesaddle.a. Functions return 0 or a negative error number;
 * text they return is freed with fs_free_text(). Nothing here speaks to the
 * network.
 */
#ifndef FESCUESADDLE_H
#define FESCUESADDLE_H

#include <stdbool.h>
#include <stdint.h>

/** A loaded configuration. */
struct fs_config;

/** A log being audited. */
struct fs_audit;

/* clang-format off */

/* Loading and unloading a configuration */
int fs_load_config(const char *text, struct fs_config **config, char **problems); /* Load a text, FS_E_CONFIG with its problems, one a line */
int fs_load_config_file(const char *path, struct fs_config **config, char **problems); /* Load a file, FS_E_NOT_FOUND if it cannot be read */
void fs_unload_config(struct fs_config *config);                  /* Unload a configuration, NULL is allowed */

/* What a configuration holds */
const char *fs_config_deployment(const struct fs_config *config); /* Get the deployment's name */
uint32_t fs_config_services(const struct fs_config *config);      /* Get how many services there are */
uint32_t fs_config_servers(const struct fs_config *config);       /* Get how many servers there are */
uint32_t fs_config_routes(const struct fs_config *config);        /* Get how many routes there are */
bool fs_config_has_service(const struct fs_config *config, const char *name); /* Check if a service is there */
int64_t fs_config_floor(const struct fs_config *config, const char *service, const char *region); /* Get how many servers must stay in use, or FS_E_NOT_FOUND */

/* Checking and comparing */
int fs_check_change(const struct fs_config *before, const struct fs_config *after, char **problems); /* Check what only a change can do wrong */
char *fs_diff_config(const struct fs_config *before, const struct fs_config *after); /* Get the difference as text, one change a line */
char *fs_diff_config_json(const struct fs_config *before, const struct fs_config *after); /* Get the difference as a JSON array */

/* Replaying a log of decisions */
struct fs_audit *fs_begin_audit(const struct fs_config *config);  /* Begin to replay a log against a text */
int fs_audit_line(struct fs_audit *audit, const char *line, char **reason); /* Replay one line, FS_E_AUDIT if its decision does not follow */
int fs_end_audit(struct fs_audit *audit, uint64_t *decisions, char **reason); /* End, check the log as a whole, and free it */

/* Explaining */
const char *fs_explain_rule(const char *rule);                    /* Get the sentence of a rule by its name in a record, or NULL */
const char *fs_explain_error(const char *error);                  /* Get the sentence of a refusal's kind, or NULL */

/* Memory */
void fs_free_text(char *text);                                    /* Free a text that was returned, NULL is allowed */

/* clang-format on */

#endif
