/* Runs a whole fleet for process tests: the stand-in platform, targets, relays
 * and daemons, each a process of its own, on loopback ports that the kernel
 * chooses. Everything is ended by fleet_free(), by process id. */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "fs_limits.h"

#define FLEET_MAX 96 /* processes of one kind */

/* One process of the fleet. */
struct fleet_process {
	char name[FS_NAME_MAX];
	pid_t pid;		      /* 0: not running */
	int in;			      /* standard input, or -1 */
	int out;		      /* standard output, or -1 */
	char *log;		      /* file with standard error */
	char address[FS_ADDRESS_MAX]; /* listening address */
};

/* A target and the relay in front of it, if any. */
struct fleet_target {
	struct fleet_process process;
	struct fleet_process relay;
	char service[FS_NAME_MAX];
	char domain[FS_DOMAIN_MAX];
};

/* A daemon and the relay in front of its peer address, if any. */
struct fleet_node {
	struct fleet_process process;
	struct fleet_process relay;
	char domain[FS_DOMAIN_MAX];
	char region[FS_DOMAIN_MAX];
	char ip[FS_ADDRESS_MAX];
	char caller[FS_ADDRESS_MAX];
	char peer[FS_ADDRESS_MAX];
	char operator[FS_ADDRESS_MAX];
};

struct fleet {
	char *build; /* folder of the programs */
	char *dir;   /* settings and logs of this run */
	bool relays; /* put a relay before each node and target */
	int64_t answer_ttl_ms;
	struct fleet_process platform;
	struct fleet_target targets[FLEET_MAX];
	unsigned int target_count;
	struct fleet_node nodes[FLEET_MAX];
	unsigned int node_count;
	uint64_t version; /* of the last configuration put */
};

/* Starts the platform; relays are put before whatever is started later if
 * asked for. */
struct fleet *fleet_new(const char *build, bool relays);
void fleet_free(struct fleet *f);

/* Starts a target of a service. */
struct fleet_target *fleet_add_target(struct fleet *f, const char *service,
				      const char *domain, unsigned int slots,
				      double work_ms);

/* Starts a daemon; it is known to the others through seeds and the VM list. */
struct fleet_node *fleet_add_node(struct fleet *f, const char *region,
				  const char *domain);

/* Starts a daemon that was killed or has ended once more, same name. */
void fleet_restart_node(struct fleet *f, struct fleet_node *node);

/* Writes the VM list; leaving names one VM as leaving, or is NULL. */
void fleet_put_vms(struct fleet *f, const char *leaving);

/* Puts a text by the command-line tool. Returns the tool's exit code. */
int fleet_put_config(struct fleet *f, const char *text);

/* Appends "servers:" lines of one service, with the relays' addresses. */
void fleet_write_servers(const struct fleet *f, const char *service,
			 GString *out);

/* Waits until every running node is ready at the last version put and sees
 * all others. Fails the test after the time. */
void fleet_wait_ready(struct fleet *f, double seconds);

/* Waits until a node's log has a line with this text. Returns whether it did. */
bool fleet_wait_log(const struct fleet_process *p, const char *text,
		    double seconds);

/* Signals and waits. */
void fleet_kill(struct fleet_process *p);
void fleet_freeze(const struct fleet_process *p);
void fleet_thaw(const struct fleet_process *p);
/* Sends SIGTERM and waits; returns the exit status, or -1 after the time. */
int fleet_stop(struct fleet_process *p, double seconds);

/* Tells a relay, target or the platform what to do. */
void fleet_relay(const struct fleet_process *relay, const char *command);
void fleet_fault(const struct fleet_target *t, const char *query);
void fleet_platform_fault(const struct fleet *f, const char *query);

/* Returns a number of a target's statistics. */
unsigned int fleet_target_stat(const struct fleet_target *t, const char *name);

/* Runs a program of the build folder; output is returned, exit code in *code. */
char *fleet_run(const struct fleet *f, const char *program_name,
		const char *const *args, int *code);

/* Sleeps. */
void fleet_sleep(double seconds);

#endif
