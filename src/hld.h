/**
 * @file hld.h
 * @brief One bound for the memory that a node holds for its callers. Pure.
 *
 * Request bodies that come slowly, answers that are read slowly and requests that
 * wait hold memory for as long as their callers like. A ledger counts all of it.
 *
 * Long answers are read ahead of their callers, as targets cut off what stays unread.
 * Each of them may hold a fixed part of the room that is free at that moment. So all
 * who hold as much as they may hold the same, a few may hold much, and many leave
 * room for the next one. They share HLD_LONG_PERCENT of the bound; the rest stays for
 * bodies and for requests whose answers are short.
 */
#ifndef HLD_H
#define HLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the process needs for itself, in bytes. */
#define HLD_PROCESS_BYTES ((uint64_t)32 << 20)
#define HLD_DIVISOR 2	     /* callers get this part of the remainder */
#define HLD_SMALL_DIVISOR 4  /* and at least this part of the whole */
#define HLD_LONG_PERCENT 75  /* of the bound, for long answers */
#define HLD_WINDOW_DIVISOR 4 /* an answer may hold this part of the free room */
#define HLD_WINDOW_MIN (32 * 1024)	 /* bytes, without any free room */
#define HLD_WINDOW_MAX (2 * 1024 * 1024) /* bytes an answer is read ahead */
#define HLD_CALM_DIVISOR 2 /* pressure ends below this part of the bound */

/** What is held for all callers of a node. */
struct hld {
	size_t bound; /* bytes */
	size_t held;  /* bytes */
	size_t most;  /* bytes held at most so far */
	bool pressed; /* the bound was reached, and not left since */
};

/** What is held for one request. Zeroed: nothing. */
struct hld_item {
	size_t bytes;
};

/** Sets the bound. @param memory_bytes  limit of the process */
void hld_init(struct hld *hld, uint64_t memory_bytes);

/** Sets what a request holds; 0 releases it. */
void hld_set(struct hld *hld, struct hld_item *item, size_t bytes);

/** Returns whether a request may hold so many bytes more. */
bool hld_has_room(const struct hld *hld, size_t bytes);

/**
 * Returns whether a request may begin.
 * @param bytes      that it is expected to hold until its answer is written
 * @param long_answer  its answer is likely read ahead, see hld_window()
 */
bool hld_may_begin(const struct hld *hld, size_t bytes, bool long_answer);

/** Returns how many bytes a long answer may hold now. */
size_t hld_window(const struct hld *hld);

/**
 * Notes that a request was refused or an answer kept from being read ahead.
 * @return whether that begins a time of pressure
 */
bool hld_press(struct hld *hld);

/** Returns whether a time of pressure has ended; true once for each. */
bool hld_calm(struct hld *hld);

#endif
