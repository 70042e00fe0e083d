#include "cli_burn.h"

#include <inttypes.h>

/* Size of a plot in its own units */
#define PLOT_WIDTH 720
#define PLOT_HEIGHT 120
#define BAR_WIDTH (PLOT_WIDTH / CLI_BURN_BUCKETS)

static const char page_style[] =
	"body{font:16px/1.5 sans-serif;max-width:48em;margin:2em auto;"
	"padding:0 1em;color:#222;background:#fff}"
	"table{border-collapse:collapse}td,th{padding:.2em .8em;"
	"text-align:right;border-bottom:1px solid #ddd}"
	"td:first-child,th:first-child{text-align:left}"
	"svg{width:100%;height:auto}.over{color:#b00020;font-weight:bold}"
	"@media(prefers-color-scheme:dark){body{color:#ddd;background:#181818}"
	"td,th{border-color:#444}.over{color:#ff7b88}}";

static void append_escaped(GString *out, const char *text)
{
	g_autofree char *escaped = g_markup_escape_text(text, -1);

	g_string_append(out, escaped);
}

void cli_burn_html_begin(const char *deployment, const GPtrArray *nodes,
			 uint32_t answered, GString *out)
{
	g_string_append(out, "<!doctype html>\n<html lang=\"en\"><head>"
			     "<meta charset=\"utf-8\"><meta name=\"viewport\" "
			     "content=\"width=device-width\"><title>Burn: ");
	append_escaped(out, deployment);
	g_string_append_printf(out,
			       "</title><style>%s</style></head><body>\n<h1>",
			       page_style);
	append_escaped(out, deployment);
	g_string_append_printf(out,
			       ": service-level burn</h1>\n<p>%u of %u nodes "
			       "answered. ",
			       answered, nodes->len);
	cli_nodes_missing(nodes, out);
	g_string_append(out,
			"</p>\n<p>A burn rate of 1 spends the error budget "
			"exactly as fast as the objective allows.</p>\n");
}

void cli_burn_html_end(GString *out)
{
	g_string_append(out, "</body></html>\n");
}

/* Bars of the bad share per 5 minutes, scaled to the largest one. */
static void plot(const struct cli_burn *b, GString *out)
{
	double allowed = 1 - b->service->objective_good;
	double most = 2 * allowed;

	for (int i = 0; i < CLI_BURN_BUCKETS; i++) {
		if (b->total[i])
			most = MAX(most,
				   (double)b->bad[i] / (double)b->total[i]);
	}
	g_string_append_printf(
		out,
		"<svg viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"share "
		"of bad answers per 5 minutes, last 6 hours\">",
		PLOT_WIDTH, PLOT_HEIGHT + 20);
	for (int i = 0; i < CLI_BURN_BUCKETS; i++) {
		double share = b->total[i] ?
				       (double)b->bad[i] / (double)b->total[i] :
				       0;
		double height = share / most * PLOT_HEIGHT;

		if (share > 0)
			g_string_append_printf(
				out,
				"<rect x=\"%d\" y=\"%.1f\" width=\"%d\" "
				"height=\"%.1f\" fill=\"%s\"><title>%" PRId64
				" of %" PRId64 " bad</title></rect>",
				i * BAR_WIDTH, PLOT_HEIGHT - height,
				BAR_WIDTH - 1, height,
				share > allowed ? "#c62828" : "#7a9cc6",
				b->bad[i], b->total[i]);
	}
	g_string_append_printf(
		out,
		"<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"#888\" stroke-dasharray=\"4\"/>"
		"<line x1=\"0\" x2=\"%d\" y1=\"%d\" y2=\"%d\" "
		"stroke=\"#888\"/><g fill=\"#888\" font-size=\"12\">"
		"<text x=\"0\" y=\"%d\">6 h ago</text><text x=\"%d\" y=\"%d\" "
		"text-anchor=\"end\">now</text><text x=\"4\" y=\"%.1f\">"
		"allowed %.3g%%</text></g></svg>\n",
		PLOT_WIDTH, PLOT_HEIGHT - allowed / most * PLOT_HEIGHT,
		PLOT_HEIGHT - allowed / most * PLOT_HEIGHT, PLOT_WIDTH,
		PLOT_HEIGHT, PLOT_HEIGHT, PLOT_HEIGHT + 15, PLOT_WIDTH,
		PLOT_HEIGHT + 15,
		PLOT_HEIGHT - allowed / most * PLOT_HEIGHT - 4, allowed * 100);
}

static void windows(const struct cli_burn *b, GString *out)
{
	static const char *const names[CLI_BURN_WINDOWS] = {
		"5 minutes", "1 hour", "6 hours"};

	g_string_append(out, "<table><tr><th>Window</th><th>Answers</th>"
			     "<th>Bad</th><th>Burn rate</th><th>Retried</th>"
			     "</tr>\n");
	for (int i = 0; i < CLI_BURN_WINDOWS; i++) {
		const struct cli_burn_window *w = &b->windows[i];
		double rate = cli_burn_rate(b, w);

		g_string_append_printf(
			out,
			"<tr><td>%s</td><td>%" PRId64 "</td><td>%" PRId64
			"</td><td%s>%.2f</td><td>%" PRId64 "</td></tr>\n",
			names[i], w->total, w->total - w->good,
			rate > 1 ? " class=\"over\"" : "", rate, w->retried);
	}
	g_string_append(out, "</table>\n");
}

static void counts(const char *title, GHashTable *from, GString *out)
{
	GHashTableIter iter;
	void *name;
	void *count;

	if (!g_hash_table_size(from))
		return;
	g_string_append_printf(out, "<h3>%s</h3><ul>", title);
	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		g_string_append(out, "<li>");
		append_escaped(out, name);
		g_string_append_printf(out, ": %d</li>",
				       GPOINTER_TO_INT(count));
	}
	g_string_append(out, "</ul>\n");
}

void cli_burn_html(const struct cli_burn *b, GString *out)
{
	g_string_append(out, "<section><h2>");
	append_escaped(out, b->service->name);
	g_string_append_printf(
		out,
		"</h2>\n<p>Objective: %g%% good within %" PRId64 " ms.</p>\n",
		b->service->objective_good * 100,
		(int64_t)(b->service->objective_us / FS_US_PER_MS));
	windows(b, out);
	plot(b, out);
	counts("Causes", b->causes, out);
	counts("Servers", b->servers, out);
	g_string_append(out, "</section>\n");
}
