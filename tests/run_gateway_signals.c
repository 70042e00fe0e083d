/* The gateway's program and signals that come while it starts. */
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

static char *program;

/* Guards against a process that is ended by a SIGHUP that comes before it has its
 * handlers: a change of settings right after its start. The settings are a pipe, so that
 * the process waits while it reads them. */
static void test_hangup_at_start(void)
{
	g_autofree char *folder = g_dir_make_tmp("signals-XXXXXX", NULL);
	g_autofree char *settings = g_build_filename(folder, "node.yaml", NULL);
	g_autofree char *variable =
		g_strdup_printf("FESCUESADDLE_NODE_FILE=%s", settings);
	char *const argv[] = {program, NULL};
	char *const env[] = {variable, NULL};
	GError *error = NULL;
	GPid pid;
	int status;
	int fd;

	g_assert_cmpint(mkfifo(settings, 0600), ==, 0);
	g_spawn_async(NULL, (char **)argv, (char **)env,
		      G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &pid, &error);
	g_assert_no_error(error);
	fd = open(settings, O_WRONLY | O_CLOEXEC);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(kill(pid, SIGHUP), ==, 0);
	close(fd);
	g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
	/* Empty settings are refused. */
	g_assert_true(WIFEXITED(status));
	g_assert_cmpint(WEXITSTATUS(status), ==, 1);
	g_unlink(settings);
	g_rmdir(folder);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(argc, >, 1);
	program = g_build_filename(argv[1], "fescuesaddle-gateway", NULL);
	g_test_add_func("/gateway_signals/hangup_at_start",
			test_hangup_at_start);
	return g_test_run();
}
