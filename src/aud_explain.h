/**
 * @file aud_explain.h
 * @brief Says in plain words what a record decided and why.
 */
#ifndef AUD_EXPLAIN_H
#define AUD_EXPLAIN_H

#include "aud.h"

/** Appends one or two sentences, without a line feed. */
void aud_explain(const struct aud_record *rec, GString *out);

#endif
