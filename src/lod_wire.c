#include "lod_wire.h"

#include <msgpack.h>
#include <string.h>

#include "fs_err.h"
#include "sig.h"

/* Type to domain, feed, three lists, reader, era and statements. Nodes of earlier
 * versions send none of the last. Ranks and quotas follow if there are any. */
#define PACKET_MEMBERS 14
#define RANK_COLUMNS 4
#define LIMIT_MILLI_MAX 1000000000 /* thousandths of a request a second */
#define MILLI 1000.0
#define LIMIT_CODE_UNKNOWN 0
#define LIMIT_CODE_NONE 1
#define LIMIT_CODE_NAMED 2
#define EVIDENCE_COUNT_MAX 64
#define REQUESTS_MAX 100000
#define QUOTA_TOTAL_MAX (1ULL << 48)
#define LATENCY_SUM_MAX_US (600 * FS_US_PER_S)

void lod_packet_init(struct lod_packet *packet, enum lod_type type)
{
	memset(packet, 0, sizeof(*packet));
	packet->type = type;
	packet->counts =
		g_array_new(FALSE, TRUE, sizeof(struct lod_target_count));
	packet->evidence =
		g_array_new(FALSE, TRUE, sizeof(struct lod_evidence));
	packet->service_counts =
		g_array_new(FALSE, TRUE, sizeof(struct lod_service_counts));
	packet->statements =
		g_array_new(FALSE, TRUE, sizeof(struct lod_statement));
	packet->quotas = g_array_new(FALSE, TRUE, sizeof(struct lod_quota));
}

void lod_packet_clear(struct lod_packet *packet)
{
	g_clear_pointer(&packet->counts, g_array_unref);
	g_clear_pointer(&packet->evidence, g_array_unref);
	g_clear_pointer(&packet->service_counts, g_array_unref);
	g_clear_pointer(&packet->statements, g_array_unref);
	g_clear_pointer(&packet->quotas, g_array_unref);
}

static int append(void *data, const char *buf, size_t size)
{
	g_byte_array_append(data, (const guint8 *)buf, (guint)size);
	return 0;
}

static void pack_uint(msgpack_packer *packer, uint64_t value)
{
	msgpack_pack_uint64(packer, value);
}

static void pack_lists(msgpack_packer *packer, const struct lod_packet *packet)
{
	msgpack_pack_array(packer, (size_t)3 * packet->counts->len);
	for (guint i = 0; i < packet->counts->len; i++) {
		const struct lod_target_count *c = &g_array_index(
			packet->counts, struct lod_target_count, i);

		pack_uint(packer, c->target);
		pack_uint(packer, c->requests);
		pack_uint(packer, (uint64_t)(CLAMP(c->sent_ago_us, 0,
						   LOD_SENT_AGO_MAX_US) /
					     LOD_SENT_AGO_STEP_US));
	}
	msgpack_pack_array(packer, (size_t)5 * packet->evidence->len);
	for (guint i = 0; i < packet->evidence->len; i++) {
		const struct lod_evidence *e = &g_array_index(
			packet->evidence, struct lod_evidence, i);

		pack_uint(packer, e->origin);
		pack_uint(packer, e->target);
		pack_uint(packer, e->outcome);
		pack_uint(packer, e->count);
		pack_uint(packer, (uint64_t)MAX(e->latency_sum_us, 0));
	}
	msgpack_pack_array(packer, (size_t)4 * packet->service_counts->len);
	for (guint i = 0; i < packet->service_counts->len; i++) {
		const struct lod_service_counts *s = &g_array_index(
			packet->service_counts, struct lod_service_counts, i);

		pack_uint(packer, s->service);
		pack_uint(packer, s->requests);
		pack_uint(packer, s->retries);
		pack_uint(packer, s->unserved);
	}
}

static uint64_t to_milli(double per_s)
{
	double milli = CLAMP(per_s * MILLI, 0.0, (double)LIMIT_MILLI_MAX);

	return (uint64_t)(milli + 0.5);
}

static guint ranked_rows(const struct lod_packet *packet)
{
	guint rows = 0;

	for (guint i = 0; i < packet->service_counts->len; i++)
		rows += g_array_index(packet->service_counts,
				      struct lod_service_counts, i)
				.ranked;
	return rows;
}

/* Nodes of earlier versions add up the rows of a service, and skip this. */
static void pack_ranks(msgpack_packer *packer, const struct lod_packet *packet,
		       guint rows)
{
	msgpack_pack_array(packer, (size_t)RANK_COLUMNS * rows);
	for (guint i = 0; i < packet->service_counts->len; i++) {
		const struct lod_service_counts *s = &g_array_index(
			packet->service_counts, struct lod_service_counts, i);

		if (!s->ranked)
			continue;
		pack_uint(packer, i);
		pack_uint(packer, s->rank);
		pack_uint(packer, s->no_room);
		pack_uint(packer, s->denied);
	}
}

static uint64_t limit_code(const struct stm *stm)
{
	if (stm->limit == STM_LIMIT_NAMED)
		return LIMIT_CODE_NAMED + to_milli(stm->limit_per_s);
	return stm->limit == STM_LIMIT_NONE ? LIMIT_CODE_NONE :
					      LIMIT_CODE_UNKNOWN;
}

static void set_limit(struct stm *stm, uint64_t code)
{
	stm->limit = code >= LIMIT_CODE_NAMED ? STM_LIMIT_NAMED :
		     code == LIMIT_CODE_NONE  ? STM_LIMIT_NONE :
						STM_LIMIT_UNKNOWN;
	if (stm->limit == STM_LIMIT_NAMED)
		stm->limit_per_s = (double)(code - LIMIT_CODE_NAMED) / MILLI;
}

/* A limit is encoded as its thousandths beyond LIMIT_CODE_NAMED. */
static void pack_statements(msgpack_packer *packer,
			    const struct lod_packet *packet, int64_t now_us)
{
	msgpack_pack_array(packer, (size_t)5 * packet->statements->len);
	for (guint i = 0; i < packet->statements->len; i++) {
		const struct lod_statement *l = &g_array_index(
			packet->statements, struct lod_statement, i);

		pack_uint(packer, l->target);
		pack_uint(packer, l->sends);
		pack_uint(packer, limit_code(&l->stm));
		pack_uint(packer, l->stm.leaving);
		pack_uint(packer, (uint64_t)(CLAMP(now_us - l->stated_us, 0,
						   LOD_STATED_AGO_MAX_US) /
					     LOD_STATED_AGO_STEP_US));
	}
}

/* Totals that differ little are sent as their differences, which take fewer bytes. */
static void pack_quotas(msgpack_packer *packer, const struct lod_packet *packet)
{
	msgpack_pack_array(packer, (size_t)8 * packet->quotas->len);
	for (guint i = 0; i < packet->quotas->len; i++) {
		const struct lod_quota *q =
			&g_array_index(packet->quotas, struct lod_quota, i);

		pack_uint(packer, q->organisation);
		pack_uint(packer, q->epoch);
		pack_uint(packer, q->admitted);
		pack_uint(packer, q->asked - MIN(q->admitted, q->asked));
		pack_uint(packer, q->admitted - MIN(q->known, q->admitted));
		pack_uint(packer, to_milli(q->limit.rate));
		pack_uint(packer, to_milli(q->limit.burst));
		pack_uint(packer, q->low);
	}
}

int lod_wire_encode(const struct lod_packet *packet, const char *key,
		    int64_t now_us, GByteArray *out)
{
	msgpack_packer packer;
	uint8_t signature[SIG_SIZE];
	guint ranked = ranked_rows(packet);

	msgpack_packer_init(&packer, out, append);
	msgpack_pack_array(&packer, PACKET_MEMBERS + (packet->quotas->len ? 2 :
						      ranked		  ? 1 :
									    0));
	pack_uint(&packer, packet->type);
	pack_uint(&packer, packet->sender);
	pack_uint(&packer, packet->incarnation);
	pack_uint(&packer, packet->serial);
	pack_uint(&packer, packet->domain);
	pack_uint(&packer, packet->feed.digest);
	pack_uint(&packer, packet->feed.config_version);
	pack_uint(&packer, packet->feed.fresh);
	pack_lists(&packer, packet);
	pack_uint(&packer, packet->feed.reader);
	pack_uint(&packer, packet->feed.era);
	pack_statements(&packer, packet, now_us);
	if (ranked || packet->quotas->len)
		pack_ranks(&packer, packet, ranked);
	if (packet->quotas->len)
		pack_quotas(&packer, packet);
	if (sig_sign(key, out->data, out->len, signature))
		return FS_E_INVALID;
	g_byte_array_append(out, signature, SIG_SIZE);
	return out->len <= FS_DATAGRAM_MAX ? 0 : FS_E_INVALID;
}

/** Reads unsigned integers in sequence; any other type sets invalid. */
struct reader {
	const msgpack_object *next;
	uint32_t remaining;
	bool invalid;
};

/* Each call consumes one number. As an argument of a macro such as MIN it could
 * be evaluated twice. */
static uint64_t read_uint(struct reader *r, uint64_t max)
{
	uint64_t value;

	if (r->invalid || !r->remaining ||
	    r->next->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		r->invalid = true;
		return 0;
	}
	value = r->next->via.u64;
	r->next++;
	r->remaining--;
	return value > max ? max : value;
}

static struct reader read_list(struct reader *r, uint32_t row_size)
{
	struct reader list = {.invalid = true};

	if (r->invalid || !r->remaining ||
	    r->next->type != MSGPACK_OBJECT_ARRAY ||
	    r->next->via.array.size % row_size) {
		r->invalid = true;
		return list;
	}
	list.next = r->next->via.array.ptr;
	list.remaining = r->next->via.array.size;
	list.invalid = false;
	r->next++;
	r->remaining--;
	return list;
}

static void read_counts(struct reader *r, struct lod_packet *packet)
{
	struct reader list = read_list(r, 3);

	while (!list.invalid && list.remaining) {
		struct lod_target_count c = {0};

		c.target = (uint32_t)read_uint(&list, UINT32_MAX);
		c.requests = (uint32_t)read_uint(&list, REQUESTS_MAX);
		c.sent_ago_us = (int64_t)read_uint(
					&list, LOD_SENT_AGO_MAX_US /
						       LOD_SENT_AGO_STEP_US) *
				LOD_SENT_AGO_STEP_US;
		g_array_append_val(packet->counts, c);
	}
	r->invalid |= list.invalid;
}

static void read_evidence(struct reader *r, struct lod_packet *packet)
{
	struct reader list = read_list(r, 5);

	while (!list.invalid && list.remaining) {
		struct lod_evidence e = {0};
		uint64_t outcome;

		e.origin = read_uint(&list, UINT64_MAX);
		e.target = (uint32_t)read_uint(&list, UINT32_MAX);
		outcome = read_uint(&list, UINT32_MAX);
		e.count = (uint32_t)read_uint(&list, EVIDENCE_COUNT_MAX);
		e.latency_sum_us =
			(int64_t)read_uint(&list, LATENCY_SUM_MAX_US);
		if (outcome >= GRY_OUTCOME_COUNT)
			continue;
		e.outcome = (enum gry_outcome)outcome;
		g_array_append_val(packet->evidence, e);
	}
	r->invalid |= list.invalid;
}

static void read_service_counts(struct reader *r, struct lod_packet *packet)
{
	struct reader list = read_list(r, 4);

	while (!list.invalid && list.remaining) {
		struct lod_service_counts s = {0};

		s.service = (uint32_t)read_uint(&list, UINT32_MAX);
		s.requests = (uint32_t)read_uint(&list, REQUESTS_MAX);
		s.retries = (uint32_t)read_uint(&list, REQUESTS_MAX);
		s.unserved = (uint32_t)read_uint(&list, REQUESTS_MAX);
		g_array_append_val(packet->service_counts, s);
	}
	r->invalid |= list.invalid;
}

static void read_statements(struct reader *r, int64_t now_us,
			    struct lod_packet *packet)
{
	struct reader list = read_list(r, 5);

	while (!list.invalid && list.remaining) {
		struct lod_statement l = {0};

		l.target = (uint32_t)read_uint(&list, UINT32_MAX);
		l.sends = (uint32_t)read_uint(&list, REQUESTS_MAX);
		set_limit(&l.stm,
			  read_uint(&list, LIMIT_CODE_NAMED + LIMIT_MILLI_MAX));
		l.stm.leaving = read_uint(&list, 1);
		l.stated_us = now_us -
			      (int64_t)read_uint(
				      &list, LOD_STATED_AGO_MAX_US /
						     LOD_STATED_AGO_STEP_US) *
				      LOD_STATED_AGO_STEP_US;
		g_array_append_val(packet->statements, l);
	}
	r->invalid |= list.invalid;
}

static void read_quotas(struct reader *r, struct lod_packet *packet)
{
	struct reader list = read_list(r, 8);

	while (!list.invalid && list.remaining) {
		struct lod_quota q = {0};
		uint64_t untold;

		q.organisation = read_uint(&list, UINT64_MAX);
		q.epoch = (uint32_t)read_uint(&list, UINT32_MAX);
		q.admitted = read_uint(&list, QUOTA_TOTAL_MAX);
		q.asked = q.admitted + read_uint(&list, QUOTA_TOTAL_MAX);
		untold = read_uint(&list, QUOTA_TOTAL_MAX);
		q.known = q.admitted - MIN(untold, q.admitted);
		q.limit.rate =
			(double)read_uint(&list, LIMIT_MILLI_MAX) / MILLI;
		q.limit.burst =
			(double)read_uint(&list, LIMIT_MILLI_MAX) / MILLI;
		q.low = read_uint(&list, 1);
		g_array_append_val(packet->quotas, q);
	}
	r->invalid |= list.invalid;
}

static void read_ranks(struct reader *r, struct lod_packet *packet)
{
	struct reader list = read_list(r, RANK_COLUMNS);

	while (!list.invalid && list.remaining) {
		uint64_t row = read_uint(&list, UINT32_MAX);
		struct lod_service_counts *s;

		if (row >= packet->service_counts->len) {
			list.invalid = true;
			break;
		}
		s = &g_array_index(packet->service_counts,
				   struct lod_service_counts, row);
		s->ranked = true;
		s->rank = (uint32_t)read_uint(&list, UINT32_MAX);
		s->no_room = (uint32_t)read_uint(&list, REQUESTS_MAX);
		s->denied = (uint32_t)read_uint(&list, REQUESTS_MAX);
	}
	r->invalid |= list.invalid;
}

static int read_packet(const msgpack_object *root, int64_t now_us,
		       struct lod_packet *packet)
{
	struct reader r = {.next = root->via.array.ptr,
			   .remaining = root->via.array.size};

	packet->type = (enum lod_type)read_uint(&r, UINT32_MAX);
	packet->sender = read_uint(&r, UINT64_MAX);
	packet->incarnation = read_uint(&r, UINT64_MAX);
	packet->serial = (uint32_t)read_uint(&r, UINT32_MAX);
	packet->domain = (uint32_t)read_uint(&r, UINT32_MAX);
	packet->feed.digest = read_uint(&r, UINT64_MAX);
	packet->feed.config_version = read_uint(&r, UINT64_MAX);
	packet->feed.fresh = read_uint(&r, 1);
	read_counts(&r, packet);
	read_evidence(&r, packet);
	read_service_counts(&r, packet);
	if (r.remaining)
		packet->feed.reader = read_uint(&r, UINT64_MAX);
	if (r.remaining)
		packet->feed.era = read_uint(&r, UINT64_MAX);
	if (r.remaining)
		read_statements(&r, now_us, packet);
	if (r.remaining)
		read_ranks(&r, packet);
	if (r.remaining)
		read_quotas(&r, packet);
	return r.invalid ? FS_E_PROTOCOL : 0;
}

int lod_wire_decode(const uint8_t *data, size_t size, const char *key,
		    int64_t now_us, struct lod_packet *packet)
{
	msgpack_unpacked unpacked;
	size_t at = 0;
	int err = FS_E_PROTOCOL;

	lod_packet_init(packet, LOD_REPORT);
	if (size <= SIG_SIZE || size > FS_DATAGRAM_MAX ||
	    !sig_verify(key, data, size - SIG_SIZE, data + size - SIG_SIZE))
		return FS_E_PROTOCOL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size - SIG_SIZE,
				&at) == MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY)
		err = read_packet(&unpacked.data, now_us, packet);
	msgpack_unpacked_destroy(&unpacked);
	return err;
}
