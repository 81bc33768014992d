#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cuminwalk.h"
#include "log_lines.h"

static struct {
    FILE *out;
    char *text;
    size_t len;
} lines;

void
log_lines_begin(void)
{
    lines.out = open_memstream(&lines.text, &lines.len);
    assert_non_null(lines.out);
    cw_logger_setup(CW_DEBUG, lines.out, NULL);
}

void
log_lines_end(void)
{
    cw_logger_setup(CW_ERROR + 1, stderr, NULL);
    (void)fclose(lines.out);
    free(lines.text);
}

const char *
log_lines_text(void)
{
    (void)fflush(lines.out);
    return lines.text;
}

void
log_lines_expect(const char *name, const char *level, const char *event,
                 const char *fields)
{
    char *line = NULL;
    char want[512];
    char find[64];

    (void)fflush(lines.out);
    (void)snprintf(find, sizeof(find), "level=%s event=%s ", level, event);
    for (char *p = lines.text; (p = strstr(p, find)) != NULL; p++) {
        line = p;
    }
    if (line == NULL) {
        fail_msg("%s: no line '%s' in:\n%s", name, find, lines.text);
        return;
    }
    line = strndup(line, strcspn(line, "\n"));
    (void)snprintf(want, sizeof(want), "%s", fields);
    for (char *p = strtok(want, " "); p != NULL; p = strtok(NULL, " ")) {
        char field[128];
        size_t n = (size_t)snprintf(field, sizeof(field), " %s", p);
        const char *at = strstr(line, field);

        if (at == NULL || (at[n] != ' ' && at[n] != '\0')) {
            fail_msg("%s: no '%s' in %s", name, p, line);
        }
    }
    free(line);
}
