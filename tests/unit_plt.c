/* Runs the platform client against the stand-in platform with injected faults.
 * The first argument is the directory of the stand-in's executable. */
#include <gio/gio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "plt.h"

#define KEY "config"

static const char *build_dir = "build";

/* An event loop, a stand-in platform process and a client of it. */
struct fixture {
	struct ev_loop *loop;
	struct plt *plt;
	pid_t pid;
	char address[FS_ADDRESS_MAX];
	/* Completed gets, watches and puts; result of the last call */
	int completed;
	int err;
	uint64_t revision;
	char *data;
	uint32_t vms;
};

static void start_platform(struct fixture *fx)
{
	g_autofree char *path =
		g_build_filename(build_dir, "standin_platform", NULL);
	char *argv[] = {path, "--max-seconds", "60", NULL};
	char line[128];
	int out;
	FILE *f;

	g_assert_true(g_spawn_async_with_pipes(
		NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
		&fx->pid, NULL, &out, NULL, NULL));
	f = fdopen(out, "r");
	g_assert_nonnull(fgets(line, sizeof(line), f));
	g_assert_cmpint(sscanf(line,
			       "{\"event\":\"listening\",\"address\":"
			       "\"%47[^\"]\"",
			       fx->address),
			==, 1);
	fclose(f);
}

static struct fixture *fixture_new(void)
{
	struct fixture *fx = g_new0(struct fixture, 1);

	start_platform(fx);
	fx->loop = ev_loop_new(EVFLAG_AUTO);
	fx->plt = plt_new(fx->loop, fx->address);
	return fx;
}

static void fixture_free(struct fixture *fx)
{
	plt_free(fx->plt);
	ev_loop_destroy(fx->loop);
	kill(fx->pid, SIGKILL);
	waitpid(fx->pid, NULL, 0);
	g_free(fx->data);
	g_free(fx);
}

static void on_value(void *arg, int err, const struct plt_value *value)
{
	struct fixture *fx = arg;

	fx->completed++;
	fx->err = err;
	fx->revision = value->revision;
	g_free(fx->data);
	fx->data = g_strdup(value->data);
	ev_break(fx->loop, EVBREAK_ONE);
}

static void on_vms(void *arg, int err, const struct plt_vm *vms, uint32_t count)
{
	struct fixture *fx = arg;

	(void)vms;
	fx->err = err;
	fx->vms = count;
	ev_break(fx->loop, EVBREAK_ONE);
}

static int put(struct fixture *fx, uint64_t prev, const char *text)
{
	plt_put(fx->plt, KEY, prev, text, strlen(text), on_value, fx);
	ev_run(fx->loop, 0);
	return fx->err;
}

static int get(struct fixture *fx)
{
	plt_get(fx->plt, KEY, on_value, fx);
	ev_run(fx->loop, 0);
	return fx->err;
}

/* Sends a request to the stand-in without the client under test. */
static void send_command(struct fixture *fx, const char *method,
			 const char *path, const char *body)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	g_autoptr(GSocketConnection) connection =
		g_socket_client_connect_to_host(client, fx->address, 80, NULL,
						NULL);
	g_autofree char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, path, strlen(body), body);
	char reply[256];

	g_assert_nonnull(connection);
	g_output_stream_write_all(
		g_io_stream_get_output_stream(G_IO_STREAM(connection)), text,
		strlen(text), NULL, NULL, NULL);
	g_assert_cmpint(g_input_stream_read(g_io_stream_get_input_stream(
						    G_IO_STREAM(connection)),
					    reply, sizeof(reply), NULL, NULL),
			>, 0);
}

static void inject_fault(struct fixture *fx, const char *query)
{
	g_autofree char *path = g_strdup_printf("/fault?%s", query);

	send_command(fx, "POST", path, "");
}

static void test_get_put(void)
{
	struct fixture *fx = fixture_new();

	g_assert_cmpint(get(fx), ==, FS_E_NOT_FOUND);
	g_assert_cmpint(put(fx, 0, "one \"1\""), ==, 0);
	g_assert_cmpuint(fx->revision, ==, 1);
	g_assert_cmpint(get(fx), ==, 0);
	g_assert_cmpstr(fx->data, ==, "one \"1\"");
	g_assert_cmpint(put(fx, 0, "two"), ==, FS_E_CONFLICT);
	g_assert_cmpuint(fx->revision, ==, 1);
	g_assert_cmpint(put(fx, 1, "two"), ==, 0);
	fixture_free(fx);
}

static void test_watch(void)
{
	struct fixture *fx = fixture_new();

	put(fx, 0, "one");
	plt_watch(fx->plt, KEY, 1, 200 * FS_US_PER_MS, on_value, fx);
	ev_run(fx->loop, 0);
	g_assert_cmpint(fx->err, ==, 0);
	g_assert_cmpuint(fx->revision, ==, 1);
	g_assert_null(fx->data);
	plt_watch(fx->plt, KEY, 0, FS_US_PER_S, on_value, fx);
	ev_run(fx->loop, 0);
	g_assert_cmpstr(fx->data, ==, "one");
	fixture_free(fx);
}

/* The write was applied although its reply was lost. A retry at the same
 * revision would end with a conflict; one at a newer revision could overwrite
 * another edit. */
static void test_lost_reply_is_ambiguous(void)
{
	struct fixture *fx = fixture_new();

	g_assert_cmpint(put(fx, 0, "one"), ==, 0);
	inject_fault(fx, "mode=lose_replies&count=1");
	g_assert_cmpint(put(fx, 1, "two"), ==, FS_E_AMBIGUOUS);
	g_assert_cmpint(get(fx), ==, 0);
	g_assert_cmpstr(fx->data, ==, "two");
	g_assert_cmpuint(fx->revision, ==, 2);
	fixture_free(fx);
}

/* The write was not applied, but the client cannot find out from a connection
 * that was closed without a reply. */
static void test_closed_before_reply_is_ambiguous(void)
{
	struct fixture *fx = fixture_new();

	inject_fault(fx, "mode=down");
	g_assert_cmpint(put(fx, 0, "one"), ==, FS_E_AMBIGUOUS);
	g_assert_cmpint(get(fx), ==, FS_E_UNAVAILABLE);
	inject_fault(fx, "mode=none");
	g_assert_cmpint(get(fx), ==, FS_E_NOT_FOUND);
	fixture_free(fx);
}

static void test_slow_put_is_ambiguous(void)
{
	struct fixture *fx = fixture_new();

	inject_fault(fx, "mode=slow&ms=5000&count=1");
	g_assert_cmpint(put(fx, 0, "one"), ==, FS_E_AMBIGUOUS);
	fixture_free(fx);
}

static void test_connection_refused(void)
{
	struct fixture *fx = fixture_new();

	kill(fx->pid, SIGKILL);
	waitpid(fx->pid, NULL, 0);
	g_assert_cmpint(put(fx, 0, "one"), ==, FS_E_UNAVAILABLE);
	g_assert_cmpint(get(fx), ==, FS_E_UNAVAILABLE);
	plt_vms(fx->plt, on_vms, fx);
	ev_run(fx->loop, 0);
	g_assert_cmpint(fx->err, ==, FS_E_UNAVAILABLE);
	plt_free(fx->plt);
	ev_loop_destroy(fx->loop);
	g_free(fx->data);
	g_free(fx);
}

static void test_cancel(void)
{
	struct fixture *fx = fixture_new();
	struct fixture other = {.loop = fx->loop};

	plt_get(fx->plt, KEY, on_value, &other);
	plt_watch(fx->plt, KEY, 0, FS_US_PER_S, on_value, &other);
	plt_cancel(fx->plt, &other);
	plt_watch(fx->plt, KEY, 0, 1500 * FS_US_PER_MS, on_value, fx);
	ev_run(fx->loop, 0);
	g_assert_cmpint(fx->completed, ==, 1);
	g_assert_cmpint(other.completed, ==, 0);
	fixture_free(fx);
}

static void test_vms(void)
{
	struct fixture *fx = fixture_new();

	send_command(fx, "PUT", "/vms",
		     "[{\"name\":\"e1\",\"kind\":\"entry\",\"address\":"
		     "\"127.0.0.1:1\",\"state\":\"live\"},"
		     "{\"name\":\"t1\",\"kind\":\"target\",\"address\":"
		     "\"127.0.0.1:2\",\"state\":\"leaving\"},"
		     "{\"name\":\"x\",\"kind\":\"other\"},7]");
	plt_vms(fx->plt, on_vms, fx);
	ev_run(fx->loop, 0);
	g_assert_cmpint(fx->err, ==, 0);
	g_assert_cmpuint(fx->vms, ==, 2);
	fixture_free(fx);
}

/* Writes the version after the given one if the key is at revision prev. An
 * ambiguous put is resolved by reading the value back. Returns whether the edit
 * is known to be applied. */
static bool edit(struct fixture *fx, uint64_t prev, uint64_t version,
		 const char *author)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%" G_GUINT64_FORMAT ",\"by\":\"%s\","
		"\"text\":\"x\"}",
		version + 1, author);
	int err = put(fx, prev, text);

	if (err == FS_E_AMBIGUOUS)
		return get(fx) == 0 && !strcmp(fx->data, text);
	return err == 0;
}

/* Two operators edit from the same revision, and in every second round the
 * first reply is lost. In each round exactly one edit is applied, and only its
 * author gets a success. */
static void test_concurrent_edits(void)
{
	struct fixture *fx = fixture_new();

	for (uint64_t round = 0; round < 20; round++) {
		bool first, second;

		if (round % 2)
			inject_fault(fx, "mode=lose_replies&count=1");
		first = edit(fx, round, round, "first");
		second = edit(fx, round, round, "second");
		g_assert_true(first);
		g_assert_false(second);
		g_assert_cmpint(get(fx), ==, 0);
		g_assert_cmpuint(fx->revision, ==, round + 1);
		g_assert_nonnull(strstr(fx->data, "first"));
	}
	fixture_free(fx);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (argc > 1)
		build_dir = argv[1];
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/plt/values", test_get_put);
	g_test_add_func("/plt/watch", test_watch);
	g_test_add_func("/plt/lost_reply", test_lost_reply_is_ambiguous);
	g_test_add_func("/plt/closed", test_closed_before_reply_is_ambiguous);
	g_test_add_func("/plt/slow", test_slow_put_is_ambiguous);
	g_test_add_func("/plt/refused", test_connection_refused);
	g_test_add_func("/plt/cancel", test_cancel);
	g_test_add_func("/plt/vms", test_vms);
	g_test_add_func("/plt/concurrent_edits", test_concurrent_edits);
	return g_test_run();
}
