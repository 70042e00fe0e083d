#include <string.h>

#include "ent.h"

#define OWN_PREFIX "/.fescuesaddle"
#define CALLER_MAX 128 /* bytes of a caller's name */

static void answer_text(struct ent_request *req, char *text,
			unsigned int status)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);

	MHD_add_response_header(response, "Content-Type", "application/json");
	ent_request_end(req);
	ent_answer_set_response(req, response, status, FS_ANSWERED);
}

static void answer_ready(struct ent_request *req)
{
	const struct ent *ent = req->ent;
	bool ready = ent->cfg && ent->view && !ent->stop_us;

	answer_text(
		req,
		g_strdup_printf("{\"ready\":%s}\n", ready ? "true" : "false"),
		ready ? 200 : 503);
}

static char *entries_json(const struct ent *ent, const char *caller)
{
	const struct mem_member *chosen[ENT_ENTRIES_MAX];
	const struct node *node = ent->node;
	GString *out = g_string_new("{\"entries\":[");
	uint32_t count = 0;

	if (ent->view)
		count = ent_entries_pick(ent->view, caller,
					 ent->stop_us ? node->self : 0, chosen);
	for (uint32_t i = 0; i < count; i++) {
		char text[FS_ADDRESS_MAX];

		set_format_address(&chosen[i]->caller, text);
		g_string_append_printf(out, "%s\"%s\"", i ? "," : "", text);
	}
	g_string_append_printf(
		out, "],\"ttl_ms\":%" G_GINT64_FORMAT "}\n",
		(gint64)(node->set.answer_ttl_us / FS_US_PER_MS));
	return g_string_free(out, FALSE);
}

static void answer_entries(struct ent_request *req)
{
	const char *caller = MHD_lookup_connection_value(
		req->connection, MHD_GET_ARGUMENT_KIND, "caller");
	int64_t now_us = fs_now_us();

	if (caller && *caller && strlen(caller) < CALLER_MAX) {
		answer_text(req, entries_json(req->ent, caller), 200);
		return;
	}
	ent_record_refusal(req, AUD_R_REQUEST, FS_E_BAD_REQUEST, NULL, 0, NULL,
			   0, now_us);
	ent_answer_refuse(req, FS_E_BAD_REQUEST, FS_NOT_RUN, 0, now_us);
}

static void refuse(struct ent_request *req, int err)
{
	int64_t now_us = fs_now_us();

	ent_record_refusal(req, AUD_R_REQUEST, err, NULL, 0, NULL, 0, now_us);
	ent_answer_refuse(req, err, FS_NOT_RUN, 0, now_us);
}

bool ent_own_answer_path(struct ent_request *req)
{
	if (!rte_path_match(OWN_PREFIX, req->path))
		return false;
	if (strcmp(req->method, "GET") != 0 && strcmp(req->method, "HEAD") != 0)
		refuse(req, FS_E_METHOD);
	else if (!strcmp(req->path, OWN_PREFIX "/ready"))
		answer_ready(req);
	else if (!strcmp(req->path, OWN_PREFIX "/entries"))
		answer_entries(req);
	else
		refuse(req, FS_E_NO_ROUTE);
	return true;
}
