/* String views, inline names and growing buffers. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct cw_str
cw_str_from(const char *z)
{
    return (struct cw_str){z, z == NULL ? 0 : strlen(z)};
}

bool
cw_str_eq(struct cw_str a, struct cw_str b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool
cw_str_eq_nocase(struct cw_str a, struct cw_str b)
{
    return a.len == b.len &&
           (a.len == 0 || strncasecmp(a.ptr, b.ptr, a.len) == 0);
}

bool
cw_str_starts(struct cw_str s, struct cw_str prefix)
{
    return s.len >= prefix.len &&
           cw_str_eq((struct cw_str){s.ptr, prefix.len}, prefix);
}

int
cw_str_cmp(struct cw_str a, struct cw_str b)
{
    size_t n = a.len < b.len ? a.len : b.len;
    int c = n == 0 ? 0 : memcmp(a.ptr, b.ptr, n);
    if (c != 0) {
        return c;
    }
    return (a.len > b.len) - (a.len < b.len);
}

bool
cw_str_to_u64(struct cw_str s, uint64_t *out)
{
    uint64_t v = 0;
    if (s.len == 0) {
        return false;
    }
    for (size_t i = 0; i < s.len; i++) {
        unsigned d = (unsigned)(unsigned char)s.ptr[i] - '0';
        if (d > 9 || v > (UINT64_MAX - d) / 10) {
            return false;
        }
        v = v * 10 + d;
    }
    *out = v;
    return true;
}

enum cw_status
cw_name_set(struct cw_name *n, struct cw_str s)
{
    if (s.len > CW_NAME_MAX) {
        return CW_ERR_LIMIT;
    }
    memset(n, 0, sizeof(*n));
    if (s.len > 0) {
        memcpy(n->text, s.ptr, s.len);
    }
    n->len = (uint8_t)s.len;
    return CW_OK;
}

struct cw_str
cw_name_str(const struct cw_name *n)
{
    return (struct cw_str){n->text, n->len};
}

bool
cw_name_eq(const struct cw_name *a, const struct cw_name *b)
{
    return cw_str_eq(cw_name_str(a), cw_name_str(b));
}

static bool
is_alnum(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool
cw_name_valid(struct cw_str s)
{
    if (s.len == 0 || s.len > CW_NAME_MAX || !is_alnum(s.ptr[0])) {
        return false;
    }
    for (size_t i = 1; i < s.len; i++) {
        char c = s.ptr[i];
        if (!is_alnum(c) && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return true;
}

void
cw_buf_init(struct cw_buf *b)
{
    memset(b, 0, sizeof(*b));
}

void
cw_buf_finish(struct cw_buf *b)
{
    free(b->ptr);
    memset(b, 0, sizeof(*b));
}

void
cw_buf_clear(struct cw_buf *b)
{
    b->len = 0;
    b->failed = false;
}

static bool
buf_reserve(struct cw_buf *b, size_t more)
{
    if (b->failed) {
        return false;
    }
    /* One spare byte, so that the text can always be NUL-terminated. */
    size_t needed = b->len + more + 1;
    if (needed <= b->cap) {
        return true;
    }
    size_t cap = b->cap < 128 ? 128 : b->cap;
    while (cap < needed) {
        cap *= 2;
    }
    char *p = realloc(b->ptr, cap);
    if (p == NULL) {
        b->failed = true;
        return false;
    }
    b->ptr = p;
    b->cap = cap;
    return true;
}

void
cw_buf_add(struct cw_buf *b, const void *ptr, size_t len)
{
    if (!buf_reserve(b, len)) {
        return;
    }
    if (len > 0) {
        memcpy(b->ptr + b->len, ptr, len);
    }
    b->len += len;
    b->ptr[b->len] = '\0';
}

void
cw_buf_add_str(struct cw_buf *b, struct cw_str s)
{
    cw_buf_add(b, s.ptr, s.len);
}

void
cw_buf_addf(struct cw_buf *b, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    va_list ap_copy;
    va_copy(ap_copy, ap);
    int n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n >= 0 && buf_reserve(b, (size_t)n)) {
        vsnprintf(b->ptr + b->len, (size_t)n + 1, fmt, ap_copy);
        b->len += (size_t)n;
    }
    va_end(ap_copy);
}

void
cw_buf_add_json(struct cw_buf *b, struct cw_str s)
{
    cw_buf_add(b, "\"", 1);
    for (size_t i = 0; i < s.len; i++) {
        unsigned char c = (unsigned char)s.ptr[i];
        if (c == '"' || c == '\\') {
            char esc[2] = {'\\', (char)c};
            cw_buf_add(b, esc, 2);
        }
        else if (c < 0x20) {
            cw_buf_addf(b, "\\u%04x", c);
        }
        else {
            cw_buf_add(b, &s.ptr[i], 1);
        }
    }
    cw_buf_add(b, "\"", 1);
}

struct cw_str
cw_buf_str(const struct cw_buf *b)
{
    return (struct cw_str){b->ptr, b->len};
}
