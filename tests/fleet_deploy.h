/* The two deployments of today, in full size or with fewer servers. */
#ifndef FLEET_DEPLOY_H
#define FLEET_DEPLOY_H

#include "fleet.h"

/* One service of a deployment. */
struct fleet_service {
	const char *name;
	unsigned int servers;
	const char *depends_on; /* or NULL */
	unsigned int floor;	/* percent */
	double work_ms;		/* that a stand-in target takes */
};

/* One route of a deployment. */
struct fleet_route {
	const char *name;
	const char *path;
	const char *methods;
	const char *service;
	unsigned int deadline_ms;
	const char *priority;
	unsigned int tries; /* 1: may not be repeated */
};

/* A deployment of the brief. */
struct fleet_deployment {
	const char *name;
	const char *region;
	const char *domains[3];
	unsigned int slots;
	const char *detection;
	struct fleet_service services[4];
	struct fleet_route routes[4];
};

extern const struct fleet_deployment fleet_cascade;
extern const struct fleet_deployment fleet_nounou;

/* Starts the targets of a deployment, at most so many per service, and so
 * many daemons, spread over the failure domains. */
void fleet_deploy(struct fleet *f, const struct fleet_deployment *d,
		  unsigned int servers_max, unsigned int nodes);

/* Returns the operators' text for what fleet_deploy() started. */
char *fleet_deploy_text(const struct fleet *f,
			const struct fleet_deployment *d);

/* fleet_new(), fleet_deploy(), the text put and all nodes ready. */
struct fleet *fleet_start(const char *build, const struct fleet_deployment *d,
			  unsigned int servers_max, unsigned int nodes,
			  bool relays);

/* Writes the callers' addresses of all running nodes, NULL-ended. */
void fleet_callers(const struct fleet *f, const char **out);

#endif
