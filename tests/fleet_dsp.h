/**
 * @file fleet_dsp.h
 * @brief A dispatch task alone, between a collecting entry and fake targets.
 *
 * One service "shop" with three routes: "pay" (not repeatable, high
 * priority), "list" (repeatable, three tries) and "export" (repeatable, low
 * priority), all of one region and shard.
 */
#ifndef FLEET_DSP_H
#define FLEET_DSP_H

#include "dsp_impl.h"
#include "fleet_fake.h"

#define SCENE_TARGETS_MAX 4

/** How a scene is set up; zero members take the values in brackets. */
struct scene_setup {
	uint32_t targets;     /* [2] */
	uint32_t slots;	      /* of each [2] */
	uint32_t queue;	      /* [4] */
	uint32_t deadline_ms; /* of every route [2000] */
	const char *service;  /* more lines of the service, or NULL */
	fake_serve_fn serve;  /* of every target */
	void *arg;
};

struct scene {
	struct ev_loop *loop;
	struct node node;
	struct dsp *dsp;
	struct scene_setup setup;
	struct fake *fakes[SCENE_TARGETS_MAX];
	GPtrArray *replies; /* struct msg, as the entry got them */
	GPtrArray *told;    /* struct msg, as the node got them */
	uint64_t version;
	uint32_t want; /* of scene_wait() */
};

void scene_begin(struct scene *s, const struct scene_setup *setup);
void scene_end(struct scene *s);

/** Puts a new version of the configuration in force. */
void scene_configure(struct scene *s);

/** Makes a request of @p route with id @p counter, not yet sent. */
struct msg *scene_request(struct scene *s, uint64_t counter, const char *route);

/** Makes and sends a request. */
void scene_send(struct scene *s, uint64_t counter, const char *route);
void scene_cancel(struct scene *s, uint64_t counter);
void scene_credit(struct scene *s, uint64_t counter, uint32_t bytes);

/** Runs for a time. */
void scene_run(struct scene *s, int64_t us);

/** Runs until the entry has @p replies messages, fails after 5 s. */
void scene_wait(struct scene *s, uint32_t replies);

/** Runs until targets have read @p requests in all, fails after 5 s. */
void scene_wait_target(struct scene *s, uint32_t requests);

/** Returns the last reply for @p counter, or NULL. */
const struct msg *scene_reply(const struct scene *s, uint64_t counter);

/** Checks that the reply for @p counter is a refusal of this kind. */
void scene_refused(const struct scene *s, uint64_t counter, int err,
		   enum fs_outcome outcome);

/** Checks that the reply for @p counter is a whole answer. */
void scene_answered(const struct scene *s, uint64_t counter, uint32_t status);

/** Returns how many requests the targets have read. */
uint32_t scene_received(const struct scene *s);

/** Returns how many requests are in flight by the dispatcher's count. */
uint32_t scene_in_flight(const struct scene *s);

#endif
