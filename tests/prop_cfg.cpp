// Properties of the configuration loader over mutated texts.
#include <rapidcheck.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "cfg.h"
#include "cfg_diff.h"
}

namespace
{

std::string read_file(const char *path)
{
	std::ifstream in(path);
	std::stringstream all;

	all << in.rdbuf();
	return all.str();
}

struct edit {
	size_t at;
	// 0 replace, 1 insert, 2 erase, 3 repeat a stretch, 4 erase a setting
	int kind;
	std::string bytes;
};

// Erases the next "name: value" with the comma behind it.
void erase_setting(std::string &text, size_t at)
{
	size_t from =
		text.find_first_not_of(", \n", text.find_first_of(",\n", at));
	size_t to = text.find_first_of(",}\n", from);

	if (from == std::string::npos || to == std::string::npos)
		return;
	text.erase(from, to - from + (text[to] == ','));
}

std::string apply(std::string text, const edit &e)
{
	size_t at = text.empty() ? 0 : e.at % text.size();

	if (e.kind == 0)
		text.replace(at, e.bytes.size(), e.bytes);
	else if (e.kind == 1)
		text.insert(at, e.bytes);
	else if (e.kind == 2)
		text.erase(at, e.bytes.size() * 3);
	else if (e.kind == 3)
		text.insert(at, text.substr(at, e.bytes.size() * 20));
	else
		erase_setting(text, at);
	return text;
}

rc::Gen<std::string> any_bytes()
{
	// Bytes that mean something to YAML, and any others.
	return rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::oneOf(
		rc::gen::elementOf(
			std::string("[]{}:,-#&*!|>'\"%@`\n\t ?\\0a9~.")),
		rc::gen::map(rc::gen::inRange(1, 256),
			     [](int c) { return static_cast<char>(c); }))));
}

rc::Gen<edit> any_edit()
{
	return rc::gen::construct<edit>(rc::gen::inRange<size_t>(0, 100000),
					rc::gen::inRange(0, 5), any_bytes());
}

// Whether a loaded configuration keeps its own rules.
bool consistent(const struct cfg *cfg)
{
	for (uint32_t i = 0; i < cfg->server_count; i++) {
		if (cfg->servers[i].service >= cfg->service_count ||
		    cfg->servers[i].domain >= cfg->domain_count ||
		    cfg_find_server(cfg, cfg->servers[i].name) != i)
			return false;
	}
	for (uint32_t i = 0; i < cfg->service_count; i++) {
		const struct cfg_service *s = &cfg->services[i];

		if (!s->server_count || !s->slots || s->floor > 1000 ||
		    s->first_server + s->server_count > cfg->server_count)
			return false;
	}
	for (uint32_t i = 0; i < cfg->route_count; i++) {
		const struct cfg_route *r = &cfg->routes[i];

		if (r->service >= cfg->service_count || !r->deadline_us ||
		    (r->tries > 1 && !r->repeatable) || r->path[0] != '/')
			return false;
	}
	return true;
}

void check_text(const std::string &text)
{
	GPtrArray *problems = nullptr;
	struct cfg *cfg = nullptr;
	int err = cfg_load(text.c_str(), 3, &problems, &cfg);

	RC_ASSERT((err == 0) == (cfg != nullptr));
	RC_ASSERT((err == 0) == (problems->len == 0));
	if (cfg) {
		RC_ASSERT(consistent(cfg));
		GPtrArray *same = cfg_diff(cfg, cfg);
		RC_ASSERT(same->len == 0u);
		g_ptr_array_unref(same);
	}
	cfg_unref(cfg);
	g_ptr_array_unref(problems);
}

} // namespace

int main()
{
	const std::string cascade = read_file("examples/cascade.yaml");
	const std::string nounou = read_file("examples/nounou.yaml");
	bool ok = !cascade.empty() && !nounou.empty();

	ok &= rc::check("mutated texts load or give a problem", [&] {
		std::string text = *rc::gen::element(cascade, nounou);

		for (const edit &e : *rc::gen::nonEmpty(
			     rc::gen::container<std::vector<edit>>(any_edit())))
			text = apply(text, e);
		check_text(text);
	});
	ok &= rc::check("one changed byte loads or gives a problem", [&] {
		std::string text = *rc::gen::element(cascade, nounou);
		size_t at = *rc::gen::inRange<size_t>(0, text.size());

		text[at] = static_cast<char>(*rc::gen::inRange(1, 256));
		check_text(text);
	});
	ok &= rc::check("a text without some settings", [&] {
		std::string text = *rc::gen::element(cascade, nounou);

		for (int i = *rc::gen::inRange(1, 4); i > 0; i--)
			erase_setting(text, *rc::gen::inRange<size_t>(
						    0, text.size()));
		check_text(text);
	});
	ok &= rc::check("any bytes give a problem", [] {
		check_text(*rc::gen::container<std::string>(
			rc::gen::map(rc::gen::inRange(1, 256), [](int c) {
				return static_cast<char>(c);
			})));
	});
	return ok ? 0 : 1;
}
