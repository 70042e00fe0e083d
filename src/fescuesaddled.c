/* The daemon: reads its settings, starts the tasks, runs the loop until a
 * planned stop has ended. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fs_log.h"
#include "node.h"

#define EXIT_USAGE 2

/** Everything of the running process. */
struct daemon {
	struct node node;
	struct ent *ent;
	struct dsp *dsp;
	struct lnk *lnk;
	struct mem *mem;
	struct prb *prb;
	struct ejc *ejc;
	struct cnf *cnf;
	struct opi *opi;
	bool entry_stopped;
	ev_signal term;
	ev_signal interrupt;
};

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct daemon *d = watcher->data;

	(void)loop;
	(void)events;
	node_begin_stop(&d->node);
}

/* The entry task stops last: until then peers may still hand requests over.
 * The dispatch task is then asked again, so that its answer is a fresh one. */
static void receive(void *task, struct msg *m, int64_t now_us)
{
	struct daemon *d = task;

	(void)now_us;
	if (m->type != MSG_STOPPED)
		return;
	if (m->stopped.task == MSG_TASK_ENTRY) {
		d->entry_stopped = true;
		bus_send(d->node.bus,
			 msg_new(MSG_STOP, d->node.self, MSG_TASK_DISPATCH));
	} else if (m->stopped.task == MSG_TASK_DISPATCH && d->entry_stopped) {
		fs_log_event("node", G_LOG_LEVEL_MESSAGE, "stopped", "");
		ev_break(d->node.loop, EVBREAK_ALL);
	}
}

static const struct bus_task_ops ops = {
	.name = "node",
	.receive = receive,
};

static void log_started(const struct node *node)
{
	char caller[FS_ADDRESS_MAX];
	char peer[FS_ADDRESS_MAX];
	char operator[FS_ADDRESS_MAX];

	set_format_address(&node->caller, caller);
	set_format_address(&node->peer, peer);
	set_format_address(&node->operator, operator);
	fs_log_eventf("node", G_LOG_LEVEL_MESSAGE, "started",
		      "\"caller\":\"%s\",\"peer\":\"%s\",\"operator\":\"%s\","
		      "\"pid\":%d",
		      caller, peer, operator,(int) getpid());
}

/* The order matters: links choose the port that gossip shares, and the
 * configuration task speaks to all others. */
static bool start_tasks(struct daemon *d)
{
	struct node *node = &d->node;

	return (d->lnk = lnk_new(node)) && (d->mem = mem_new(node)) &&
	       (d->prb = prb_new(node)) && (d->ejc = ejc_new(node)) &&
	       (d->dsp = dsp_new(node)) && (d->ent = ent_new(node)) &&
	       (d->opi = opi_new(node)) && (d->cnf = cnf_new(node));
}

static void free_tasks(struct daemon *d)
{
	cnf_free(d->cnf);
	opi_free(d->opi);
	ent_free(d->ent);
	dsp_free(d->dsp);
	ejc_free(d->ejc);
	prb_free(d->prb);
	mem_free(d->mem);
	lnk_free(d->lnk);
}

static void watch_signal(struct daemon *d, ev_signal *watcher, int number)
{
	ev_signal_init(watcher, on_signal, number);
	watcher->data = d;
	ev_signal_start(d->node.loop, watcher);
}

static int run(struct daemon *d)
{
	int status = EXIT_FAILURE;

	node_open(&d->node);
	d->node.platform = plt_new(d->node.loop, d->node.set.platform);
	bus_attach(d->node.bus, MSG_TASK_NODE, &ops, d);
	watch_signal(d, &d->term, SIGTERM);
	watch_signal(d, &d->interrupt, SIGINT);
	if (start_tasks(d)) {
		log_started(&d->node);
		ev_run(d->node.loop, 0);
		/* Requests of peers that were read in the last turn are refused. */
		bus_deliver_queued(d->node.bus);
		status = EXIT_SUCCESS;
	}
	free_tasks(d);
	plt_free(d->node.platform);
	node_close(&d->node);
	return status;
}

static int load_settings(const char *path, struct set *set)
{
	g_autofree char *error = NULL;
	int err = set_load(path, set, &error);

	if (err)
		fprintf(stderr, "fescuesaddled: %s: %s\n", path,
			error ? error : fs_err_name(err));
	return err;
}

int main(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file1("s", "settings", "FILE", "settings of this daemon");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, help, end};
	static struct daemon d;
	int errors = arg_parse(argc, argv, table);
	int status = EXIT_USAGE;

	if (help->count) {
		puts("fescuesaddled: one node of the proxy fleet.\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		status = EXIT_SUCCESS;
	} else if (errors) {
		arg_print_errors(stderr, end, "fescuesaddled");
	} else if (!load_settings(settings->filename[0], &d.node.set)) {
		signal(SIGPIPE, SIG_IGN);
		curl_global_init(CURL_GLOBAL_DEFAULT);
		fs_log_init(d.node.set.name, STDERR_FILENO);
		status = run(&d);
		curl_global_cleanup();
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
