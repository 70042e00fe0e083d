/* Exchanges on one pooled connection whose target writes answers twice: pieces of the
 * second copy come at each place of the connection. A complete success has the body of
 * its own request. */
#include <stdlib.h>
#include <string.h>

#include "fleet_fake.h"
#include "fs_log.h"
#include "tgt.h"

#define LIMIT_US (2 * FS_US_PER_S)
#define TURNS 3 /* until what was sent is read */
#define PIECES_MAX 8
#define SEED 37	      /* of the drawn plays */
#define QUICK_STEP 13 /* plays of which one is run; all with -m slow */
#define DRAWS 12000

static const struct tgt_dialect dialect = {
	.request_id = "X-Id",
	.deadline_ms = "X-Left",
	.response_seal = "X-Seal",
	.idle_s = 3,
	.connect_us = 300 * FS_US_PER_MS,
};

/** How a target writes one answer. */
enum form {
	LENGTH,
	ONE_CHUNK,
	CHUNKS,
	PADDED_CHUNKS, /* sizes with leading zeros */
	TRAILER,
	AFTER_HINTS,
	FAILURE, /* 500 in chunks */
	REFUSAL, /* 503 that has not run */
	EMPTY,
	NO_CONTENT,
	TO_HEAD, /* with a body, which is none of it */
	OLD,	 /* HTTP/1.0 with a length */
	CLOSING, /* a length, and "Connection: close" */
	UNFRAMED,
	FORMS
};

static const char *const form_names[] = {
	"length",  "one chunk", "chunks",  "padded chunks", "trailer",
	"hints",   "failure",	"refusal", "empty",	    "no content",
	"to HEAD", "old",	"closing", "unframed",
};

static GString *write_answer(enum form form, const char *id, const char *body)
{
	GString *out = g_string_new(NULL);
	size_t size = strlen(body);
	size_t half = size / 2;
	const char *status = form == FAILURE	? "500 Failed" :
			     form == REFUSAL	? "503 Full" :
			     form == NO_CONTENT ? "204 No Content" :
						  "200 OK";

	if (form == AFTER_HINTS)
		g_string_append(out, "HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n");
	g_string_append_printf(
		out, "HTTP/1.%d %s\r\nX-Id: %s\r\n%s", form != OLD, status, id,
		form == FAILURE || form == REFUSAL ? "" : "X-Seal: z\r\n");
	if (form == REFUSAL)
		g_string_append(out, "X-Not-Run: 1\r\n");
	switch (form) {
	case NO_CONTENT:
		g_string_append(out, "\r\n");
		break;
	case EMPTY:
		g_string_append(out, "Content-Length: 0\r\n\r\n");
		break;
	case CLOSING:
		g_string_append(out, "Connection: close\r\n");
		/* fallthrough */
	case LENGTH:
	case OLD:
	case TO_HEAD:
	case REFUSAL:
		g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%s",
				       size, body);
		break;
	case UNFRAMED:
		g_string_append_printf(out, "\r\n%s", body);
		break;
	case ONE_CHUNK:
		g_string_append_printf(out,
				       "Transfer-Encoding: chunked\r\n\r\n"
				       "%zx\r\n%s\r\n0\r\n\r\n",
				       size, body);
		break;
	default:
		g_string_append_printf(
			out,
			form == PADDED_CHUNKS ?
				"Transfer-Encoding: chunked\r\n\r\n"
				"%04zx\r\n%.*s\r\n%04zx\r\n%s\r\n" :
				"Transfer-Encoding: chunked\r\n\r\n"
				"%zx\r\n%.*s\r\n%zx\r\n%s\r\n",
			half, (int)half, body, size - half, body + half);
		g_string_append(out, form == TRAILER ? "0\r\nX-T: 1\r\n\r\n" :
						       "0\r\n\r\n");
	}
	return out;
}

static const char *body_in(enum form form, const char *body)
{
	return form == EMPTY || form == NO_CONTENT || form == TO_HEAD ? "" :
									body;
}

/** What comes on the connection. */
struct play {
	enum form first;
	enum form second;
	const char *first_body;
	const char *second_body;
	GString *with_first; /* bytes right behind the first answer */
	GString *idle;	     /* before the second request */
	GString *pieces[PIECES_MAX];
	guint count;
	bool joined; /* the pieces are read at once */
};

struct fixture {
	struct ev_loop *loop;
	struct tgt_pool *pool;
	struct fake *fake;
	const struct play *play;
	struct fake_conn *conn; /* the second request's, if it was reused */
	struct tgt *tgt;
	struct tgt_result result;
	bool done;
	bool answered_apart; /* on another connection */
	guint requests;	     /* before the play */
	uint32_t accepted;   /* so */
	GByteArray *body;
};

static bool needs_body(void *arg, struct tgt *tgt)
{
	g_autoptr(GArray) headers = tgt_peek_headers(tgt);

	(void)arg;
	return !msg_headers_get(headers, "X-Not-Run");
}

static void on_stream(void *arg, struct tgt *tgt)
{
	(void)arg;
	(void)tgt;
}

static bool on_overdue(void *arg, struct tgt *tgt)
{
	(void)arg;
	(void)tgt;
	return false;
}

static void on_done(void *arg, struct tgt *tgt, const struct tgt_result *result)
{
	struct fixture *p = arg;
	g_autoptr(GBytes) body = tgt_read_body(tgt, SIZE_MAX);
	gsize size;
	const guint8 *data = g_bytes_get_data(body, &size);

	p->result = *result;
	p->done = true;
	g_byte_array_append(p->body, data, (guint)size);
}

static const struct tgt_ops ops = {
	.needs_body = needs_body,
	.stream_started = on_stream,
	.body_available = on_stream,
	.headers_overdue = on_overdue,
	.done = on_done,
};

static struct fake *fake; /* of all plays */
static struct fixture *current;

static void serve(void *arg, struct fake_conn *conn,
		  const struct fake_request *request)
{
	struct fixture *p = current;
	const struct play *play = p->play;
	g_autoptr(GString) answer = NULL;

	(void)arg;
	if (strstr(request->head, "X-Id: r1")) {
		answer = write_answer(play->first, "r1", play->first_body);
		g_string_append_len(answer, play->with_first->str,
				    (gssize)play->with_first->len);
		fake_send(conn, answer->str, answer->len);
		if (play->first == UNFRAMED)
			fake_close_after(conn);
		p->conn = conn;
		return;
	}
	if (request->connection == p->accepted + 1) {
		return;
	}
	p->conn = NULL;
	p->answered_apart = true;
	answer = write_answer(play->second, "r2", play->second_body);
	fake_send(conn, answer->str, answer->len);
	if (play->second == UNFRAMED)
		fake_close_after(conn);
}

static void turn(struct fixture *p, int turns)
{
	for (int i = 0; i < turns; i++)
		ev_run(p->loop, EVRUN_NOWAIT);
}

static void start(struct fixture *p, const char *id, const char *method)
{
	int64_t now_us = fs_now_us();
	struct msg *m = msg_new(MSG_REQUEST, 1, MSG_TASK_DISPATCH);
	struct msg_request *r = &m->request;
	struct tgt_request request = {
		.address = fake_address(p->fake),
		.m = r,
		.id = id,
		.repeatable = true,
		.deadline_us = now_us + LIMIT_US,
		.headers_deadline_us = now_us + LIMIT_US,
		.dialect = &dialect,
	};

	r->method = g_strdup(method);
	r->host = g_strdup("h");
	r->target = g_strdup("/list/1");
	r->headers = msg_headers_new();
	r->body = g_bytes_new(NULL, 0);
	p->done = false;
	g_byte_array_set_size(p->body, 0);
	g_clear_pointer(&p->tgt, tgt_free);
	p->tgt = tgt_start(p->pool, &request, &ops, p, now_us);
	g_assert_nonnull(p->tgt);
	msg_free(m);
}

static bool is_read(void *arg)
{
	struct fixture *p = arg;

	return p->done || fake_requests(p->fake)->len == p->requests + 2;
}

static bool is_done(void *arg)
{
	return ((struct fixture *)arg)->done;
}

/* Sends the pieces behind the second request, until the caller ends it. */
static void send_pieces(struct fixture *p)
{
	for (guint i = 0; i < p->play->count; i++) {
		const GString *piece = p->play->pieces[i];

		if (!fake_open(p->fake))
			return;
		fake_send(p->conn, piece->str, piece->len);
		if (!p->play->joined)
			turn(p, TURNS);
	}
	turn(p, TURNS);
	if (!p->done && fake_open(p->fake))
		fake_close_after(p->conn);
}

/* Returns the next line without its end, and moves behind it; NULL if it has no end. */
static char *take_line(const char **at)
{
	const char *end = strchr(*at, '\n');
	char *line;

	if (!end)
		return NULL;
	line = g_strndup(*at, (gsize)(end - *at));
	if (g_str_has_suffix(line, "\r"))
		line[end - *at - 1] = '\0';
	*at = end + 1;
	return line;
}

/* Reads lines up to an empty one; what @p read does with a line is the caller's. */
static bool take_lines(const char **at, void (*read)(const char *, void *),
		       void *arg)
{
	while (true) {
		g_autofree char *line = take_line(at);

		if (!line || !*line)
			return line != NULL;
		if (read)
			read(line, arg);
	}
}

/** What frames a body. */
struct framing {
	long length; /* -1: unknown */
	bool chunked;
};

static void read_framing(const char *line, void *arg)
{
	struct framing *framing = arg;

	if (g_str_has_prefix(line, "Content-Length: "))
		framing->length = atol(line + strlen("Content-Length: "));
	if (!strcmp(line, "Transfer-Encoding: chunked"))
		framing->chunked = true;
}

/* Returns what the chunks at @p at hold, if they are well-formed and complete. */
static GString *read_chunks(const char *at)
{
	g_autoptr(GString) body = g_string_new(NULL);

	while (true) {
		g_autofree char *line = take_line(&at);
		g_autofree char *data_end = NULL;
		char *end;
		size_t size;

		if (!line || !g_ascii_isxdigit(*line))
			return NULL;
		size = strtoul(line, &end, 16);
		if (*end || strlen(at) < size)
			return NULL;
		if (!size)
			break;
		g_string_append_len(body, at, (gssize)size);
		at += size;
		data_end = take_line(&at);
		if (!data_end || *data_end)
			return NULL;
	}
	return take_lines(&at, NULL, NULL) ? g_steal_pointer(&body) : NULL;
}

/* Returns the body that the bytes behind the second request hold, read strictly from
 * the first one on, or NULL. */
static GString *read_strictly(const struct play *play)
{
	g_autoptr(GString) all = g_string_new(NULL);
	struct framing framing = {.length = -1};
	const char *at;

	for (guint i = 0; i < play->count; i++)
		g_string_append_len(all, play->pieces[i]->str,
				    (gssize)play->pieces[i]->len);
	at = all->str;
	while (g_str_has_prefix(at, "HTTP/1.1 1")) {
		if (!take_lines(&at, NULL, NULL))
			return NULL;
	}
	if (!g_str_has_prefix(at, "HTTP/1.") ||
	    !take_lines(&at, read_framing, &framing))
		return NULL;
	if (framing.chunked)
		return framing.length < 0 ? read_chunks(at) : NULL;
	return framing.length < 0 || strlen(at) < (size_t)framing.length ?
		       NULL :
		       g_string_new_len(at, framing.length);
}

/* Returns whether nobody can tell: all bytes came behind the request, and frame this
 * body. */
static bool is_framed_so(const struct fixture *p)
{
	g_autoptr(GString) body = NULL;

	if (p->play->with_first->len || p->play->idle->len)
		return false;
	if (p->result.framing == TGT_FRAMING_CONNECTION)
		return true;
	body = read_strictly(p->play);
	return body && body->len == p->body->len &&
	       !memcmp(body->str, p->body->data, body->len);
}

static guint plays;
static guint reused;
static guint whole;
static guint mixed;
static guint untold;
static GHashTable *causes;

static void report(const struct fixture *p, const char *expected)
{
	const struct play *play = p->play;
	g_autoptr(GString) out = g_string_new(NULL);
	g_autofree char *cause = g_strdup_printf(
		"%s / %s: %s, %s", form_names[play->first],
		form_names[play->second], tgt_framing_name(p->result.framing),
		play->with_first->len ? "bytes behind the first" :
		play->idle->len	      ? "bytes in between" :
					"bytes in the second only");
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(causes, cause));

	g_hash_table_insert(causes, g_strdup(cause), GUINT_TO_POINTER(n + 1));
	if (n) /* one example of each */
		return;
	g_string_append_printf(out, "%s: %u bytes, %zu wanted: \"%.*s\"\n",
			       cause, p->body->len, strlen(expected),
			       (int)p->body->len, (char *)p->body->data);
	g_string_append_printf(out, "  behind the first: %s\n",
			       play->with_first->str);
	g_string_append_printf(out, "  in between: %s\n", play->idle->str);
	for (guint i = 0; i < play->count; i++)
		g_string_append_printf(out, "  piece: %s\n",
				       play->pieces[i]->str);
	g_test_message("%s", out->str);
}

static void judge(struct fixture *p)
{
	const char *expected = body_in(p->play->second, p->play->second_body);

	plays++;
	reused += p->result.reused && p->result.written;
	if (p->result.err || tgt_status(p->tgt) >= 300)
		return;
	if (p->body->len == strlen(expected) &&
	    !memcmp(p->body->data, expected, p->body->len)) {
		whole++;
		return;
	}
	if (is_framed_so(p)) {
		untold++;
		return;
	}
	mixed++;
	report(p, expected);
}

static void run(const struct play *play)
{
	struct fixture p = {.play = play};

	p.loop = ev_default_loop(0);
	p.pool = tgt_pool_new(p.loop, 4);
	p.fake = fake;
	p.requests = fake_requests(fake)->len;
	p.accepted = fake_accepted(fake);
	current = &p;
	p.body = g_byte_array_new();
	start(&p, "r1", play->first == TO_HEAD ? "HEAD" : "GET");
	g_assert_true(fake_run(p.loop, is_done, &p, LIMIT_US));
	if (play->idle->len && fake_open(p.fake)) {
		fake_send(p.conn, play->idle->str, play->idle->len);
		turn(&p, TURNS);
	}
	start(&p, "r2", play->second == TO_HEAD ? "HEAD" : "GET");
	g_assert_true(fake_run(p.loop, is_read, &p, LIMIT_US));
	if (!p.answered_apart && !p.done)
		send_pieces(&p);
	g_assert_true(fake_run(p.loop, is_done, &p, LIMIT_US));
	judge(&p);
	tgt_free(p.tgt);
	fake_reset_all(fake);
	tgt_pool_free(p.pool);
	g_byte_array_unref(p.body);
}

static GString *part(const GString *from, size_t start_at, size_t end_at)
{
	return g_string_new_len(from->str + start_at,
				(gssize)(end_at - start_at));
}

static void add_piece(struct play *play, GString *piece)
{
	if (piece->len)
		play->pieces[play->count++] = piece;
	else
		g_string_free(piece, TRUE);
}

static void clear(struct play *play)
{
	g_string_free(play->with_first, TRUE);
	g_string_free(play->idle, TRUE);
	for (guint i = 0; i < play->count; i++)
		g_string_free(play->pieces[i], TRUE);
}

/* Returns whether a piece of the second answer may end there: around each line's end
 * and in the middle of a line. */
static bool is_place(const GString *answer, size_t at)
{
	return at == 0 || at == answer->len || answer->str[at] == '\r' ||
	       answer->str[at] == '\n' || answer->str[at - 1] == '\n' ||
	       (at > 1 && answer->str[at - 2] == '\n') ||
	       (at > 5 && answer->str[at - 6] == '\n');
}

/* The copy is cut at one byte: its head comes at one time, its rest among the pieces of
 * the second answer. */
static void run_cuts(const struct play *base, const GString *copy,
		     bool head_is_dropped, guint *turn_of)
{
	g_autoptr(GString)
		second = write_answer(base->second, "r2", base->second_body);

	for (size_t cut = 0; cut <= copy->len; cut++) {
		for (size_t at = 0; at <= second->len; at++) {
			struct play play = *base;

			if (!is_place(second, at) ||
			    ((*turn_of)++ % QUICK_STEP && !g_test_slow()))
				continue;
			play.with_first =
				part(copy, 0, head_is_dropped ? cut : 0);
			play.idle = g_string_new(NULL);
			add_piece(&play, part(second, 0, at));
			if (head_is_dropped) {
				add_piece(&play, part(copy, cut, copy->len));
				add_piece(&play, part(second, at, second->len));
			} else {
				/* Cut behind some bytes; the whole may follow. */
				add_piece(&play, part(copy, 0, cut));
				add_piece(&play, part(second, at, second->len));
			}
			play.joined = *turn_of & 1;
			run(&play);
			clear(&play);
		}
	}
}

static void print_counts(void)
{
	GHashTableIter iter;
	void *key;
	void *value;

	g_test_message("%u plays, %u on the reused connection, %u whole, "
		       "%u untold, %u mixed",
		       plays, reused, whole, untold, mixed);
	g_hash_table_iter_init(&iter, causes);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_test_message("  %u of %s", GPOINTER_TO_UINT(value),
			       (char *)key);
}

static void begin(void)
{
	plays = reused = whole = mixed = untold = 0;
	fake = fake_new(ev_default_loop(0), serve, NULL);
	fake_reset_closed(fake);
	causes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void end(void)
{
	print_counts();
	g_hash_table_unref(causes);
	fake_free(fake);
	g_assert_cmpuint(mixed, ==, 0);
	g_assert_cmpuint(plays, >, 0);
}

/* Guards against a second copy of the answer before that is taken for a part of the next
 * one: its head was dropped behind the first copy, its rest came among the pieces of the
 * next answer. */
static void test_first_answer_again(void)
{
	guint turn_of = 0;

	begin();
	for (int first = 0; first < FORMS; first++) {
		for (int second = 0; second < FORMS; second++) {
			struct play base = {
				.first = (enum form)first,
				.second = (enum form)second,
				.first_body = "aaaaaaaaaaaaaaaaaaaaaaa",
				.second_body =
					"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
			};
			g_autoptr(GString) copy =
				write_answer(base.first, "r1", base.first_body);

			run_cuts(&base, copy, true, &turn_of);
		}
	}
	end();
}

/* Guards against a cut first copy that goes on with the second one, of which libcurl
 * makes a shorter answer than the target's. */
static void test_second_answer_twice(void)
{
	guint turn_of = 0;

	begin();
	for (int second = 0; second < FORMS; second++) {
		struct play base = {
			.first = LENGTH,
			.second = (enum form)second,
			.first_body = "aaaaaaaaaaaaaaaaaaaaaaa",
			.second_body = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
		};
		g_autoptr(GString) copy =
			write_answer(base.second, "r2", base.second_body);

		run_cuts(&base, copy, false, &turn_of);
	}
	end();
}

static size_t draw(GRand *rand, size_t max)
{
	return (size_t)g_rand_int_range(rand, 0, (gint32)max + 1);
}

static size_t draw_from(GRand *rand, size_t min, size_t max)
{
	return min + draw(rand, max - min);
}

/* Pieces of a copy and of the second answer in turn, with cuts drawn. */
static void draw_play(GRand *rand, struct play *play)
{
	static const char *const bodies[] = {
		"aaaaaaaaaaaaaaaaaaaaaaa",
		"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
		"line 0\r\n\r\n0\r\n\r\nline 1\r\n\r\n",
		"xy",
	};
	bool is_own = draw(rand, 2) == 0;
	g_autoptr(GString) copy = NULL;
	g_autoptr(GString) second = NULL;
	size_t at[4];
	size_t in[3];

	memset(play, 0, sizeof(*play));
	play->first = (enum form)draw(rand, FORMS - 1);
	play->second = (enum form)draw(rand, FORMS - 1);
	play->first_body = bodies[draw(rand, 3)];
	play->second_body = bodies[draw(rand, 3)];
	play->joined = draw(rand, 1);
	copy = is_own ? write_answer(play->second, "r2", play->second_body) :
			write_answer(play->first, "r1", play->first_body);
	second = write_answer(play->second, "r2", play->second_body);
	at[0] = is_own ? 0 : draw(rand, copy->len);
	at[1] = is_own || draw(rand, 3) ? at[0] :
					  draw_from(rand, at[0], copy->len);
	at[2] = draw_from(rand, at[1], copy->len);
	at[3] = draw(rand, 1) ? copy->len : draw_from(rand, at[2], copy->len);
	in[0] = draw(rand, second->len);
	in[1] = draw_from(rand, in[0], second->len);
	in[2] = second->len;
	play->with_first = part(copy, 0, at[0]);
	play->idle = part(copy, at[0], at[1]);
	add_piece(play, part(second, 0, in[0]));
	add_piece(play, part(copy, at[1], at[2]));
	add_piece(play, part(second, in[0], in[1]));
	add_piece(play, part(copy, at[2], at[3]));
	add_piece(play, part(second, in[1], in[2]));
}

/* Guards against any other order of the pieces of both. */
static void test_drawn_pieces(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	guint n = DRAWS * (g_test_slow() ? 10 : 1);

	begin();
	for (guint i = 0; i < n; i++) {
		struct play play;

		draw_play(rand, &play);
		run(&play);
		clear(&play);
	}
	g_rand_free(rand);
	end();
}

#define ADD(name) g_test_add_func("/tgt_copies/" #name, test_##name)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fs_log_init("test", 2);
	ADD(first_answer_again);
	ADD(second_answer_twice);
	ADD(drawn_pieces);
	return g_test_run();
}
