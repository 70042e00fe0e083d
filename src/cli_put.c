#include "cli_put.h"

#include <string.h>

#include "cfg.h"
#include "cfg_read.h"

/* Everything of one put in progress. */
struct attempt {
	const struct cli_put_ops *ops;
	void *arg;
	uint64_t revision; /* the put is bound to */
	struct cfg_record next;
	GString *json;
	bool maybe; /* some try may have been, or may yet be, done */
};

void cli_put_clear(struct cli_put_result *result)
{
	if (result->problems)
		g_ptr_array_unref(result->problems);
	cfg_record_clear(&result->record);
}

/* Checks the text alone and against the one in force. */
static int check(const struct cli_put *put, struct cli_put_result *result,
		 bool exists)
{
	CFG_AUTO struct cfg *after = NULL;
	CFG_AUTO struct cfg *before = NULL;
	GPtrArray *ignored = NULL;
	int err = cfg_load(put->text, 0, &result->problems, &after);

	if (err || !exists)
		return err;
	cfg_load(result->record.text, result->record.put.version, &ignored,
		 &before);
	g_ptr_array_unref(ignored);
	return cfg_check_change(before, after, result->problems);
}

/* Reads back what the platform holds and tells what became of the put. */
static int read_back(struct attempt *a, struct cli_put_result *result)
{
	struct cfg_record record = {0};
	uint64_t revision;
	int err = a->ops->get(a->arg, &revision, &record);

	if (err == FS_E_NOT_FOUND)
		return FS_E_UNAVAILABLE;
	if (err)
		return err;
	cfg_record_clear(&result->record);
	result->record = record;
	switch (cfg_record_tells(&record, &a->next.put)) {
	case CFG_PUT_DONE:
		result->version = a->next.put.version;
		result->replaced = record.put.version > result->version;
		return 0;
	case CFG_PUT_NOT:
		result->version = record.put.version;
		return FS_E_CONFLICT;
	case CFG_PUT_WAITING:
		return FS_E_UNAVAILABLE;
	default:
		return FS_E_AMBIGUOUS;
	}
}

/* One try. @return FS_E_UNAVAILABLE: nothing is settled, try again */
static int try_once(struct attempt *a, struct cli_put_result *result)
{
	int err = a->ops->put(a->arg, a->revision, a->json->str, a->json->len);

	if (!err) {
		result->version = a->next.put.version;
		return 0;
	}
	if (err == FS_E_CONFLICT) {
		err = read_back(a, result);
		/* The conflict may be with ourselves: a try before, or one
		 * that the HTTP library sent twice. */
		if (err == FS_E_UNAVAILABLE)
			a->maybe = true;
		return err;
	}
	if (err == FS_E_AMBIGUOUS) {
		a->maybe = true;
		return FS_E_UNAVAILABLE;
	}
	return err == FS_E_PROTOCOL && a->maybe ? FS_E_AMBIGUOUS : err;
}

static int settle(struct attempt *a, struct cli_put_result *result)
{
	int err;

	do {
		err = try_once(a, result);
	} while (err == FS_E_UNAVAILABLE && a->ops->wait(a->arg));
	if (err == FS_E_UNAVAILABLE && a->maybe)
		return FS_E_AMBIGUOUS;
	return err;
}

int cli_put_run(const struct cli_put_ops *ops, void *arg,
		const struct cli_put *put, struct cli_put_result *result)
{
	struct attempt a = {.ops = ops, .arg = arg};
	bool exists;
	int err;

	memset(result, 0, sizeof(*result));
	err = ops->get(arg, &a.revision, &result->record);
	exists = !err;
	if (err && err != FS_E_NOT_FOUND)
		return err;
	result->version = exists ? result->record.put.version : 0;
	err = check(put, result, exists);
	if (err)
		return err;
	if (put->expect && put->expect != result->version)
		return FS_E_CONFLICT;
	cfg_record_next(&a.next, exists ? &result->record : NULL,
			put->change_id, put->by, put->text);
	a.json = g_string_new(NULL);
	cfg_record_json(&a.next, a.json);
	err = settle(&a, result);
	g_string_free(a.json, TRUE);
	cfg_record_clear(&a.next);
	return err;
}
