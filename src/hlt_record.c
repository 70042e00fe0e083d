#include "hlt_rules.h"
#include "hlt_state.h"

void hlt_record_begin(const struct hlt_shard *shard, uint32_t i,
		      enum aud_rule rule, const char *choice, int64_t now_us,
		      struct aud_record *out)
{
	aud_begin(out, aud_rule_kind(rule), rule, shard->config_version,
		  now_us);
	g_strlcpy(out->service, shard->service, sizeof(out->service));
	g_strlcpy(out->server, shard->servers[i].name, sizeof(out->server));
	g_strlcpy(out->choice, choice, sizeof(out->choice));
}

void hlt_record_evidence(const struct hlt_server *server,
			 const struct hlt_evidence *evidence, int64_t now_us,
			 struct aud_record *rec)
{
	switch (rec->rule) {
	case AUD_R_STEER_STALL:
		aud_add(rec, "overdue", evidence->overdue);
		aud_add(rec, "in_flight", evidence->in_flight);
		aud_add(rec, "quiet_us", evidence->quiet_us);
		break;
	case AUD_R_STEER_ERRORS:
		aud_add(rec, "bad", evidence->own.failures);
		aud_add(rec, "good", evidence->own.successes);
		aud_add(rec, "peers_bad", evidence->peers.failures);
		aud_add(rec, "peers_good", evidence->peers.successes);
		break;
	case AUD_R_STEER_SLOW:
		aud_add(rec, "slow", evidence->own.slow);
		aud_add(rec, "good", evidence->own.successes);
		aud_add(rec, "peers_slow", evidence->peers.slow);
		aud_add(rec, "peers_good", evidence->peers.successes);
		break;
	default:
		aud_add(rec, "failures", server->connect_failures);
		break;
	}
	aud_add(rec, "since_us", now_us - server->unhealthy_since_us);
}
