/**
 * @file cfg_read.h
 * @brief Reads scalars of the operators' text and collects what is wrong.
 *
 * A reader stands at one mapping of the text, such as services[2]. Each
 * function reads one of its settings; a wrong value adds a problem that names
 * the setting, the value and what would be right, and leaves the result as it
 * was. A NULL text means that the setting is absent: its default stays.
 *
 * Limits: CFG_PROBLEMS_MAX problems are kept.
 */
#ifndef CFG_READ_H
#define CFG_READ_H

#include "cfg.h"

#define CFG_PROBLEMS_MAX 200

/** A place in the text. */
struct cfg_reader {
	GPtrArray *problems;
	char path[96]; /* "" at the top, else such as "services[2]" */
};

/** Makes an array of struct cfg_problem that frees its elements. */
GPtrArray *cfg_problems_new(void);

/** Moves the reader to another mapping. */
void cfg_reader_at(struct cfg_reader *r, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Adds a problem with the setting @p key, or the mapping itself if NULL. */
void cfg_problem(struct cfg_reader *r, const char *key, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/** Returns whether a required setting is there and not empty. */
bool cfg_read_present(struct cfg_reader *r, const char *key, const char *text);

/** Reads a whole number within bounds. @param unit  such as "ms", or "" */
void cfg_read_int(struct cfg_reader *r, const char *key, const char *text,
		  int64_t min, int64_t max, const char *unit, int64_t *out);

/** Like cfg_read_int(), for 32 bits without sign. */
void cfg_read_u32(struct cfg_reader *r, const char *key, const char *text,
		  uint32_t min, uint32_t max, const char *unit, uint32_t *out);

/** Reads milliseconds as microseconds; bounds in ms. */
void cfg_read_ms(struct cfg_reader *r, const char *key, const char *text,
		 int64_t min_ms, int64_t max_ms, int64_t *out_us);

/** Reads "75%" as a number of per cent within bounds. */
void cfg_read_percent(struct cfg_reader *r, const char *key, const char *text,
		      double min, double max, double *out);

/** Reads a number, such as "0.2", within bounds. */
void cfg_read_number(struct cfg_reader *r, const char *key, const char *text,
		     double min, double max, double *out);

/** Reads true or false. */
void cfg_read_bool(struct cfg_reader *r, const char *key, const char *text,
		   bool *out);

/** Reads one of @p count words as its index. */
void cfg_read_word(struct cfg_reader *r, const char *key, const char *text,
		   const char *const *words, uint32_t count, uint32_t *out);

/* For names that are fitted into the fleet's own, see fs_name.h. */
#define CFG_ANY_SIZE 0

/**
 * Checks a name: letters, digits, "-", "_" and ".", with a letter or digit
 * first.
 * @param size  bytes it may take with NUL, or CFG_ANY_SIZE
 * @return whether the name is present and right
 */
bool cfg_read_name(struct cfg_reader *r, const char *key, const char *text,
		   size_t size);

/** Checks an absolute, normalised URL path without a query. */
bool cfg_read_path(struct cfg_reader *r, const char *key, const char *text);

/**
 * Checks "ip:port" of a target.
 * @param ip    out: host byte order
 * @param port  out: host byte order
 */
bool cfg_read_address(struct cfg_reader *r, const char *key, const char *text,
		      uint32_t *ip, uint16_t *port);

#endif
