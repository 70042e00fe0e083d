/* The platform client against the stand-in platform and its faults. The first
 * argument names the folder of the stand-in. */
#include <gio/gio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "plt.h"

#define KEY "config"

static const char *build = "build";

/* A loop, a platform and a client of it. */
struct bench {
	struct ev_loop *loop;
	struct plt *plt;
	pid_t pid;
	char address[FS_ADDRESS_MAX];
	/* Last result */
	int ended;
	int err;
	uint64_t revision;
	char *data;
	uint32_t vms;
};

static void start_platform(struct bench *b)
{
	g_autofree char *path =
		g_build_filename(build, "standin_platform", NULL);
	char *argv[] = {path, "--max-seconds", "60", NULL};
	char line[128];
	int out;
	FILE *f;

	g_assert_true(g_spawn_async_with_pipes(
		NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
		&b->pid, NULL, &out, NULL, NULL));
	f = fdopen(out, "r");
	g_assert_nonnull(fgets(line, sizeof(line), f));
	g_assert_cmpint(sscanf(line,
			       "{\"event\":\"listening\",\"address\":"
			       "\"%47[^\"]\"",
			       b->address),
			==, 1);
	fclose(f);
}

static struct bench *bench_new(void)
{
	struct bench *b = g_new0(struct bench, 1);

	start_platform(b);
	b->loop = ev_loop_new(EVFLAG_AUTO);
	b->plt = plt_new(b->loop, b->address);
	return b;
}

static void bench_free(struct bench *b)
{
	plt_free(b->plt);
	ev_loop_destroy(b->loop);
	kill(b->pid, SIGKILL);
	waitpid(b->pid, NULL, 0);
	g_free(b->data);
	g_free(b);
}

static void on_value(void *arg, int err, const struct plt_value *value)
{
	struct bench *b = arg;

	b->ended++;
	b->err = err;
	b->revision = value->revision;
	g_free(b->data);
	b->data = g_strdup(value->data);
	ev_break(b->loop, EVBREAK_ONE);
}

static void on_vms(void *arg, int err, const struct plt_vm *vms, uint32_t count)
{
	struct bench *b = arg;

	(void)vms;
	b->err = err;
	b->vms = count;
	ev_break(b->loop, EVBREAK_ONE);
}

static int put(struct bench *b, uint64_t prev, const char *text)
{
	plt_put(b->plt, KEY, prev, text, strlen(text), on_value, b);
	ev_run(b->loop, 0);
	return b->err;
}

static int get(struct bench *b)
{
	plt_get(b->plt, KEY, on_value, b);
	ev_run(b->loop, 0);
	return b->err;
}

/* Commands to the stand-in, past the client under test. */
static void command(struct bench *b, const char *method, const char *path,
		    const char *body)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection)
		connection = g_socket_client_connect_to_host(client, b->address,
							     80, NULL, NULL);
	g_autofree char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, path, strlen(body), body);
	char answer[256];

	g_assert_nonnull(connection);
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL);
	g_assert_cmpint(g_input_stream_read(g_io_stream_get_input_stream(
						    G_IO_STREAM(connection)),
					    answer, sizeof(answer), NULL, NULL),
			>, 0);
}

static void fault(struct bench *b, const char *query)
{
	g_autofree char *path = g_strdup_printf("/fault?%s", query);

	command(b, "POST", path, "");
}

static void test_values(void)
{
	struct bench *b = bench_new();

	g_assert_cmpint(get(b), ==, FS_E_NOT_FOUND);
	g_assert_cmpint(put(b, 0, "one \"1\""), ==, 0);
	g_assert_cmpuint(b->revision, ==, 1);
	g_assert_cmpint(get(b), ==, 0);
	g_assert_cmpstr(b->data, ==, "one \"1\"");
	g_assert_cmpint(put(b, 0, "two"), ==, FS_E_CONFLICT);
	g_assert_cmpuint(b->revision, ==, 1);
	g_assert_cmpint(put(b, 1, "two"), ==, 0);
	bench_free(b);
}

static void test_watch(void)
{
	struct bench *b = bench_new();

	put(b, 0, "one");
	plt_watch(b->plt, KEY, 1, 200 * FS_US_PER_MS, on_value, b);
	ev_run(b->loop, 0);
	g_assert_cmpint(b->err, ==, 0);
	g_assert_cmpuint(b->revision, ==, 1);
	g_assert_null(b->data);
	plt_watch(b->plt, KEY, 0, FS_US_PER_S, on_value, b);
	ev_run(b->loop, 0);
	g_assert_cmpstr(b->data, ==, "one");
	bench_free(b);
}

/* The write took effect: a second one would be a conflict, or worse. */
static void test_lost_reply_is_ambiguous(void)
{
	struct bench *b = bench_new();

	g_assert_cmpint(put(b, 0, "one"), ==, 0);
	fault(b, "mode=lose_replies&count=1");
	g_assert_cmpint(put(b, 1, "two"), ==, FS_E_AMBIGUOUS);
	g_assert_cmpint(get(b), ==, 0);
	g_assert_cmpstr(b->data, ==, "two");
	g_assert_cmpuint(b->revision, ==, 2);
	bench_free(b);
}

/* The write did not take effect, but the client cannot know. */
static void test_closed_before_answer_is_ambiguous(void)
{
	struct bench *b = bench_new();

	fault(b, "mode=down");
	g_assert_cmpint(put(b, 0, "one"), ==, FS_E_AMBIGUOUS);
	g_assert_cmpint(get(b), ==, FS_E_UNAVAILABLE);
	fault(b, "mode=none");
	g_assert_cmpint(get(b), ==, FS_E_NOT_FOUND);
	bench_free(b);
}

static void test_slow_put_is_ambiguous(void)
{
	struct bench *b = bench_new();

	fault(b, "mode=slow&ms=5000&count=1");
	g_assert_cmpint(put(b, 0, "one"), ==, FS_E_AMBIGUOUS);
	bench_free(b);
}

static void test_nobody_listens(void)
{
	struct bench *b = bench_new();

	kill(b->pid, SIGKILL);
	waitpid(b->pid, NULL, 0);
	g_assert_cmpint(put(b, 0, "one"), ==, FS_E_UNAVAILABLE);
	g_assert_cmpint(get(b), ==, FS_E_UNAVAILABLE);
	plt_vms(b->plt, on_vms, b);
	ev_run(b->loop, 0);
	g_assert_cmpint(b->err, ==, FS_E_UNAVAILABLE);
	plt_free(b->plt);
	ev_loop_destroy(b->loop);
	g_free(b->data);
	g_free(b);
}

static void test_forget(void)
{
	struct bench *b = bench_new();
	struct bench other = {.loop = b->loop};

	plt_get(b->plt, KEY, on_value, &other);
	plt_watch(b->plt, KEY, 0, FS_US_PER_S, on_value, &other);
	plt_cancel(b->plt, &other);
	plt_watch(b->plt, KEY, 0, 1500 * FS_US_PER_MS, on_value, b);
	ev_run(b->loop, 0);
	g_assert_cmpint(b->ended, ==, 1);
	g_assert_cmpint(other.ended, ==, 0);
	bench_free(b);
}

static void test_vms(void)
{
	struct bench *b = bench_new();

	command(b, "PUT", "/vms",
		"[{\"name\":\"e1\",\"kind\":\"entry\",\"address\":"
		"\"127.0.0.1:1\",\"state\":\"live\"},"
		"{\"name\":\"t1\",\"kind\":\"target\",\"address\":"
		"\"127.0.0.1:2\",\"state\":\"leaving\"},"
		"{\"name\":\"x\",\"kind\":\"other\"},7]");
	plt_vms(b->plt, on_vms, b);
	ev_run(b->loop, 0);
	g_assert_cmpint(b->err, ==, 0);
	g_assert_cmpuint(b->vms, ==, 2);
	bench_free(b);
}

/* One of two editors: reads, adds one, writes back; a put without a reply is
 * settled by reading. Returns whether the edit is known to be in. */
static bool edit(struct bench *b, uint64_t prev, uint64_t at, const char *by)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%" G_GUINT64_FORMAT ",\"by\":\"%s\","
		"\"text\":\"x\"}",
		at + 1, by);
	int err = put(b, prev, text);

	if (err == FS_E_AMBIGUOUS)
		return get(b) == 0 && !strcmp(b->data, text);
	return err == 0;
}

/* Two operators edit from the same state, with every second reply lost: each
 * round exactly one edit is in, and its author knows. */
static void test_two_editors(void)
{
	struct bench *b = bench_new();

	for (uint64_t round = 0; round < 20; round++) {
		bool first, second;

		if (round % 2)
			fault(b, "mode=lose_replies&count=1");
		first = edit(b, round, round, "first");
		second = edit(b, round, round, "second");
		g_assert_true(first);
		g_assert_false(second);
		g_assert_cmpint(get(b), ==, 0);
		g_assert_cmpuint(b->revision, ==, round + 1);
		g_assert_nonnull(strstr(b->data, "first"));
	}
	bench_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build = argv[1];
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/plt/values", test_values);
	g_test_add_func("/plt/watch", test_watch);
	g_test_add_func("/plt/lost_reply", test_lost_reply_is_ambiguous);
	g_test_add_func("/plt/closed", test_closed_before_answer_is_ambiguous);
	g_test_add_func("/plt/slow", test_slow_put_is_ambiguous);
	g_test_add_func("/plt/nobody", test_nobody_listens);
	g_test_add_func("/plt/forget", test_forget);
	g_test_add_func("/plt/vms", test_vms);
	g_test_add_func("/plt/two_editors", test_two_editors);
	return g_test_run();
}
