#include <string.h>

#include "cfg_read.h"

/* A service may only go once the text in force says that it is leaving and
 * nothing in that text depends on it: nodes take a new text at different
 * moments, and for a few seconds both are in force. */
static void check_removed(struct cfg_reader *r, const struct cfg *before,
			  handle gone)
{
	const struct cfg_service *service = &before->services[gone];

	cfg_reader_at(r, "services(%s)", service->name);
	if (!service->leaving)
		cfg_problem(r, NULL,
			    "service %s is removed without leaving first; set "
			    "leaving: true, put that text, and remove it once "
			    "its requests have ended",
			    service->name);
	for (handle h = 0; h < before->service_count; h++) {
		const struct cfg_service *other = &before->services[h];

		for (uint32_t i = 0; i < other->depends_count; i++) {
			if (other->depends_on[i] != gone)
				continue;
			cfg_problem(r, NULL,
				    "service %s is removed while %s depends on "
				    "it in the text in force; put a text "
				    "without that dependency first",
				    service->name, other->name);
		}
	}
}

int cfg_check_change(const struct cfg *before, const struct cfg *after,
		     GPtrArray *problems)
{
	struct cfg_reader r = {.problems = problems};
	guint known;

	if (!before)
		return 0;
	known = problems->len;
	if (strcmp(before->deployment, after->deployment) != 0) {
		cfg_problem(&r, "deployment",
			    "the text is for %s, the one in force for %s; use "
			    "the platform of that deployment",
			    after->deployment, before->deployment);
		return FS_E_CONFIG;
	}
	if (after->version > before->version + 1)
		return 0;
	for (handle h = 0; h < before->service_count; h++) {
		const char *name = before->services[h].name;

		if (cfg_find_service(after, name) == FS_NONE)
			check_removed(&r, before, h);
	}
	return problems->len > known ? FS_E_CONFIG : 0;
}
