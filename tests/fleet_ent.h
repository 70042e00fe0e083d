/**
 * @file fleet_ent.h
 * @brief An entry task alone, between raw callers and collected messages.
 *
 * The entry's node "a" and a peer "b" live in one region. What the entry sends
 * to either dispatcher is kept; replies are made by hand. Routes: "pay" is not
 * repeatable, "list" is, both with a short deadline.
 */
#ifndef FLEET_ENT_H
#define FLEET_ENT_H

#include "ent.h"

#define GATE_DEADLINE_MS 300

struct gate {
	struct ev_loop *loop;
	struct node node;
	struct ent *ent;
	GPtrArray *sent; /* struct msg from the entry, in order */
	bool stopped;	 /* MSG_STOPPED was seen */
};

/** One caller's connection. */
struct gate_caller {
	int fd;
	GString *got;
	bool closed;
};

void gate_begin(struct gate *g);
void gate_end(struct gate *g);
void gate_run(struct gate *g, int64_t us);

/** Connects and sends bytes. */
void gate_call(struct gate *g, struct gate_caller *c, const char *bytes);

/** Reads what has come. */
void gate_read(struct gate_caller *c);
void gate_hang_up(struct gate_caller *c);

/** Runs until a condition holds; fails after 3 s. */
#define gate_until(g, condition)                                 \
	do {                                                     \
		int64_t end_us = fs_now_us() + 3 * FS_US_PER_S;  \
		while (!(condition)) {                           \
			g_assert_cmpint(fs_now_us(), <, end_us); \
			gate_run(g, 2000);                       \
		}                                                \
	} while (0)

/** Returns the n-th message of a type that the entry sent, or NULL. */
const struct msg *gate_sent(const struct gate *g, enum msg_type type, guint n);

/** Runs until the caller has a whole head, and checks status and outcome. */
void gate_expect(struct gate *g, struct gate_caller *c, int status,
		 const char *outcome);

/** Gives the entry a reply to @p request from the node it was sent to. */
void gate_reply(struct gate *g, const struct msg *request, struct msg *reply);
void gate_refuse(struct gate *g, const struct msg *request, int err,
		 enum fs_outcome outcome);

/** Answers with a first piece of a body of @p length. */
void gate_answer(struct gate *g, const struct msg *request, const char *data,
		 int64_t length, bool last);
void gate_piece(struct gate *g, const struct msg *request, uint64_t offset,
		const char *data, bool last);

/** Tells the entry that the link to the request's node broke. */
void gate_break(struct gate *g, const struct msg *request);

#endif
