/* A load with faults at set times, and the check of its whole history. */
#ifndef FLEET_SCENE_H
#define FLEET_SCENE_H

#include "fleet_deploy.h"
#include "fleet_load.h"

enum fleet_action {
	FLEET_NODE_FREEZE,
	FLEET_NODE_THAW,
	FLEET_NODE_KILL,
	FLEET_NODE_RESTART,
	FLEET_NODE_RELAY, /* text: command for the relay before the node */
	FLEET_TARGET_FREEZE,
	FLEET_TARGET_THAW,
	FLEET_TARGET_RELAY,   /* text: command */
	FLEET_TARGET_FAULT,   /* text: query */
	FLEET_PLATFORM_FAULT, /* text: query */
	FLEET_VM_LEAVING,     /* text: name of the VM */
};

#define FLEET_ALL (-1)

/* One fault, or its end. */
struct fleet_event {
	double at_s; /* since the start of the load */
	enum fleet_action action;
	int index; /* of the node or target, or FLEET_ALL */
	const char *text;
};

/* A kind of failure: a fleet, a mixed load, and faults at set times. */
struct fleet_scenario {
	const char *name;
	struct fleet_event events[6];
	unsigned int count;
};

/* What a run's history came to. */
struct fleet_history {
	unsigned int requests;
	unsigned int good;
	unsigned int not_run;
	unsigned int unknown;
	unsigned int cut;      /* no answer, or one that shows its cut */
	unsigned int foreign;  /* looks whole but is not its own: a fault */
	unsigned int repeated; /* ran more often than allowed: a fault */
	unsigned int false_not_run; /* said not run, but ran: a fault */
	unsigned int unrun_good;    /* good, but no target ran it: a fault */
};

/* Does what one event says, now. */
void fleet_scene_act(struct fleet *f, const struct fleet_event *e);

/* Runs the plan with the events (in order of time); plan->tick is replaced. */
GArray *fleet_scene_run(struct fleet *f, const struct fleet_plan *plan,
			const struct fleet_event *events, unsigned int count);

/* Compares the results with the targets' own run logs. Kinds other than GET
 * may run once. Targets must still live. */
struct fleet_history fleet_history_of(const struct fleet *f,
				      const struct fleet_plan *plan,
				      const GArray *results);

/* Fails the test if the history breaks a promise; prints it in any case. */
void fleet_history_check(const char *name, const struct fleet_history *h);

/* Runs the tool's audit with the last text put on a log of decisions; what it
 * prints is returned in *out. Returns its exit code. */
int fleet_audit(const struct fleet *f, const char *log, char **out);

/* Fails the test unless every decision in the nodes' logs follows. */
void fleet_audit_check(const struct fleet *f);

/* Runs each scenario as a GLib test on a fleet of its own; the first argument
 * is the folder of the programs. Returns the exit status. */
int fleet_scenarios_main(int argc, char **argv, const char *name,
			 const struct fleet_scenario *scenarios, size_t count);

#endif
