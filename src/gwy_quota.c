#include "fs_log.h"
#include "gwy_impl.h"

/* Buckets on the status page, those that hold least first. */
#define STATUS_MAX 32

static const struct cfg_organisation *
organisation_of(const struct gwy_request *req)
{
	return &req->cfg->organisations[req->organisation];
}

static void append_level(GString *out,
			 const struct cfg_organisation *organisation,
			 const struct quo_level *level)
{
	g_string_append(out, "{\"organisation\":");
	fs_json_string(out, organisation->name);
	g_string_append_printf(out,
			       ",\"per_s\":%.2f,\"level\":%.2f,"
			       "\"others_per_s\":%.1f,\"heard_ms_ago\":%lld,"
			       "\"alone\":%s}",
			       organisation->rate, level->level,
			       level->others_rate,
			       (long long)(level->silent_us / FS_US_PER_MS),
			       level->alone ? "true" : "false");
}

static void note_refusal(struct gwy_request *req, int64_t now_us)
{
	const struct cfg_organisation *organisation = organisation_of(req);
	const struct quo_level level =
		lod_quota_level(req->gwy->lod, organisation->name, now_us);
	GString *out = g_string_new(NULL);

	append_level(out, organisation, &level);
	g_free(req->quota_state);
	req->quota_state = g_string_free(out, FALSE);
	ctr_count(req->gwy->node->ctr,
		  level.alone ? "gwy_quota_refused{reason=alone}" :
				"gwy_quota_refused{reason=limit}",
		  1);
}

int64_t gwy_quota_take(struct gwy_request *req, int64_t now_us)
{
	int64_t wait_us;

	if (req->organisation == FS_NONE || organisation_of(req)->rate <= 0)
		return 0;
	wait_us = lod_quota_take(req->gwy->lod, organisation_of(req), now_us);
	req->has_place = !wait_us;
	if (wait_us)
		note_refusal(req, now_us);
	return wait_us;
}

void gwy_quota_release(struct gwy_request *req, int64_t now_us)
{
	if (!req->has_place || req->may_have_run)
		return;
	req->has_place = false;
	lod_quota_return(req->gwy->lod, organisation_of(req), now_us);
	ctr_count(req->gwy->node->ctr, "gwy_quota_returned", 1);
}

/** A bucket on the status page. */
struct status_row {
	const struct cfg_organisation *organisation;
	struct quo_level level;
};

static int by_level(const void *a, const void *b)
{
	const struct status_row *x = a;
	const struct status_row *y = b;

	return x->level.level < y->level.level ?
		       -1 :
		       x->level.level > y->level.level;
}

void gwy_quota_status(const struct gwy *gwy, GString *out, int64_t now_us)
{
	g_autoptr(GArray)
		rows = g_array_new(FALSE, FALSE, sizeof(struct status_row));

	for (uint32_t i = 0; gwy->cfg && i < gwy->cfg->organisation_count;
	     i++) {
		struct status_row row = {&gwy->cfg->organisations[i], {0}};

		row.level = lod_quota_level(gwy->lod, row.organisation->name,
					    now_us);
		if (row.level.in_use)
			g_array_append_val(rows, row);
	}
	g_array_sort(rows, by_level);
	g_string_append_printf(out, "{\"buckets\":%u,\"lowest\":[",
			       lod_quota_buckets(gwy->lod));
	for (guint i = 0; i < rows->len && i < STATUS_MAX; i++) {
		const struct status_row *row =
			&g_array_index(rows, struct status_row, i);

		if (i)
			g_string_append_c(out, ',');
		append_level(out, row->organisation, &row->level);
	}
	g_string_append(out, "]}");
}
