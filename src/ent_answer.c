#include <string.h>

#include "ent.h"

static void add(struct MHD_Response *response, const char *name,
		const char *value)
{
	MHD_add_response_header(response, name, value);
}

/* Once a lost dispatcher may have run a request, what another one says of its
 * own part is not the whole truth. */
static enum fs_outcome true_outcome(const struct ent_request *req,
				    enum fs_outcome outcome)
{
	return req->ambiguous && outcome == FS_NOT_RUN ? FS_UNKNOWN : outcome;
}

void ent_answer_set_response(struct ent_request *req,
			     struct MHD_Response *response, unsigned int status,
			     enum fs_outcome outcome)
{
	char text[64];

	aud_request_text(&req->id, text, sizeof(text));
	outcome = true_outcome(req, outcome);
	add(response, "Fescuesaddle-Outcome", fs_outcome_name(outcome));
	add(response, "Fescuesaddle-Request", text);
	if (req->ent->node->stopping || req->ent->stop_us)
		add(response, "Connection", "close");
	g_clear_pointer(&req->response, MHD_destroy_response);
	req->response = response;
	req->status = status;
	ent_request_resume(req);
}

bool ent_answer_headers(struct MHD_Response *response, const GArray *headers)
{
	g_autoptr(GArray) kept = ent_check_copy_end_to_end(headers);
	size_t bytes = 0;

	for (guint i = 0; i < kept->len; i++) {
		const struct msg_header *h =
			&g_array_index(kept, struct msg_header, i);

		bytes += strlen(h->name) + strlen(h->value) + 4;
		if (bytes > FS_HEADER_BYTES_MAX ||
		    MHD_add_response_header(response, h->name, h->value) !=
			    MHD_YES)
			return false;
	}
	return true;
}

static char *refusal_body(const struct ent_request *req,
			  const struct fs_answer *row, enum fs_outcome outcome)
{
	GString *out = g_string_new(NULL);
	char text[64];

	aud_request_text(&req->id, text, sizeof(text));
	g_string_append_printf(out,
			       "{\"error\":\"%s\",\"outcome\":\"%s\","
			       "\"text\":\"%s\",\"request\":\"%s\"}\n",
			       row->name, fs_outcome_name(outcome), row->text,
			       text);
	return g_string_free(out, FALSE);
}

/* Refusals that pass by themselves get a time after which to come back. */
static bool passes(int err)
{
	return err == FS_E_NOT_READY || err == FS_E_ENTRY_FULL ||
	       err == FS_E_NO_DISPATCHER || err == FS_E_NOT_OWNER ||
	       err == FS_E_QUEUE_FULL || err == FS_E_WAIT_TOO_LONG ||
	       err == FS_E_NO_TARGET || err == FS_E_SHED;
}

static void add_retry_after(struct MHD_Response *response, int err,
			    int64_t retry_after_us)
{
	int64_t s = (retry_after_us + FS_US_PER_S - 1) / FS_US_PER_S;
	g_autofree char *text = NULL;

	if (s <= 0 && !passes(err))
		return;
	text = g_strdup_printf("%" G_GINT64_FORMAT, MAX(s, (int64_t)1));
	add(response, "Retry-After", text);
}

/* MHD reads no further request from a connection whose body it has not read
 * whole; what follows a refused request is never taken for one. */
static bool must_close(int err)
{
	return err == FS_E_BAD_REQUEST || err == FS_E_HEADERS_TOO_LARGE ||
	       err == FS_E_BODY_TOO_LARGE || err == FS_E_CALLER_GONE;
}

void ent_answer_refuse(struct ent_request *req, int err,
		       enum fs_outcome outcome, int64_t retry_after_us,
		       int64_t now_us)
{
	const struct fs_answer *row = fs_answer_of(err);
	g_autofree char *name = NULL;
	struct MHD_Response *response;
	char *body;

	outcome = true_outcome(req, outcome);
	body = refusal_body(req, row, outcome);
	response = MHD_create_response_from_buffer(strlen(body), body,
						   MHD_RESPMEM_MUST_FREE);
	name = g_strdup_printf("ent_refusals{err=%s,outcome=%s}", row->name,
			       fs_outcome_name(outcome));
	ctr_count(req->ent->node->ctr, name, 1);
	ent_request_record_end(req, row->name, now_us);
	ent_request_end(req);
	add(response, "Content-Type", "application/json");
	add(response, "Fescuesaddle-Error", row->name);
	add_retry_after(response, err, retry_after_us);
	if (must_close(err))
		add(response, "Connection", "close");
	ent_answer_set_response(req, response, row->status, outcome);
}
