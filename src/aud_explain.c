#include "aud_explain.h"

void aud_explain(const struct aud_record *rec, GString *out)
{
	g_string_append_printf(out, "%s: %s", aud_rule_name(rec->rule),
			       aud_rule_text(rec->rule));
}
