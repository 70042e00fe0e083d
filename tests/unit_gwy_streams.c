/* The gateway task between callers that read slowly and targets that stutter, with long
 * and short answers, hedges, a stop and new configurations: what looks whole is whole. */
#include <stdlib.h>
#include <string.h>

#include "fleet_gwy.h"
#include "fs_log.h"

#define SEED 41 /* of what is drawn */
#define ROUNDS 8
#define TARGETS 6
#define CALLERS 24
#define PIECES 4
#define SIZE_MAX_DRAWN (420 * 1024)
#define TIMEOUT_US (800 * FS_US_PER_MS)
#define STEP_US 5000
#define STOP_US (700 * FS_US_PER_MS)
#define ROUND_US (1400 * FS_US_PER_MS)

enum end {
	GO_ON,
	RESET,
	CLOSE,
	HANG
};

/** How the attempts of one request are answered. */
struct plan {
	size_t size;
	int framing; /* 0: length, 1: chunks, 2: the connection's end */
	int64_t at_us[PIECES]; /* since the request */
	enum end end;	       /* of the first attempt, before its last piece */
	bool second_is_late;
	int64_t read_us; /* when the caller begins to read */
};

/** One attempt's answer, which is written in pieces. */
struct attempt {
	struct fake *fake;
	uint32_t connection;
	const struct plan *plan;
	GString *bytes;
	int64_t since_us;
	int pieces;
	bool is_first;
	bool ended;
};

struct call {
	struct yard_caller c;
	struct plan plan;
	int64_t since_us;
	uint32_t attempts;
	bool refused;
};

static struct yard y;
static GRand *dice;
static struct call calls[CALLERS];
static GPtrArray *attempts;
static guint whole;
static guint cut;
static guint refused;
static guint hedged;
static guint streamed;
static guint mixed;

static size_t draw(size_t max)
{
	return (size_t)g_rand_int_range(dice, 0, (gint32)max + 1);
}

static GString *body_of(uint32_t n, size_t size)
{
	GString *body = g_string_sized_new(size);

	for (size_t i = 0; i < size; i++)
		g_string_append_c(body,
				  (char)('a' + (i * 7 + n * 5 + i / 251) % 26));
	return body;
}

static GString *answer_of(uint32_t n, const struct plan *plan)
{
	g_autoptr(GString) body = body_of(n, plan->size);
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out, "HTTP/1.1 200 OK\r\nX-Id: r%u\r\nX-Seal: z\r\n", n);
	if (plan->framing == 0)
		g_string_append_printf(out, "Content-Length: %zu\r\n\r\n",
				       body->len);
	if (plan->framing == 1)
		g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
	if (plan->framing == 2)
		g_string_append(out, "Connection: close\r\n\r\n");
	for (size_t at = 0; plan->framing == 1 && at < body->len;) {
		size_t drawn = 1 + draw(30000);
		size_t size = MIN(body->len - at, drawn);

		g_string_append_printf(out, "%zx\r\n", size);
		g_string_append_len(out, body->str + at, (gssize)size);
		g_string_append(out, "\r\n");
		at += size;
	}
	if (plan->framing == 1)
		g_string_append(out, "0\r\n\r\n");
	else
		g_string_append_len(out, body->str, (gssize)body->len);
	return out;
}

static void serve(void *arg, struct fake_conn *conn,
		  const struct fake_request *request)
{
	g_autofree char *id = yard_field(request, "X-Id");
	uint32_t n = (uint32_t)atoi(id + 1);
	struct call *call = &calls[n % CALLERS];
	struct attempt *t = g_new0(struct attempt, 1);

	(void)arg;
	t->fake = fake_of(conn);
	t->connection = request->connection;
	t->plan = &call->plan;
	t->bytes = answer_of(n, &call->plan);
	t->is_first = call->attempts++ == 0;
	hedged += !t->is_first;
	t->since_us = t->is_first || !call->plan.second_is_late ?
			      call->since_us :
			      fs_now_us();
	g_ptr_array_add(attempts, t);
}

static void attempt_free(void *p)
{
	struct attempt *t = p;

	g_string_free(t->bytes, TRUE);
	g_free(t);
}

/* Returns whether the first attempt ends here. */
static bool ends_early(struct attempt *t, struct fake_conn *conn)
{
	if (!t->is_first || t->plan->end == GO_ON || t->pieces != PIECES - 1)
		return false;
	/* An end in order completes a body without a length. */
	if (t->plan->end == RESET ||
	    (t->plan->end == CLOSE && t->plan->framing == 2))
		fake_close(conn, true);
	else if (t->plan->end == CLOSE)
		fake_close_after(conn);
	t->ended = true;
	return true;
}

static void write_pieces(struct attempt *t, int64_t now_us)
{
	struct fake_conn *conn = fake_find(t->fake, t->connection);

	t->ended = t->ended || !conn;
	while (!t->ended && now_us >= t->since_us + t->plan->at_us[t->pieces]) {
		size_t from = t->bytes->len * (size_t)t->pieces / PIECES;
		size_t to = t->bytes->len * (size_t)(t->pieces + 1) / PIECES;

		if (ends_early(t, conn))
			return;
		fake_send(conn, t->bytes->str + from, to - from);
		t->ended = ++t->pieces == PIECES;
		if (t->ended && t->plan->framing == 2)
			fake_close_after(conn);
	}
}

/* Reads an answer strictly. @return its body, or NULL if it is not complete */
static GString *read_answer(const GString *got, long *status)
{
	const char *at = strstr(got->str, "\r\n\r\n");
	const char *end = got->str + got->len;
	g_autofree char *head = NULL;
	g_autoptr(GString) body = NULL;
	const char *length;

	*status = got->len > 12 ? atol(got->str + strlen("HTTP/1.1 ")) : 0;
	if (!at)
		return NULL;
	head = g_strndup(got->str, (gsize)(at + 2 - got->str));
	at += 4;
	length = strstr(head, "\r\nContent-Length: ");
	if (length) {
		size_t size = strtoul(length + 18, NULL, 10);

		return (size_t)(end - at) == size ?
			       g_string_new_len(at, (gssize)size) :
			       NULL;
	}
	g_assert_nonnull(strstr(head, "\r\nTransfer-Encoding: chunked\r\n"));
	body = g_string_new(NULL);
	while (at < end) {
		char *line_end;
		size_t size = strtoul(at, &line_end, 16);

		if (end - line_end < 4 + (ssize_t)size)
			return NULL;
		g_assert_cmpmem(line_end, 2, "\r\n", 2);
		at = line_end + 2;
		g_assert_cmpmem(at + size, 2, "\r\n", 2);
		if (!size) {
			g_assert_true(at + 2 == end);
			return g_steal_pointer(&body);
		}
		g_string_append_len(body, at, (gssize)size);
		at += size + 2;
	}
	return NULL;
}

static void judge(struct call *call, uint32_t n)
{
	long status;
	g_autoptr(GString) body = NULL;
	g_autoptr(GString) expected = body_of(n, call->plan.size);
	g_autofree char *id = g_strdup_printf("\r\nX-Id: r%u\r\n", n);

	body = read_answer(call->c.got, &status);
	if (status != 200) {
		refused++;
		return;
	}
	streamed += expected->len > 128 * 1024;
	if (!body) {
		cut++;
		return;
	}
	if (g_string_equal(body, expected) && strstr(call->c.got->str, id)) {
		whole++;
		return;
	}
	mixed++;
	g_test_message("r%u: %zu bytes, %zu wanted, framing %d, end %d", n,
		       body->len, expected->len, call->plan.framing,
		       call->plan.end);
}

static void draw_plan(struct plan *plan)
{
	/* One in three answers comes behind the time of a hedge. */
	int64_t base_us = draw(2) ? 0 : 480 * FS_US_PER_MS;

	plan->size = draw(2) ? draw(SIZE_MAX_DRAWN) : draw(3000);
	plan->framing = (int)draw(2);
	plan->end = (enum end)draw(5);
	if (plan->end > HANG)
		plan->end = GO_ON;
	plan->second_is_late = draw(1);
	plan->read_us = draw(1) ? 0 : (int64_t)draw(600) * FS_US_PER_MS;
	for (int i = 0; i < PIECES; i++) {
		plan->at_us[i] = base_us;
		base_us += draw(1) ? 0 : (int64_t)draw(150) * FS_US_PER_MS;
	}
}

static void call_all(uint32_t round)
{
	for (uint32_t i = 0; i < CALLERS; i++) {
		struct call *call = &calls[i];
		g_autofree char *request = g_strdup_printf(
			"GET /list/1 HTTP/1.1\r\nHost: h\r\nX-Id: r%u\r\n"
			"X-Left: 3000\r\n\r\n",
			round * CALLERS + i);

		memset(call, 0, sizeof(*call));
		draw_plan(&call->plan);
		call->since_us = fs_now_us();
		yard_call(&y, &call->c, request);
	}
}

static void configure(uint64_t version)
{
	const struct yard_config config = {
		.version = version,
		.idle_us = 5 * FS_US_PER_S,
		.timeout_us = TIMEOUT_US,
	};

	yard_configure(&y, &config);
}

/* A stop whose end comes before that of the round. */
static void stop(void)
{
	y.node.set.stop_grace_us = STOP_US;
	yard_stop(&y);
}

static void play_round(uint32_t round)
{
	int64_t since_us = fs_now_us();
	int64_t event_us = (int64_t)draw(900) * FS_US_PER_MS;
	bool done = false;

	call_all(round);
	while (fs_now_us() < since_us + ROUND_US) {
		int64_t now_us = fs_now_us();

		yard_run(&y, STEP_US);
		if (y.stopped)
			g_clear_pointer(&y.gwy, gwy_free);
		for (guint i = 0; i < attempts->len; i++)
			write_pieces(attempts->pdata[i], now_us);
		for (uint32_t i = 0; i < CALLERS; i++) {
			if (now_us >= since_us + calls[i].plan.read_us)
				yard_read(&calls[i].c);
		}
		if (done || now_us < since_us + event_us)
			continue;
		done = true;
		if (round % 4 == 3)
			stop();
		else if (round % 4 == 1)
			configure(3);
		else if (round % 4 == 2)
			g_usleep(300 * FS_US_PER_MS); /* a pause */
	}
	for (uint32_t i = 0; i < CALLERS; i++) {
		yard_read(&calls[i].c);
		judge(&calls[i], round * CALLERS + i);
		yard_hang_up(&calls[i].c);
	}
	yard_run(&y, STEP_US);
}

/* Guards against a streamed answer that ends as whole though a part of it is missing, at
 * a deadline, in a stop, with two attempts at once or behind a cut. */
static void test_streams(void)
{
	guint rounds = ROUNDS * (g_test_slow() ? 10 : 1);

	dice = g_rand_new_with_seed(SEED);
	attempts = g_ptr_array_new_with_free_func(attempt_free);
	for (uint32_t round = 0; round < rounds; round++) {
		yard_begin(&y);
		configure(2);
		for (int i = 0; i < TARGETS; i++)
			yard_target(&y, "list", serve, NULL);
		play_round(round);
		g_ptr_array_set_size(attempts, 0);
		yard_end(&y);
	}
	g_ptr_array_unref(attempts);
	g_rand_free(dice);
	g_test_message("%u callers: %u whole, %u cut, %u refused, %u mixed; "
		       "%u long ones begun, %u second attempts",
		       rounds * CALLERS, whole, cut, refused, mixed, streamed,
		       hedged);
	g_assert_cmpuint(mixed, ==, 0);
	g_assert_cmpuint(whole, >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	g_test_add_func("/gwy_streams/streams", test_streams);
	return g_test_run();
}
