/* Datagrams of the load exchange: what comes back is what was sent, and what
 * is malformed or signed by others is refused. */
#include <string.h>

#include "fs_err.h"
#include "lod_wire.h"

#define KEY "0123456789abcdef"

static void fill(struct lod_packet *packet)
{
	struct lod_count count = {7, 3};
	struct lod_evidence evidence = {
		.origin = UINT64_MAX,
		.target = 7,
		.outcome = GRY_OVERDUE,
		.count = 2,
		.took_us = 1500,
	};
	struct lod_sends sends = {9, 10, 2, 1};

	lod_packet_init(packet, LOD_DIGEST);
	packet->sender = 42;
	packet->incarnation = 43;
	packet->serial = UINT32_MAX;
	packet->domain = 44;
	packet->feed.digest = UINT64_MAX - 1;
	packet->feed.config_version = 12;
	packet->feed.fresh = true;
	g_array_append_val(packet->counts, count);
	g_array_append_val(packet->evidence, evidence);
	g_array_append_val(packet->sends, sends);
}

/* Each number is read once: a macro that read it twice shifted all rows. */
static void test_round_trip(void)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	const struct lod_evidence *e;
	struct lod_packet in, out;

	fill(&in);
	g_assert_cmpint(lod_wire_encode(&in, KEY, data), ==, 0);
	g_assert_cmpint(lod_wire_decode(data->data, data->len, KEY, &out), ==,
			0);
	g_assert_cmpint(out.type, ==, LOD_DIGEST);
	g_assert_cmpuint(out.sender, ==, 42);
	g_assert_cmpuint(out.serial, ==, UINT32_MAX);
	g_assert_cmpuint(out.feed.digest, ==, UINT64_MAX - 1);
	g_assert_true(out.feed.fresh);
	g_assert_cmpmem(out.counts->data, sizeof(struct lod_count),
			in.counts->data, sizeof(struct lod_count));
	e = &g_array_index(out.evidence, struct lod_evidence, 0);
	g_assert_cmpuint(e->origin, ==, UINT64_MAX);
	g_assert_cmpuint(e->target, ==, 7);
	g_assert_cmpint(e->outcome, ==, GRY_OVERDUE);
	g_assert_cmpuint(e->count, ==, 2);
	g_assert_cmpint(e->took_us, ==, 1500);
	g_assert_cmpmem(out.sends->data, sizeof(struct lod_sends),
			in.sends->data, sizeof(struct lod_sends));
	lod_packet_clear(&in);
	lod_packet_clear(&out);
}

static void test_foreign_key(void)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet in, out;

	fill(&in);
	lod_wire_encode(&in, "fedcba9876543210", data);
	g_assert_cmpint(lod_wire_decode(data->data, data->len, KEY, &out), ==,
			FS_E_PROTOCOL);
	lod_packet_clear(&in);
	lod_packet_clear(&out);
}

static void test_largest_datagram_fits(void)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet packet;

	fill(&packet);
	for (int i = 1; i < LOD_COUNTS_MAX; i++) {
		struct lod_count c = {UINT32_MAX, 1000};

		g_array_append_val(packet.counts, c);
	}
	for (int i = 1; i < LOD_EVIDENCE_MAX; i++) {
		struct lod_evidence e =
			g_array_index(packet.evidence, struct lod_evidence, 0);

		e.target = UINT32_MAX;
		e.took_us = 10 * FS_US_PER_S;
		g_array_append_val(packet.evidence, e);
	}
	for (int i = 1; i < LOD_SENDS_MAX; i++) {
		struct lod_sends s = {UINT32_MAX, 1000, 1000, 1000};

		g_array_append_val(packet.sends, s);
	}
	g_assert_cmpint(lod_wire_encode(&packet, KEY, data), ==, 0);
	lod_packet_clear(&packet);
}

static void test_cut_datagrams(void)
{
	g_autoptr(GByteArray) data = g_byte_array_new();
	struct lod_packet in, out;

	fill(&in);
	lod_wire_encode(&in, KEY, data);
	for (guint size = 0; size < data->len; size++) {
		g_assert_cmpint(lod_wire_decode(data->data, size, KEY, &out),
				==, FS_E_PROTOCOL);
		lod_packet_clear(&out);
	}
	lod_packet_clear(&in);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lod/round_trip", test_round_trip);
	g_test_add_func("/lod/foreign_key", test_foreign_key);
	g_test_add_func("/lod/largest_datagram_fits",
			test_largest_datagram_fits);
	g_test_add_func("/lod/cut_datagrams", test_cut_datagrams);
	return g_test_run();
}
