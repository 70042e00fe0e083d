#include <string.h>

#include "ent.h"
#include "ent_rules.h"

struct ent_request *ent_reply_find(struct ent *ent, const struct req_id *id,
				   node_id from)
{
	struct ent_request *req =
		g_hash_table_lookup(ent->requests, &id->counter);

	if (req && req_id_equal(&req->id, id) && req->node == from)
		return req;
	ctr_count(ent->node->ctr, "ent_late_replies", 1);
	return NULL;
}

static void take_load(struct ent_request *req, const struct msg_load *load,
		      int64_t now_us)
{
	struct ent *ent = req->ent;
	struct ent_load *known;

	if (req->cfg != ent->cfg || req->shard == FS_NONE)
		return;
	known = &ent->loads[req->shard];
	known->told = *load;
	known->told_us = now_us;
	known->sent = 0;
}

/* A whole body must have the length that the target announced; an answer to
 * HEAD announces the length of a body that does not come. */
static bool length_fits(const struct ent_request *req,
			const struct msg_answer *answer)
{
	gsize size = g_bytes_get_size(answer->data);

	if (!strcmp(req->method, "HEAD"))
		return size == 0 && answer->last;
	if (answer->length < 0)
		return true;
	return answer->last ? (int64_t)size == answer->length :
			      (int64_t)size < answer->length;
}

static ssize_t read_nothing(void *arg, uint64_t at, char *buf, size_t max)
{
	(void)arg;
	(void)at;
	(void)buf;
	(void)max;
	return MHD_CONTENT_READER_END_WITH_ERROR;
}

static void unref_bytes(void *bytes)
{
	g_bytes_unref(bytes);
}

static struct MHD_Response *whole_response(const struct ent_request *req,
					   const struct msg_answer *answer)
{
	gsize size;
	const void *data = g_bytes_get_data(answer->data, &size);

	if (!strcmp(req->method, "HEAD"))
		return MHD_create_response_from_callback(
			answer->length < 0 ? MHD_SIZE_UNKNOWN :
					     (uint64_t)answer->length,
			1024, read_nothing, NULL, NULL);
	return MHD_create_response_from_buffer_with_free_callback_cls(
		size, (void *)data, unref_bytes, g_bytes_ref(answer->data));
}

static void fail(struct ent_request *req, int err, int64_t now_us)
{
	ent_record_refusal(req, AUD_R_OUTCOME_UNKNOWN, err, "written", 1,
			   "cancel_confirmed", 0, now_us);
	ent_answer_refuse(req, err, FS_UNKNOWN, 0, now_us);
}

static void answer_whole(struct ent_request *req,
			 const struct msg_answer *answer, int64_t now_us)
{
	struct MHD_Response *response = whole_response(req, answer);

	if (!ent_answer_headers(response, answer->headers)) {
		MHD_destroy_response(response);
		fail(req, FS_E_ANSWER_INVALID, now_us);
		return;
	}
	ent_request_record_end(req, NULL, now_us);
	ent_request_end(req);
	ctr_count(req->ent->node->ctr, "ent_answers", 1);
	ent_answer_set_response(req, response, answer->status, answer->outcome);
}

void ent_reply_answer(struct ent *ent, struct msg *m, int64_t now_us)
{
	struct msg_answer *answer = &m->answer;
	struct ent_request *req = ent_reply_find(ent, &answer->id, m->from);

	if (!req)
		return;
	if (req->state == ENT_STREAMING) {
		ctr_count(ent->node->ctr, "ent_duplicate_answers", 1);
		return;
	}
	take_load(req, &answer->load, now_us);
	req->good = answer->status < 500;
	req->targets = answer->tries;
	g_free(req->server);
	req->server = g_strdup(answer->server);
	if (answer->status < 200 || answer->status > 599 ||
	    answer->outcome == FS_UNKNOWN)
		fail(req, FS_E_ANSWER_INVALID, now_us);
	else if (!length_fits(req, answer))
		fail(req, FS_E_TRUNCATED, now_us);
	else if (answer->last)
		answer_whole(req, answer, now_us);
	else
		ent_stream_begin(req, answer);
}

void ent_reply_piece(struct ent *ent, struct msg *m, int64_t now_us)
{
	const struct msg_piece *piece = &m->piece;
	struct ent_request *req = ent_reply_find(ent, &piece->id, m->from);

	if (req && req->state == ENT_STREAMING)
		ent_stream_piece(req, piece->offset, piece->data, piece->last,
				 now_us);
	else if (req)
		ctr_count(ent->node->ctr, "ent_late_replies", 1);
}

/* Returns whether the request went to another dispatcher. A refusal for load
 * lets it move to one other shard; one for ownership, to each next owner. */
static bool move(struct ent_request *req, const struct msg_refusal *refusal,
		 int64_t now_us)
{
	bool same_shard = ent_rules_same_shard(refusal->err);

	if (req->state != ENT_SENT ||
	    !ent_rules_may_move(refusal->err, refusal->outcome) ||
	    ent_rules_deadline(req->deadline_us - now_us))
		return false;
	if (!same_shard && (req->moves || req->head.key))
		return false;
	req->tries--;
	if (!ent_send_next(req, same_shard, now_us)) {
		req->tries++;
		return false;
	}
	req->moves += !same_shard;
	ctr_count(req->ent->node->ctr, "ent_moves", 1);
	return true;
}

void ent_reply_refusal(struct ent *ent, struct msg *m, int64_t now_us)
{
	const struct msg_refusal *refusal = &m->refusal;
	struct ent_request *req = ent_reply_find(ent, &refusal->id, m->from);
	bool not_run = refusal->outcome == FS_NOT_RUN;

	if (!req)
		return;
	if (req->state == ENT_STREAMING) {
		ent_stream_abort(req, "refused", now_us);
		return;
	}
	if (!ent_rules_same_shard(refusal->err))
		take_load(req, &refusal->load, now_us);
	req->targets = refusal->tries;
	if (move(req, refusal, now_us))
		return;
	if (req->state == ENT_CANCELLING && not_run)
		ent_record_refusal(req, AUD_R_CANCEL_CONFIRMED, refusal->err,
				   "cancel_confirmed", 1, NULL, 0, now_us);
	else if (refusal->err == FS_E_NO_DISPATCHER)
		ent_record_refusal(req, AUD_R_NO_DISPATCHER, refusal->err,
				   "reachable", 0, NULL, 0, now_us);
	ent_answer_refuse(req, refusal->err, refusal->outcome,
			  refusal->retry_after_us, now_us);
}
