/* HTTP requests to the platform and to daemons, with libcurl. */
#include "cli.h"

#include <curl/curl.h>
#include <string.h>

/* The largest reply is a page of the log, which has about 1 MiB at most. */
#define REPLY_MAX_BYTES ((size_t)16 * 1024 * 1024)

static size_t
on_body(char *ptr, size_t size, size_t count, void *arg)
{
    struct cli_reply *r = arg;
    size_t len = size * count;
    if (r->body.len + len > REPLY_MAX_BYTES) {
        return 0;
    }
    cw_buf_add(&r->body, ptr, len);
    return r->body.failed ? 0 : len;
}

static enum cw_status
perform_request(struct cli *c, CURL *h, const char *address,
                struct cli_reply *reply)
{
    CURLcode rc = curl_easy_perform(h);
    if (rc == CURLE_OK) {
        curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &reply->status);
        return CW_OK;
    }
    curl_off_t connected = 0;
    curl_easy_getinfo(h, CURLINFO_CONNECT_TIME_T, &connected);
    bool sent = rc != CURLE_COULDNT_CONNECT && connected > 0;
    return cw_fail(c->msg, sent ? CW_ERR_UNKNOWN : CW_ERR_UNAVAILABLE,
                   "%s: %s", address, curl_easy_strerror(rc));
}

enum cw_status
cli_http(struct cli *c, const char *address, const char *path,
         const struct cw_buf *body, cw_ms timeout_ms, struct cli_reply *reply)
{
    memset(reply, 0, sizeof(*reply));
    cw_buf_init(&reply->body);
    char url[512];
    int n = snprintf(url, sizeof(url), "http://%s%s", address, path);
    CURL *h = curl_easy_init();
    if (h == NULL || n < 0 || (size_t)n >= sizeof(url)) {
        curl_easy_cleanup(h);
        return cw_fail(c->msg, CW_ERR_NOMEM, "cannot prepare a request");
    }
    struct curl_slist *headers = NULL;
    curl_easy_setopt(h, CURLOPT_URL, url);
    curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
    /* The addresses are IP addresses of the local network: ignore proxy
     * settings of the environment. */
    curl_easy_setopt(h, CURLOPT_PROXY, "");
    curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(h, CURLOPT_WRITEDATA, reply);
    if (body != NULL) {
        headers = curl_slist_append(NULL, "Content-Type: application/json");
        /* Without this, libcurl waits for "100 Continue" on large bodies. */
        struct curl_slist *more = curl_slist_append(headers, "Expect:");
        headers = more == NULL ? headers : more;
        curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(h, CURLOPT_POSTFIELDS, body->ptr);
        curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)body->len);
    }
    enum cw_status s = perform_request(c, h, address, reply);
    curl_slist_free_all(headers);
    curl_easy_cleanup(h);
    return s;
}

void
cli_reply_finish(struct cli_reply *reply)
{
    cw_buf_finish(&reply->body);
}
