// Property tests of the message codec, the framing and the link signatures.
#include <rapidcheck.h>

#include <string>
#include <vector>

#include <glib.h>
#include <netinet/in.h>

extern "C" {
// mem.h has a member named operator, which is a keyword in C++.
#define operator operator_address
#include "cfh.h"
#include "frm.h"
#include "msg.h"
#include "sig.h"
#undef operator
}

namespace
{

std::string random_text(size_t max)
{
	auto bytes = *rc::gen::container<std::string>(
		rc::gen::inRange<char>(1, 127));

	return bytes.substr(0, max);
}

GBytes *random_bytes()
{
	auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();

	return g_bytes_new(bytes.data(), bytes.size());
}

void fill_id(struct req_id &id)
{
	id.node = *rc::gen::arbitrary<uint64_t>();
	id.incarnation = *rc::gen::arbitrary<uint64_t>();
	id.counter = *rc::gen::arbitrary<uint64_t>();
}

GArray *random_headers()
{
	GArray *out = msg_headers_new();
	int n = *rc::gen::inRange(0, 5);

	while (n--)
		msg_headers_add(out, random_text(20).c_str(),
				random_text(40).c_str());
	return out;
}

struct rev random_rev()
{
	return {*rc::gen::arbitrary<uint64_t>(),
		*rc::gen::arbitrary<uint64_t>()};
}

void fill_feed_entries(struct msg_feed_entries &out)
{
	out.snapshot = random_rev();
	for (int n = *rc::gen::inRange(0, 4); n > 0; n--) {
		struct dir_entry e = {};

		g_strlcpy(e.id, random_text(20).c_str(), sizeof(e.id));
		e.rev = random_rev();
		e.cold_us = *rc::gen::arbitrary<int64_t>();
		e.leaving = *rc::gen::arbitrary<bool>();
		g_array_append_val(out.entries, e);
	}
	for (int n = *rc::gen::inRange(0, 4); n > 0; n--) {
		struct msg_removed removed = {};

		g_strlcpy(removed.id, random_text(20).c_str(),
			  sizeof(removed.id));
		removed.last.born = *rc::gen::arbitrary<uint64_t>();
		removed.last.count = *rc::gen::arbitrary<uint64_t>();
		removed.rev = random_rev();
		g_array_append_val(out.removed, removed);
	}
}

void fill_feed_config(struct msg_feed_config &out)
{
	for (int n = *rc::gen::inRange(0, 4); n > 0; n--) {
		struct cfh_step step = {};

		step.version = *rc::gen::arbitrary<uint64_t>();
		step.base = *rc::gen::arbitrary<uint64_t>();
		step.bytes = random_bytes();
		cfh_steps_add(out.steps, &step);
		g_bytes_unref(step.bytes);
	}
	for (int n = *rc::gen::inRange(0, 4); n > 0; n--) {
		node_id id = *rc::gen::arbitrary<uint64_t>();

		g_array_append_val(out.relay, id);
	}
}

void expect_equal(const struct rev &a, const struct rev &b)
{
	RC_ASSERT(a.era == b.era);
	RC_ASSERT(a.number == b.number);
}

// Peers order entries by era and revision, and removals by the start of the server as
// well: none may be lost on the way.
void expect_same_revs(const struct msg_feed_entries &a,
		      const struct msg_feed_entries &b)
{
	expect_equal(a.snapshot, b.snapshot);
	RC_ASSERT(a.entries->len == b.entries->len);
	RC_ASSERT(a.removed->len == b.removed->len);
	for (guint i = 0; i < a.entries->len; i++)
		expect_equal(g_array_index(a.entries, struct dir_entry, i).rev,
			     g_array_index(b.entries, struct dir_entry, i).rev);
	for (guint i = 0; i < a.removed->len; i++) {
		const auto &x = g_array_index(a.removed, struct msg_removed, i);
		const auto &y = g_array_index(b.removed, struct msg_removed, i);

		expect_equal(x.rev, y.rev);
		RC_ASSERT(x.last.born == y.last.born);
		RC_ASSERT(x.last.count == y.last.count);
	}
}

struct msg *random_message()
{
	int type = *rc::gen::inRange(1, (int)MSG_REMOTE_COUNT);
	struct msg *m = msg_new((enum msg_type)type, 0, MSG_TASK_DISPATCH);

	switch (type) {
	case MSG_REQUEST:
		fill_id(m->request.id);
		m->request.service = g_strdup(random_text(30).c_str());
		m->request.key = *rc::gen::arbitrary<bool>() ?
					 g_strdup(random_text(30).c_str()) :
					 nullptr;
		m->request.remaining_us = *rc::gen::arbitrary<int64_t>();
		m->request.forced = *rc::gen::arbitrary<bool>();
		m->request.headers = random_headers();
		m->request.body = random_bytes();
		break;
	case MSG_ANSWER:
		fill_id(m->answer.id);
		m->answer.status = *rc::gen::arbitrary<uint32_t>();
		m->answer.length = *rc::gen::inRange<int64_t>(-1, INT64_MAX);
		m->answer.headers = random_headers();
		m->answer.data = random_bytes();
		m->answer.last = *rc::gen::arbitrary<bool>();
		break;
	case MSG_PIECE:
		fill_id(m->piece.id);
		m->piece.offset = *rc::gen::inRange<uint64_t>(0, INT64_MAX);
		m->piece.data = random_bytes();
		break;
	case MSG_REFUSAL:
		fill_id(m->refusal.id);
		m->refusal.err = *rc::gen::inRange((int)FS_E_AUDIT, 0);
		m->refusal.outcome = *rc::gen::element(FS_NOT_RUN, FS_UNKNOWN);
		break;
	case MSG_HANDOVER: {
		struct msg_key key = {g_strdup(random_text(9).c_str()), true,
				      -5};

		g_array_append_val(m->handover.keys, key);
		break;
	}
	case MSG_TARGETS_LEAVING:
		m->targets_leaving.servers =
			g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(m->targets_leaving.servers,
				g_strdup(random_text(9).c_str()));
		break;
	case MSG_FEED_ENTRIES:
		fill_feed_entries(m->feed_entries);
		break;
	case MSG_FEED_CONFIG:
		fill_feed_config(m->feed_config);
		break;
	default: // the other types have only kinds of members covered above
		break;
	}
	return m;
}

std::string encode(const struct msg *m)
{
	GByteArray *out = g_byte_array_new();

	RC_ASSERT(msg_encode(m, out) == 0);
	std::string bytes((const char *)out->data, out->len);
	g_byte_array_unref(out);
	return bytes;
}

int decode(const std::string &bytes, struct msg **m)
{
	return msg_decode((const uint8_t *)bytes.data(), bytes.size(), m);
}

// A decoded message encodes to the same bytes.
void round_trip()
{
	struct msg *m = random_message();
	std::string bytes = encode(m);
	struct msg *decoded;

	RC_ASSERT(decode(bytes, &decoded) == 0);
	RC_ASSERT(decoded->type == m->type);
	if (m->type == MSG_REQUEST) {
		RC_ASSERT(g_strcmp0(decoded->request.key, m->request.key) == 0);
		RC_ASSERT(
			g_bytes_equal(decoded->request.body, m->request.body));
		RC_ASSERT(req_id_equal(&decoded->request.id, &m->request.id));
		RC_ASSERT(decoded->request.remaining_us ==
			  m->request.remaining_us);
	}
	if (m->type == MSG_FEED_ENTRIES)
		expect_same_revs(m->feed_entries, decoded->feed_entries);
	RC_ASSERT(encode(decoded) == bytes);
	msg_free(m);
	msg_free(decoded);
}

// Truncated and extended payloads are rejected. Corrupted payloads are rejected
// or decode to a message that can be encoded, without a crash.
void mutated_payloads()
{
	struct msg *m = random_message();
	std::string bytes = encode(m);
	struct msg *decoded;

	msg_free(m);
	std::string truncated =
		bytes.substr(0, *rc::gen::inRange<size_t>(0, bytes.size()));
	RC_ASSERT(decode(truncated, &decoded) == FS_E_PROTOCOL && !decoded);
	RC_ASSERT(decode(bytes + "\x01", &decoded) == FS_E_PROTOCOL);
	for (int i = *rc::gen::inRange(1, 6); i > 0; i--)
		bytes[*rc::gen::inRange<size_t>(0, bytes.size())] =
			(char)*rc::gen::arbitrary<uint8_t>();
	if (decode(bytes, &decoded) == 0)
		encode(decoded);
	msg_free(decoded);
}

void arbitrary_bytes()
{
	auto raw = *rc::gen::arbitrary<std::vector<uint8_t>>();
	struct msg *m;

	if (msg_decode(raw.data(), raw.size(), &m) == 0)
		encode(m);
	msg_free(m);
}

// The reader returns complete payloads in order for any split of the stream.
void frames()
{
	auto payloads = *rc::gen::container<std::vector<std::string>>(
		rc::gen::nonEmpty<std::string>());
	GByteArray *out = g_byte_array_new();
	struct frm_reader reader;
	const uint8_t *data;
	size_t size;
	size_t next = 0;

	for (const auto &p : payloads) {
		size_t start = frm_begin(out);

		g_byte_array_append(out, (const guint8 *)p.data(),
				    (guint)p.size());
		RC_ASSERT(frm_end(out, start) == 0);
	}
	frm_reader_init(&reader);
	for (size_t at = 0; at < out->len;) {
		size_t n = *rc::gen::inRange<size_t>(1, out->len - at + 1);

		frm_push(&reader, out->data + at, n);
		at += n;
		while (frm_next(&reader, &data, &size) == 1) {
			RC_ASSERT(next < payloads.size());
			RC_ASSERT(payloads[next++] ==
				  std::string((const char *)data, size));
		}
	}
	RC_ASSERT(next == payloads.size());
	frm_reader_clear(&reader);
	g_byte_array_unref(out);
}

void invalid_lengths()
{
	uint32_t length = *rc::gen::element<uint32_t>(0, FS_FRAME_MAX + 1,
						      UINT32_MAX, 0x80000000U);
	uint32_t wire = GUINT32_TO_BE(length);
	struct frm_reader reader;
	const uint8_t *data;
	size_t size;

	frm_reader_init(&reader);
	frm_push(&reader, &wire, sizeof(wire));
	RC_ASSERT(frm_next(&reader, &data, &size) == FS_E_PROTOCOL);
	frm_push(&reader, "\0\0\0\1x", 5);
	RC_ASSERT(frm_next(&reader, &data, &size) == FS_E_PROTOCOL);
	frm_reader_clear(&reader);
}

void signatures()
{
	auto data = *rc::gen::nonEmpty<std::string>();
	uint8_t code[SIG_SIZE];

	RC_ASSERT(sig_sign("key", data.data(), data.size(), code) == 0);
	RC_ASSERT(sig_verify("key", data.data(), data.size(), code));
	RC_ASSERT(!sig_verify("yek", data.data(), data.size(), code));
	data[*rc::gen::inRange<size_t>(0, data.size())] ^= 1;
	RC_ASSERT(!sig_verify("key", data.data(), data.size(), code));
	RC_ASSERT(sig_sign("", data.data(), data.size(), code) != 0);
}

} // namespace

int main()
{
	bool ok = rc::check("a message round-trips through the codec",
			    round_trip);

	ok = rc::check("mutated payloads are rejected or stay encodable",
		       mutated_payloads) &&
	     ok;
	ok = rc::check("arbitrary bytes are rejected or stay encodable",
		       arbitrary_bytes) &&
	     ok;
	ok = rc::check("frames are reassembled for any split of the stream",
		       frames) &&
	     ok;
	ok = rc::check("a frame length out of bounds is a lasting error",
		       invalid_lengths) &&
	     ok;
	ok = rc::check("a signature verifies only with its key and data",
		       signatures) &&
	     ok;
	return ok ? 0 : 1;
}
