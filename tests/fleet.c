#include "fleet.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet_http.h"

#define START_SECONDS 10.0
#define POLL_US 20000

void fleet_sleep(double seconds)
{
	g_usleep((gulong)(seconds * 1e6));
}

/* A child ends with its parent. */
static void child_setup(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static void spawn(struct fleet *f, struct fleet_process *p, char **argv)
{
	g_autoptr(GError) error = NULL;
	int log_fd;

	if (!p->log)
		p->log = g_strdup_printf("%s/%s.log", f->dir, p->name);
	log_fd = open(p->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	g_spawn_async_with_pipes_and_fds(
		NULL, (const char *const *)argv, NULL,
		G_SPAWN_DO_NOT_REAP_CHILD, child_setup, NULL, -1, -1, log_fd,
		NULL, NULL, 0, &p->pid, &p->in, &p->out, NULL, &error);
	close(log_fd);
	g_assert_no_error(error);
}

/* Reads one line of a child's standard output. */
static char *read_line(const struct fleet_process *p)
{
	GString *line = g_string_new(NULL);
	char c;

	while (read(p->out, &c, 1) == 1 && c != '\n')
		g_string_append_c(line, c);
	return g_string_free(line, FALSE);
}

static void copy_member(const char *json, const char *name, char *out)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *object;

	if (!json_parser_load_from_data(parser, json, -1, NULL))
		g_error("not JSON: %s", json);
	object = json_node_get_object(json_parser_get_root(parser));
	g_strlcpy(out, json_object_get_string_member(object, name),
		  FS_ADDRESS_MAX);
}

/* Starts a stand-in that prints its address first. */
static void spawn_standin(struct fleet *f, struct fleet_process *p, char **argv)
{
	g_autofree char *line = NULL;

	spawn(f, p, argv);
	line = read_line(p);
	copy_member(line, "address", p->address);
}

static char *program(const struct fleet *f, const char *name)
{
	return g_build_filename(f->build, name, NULL);
}

static void start_relay(struct fleet *f, struct fleet_process *relay,
			const char *name, const char *ip, const char *to)
{
	g_autofree char *path = program(f, "standin_relay");
	char *argv[] = {path, (char *)ip, (char *)to, NULL};

	g_snprintf(relay->name, sizeof(relay->name), "relay-%s", name);
	spawn_standin(f, relay, argv);
}

struct fleet *fleet_new(const char *build, bool relays)
{
	struct fleet *f = g_new0(struct fleet, 1);
	g_autofree char *path = NULL;

	f->build = g_strdup(build);
	f->dir = g_dir_make_tmp("fleet-XXXXXX", NULL);
	f->relays = relays;
	f->answer_ttl_ms = 1000;
	path = program(f, "standin_platform");
	g_strlcpy(f->platform.name, "platform", sizeof(f->platform.name));
	spawn_standin(f, &f->platform, (char *[]){path, NULL});
	return f;
}

static void end_process(struct fleet_process *p)
{
	if (p->pid) {
		kill(p->pid, SIGKILL);
		waitpid(p->pid, NULL, 0);
		p->pid = 0;
	}
	if (p->log) {
		close(p->in);
		close(p->out);
	}
}

static void remove_process(struct fleet_process *p)
{
	end_process(p);
	if (p->log)
		g_unlink(p->log);
	g_clear_pointer(&p->log, g_free);
}

void fleet_free(struct fleet *f)
{
	g_autofree char *config = g_build_filename(f->dir, "config.yaml", NULL);

	for (unsigned int i = 0; i < f->node_count; i++) {
		g_autofree char *settings = g_strdup_printf(
			"%s/%s.yaml", f->dir, f->nodes[i].process.name);

		remove_process(&f->nodes[i].process);
		remove_process(&f->nodes[i].relay);
		g_unlink(settings);
	}
	for (unsigned int i = 0; i < f->target_count; i++) {
		remove_process(&f->targets[i].process);
		remove_process(&f->targets[i].relay);
	}
	remove_process(&f->platform);
	g_unlink(config);
	g_rmdir(f->dir);
	g_free(f->dir);
	g_free(f->build);
	g_free(f);
}

struct fleet_target *fleet_add_target(struct fleet *f, const char *service,
				      const char *domain, unsigned int slots,
				      double work_ms)
{
	struct fleet_target *t = &f->targets[f->target_count++];
	g_autofree char *path = program(f, "standin_target");
	g_autofree char *slots_text = g_strdup_printf("%u", slots);
	g_autofree char *work_text = g_strdup_printf("%.3f", work_ms);
	unsigned int number = 1;

	g_assert_cmpuint(f->target_count, <=, FLEET_MAX);
	for (unsigned int i = 0; i + 1 < f->target_count; i++)
		number += !strcmp(f->targets[i].service, service);
	g_strlcpy(t->service, service, sizeof(t->service));
	g_strlcpy(t->domain, domain, sizeof(t->domain));
	g_snprintf(t->process.name, sizeof(t->process.name), "%s-%u", service,
		   number);
	spawn_standin(f, &t->process,
		      (char *[]){path, "--name", t->process.name, "--slots",
				 slots_text, "--work-ms", work_text, NULL});
	if (f->relays)
		start_relay(f, &t->relay, t->process.name, "127.0.0.1",
			    t->process.address);
	return t;
}

static void write_settings(struct fleet *f, const struct fleet_node *node,
			   const char *path)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_append_printf(text,
			       "name: %s\nregion: %s\nfailure_domain: %s\n",
			       node->process.name, node->region, node->domain);
	g_string_append_printf(text,
			       "caller_listen: \"%s:0\"\n"
			       "peer_listen: \"%s\"\n"
			       "operator_listen: \"%s:0\"\n",
			       node->ip, node->peer, node->ip);
	if (node->relay.pid)
		g_string_append_printf(text, "peer_advertise: \"%s\"\n",
				       node->relay.address);
	g_string_append_printf(
		text,
		"platform: \"%s\"\nfleet_key: test-key-of-the-fleet\n"
		"answer_ttl_ms: %" G_GINT64_FORMAT "\n",
		f->platform.address, f->answer_ttl_ms);
	g_string_append(text, "seeds: [");
	for (unsigned int i = 0, n = 0; i < f->node_count && n < 3; i++) {
		const struct fleet_node *other = &f->nodes[i];

		if (other == node || !other->process.pid)
			continue;
		g_string_append_printf(text, "%s\"%s\"", n++ ? ", " : "",
				       other->relay.pid ? other->relay.address :
							  other->peer);
	}
	g_string_append(text, "]\n");
	g_file_set_contents(path, text->str, -1, NULL);
}

/* The relay has to know the peer port before the daemon starts: one that is
 * free now on the node's own loopback IP, which nobody else uses. */
static void choose_peer(struct fleet_node *node)
{
	if (!*node->peer)
		g_snprintf(node->peer, sizeof(node->peer), "%s:7400", node->ip);
}

static char *find_line(const struct fleet_process *p, const char *text,
		       gsize skip)
{
	g_autofree char *log = NULL;
	gsize size;
	const char *at;
	const char *start;

	if (!g_file_get_contents(p->log, &log, &size, NULL) || size < skip)
		return NULL;
	at = strstr(log + skip, text);
	if (!at || !strchr(at, '\n'))
		return NULL;
	start = at;
	while (start > log && start[-1] != '\n')
		start--;
	return g_strndup(start, (gsize)(strchr(at, '\n') - start));
}

static gsize log_size(const struct fleet_process *p)
{
	GStatBuf st;

	return p->log && !g_stat(p->log, &st) ? (gsize)st.st_size : 0;
}

static char *wait_line(const struct fleet_process *p, const char *text,
		       gsize skip, double seconds)
{
	gint64 end = g_get_monotonic_time() + (gint64)(seconds * 1e6);

	while (g_get_monotonic_time() < end) {
		char *line = find_line(p, text, skip);

		if (line)
			return line;
		g_usleep(POLL_US);
	}
	return NULL;
}

bool fleet_wait_log(const struct fleet_process *p, const char *text,
		    double seconds)
{
	g_autofree char *line = wait_line(p, text, 0, seconds);

	return line != NULL;
}

void fleet_restart_node(struct fleet *f, struct fleet_node *node)
{
	g_autofree char *path = program(f, "fescuesaddled");
	g_autofree char *settings =
		g_strdup_printf("%s/%s.yaml", f->dir, node->process.name);
	g_autofree char *line = NULL;
	gsize skip = log_size(&node->process);

	end_process(&node->process);
	write_settings(f, node, settings);
	spawn(f, &node->process,
	      (char *[]){path, "--settings", settings, NULL});
	line = wait_line(&node->process, "\"event\":\"started\"", skip,
			 START_SECONDS);
	if (!line)
		g_error("%s did not start", node->process.name);
	copy_member(line, "caller", node->caller);
	copy_member(line, "peer", node->peer);
	copy_member(line, "operator", node->operator);
}

struct fleet_node *fleet_add_node(struct fleet *f, const char *region,
				  const char *domain)
{
	struct fleet_node *node = &f->nodes[f->node_count++];

	g_assert_cmpuint(f->node_count, <=, FLEET_MAX);
	g_snprintf(node->process.name, sizeof(node->process.name), "entry-%02u",
		   f->node_count);
	g_strlcpy(node->region, region, sizeof(node->region));
	g_strlcpy(node->domain, domain, sizeof(node->domain));
	/* The process id keeps the addresses of concurrent runs apart. */
	g_snprintf(node->ip, sizeof(node->ip), "127.%d.%d.%u",
		   64 + (getpid() >> 8) % 128, getpid() & 255, f->node_count);
	choose_peer(node);
	if (f->relays)
		start_relay(f, &node->relay, node->process.name, node->ip,
			    node->peer);
	fleet_restart_node(f, node);
	return node;
}

void fleet_put_vms(struct fleet *f, const char *leaving)
{
	g_autoptr(GString) list = g_string_new("[");

	for (unsigned int i = 0; i < f->node_count; i++) {
		const struct fleet_node *n = &f->nodes[i];

		g_string_append_printf(
			list,
			"%s{\"name\":\"%s\",\"kind\":\"entry\","
			"\"address\":\"%s\",\"state\":\"%s\"}",
			list->len > 1 ? "," : "", n->process.name,
			n->relay.pid ? n->relay.address : n->peer,
			!g_strcmp0(leaving, n->process.name) ? "leaving" :
							       "live");
	}
	for (unsigned int i = 0; i < f->target_count; i++) {
		const struct fleet_target *t = &f->targets[i];

		g_string_append_printf(
			list,
			"%s{\"name\":\"%s\",\"kind\":\"target\","
			"\"address\":\"%s\",\"state\":\"%s\"}",
			list->len > 1 ? "," : "", t->process.name,
			t->relay.pid ? t->relay.address : t->process.address,
			!g_strcmp0(leaving, t->process.name) ? "leaving" :
							       "live");
	}
	g_string_append_c(list, ']');
	fleet_answer_free(fleet_http("PUT", f->platform.address, "/vms", NULL,
				     list->str, 5.0));
}

int fleet_put_config(struct fleet *f, const char *text)
{
	g_autofree char *path = g_build_filename(f->dir, "config.yaml", NULL);
	g_autofree char *out = NULL;
	const char *args[] = {
		"config", "put", path, "--platform", f->platform.address, NULL};
	int code;

	g_file_set_contents(path, text, -1, NULL);
	out = fleet_run(f, "fescuesaddle", args, &code);
	if (code)
		g_test_message("config put: exit %d: %s", code, out);
	else
		f->version++;
	return code;
}

void fleet_write_servers(const struct fleet *f, const char *service,
			 GString *out)
{
	g_string_append(out, "    servers:\n");
	for (unsigned int i = 0; i < f->target_count; i++) {
		const struct fleet_target *t = &f->targets[i];

		if (strcmp(t->service, service))
			continue;
		g_string_append_printf(out,
				       "      - {name: %s, address: \"%s\", "
				       "failure_domain: %s}\n",
				       t->process.name,
				       t->relay.pid ? t->relay.address :
						      t->process.address,
				       t->domain);
	}
}

static unsigned int live_nodes(const struct fleet *f)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < f->node_count; i++)
		n += f->nodes[i].process.pid != 0;
	return n;
}

static bool node_ready(const struct fleet *f, const struct fleet_node *node)
{
	JsonNode *status = fleet_json(node->operator, "/status");
	bool ready;

	if (!status)
		return false;
	ready = fleet_json_int(status, "config.version", 0) ==
			(gint64)f->version &&
		fleet_json_int(status, "members.alive", 0) == live_nodes(f);
	json_node_unref(status);
	return ready;
}

void fleet_wait_ready(struct fleet *f, double seconds)
{
	gint64 end = g_get_monotonic_time() + (gint64)(seconds * 1e6);

	for (unsigned int i = 0; i < f->node_count; i++) {
		while (f->nodes[i].process.pid &&
		       !node_ready(f, &f->nodes[i])) {
			if (g_get_monotonic_time() > end)
				g_error("%s is not ready",
					f->nodes[i].process.name);
			g_usleep(POLL_US);
		}
	}
}

void fleet_kill(struct fleet_process *p)
{
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

void fleet_freeze(const struct fleet_process *p)
{
	kill(p->pid, SIGSTOP);
}

void fleet_thaw(const struct fleet_process *p)
{
	kill(p->pid, SIGCONT);
}

int fleet_stop(struct fleet_process *p, double seconds)
{
	gint64 end = g_get_monotonic_time() + (gint64)(seconds * 1e6);
	int status;

	kill(p->pid, SIGTERM);
	while (g_get_monotonic_time() < end) {
		if (waitpid(p->pid, &status, WNOHANG) == p->pid) {
			p->pid = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : 255;
		}
		g_usleep(POLL_US);
	}
	return -1;
}

void fleet_relay(const struct fleet_process *relay, const char *command)
{
	g_autofree char *line = g_strdup_printf("%s\n", command);
	g_autofree char *ok = NULL;

	g_assert_cmpint(write(relay->in, line, strlen(line)), >, 0);
	ok = read_line(relay);
	g_assert_cmpstr(ok, ==, "ok");
}

void fleet_fault(const struct fleet_target *t, const char *query)
{
	g_autofree char *path = g_strdup_printf("/control?%s", query);
	g_autoptr(FleetAnswer) a =
		fleet_http("POST", t->process.address, path, NULL, NULL, 5.0);

	g_assert_cmpint(a->status, ==, 200);
}

void fleet_platform_fault(const struct fleet *f, const char *query)
{
	g_autofree char *path = g_strdup_printf("/fault?%s", query);
	g_autoptr(FleetAnswer) a =
		fleet_http("POST", f->platform.address, path, NULL, "", 5.0);

	g_assert_cmpint(a->status, ==, 200);
}

unsigned int fleet_target_stat(const struct fleet_target *t, const char *name)
{
	JsonNode *stats = fleet_json(t->process.address, "/control/stats");
	gint64 value;

	g_assert_nonnull(stats);
	value = fleet_json_int(stats, name, -1);
	json_node_unref(stats);
	g_assert_cmpint(value, >=, 0);
	return (unsigned int)value;
}

char *fleet_run(const struct fleet *f, const char *program_name,
		const char *const *args, int *code)
{
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	g_autofree char *path = program(f, program_name);
	char *out = NULL;
	char *err = NULL;
	int status = 0;

	g_ptr_array_add(argv, path);
	for (; *args; args++)
		g_ptr_array_add(argv, (char *)*args);
	g_ptr_array_add(argv, NULL);
	g_spawn_sync(NULL, (char **)argv->pdata, NULL, G_SPAWN_DEFAULT,
		     child_setup, NULL, &out, &err, &status, NULL);
	*code = WIFEXITED(status) ? WEXITSTATUS(status) : 255;
	if (*code && err && *err) {
		char *both = g_strconcat(out ? out : "", err, NULL);

		g_free(out);
		out = both;
	}
	g_free(err);
	return out;
}
