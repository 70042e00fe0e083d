#include "cli_burn.h"

#include <inttypes.h>

#include "fs_log.h"

#define CAUSES_SHOWN 5

static const char *const window_names[CLI_BURN_WINDOWS] = {"5 min", "1 h",
							   "6 h"};

double cli_burn_share(const struct cli_burn_window *w)
{
	return w->total ? (double)(w->total - w->good) / (double)w->total : 0;
}

double cli_burn_rate(const struct cli_burn *b, const struct cli_burn_window *w)
{
	return cli_burn_share(w) / (1 - b->service->objective_good);
}

static void counts_text(const char *what, GHashTable *counts, GString *out)
{
	g_autoptr(GList) names = g_hash_table_get_keys(counts);

	for (int shown = 0; names && shown < CAUSES_SHOWN; shown++) {
		GList *most = names;

		for (GList *at = names; at; at = at->next) {
			if (GPOINTER_TO_INT(
				    g_hash_table_lookup(counts, at->data)) >
			    GPOINTER_TO_INT(
				    g_hash_table_lookup(counts, most->data)))
				most = at;
		}
		g_string_append_printf(out, "  %s %s: %d\n", what,
				       (char *)most->data,
				       GPOINTER_TO_INT(g_hash_table_lookup(
					       counts, most->data)));
		names = g_list_delete_link(names, most);
	}
}

void cli_burn_text(const struct cli_burn *b, GString *out)
{
	const struct cli_burn_window *all = &b->windows[CLI_BURN_WINDOWS - 1];

	g_string_append_printf(
		out, "%s: objective %g%% within %" PRId64 " ms\n",
		b->service->name, b->service->objective_good * 100,
		(int64_t)(b->service->objective_us / FS_US_PER_MS));
	for (int i = 0; i < CLI_BURN_WINDOWS; i++) {
		const struct cli_burn_window *w = &b->windows[i];

		g_string_append_printf(
			out,
			"  %-5s  %" PRId64 " answers, %" PRId64 " bad (%.3f%%)"
			", burn rate %.2f, %" PRId64 " retried\n",
			window_names[i], w->total, w->total - w->good,
			cli_burn_share(w) * 100, cli_burn_rate(b, w),
			w->retried);
	}
	if (all->total)
		g_string_append_printf(out,
				       "  budget of the last 6 h: %.1f%% "
				       "spent\n",
				       cli_burn_rate(b, all) * 100);
	counts_text("cause", b->causes, out);
	counts_text("server", b->servers, out);
}

static void counts_json(const char *name, GHashTable *counts, GString *out)
{
	GHashTableIter iter;
	const char *comma = "";
	void *key;
	void *value;

	g_string_append_printf(out, ",\"%s\":{", name);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		g_string_append(out, comma);
		fs_json_string(out, key);
		g_string_append_printf(out, ":%d", GPOINTER_TO_INT(value));
		comma = ",";
	}
	g_string_append_c(out, '}');
}

void cli_burn_json(const struct cli_burn *b, GString *out)
{
	static const int minutes[CLI_BURN_WINDOWS] = {5, 60, 360};

	g_string_append(out, "{\"service\":");
	fs_json_string(out, b->service->name);
	g_string_append_printf(
		out,
		",\"objective_good\":%.6g,\"objective_ms\":%" PRId64
		",\"windows\":[",
		b->service->objective_good,
		(int64_t)(b->service->objective_us / FS_US_PER_MS));
	for (int i = 0; i < CLI_BURN_WINDOWS; i++) {
		const struct cli_burn_window *w = &b->windows[i];

		g_string_append_printf(
			out,
			"%s{\"minutes\":%d,\"total\":%" PRId64
			",\"good\":%" PRId64 ",\"retried\":%" PRId64
			",\"burn_rate\":%.6g}",
			i ? "," : "", minutes[i], w->total, w->good, w->retried,
			cli_burn_rate(b, w));
	}
	g_string_append_c(out, ']');
	counts_json("causes", b->causes, out);
	counts_json("servers", b->servers, out);
	g_string_append_c(out, '}');
}
