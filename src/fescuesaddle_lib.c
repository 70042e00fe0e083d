#include "fescuesaddle.h"

#include "aud_replay.h"
#include "cfg_diff.h"
#include "cfg_read.h"

/* The public types are the internal ones under another name. */
static const struct cfg *cfg_of(const struct fs_config *config)
{
	return (const struct cfg *)(const void *)config;
}

static char *problems_text(const GPtrArray *problems)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		g_string_append_printf(out, "%d: %s%s%s\n", p->line, p->path,
				       *p->path ? ": " : "", p->text);
	}
	return g_string_free(out, FALSE);
}

int fs_load_config(const char *text, struct fs_config **config, char **problems)
{
	g_autoptr(GPtrArray) found = NULL;
	struct cfg *cfg;
	int err = cfg_load(text, 0, &found, &cfg);

	*config = (struct fs_config *)(void *)cfg;
	*problems = err ? problems_text(found) : NULL;
	return err;
}

int fs_load_config_file(const char *path, struct fs_config **config,
			char **problems)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;

	*config = NULL;
	*problems = NULL;
	if (!g_file_get_contents(path, &text, NULL, &error)) {
		*problems = g_strdup(error->message);
		return FS_E_NOT_FOUND;
	}
	return fs_load_config(text, config, problems);
}

void fs_unload_config(struct fs_config *config)
{
	cfg_unref((struct cfg *)(void *)config);
}

const char *fs_config_deployment(const struct fs_config *config)
{
	return cfg_of(config)->deployment;
}

uint32_t fs_config_services(const struct fs_config *config)
{
	return cfg_of(config)->service_count;
}

uint32_t fs_config_servers(const struct fs_config *config)
{
	return cfg_of(config)->server_count;
}

uint32_t fs_config_routes(const struct fs_config *config)
{
	return cfg_of(config)->route_count;
}

bool fs_config_has_service(const struct fs_config *config, const char *name)
{
	return cfg_find_service(cfg_of(config), name) != FS_NONE;
}

int64_t fs_config_floor(const struct fs_config *config, const char *service,
			const char *region)
{
	handle h = cfg_find_service(cfg_of(config), service);

	if (h == FS_NONE)
		return FS_E_NOT_FOUND;
	return cfg_floor_in_region(cfg_of(config), h, region);
}

int fs_check_change(const struct fs_config *before,
		    const struct fs_config *after, char **problems)
{
	g_autoptr(GPtrArray) found = cfg_problems_new();
	int err = cfg_check_change(cfg_of(before), cfg_of(after), found);

	*problems = err ? problems_text(found) : NULL;
	return err;
}

static char *diff(const struct fs_config *before, const struct fs_config *after,
		  void (*write)(const GPtrArray *changes, GString *out))
{
	g_autoptr(GPtrArray) changes = cfg_diff(cfg_of(before), cfg_of(after));
	GString *out = g_string_new(NULL);

	write(changes, out);
	return g_string_free(out, FALSE);
}

char *fs_diff_config(const struct fs_config *before,
		     const struct fs_config *after)
{
	return diff(before, after, cfg_diff_text);
}

char *fs_diff_config_json(const struct fs_config *before,
			  const struct fs_config *after)
{
	return diff(before, after, cfg_diff_json);
}

struct fs_audit *fs_begin_audit(const struct fs_config *config)
{
	return (struct fs_audit *)(void *)aud_replay_new(cfg_of(config));
}

int fs_audit_line(struct fs_audit *audit, const char *line, char **reason)
{
	return aud_replay_line((struct aud_replay *)(void *)audit, line,
			       reason);
}

int fs_end_audit(struct fs_audit *audit, uint64_t *decisions, char **reason)
{
	struct aud_replay *replay = (struct aud_replay *)(void *)audit;
	int err = aud_replay_end(replay, reason);

	*decisions = aud_replay_records(replay);
	aud_replay_free(replay);
	return err;
}

const char *fs_explain_rule(const char *rule)
{
	enum aud_rule known = aud_rule_by_name(rule);

	return known < AUD_RULE_COUNT ? aud_rule_text(known) : NULL;
}

const char *fs_explain_error(const char *error)
{
	int err = fs_err_by_name(error);

	if (err == FS_E_NOT_FOUND || err == FS_OK)
		return NULL;
	return fs_answer_of(err)->text;
}

void fs_free_text(char *text)
{
	g_free(text);
}
