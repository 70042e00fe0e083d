#include "aud_replay.h"

struct aud_replay {
	const struct cfg *cfg;
	uint64_t records;
};

int aud_replay_check(const struct cfg *cfg, const struct aud_record *rec,
		     char **reason)
{
	(void)cfg;
	*reason = NULL;
	if (aud_rule_kind(rec->rule) == rec->kind)
		return 0;
	*reason = g_strdup("the rule is not of the record's kind");
	return FS_E_AUDIT;
}

struct aud_replay *aud_replay_new(const struct cfg *cfg)
{
	struct aud_replay *replay = g_new0(struct aud_replay, 1);

	replay->cfg = cfg;
	return replay;
}

void aud_replay_free(struct aud_replay *replay)
{
	g_free(replay);
}

int aud_replay_line(struct aud_replay *replay, const char *line, char **reason)
{
	struct aud_record rec;
	int err = aud_record_parse(line, &rec);

	*reason = NULL;
	if (err == FS_E_NOT_FOUND)
		return 0;
	if (err)
		return err;
	replay->records++;
	return aud_replay_check(replay->cfg, &rec, reason);
}

int aud_replay_end(struct aud_replay *replay, char **reason)
{
	(void)replay;
	*reason = NULL;
	return 0;
}

uint64_t aud_replay_records(const struct aud_replay *replay)
{
	return replay->records;
}

uint64_t aud_replay_other_versions(const struct aud_replay *replay)
{
	(void)replay;
	return 0;
}
