/**
 * @file fleet_gwy.h
 * @brief A gateway task alone, between raw callers and scripted targets.
 *
 * Two services: "pay" at /pay/ is not repeatable, "list" at /list/ is; both
 * routes may go to two targets. The targets are of the test's making.
 */
#ifndef FLEET_GWY_H
#define FLEET_GWY_H

#include "cfg_draft.h"
#include "dir.h"
#include "fleet_fake.h"
#include "gwy.h"

#define YARD_TARGETS_MAX 8
#define YARD_TIMEOUT_MS 1500 /* of both routes */

struct yard {
	struct ev_loop *loop;
	struct node node;
	struct dir *dir;
	struct gwy *gwy;
	struct fake *targets[YARD_TARGETS_MAX];
	uint32_t target_count;
	bool stopped; /* MSG_STOPPED was seen; it leaves the loop */
};

/** What differs between the configurations of a test. */
struct yard_config {
	uint64_t version;
	int64_t idle_us;      /* limit of idle callers' connections */
	int64_t header_us;    /* limit of a head; 0: none */
	int64_t timeout_us;   /* of both routes */
	bool without_pay;     /* has no route to "pay" */
	const char *pay_path; /* its prefix; NULL: "/pay/" */
	/** Adds what the test needs beside; may be NULL. */
	void (*extend)(struct cfg_draft *draft);
};

/** One caller's connection. */
struct yard_caller {
	int fd;
	GString *got;
	bool closed;
};

void yard_begin(struct yard *y);
/** The same, of a process that may have so many files open. */
void yard_begin_with_fds(struct yard *y, uint32_t max_fds);
void yard_end(struct yard *y);
void yard_run(struct yard *y, int64_t us);

/** Begins a planned stop. */
void yard_stop(struct yard *y);
/** Runs until the stop ends, and exits as the process does: nothing runs after
 *  MSG_STOPPED. The gateway is freed then. */
void yard_exit(struct yard *y);

/** Puts a configuration in force. yard_begin() puts version 1. */
void yard_configure(struct yard *y, const struct yard_config *config);

/** Starts a target of a service; its id is "s" and its number. */
struct fake *yard_target(struct yard *y, const char *service,
			 fake_serve_fn serve, void *arg);

/** Connects a caller whose socket holds little; sends nothing yet. */
void yard_connect_narrow(struct yard *y, struct yard_caller *c);
/** Connects and sends bytes. */
void yard_call(struct yard *y, struct yard_caller *c, const char *bytes);
/** Sends bytes on the open connection, and forgets what was received. */
void yard_send(struct yard_caller *c, const char *bytes);
void yard_read(struct yard_caller *c);
void yard_hang_up(struct yard_caller *c);

/** Runs until a condition holds; fails after 5 s. */
#define yard_until(y, condition)                                 \
	do {                                                     \
		int64_t end_us = fs_now_us() + 5 * FS_US_PER_S;  \
		while (!(condition)) {                           \
			g_assert_cmpint(fs_now_us(), <, end_us); \
			yard_run(y, 2000);                       \
		}                                                \
	} while (0)

/** Runs until the caller has a whole head, and checks its status. */
void yard_expect(struct yard *y, struct yard_caller *c, int status);

/** Answers 200 with a body, as a target does: names request and instance. */
void yard_ok(struct fake_conn *conn, const struct fake_request *request,
	     const char *body);

/** Returns a header field's value of a request, to be freed, or NULL. */
char *yard_field(const struct fake_request *request, const char *name);

/** Lets the sockets between a caller and a request's connection hold little. */
struct gwy_request;
void yard_shrink_sockets(struct yard_caller *c, const struct gwy_request *req);

/** Collects what is logged to standard error. @return what yard_log_end() takes */
int yard_log_begin(void);

/** Returns what was logged since yard_log_begin(), to be freed. */
char *yard_log_end(int stderr_fd);

/** Returns how many requests all targets have read. */
guint yard_arrivals(const struct yard *y);

#endif
