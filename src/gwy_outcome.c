#include "gwy_impl.h"

/* Classifies the outcome of an attempt as evidence on its target. */
static enum gry_outcome outcome_of(const struct gwy_attempt *t)
{
	if (t->err == FS_E_CONNECT)
		return GRY_UNREACHABLE;
	if (t->err == FS_E_DEADLINE || (!t->err && t->status == 504))
		return GRY_OVERDUE;
	if (t->err)
		return GRY_BROKEN;
	if (t->not_run)
		return t->status == 421 ? GRY_WRONG_SERVER : GRY_FULL;
	return t->status >= 500 ? GRY_FAILED : GRY_SUCCESS;
}

void gwy_outcome_report(struct gwy_attempt *t)
{
	enum gry_outcome outcome = outcome_of(t);

	if (outcome == GRY_OVERDUE &&
	    (t->overdue || gwy_ends_with_node(t->req)))
		return;
	t->overdue |= outcome == GRY_OVERDUE;
	/* The wait for a slot is not part of the service time of the target. */
	lod_record_outcome(t->req->gwy->lod, t->target, outcome,
			   MAX(t->took_us - t->wait_us, t->took_us / 4));
}

void gwy_outcome_report_statement(struct gwy_attempt *t, const GArray *headers,
				  int64_t now_us)
{
	struct gwy *gwy = t->req->gwy;
	struct stm stm = {0};

	gwy->fields.read_statement(t->status, headers, &stm);
	if (!t->target->removed_from_dir)
		lod_record_statement(gwy->lod, t->target, &stm, now_us);
}
