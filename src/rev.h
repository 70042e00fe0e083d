/**
 * @file rev.h
 * @brief Order of the store's revisions, across restorations of the store.
 *
 * A store that is restored from a copy gives revisions out again. Its era rises
 * by one each time, so any revision of a newer era is later than all of an older
 * one.
 */
#ifndef REV_H
#define REV_H

#include <stdint.h>

/** A revision of the store. */
struct rev {
	uint64_t era; /* 0 as well if the store states none */
	uint64_t number;
};

/** Returns less than, equal to or more than 0 as @p a is before, at or after
 *  @p b. */
static inline int rev_compare(struct rev a, struct rev b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

#endif
