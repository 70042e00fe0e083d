/* Runs one deployment in separate processes and shows what a caller sees:
 * entry addresses, a refresh, one payment, an export, one stalled target. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_body.h"
#include "fleet_deploy.h"
#include "fleet_http.h"

#define DEMO_SERVERS 4 /* of each service */
#define DEMO_NODES 3
#define EXPORT_BYTES (2 << 20)

static bool failed;

static void check(bool ok, const char *what)
{
	printf("  %s: %s\n", ok ? "ok" : "FAILED", what);
	failed = failed || !ok;
}

static bool body_is_own(const struct fleet_answer *a, const char *token,
			size_t size)
{
	uint32_t seed = fleet_body_seed(token);

	if (a->body->len != size)
		return false;
	for (size_t i = 0; i < size; i++) {
		if ((uint8_t)a->body->str[i] != fleet_body_byte(seed, i))
			return false;
	}
	return true;
}

static void call(const char *address, const char *method, const char *path,
		 const char *token, size_t bytes)
{
	g_autofree char *token_line = g_strdup_printf("X-Token: %s", token);
	g_autofree char *bytes_line = g_strdup_printf("X-Bytes: %zu", bytes);
	const char *headers[] = {token_line, bytes_line, NULL};
	g_autoptr(FleetAnswer) a =
		fleet_http(method, address, path, headers,
			   strcmp(method, "POST") ? NULL : "amount=40", 10.0);

	printf("%s %s -> %ld, outcome %s, %zu bytes, %.1f ms\n", method, path,
	       a->status, a->outcome ? a->outcome : "-", a->body->len,
	       a->seconds * 1000);
	check(a->status == 200 && a->whole && body_is_own(a, token, bytes),
	      "the whole answer to this request came back");
}

static void show_entries(const char *address)
{
	g_autoptr(FleetAnswer) a =
		fleet_http("GET", address, "/.fescuesaddle/entries?caller=demo",
			   NULL, NULL, 5.0);

	printf("entry addresses: %s\n", a->body->str);
	check(a->status == 200, "the fleet tells which addresses to use");
}

static void stall_one(struct fleet *f, const char *address)
{
	unsigned int good = 0;

	printf("\none target of courses now stalls all work; its probes are "
	       "well\n");
	fleet_fault(&f->targets[0], "fault=stall");
	for (int i = 0; i < 40; i++) {
		g_autofree char *token =
			g_strdup_printf("X-Token: stall-%d", i);
		const char *headers[] = {token, NULL};
		g_autoptr(FleetAnswer) a = fleet_http(
			"GET", address, "/courses", headers, NULL, 5.0);

		good += a->status == 200;
	}
	printf("40 refreshes, %u good\n", good);
	check(good >= 38, "refreshes went on");
}

static void show_decisions(const struct fleet *f)
{
	printf("\ndecisions:\n");
	for (unsigned int i = 0; i < f->node_count; i++) {
		g_autofree char *log = NULL;
		g_auto(GStrv) lines = NULL;

		g_file_get_contents(f->nodes[i].process.log, &log, NULL, NULL);
		lines = g_strsplit(log ? log : "", "\n", 0);
		for (char **line = lines; *line; line++) {
			if (strstr(*line, "\"event\":\"decision\""))
				printf("%s\n", *line);
		}
	}
}

int main(int argc, char **argv)
{
	struct fleet *f;
	unsigned int paid = 0;

	printf("starting a platform, %d targets of each service and %d "
	       "daemons\n",
	       DEMO_SERVERS, DEMO_NODES);
	f = fleet_start(argc > 1 ? argv[1] : "build", &fleet_cascade,
			DEMO_SERVERS, DEMO_NODES, false);
	show_entries(f->nodes[0].caller);
	call(f->nodes[0].caller, "GET", "/courses/spring", "listing-1", 2000);
	call(f->nodes[1].caller, "POST", "/pay", "payment-1", 64);
	for (unsigned int i = 0; i < f->target_count; i++) {
		if (!strcmp(f->targets[i].service, "checkout"))
			paid += fleet_target_stat(&f->targets[i], "runs");
	}
	check(paid == 1, "the payment ran once");
	call(f->nodes[2].caller, "GET", "/export/all", "export-1",
	     EXPORT_BYTES);
	stall_one(f, f->nodes[0].caller);
	show_decisions(f);
	fleet_free(f);
	printf("\n%s\n", failed ? "demo FAILED" : "demo ok");
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
