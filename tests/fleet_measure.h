/* Figures as JSON lines, one each; see tool_measure.c. */
#ifndef FLEET_MEASURE_H
#define FLEET_MEASURE_H

#include "fleet_deploy.h"

/* One figure. */
struct fleet_figure {
	const char *measure;
	const char *deployment;
	const char *what; /* the case */
	double value;
	const char *unit;
	double target;	   /* at most this; FLEET_NO_TARGET if none is stated */
	bool at_least;	   /* the target is a lower bound instead */
	unsigned int runs; /* how often it was run */
	const char *load;  /* under what load */
};

#define FLEET_NO_TARGET (-1.0)

/* Returns the CPU time that a process has used, in seconds. */
double fleet_cpu_s(pid_t pid);

void fleet_print_figure(const struct fleet_figure *figure);

/* Added latency at the median and the 99th percentile, direct and through the
 * fleet in the same run. */
void fleet_measure_latency(const char *build, const struct fleet_deployment *d);

/* Goodput at one, two and three times the capacity, and slot overruns. */
void fleet_measure_goodput(const char *build, const struct fleet_deployment *d);

/* Control bytes, CPU and memory per node, platform calls and the time until a
 * configuration is in force, at several sizes of the fleet. */
void fleet_measure_control(const char *build, const struct fleet_deployment *d);

#endif
