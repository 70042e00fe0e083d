#include "cli_http.h"

#include <curl/curl.h>
#include <string.h>

#include "cli.h"
#include "fs_json.h"
#include "set.h"

#define CONNECT_TIMEOUT_MS 2000L
#define EXCHANGE_TIMEOUT_MS 5000L
#define PAUSE_MAX_US (1 * FS_US_PER_S)

static size_t keep_answer(char *data, size_t size, size_t count, void *arg)
{
	GString *out = arg;

	if (out->len + size * count > CLI_ANSWER_MAX)
		return 0;
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

/* Whether an exchange that ended so can have reached the other end. */
static int error_of(CURLcode code)
{
	if (code == CURLE_OK)
		return 0;
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT ||
	    code == CURLE_COULDNT_RESOLVE_HOST)
		return FS_E_UNAVAILABLE;
	return FS_E_AMBIGUOUS;
}

int cli_http(const char *method, const char *address, const char *path,
	     const char *body, size_t size, long timeout_ms, long *status,
	     GString *out)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	CURL *easy = curl_easy_init();
	CURLcode code;

	headers = curl_slist_append(headers, "Content-Type: application/json");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, keep_answer);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
	if (body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)size);
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	return error_of(code);
}

JsonNode *cli_get_json(const char *address, const char *path)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	long status = 0;

	if (cli_http("GET", address, path, NULL, 0, EXCHANGE_TIMEOUT_MS,
		     &status, answer) ||
	    status != 200)
		return NULL;
	return fs_json_parse_report(answer->str, (gssize)answer->len);
}

static int parse_value(const char *json, uint64_t *revision,
		       struct cfg_record *record)
{
	g_autoptr(JsonObject) object = fs_json_parse_object(json, -1);
	const char *value;

	if (!object)
		return FS_E_PROTOCOL;
	value = cli_json_text(object, "value");
	*revision = (uint64_t)cli_json_int(object, "revision");
	return value ? cfg_record_parse(value, record) : FS_E_PROTOCOL;
}

static int platform_get(void *arg, uint64_t *revision,
			struct cfg_record *record)
{
	const struct cli_platform *platform = arg;
	g_autoptr(GString) answer = g_string_new(NULL);
	long status = 0;

	*revision = 0;
	if (cli_http("GET", platform->address, "/kv/config", NULL, 0,
		     EXCHANGE_TIMEOUT_MS, &status, answer) ||
	    status >= 500)
		return FS_E_UNAVAILABLE;
	if (status == 404)
		return FS_E_NOT_FOUND;
	if (status != 200)
		return FS_E_PROTOCOL;
	return parse_value(answer->str, revision, record);
}

static int platform_put(void *arg, uint64_t revision, const char *json,
			size_t size)
{
	const struct cli_platform *platform = arg;
	g_autoptr(GString) answer = g_string_new(NULL);
	g_autofree char *path =
		g_strdup_printf("/kv/config?prev=%" G_GUINT64_FORMAT, revision);
	long status = 0;
	int err = cli_http("PUT", platform->address, path, json, size,
			   EXCHANGE_TIMEOUT_MS, &status, answer);

	if (err)
		return err;
	if (status == 200)
		return 0;
	if (status == 409)
		return FS_E_CONFLICT;
	return status >= 500 ? FS_E_AMBIGUOUS : FS_E_PROTOCOL;
}

static bool platform_wait(void *arg)
{
	struct cli_platform *platform = arg;

	if (fs_now_us() + platform->pause_us > platform->end_us)
		return false;
	g_usleep((gulong)platform->pause_us);
	platform->pause_us = MIN(2 * platform->pause_us, PAUSE_MAX_US);
	return true;
}

const struct cli_put_ops cli_platform_ops = {
	.get = platform_get,
	.put = platform_put,
	.wait = platform_wait,
};

bool cli_check_address(const char *text)
{
	struct sockaddr_in address;

	if (!set_parse_address(text, &address) && address.sin_port)
		return true;
	cli_error("\"%s\" is not an address: an IP number and a port, such as "
		  "10.0.0.1:7001",
		  text);
	return false;
}
