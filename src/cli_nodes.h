/**
 * @file cli_nodes.h
 * @brief The nodes that a command names, and what they answer.
 *
 * Nodes are named as "ip:port" of their operator interfaces, separated by
 * commas. Those that do not answer are counted, so that a report can say what
 * is missing from it.
 */
#ifndef CLI_NODES_H
#define CLI_NODES_H

#include "cli.h"

#define CLI_NODES_MAX 1024

/** One node asked. */
struct cli_node {
	char *address;
	JsonNode *answer; /* NULL: none came */
};

/** Parses a list of addresses. @return NULL after cli_error() */
GPtrArray *cli_nodes_new(const char *list);

/** Adds a node that is not in the list. */
void cli_nodes_add(GPtrArray *nodes, const char *address);

/** Adds the other members that the answers to /status list. */
void cli_nodes_add_members(GPtrArray *nodes);

/** Asks every node; answers of before are dropped. @return how many answered */
uint32_t cli_nodes_get(GPtrArray *nodes, const char *path);

/** Returns the object a node answered, or NULL. */
JsonObject *cli_node_object(const struct cli_node *node);

/** Appends "missing: A, B" if any node did not answer. */
void cli_nodes_missing(const GPtrArray *nodes, GString *out);

/** Appends the addresses of nodes that did not answer as a JSON array. */
void cli_nodes_missing_json(const GPtrArray *nodes, GString *out);

#endif
