/* One HTTP exchange at a time, blocking, for tests. */
#ifndef FLEET_HTTP_H
#define FLEET_HTTP_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

struct fleet_answer {
	long status;	  /* 0: no answer */
	bool whole;	  /* the exchange ended without an error */
	char *outcome;	  /* Fescuesaddle-Outcome, or NULL */
	char *error;	  /* Fescuesaddle-Error, or NULL */
	char *request;	  /* Fescuesaddle-Request, or NULL */
	char *token;	  /* X-Token, or NULL */
	char *connection; /* Connection, or NULL */
	GString *body;
	double seconds;
};

/* Sends one request to "ip:port"; headers are "Name: value", NULL-ended, or
 * NULL. The answer is freed with fleet_answer_free(). */
struct fleet_answer *fleet_http(const char *method, const char *address,
				const char *path, const char *const *headers,
				const char *body, double seconds);
void fleet_answer_free(struct fleet_answer *a);

/* Gets a path and parses its JSON; NULL if there is none in time. */
JsonNode *fleet_json(const char *address, const char *path);
JsonNode *fleet_json_within(const char *address, const char *path,
			    double seconds);

/* Returns the value at a dotted path of members, such as "config.version". */
gint64 fleet_json_int(JsonNode *root, const char *path, gint64 fallback);

/* Sends bytes as they are to "ip:port" and returns what comes back until the
 * other end closes or the time is over. */
GString *fleet_raw(const char *address, const void *data, size_t size,
		   double seconds);

typedef struct fleet_answer FleetAnswer;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FleetAnswer, fleet_answer_free)

#endif
