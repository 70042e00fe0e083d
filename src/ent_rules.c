#include "ent_rules.h"

bool ent_rules_request(int64_t err)
{
	return err == FS_E_BAD_REQUEST || err == FS_E_NO_ROUTE ||
	       err == FS_E_METHOD || err == FS_E_BODY_TOO_LARGE ||
	       err == FS_E_HEADERS_TOO_LARGE || err == FS_E_ENTRY_FULL;
}

bool ent_rules_exceeds_limit(int64_t size, int64_t limit)
{
	return size > limit;
}

bool ent_rules_not_ready(int64_t ready)
{
	return ready == 0;
}

bool ent_rules_no_dispatcher(int64_t reachable)
{
	return reachable == 0;
}

bool ent_rules_service_leaving(int64_t leaving)
{
	return leaving != 0;
}

bool ent_rules_deadline(int64_t remaining_us)
{
	return remaining_us <= 0;
}

bool ent_rules_outcome_unknown(int64_t written, int64_t cancel_confirmed)
{
	return written != 0 && cancel_confirmed == 0;
}

bool ent_rules_cancel_confirmed(int64_t cancel_confirmed)
{
	return cancel_confirmed != 0;
}

bool ent_rules_same_shard(int err)
{
	return err == FS_E_NOT_OWNER || err == FS_E_NO_DISPATCHER;
}

bool ent_rules_may_move(int err, enum fs_outcome outcome)
{
	if (outcome != FS_NOT_RUN)
		return false;
	return ent_rules_same_shard(err) || err == FS_E_QUEUE_FULL ||
	       err == FS_E_WAIT_TOO_LONG || err == FS_E_NO_TARGET ||
	       err == FS_E_CONNECT || err == FS_E_SHED;
}
