/* Streamed answers: complete, or refused as truncated; within the window. */
#include <string.h>

#include "fleet_dsp.h"

#define ANSWER_BYTES (1024U * 1024)

static uint8_t byte_at(uint64_t i)
{
	return (uint8_t)(i * 131 ^ (i >> 8));
}

/** Bytes that a target sends of its announced ANSWER_BYTES. */
struct plan {
	uint32_t bytes;
	bool close;
};

static void serve(void *arg, struct fake_conn *conn,
		  const struct fake_request *request)
{
	const struct plan *plan = arg;
	uint8_t *body = g_malloc(plan->bytes);
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", ANSWER_BYTES);

	(void)request;
	for (uint32_t i = 0; i < plan->bytes; i++)
		body[i] = byte_at(i);
	fake_send_text(conn, head);
	fake_send(conn, body, plan->bytes);
	g_free(body);
	if (plan->close)
		fake_close_after(conn);
}

/* Checks the order and content of the pieces; returns their total bytes. */
static uint64_t check_pieces(const struct scene *s, bool *last)
{
	uint64_t at = 0;

	for (guint i = 0; i < s->replies->len; i++) {
		const struct msg *m = s->replies->pdata[i];
		GBytes *bytes = m->type == MSG_ANSWER ? m->answer.data :
							m->piece.data;
		gsize size;
		const uint8_t *data;

		if (m->type == MSG_REFUSAL)
			break;
		g_assert_cmpint(m->type, ==, i ? MSG_PIECE : MSG_ANSWER);
		if (i)
			g_assert_cmpuint(m->piece.offset, ==, at);
		data = g_bytes_get_data(bytes, &size);
		for (gsize j = 0; j < size; j++)
			g_assert_cmpuint(data[j], ==, byte_at(at + j));
		at += size;
		*last = m->type == MSG_PIECE && m->piece.last;
	}
	return at;
}

static void test_complete_within_window(void)
{
	struct plan plan = {.bytes = ANSWER_BYTES};
	struct scene s;
	uint64_t consumed = 0;
	uint64_t sent = 0;
	bool last = false;

	scene_begin(&s, &(struct scene_setup){.serve = serve, .arg = &plan});
	scene_send(&s, 1, "export");
	for (int i = 0; i < 100 && !last; i++) {
		scene_run(&s, 20 * FS_US_PER_MS);
		sent = check_pieces(&s, &last);
		g_assert_cmpuint(sent - consumed, <=, FS_ANSWER_WINDOW);
		scene_credit(&s, 1, (uint32_t)(sent - consumed));
		consumed = sent;
	}
	g_assert_true(last);
	g_assert_cmpuint(sent, ==, ANSWER_BYTES);
	g_assert_cmpint(((struct msg *)s.replies->pdata[0])->answer.length, ==,
			ANSWER_BYTES);
	g_assert_cmpuint(scene_in_flight(&s), ==, 0);
	scene_end(&s);
}

static void test_truncation_is_refused(void)
{
	struct plan plan = {.bytes = ANSWER_BYTES / 5, .close = true};
	struct scene s;
	bool last = false;

	scene_begin(&s, &(struct scene_setup){.serve = serve, .arg = &plan});
	scene_send(&s, 1, "export");
	scene_run(&s, 200 * FS_US_PER_MS);
	scene_refused(&s, 1, FS_E_TRUNCATED, FS_UNKNOWN);
	check_pieces(&s, &last);
	g_assert_false(last);
	g_assert_cmpuint(scene_received(&s), ==, 1);
	scene_end(&s);
}

static void test_cancel_frees_slot(void)
{
	struct plan plan = {.bytes = ANSWER_BYTES};
	struct scene s;

	scene_begin(&s, &(struct scene_setup){.serve = serve, .arg = &plan});
	scene_send(&s, 1, "export");
	scene_run(&s, 100 * FS_US_PER_MS);
	g_assert_cmpuint(scene_in_flight(&s), ==, 1);
	scene_cancel(&s, 1);
	scene_run(&s, 100 * FS_US_PER_MS);
	scene_refused(&s, 1, FS_E_CANCELLED, FS_UNKNOWN);
	g_assert_cmpuint(scene_in_flight(&s), ==, 0);
	g_assert_cmpuint(fake_open(s.fakes[0]) + fake_open(s.fakes[1]), ==, 0);
	scene_end(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dsp/stream/complete_within_window",
			test_complete_within_window);
	g_test_add_func("/dsp/stream/truncation_is_refused",
			test_truncation_is_refused);
	g_test_add_func("/dsp/stream/cancel_frees_slot",
			test_cancel_frees_slot);
	return g_test_run();
}
