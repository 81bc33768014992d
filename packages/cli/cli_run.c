/* Command line: options, subcommands, exit codes. */
#include "cli.h"

#include <curl/curl.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>

/* Requirement R8: an accepted document is in force everywhere within 8 s. */
#define DEFAULT_APPLY_TIMEOUT_MS 8000
/* An append without an answer for this long counts as lost, as in the
 * daemons. */
#define APPEND_TIMEOUT_MS 5000

static const char usage_text[] =
    "Usage: cuminwalk [OPTION...] COMMAND [ARGUMENT...]\n"
    "\n"
    "Commands:\n"
    "  check FILE...     list all faults of documents or configurations\n"
    "                    (--against running: and differences to the one in "
    "force)\n"
    "  diff FILE         compare with the version in force\n"
    "  apply FILE        put a document in force (--base, --by, --timeout)\n"
    "  get SERVICE       print the document in force\n"
    "  history SERVICE   list the edits of a document\n"
    "  status            members, services, open operations and waves\n"
    "  moves             VM moves with their causes (--from, --to)\n"
    "  jobs [SERVICE]    tasks of placed jobs: state, worker, attempt, "
    "reason\n"
    "  report            availability, buffer cost, roll-out, moves\n"
    "                    (--from, --to, --format text|json|csv)\n"
    "\n"
    "Options:\n"
    "  --platform IP:PORT  platform (env CUMINWALK_PLATFORM)\n"
    "  --against running   compare with the configuration in force\n"
    "  --daemon IP:PORT    a daemon's admin address (env CUMINWALK_DAEMON)\n"
    "  --json              print JSON\n"
    "  --base N            version that the edit is based on, 0 for none\n"
    "  --by NAME           who edits (default: env USER)\n"
    "  --timeout MS        time for an edit to be in force everywhere (8000)\n"
    "  --from, --to TIME   YYYY-MM-DD or YYYY-MM-DDTHH:MM, UTC\n"
    "  --format FORMAT     text, json or csv\n"
    "  --help, --version\n"
    "\n"
    "Exit codes: 0 done, 1 fault in the input, 2 usage, or check cannot "
    "read,\n"
    "3 platform or daemon unavailable, 4 conflict, 5 not in force everywhere "
    "in time.\n";

static const struct {
    const char *name;
    int (*run)(struct cli *c);
    size_t min_args;
    size_t max_args;
} commands[] = {
    {"check", cli_check, 1, 1000},  {"diff", cli_diff, 1, 1},
    {"apply", cli_apply, 1, 1},     {"get", cli_get, 1, 1},
    {"history", cli_history, 1, 1}, {"status", cli_status, 0, 0},
    {"moves", cli_moves, 0, 0},     {"report", cli_report, 0, 0},
    {"jobs", cli_jobs, 0, 1},
};

/* Option values as popt stores them; cli_run frees the strings. */
struct raw_options {
    char *platform;
    char *daemon;
    char *base;
    char *by;
    char *timeout;
    char *from;
    char *to;
    char *format;
    char *against;
    int json;
    int help;
    int version;
};

static int
usage_error(struct cli *c, const char *what, const char *value)
{
    fprintf(c->err, "cuminwalk: %s%s%s; see cuminwalk --help\n", what,
            value == NULL ? "" : ": ", value == NULL ? "" : value);
    return CLI_USAGE;
}

static bool
parse_time(const char *text, bool *has, cw_ms *out)
{
    *has = text != NULL;
    return text == NULL || cw_time_parse(text, out) == CW_OK;
}

static int
parse_options(struct cli *c, const struct raw_options *raw)
{
    uint64_t timeout = DEFAULT_APPLY_TIMEOUT_MS;
    c->platform =
        raw->platform != NULL ? raw->platform : getenv("CUMINWALK_PLATFORM");
    c->daemon = raw->daemon != NULL ? raw->daemon : getenv("CUMINWALK_DAEMON");
    c->by = raw->by != NULL ? raw->by : getenv("USER");
    if (raw->by == NULL && !cw_name_valid(cw_str_from(c->by))) {
        c->by = "operator";
    }
    c->has_base = raw->base != NULL;
    if (c->has_base && !cw_str_to_u64(cw_str_from(raw->base), &c->base)) {
        return usage_error(c, "--base must be a version number", raw->base);
    }
    if (!cw_name_valid(cw_str_from(c->by))) {
        return usage_error(c, "--by must be a name without spaces", c->by);
    }
    if (raw->timeout != NULL &&
        (!cw_str_to_u64(cw_str_from(raw->timeout), &timeout) ||
         timeout > (uint64_t)CW_HOUR)) {
        return usage_error(c, "--timeout must be 0 to 3600000 ms",
                           raw->timeout);
    }
    c->timeout_ms = (cw_ms)timeout;
    c->append_timeout_ms = APPEND_TIMEOUT_MS;
    if (!parse_time(raw->from, &c->has_from, &c->from)) {
        return usage_error(c, "--from must be YYYY-MM-DD[THH:MM]", raw->from);
    }
    if (!parse_time(raw->to, &c->has_to, &c->to)) {
        return usage_error(c, "--to must be YYYY-MM-DD[THH:MM]", raw->to);
    }
    c->against = raw->against != NULL;
    if (c->against && strcmp(raw->against, "running") != 0) {
        return usage_error(c, "--against must be running", raw->against);
    }
    c->format = raw->json != 0 ? CLI_JSON : CLI_TEXT;
    if (raw->format != NULL) {
        static const char *const names[] = {"text", "json", "csv"};
        for (int i = 0; i < 3; i++) {
            if (strcmp(raw->format, names[i]) == 0) {
                c->format = (enum cli_format)i;
                return CLI_OK;
            }
        }
        return usage_error(c, "--format must be text, json or csv",
                           raw->format);
    }
    return CLI_OK;
}

static int
dispatch(struct cli *c, const char *name)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(commands[i].name, name) != 0) {
            continue;
        }
        if (c->arg_count < commands[i].min_args) {
            return usage_error(c, "argument missing after", name);
        }
        if (c->arg_count > commands[i].max_args) {
            return usage_error(c, "too many arguments after", name);
        }
        if (c->against && commands[i].run != cli_check) {
            return usage_error(c, "--against is for check only", NULL);
        }
        if (c->format == CLI_CSV && commands[i].run != cli_report) {
            return usage_error(c, "--format csv is for report only", NULL);
        }
        return commands[i].run(c);
    }
    return usage_error(c, "unknown command", name);
}

static int
run_command(struct cli *c, poptContext pc, struct raw_options *raw)
{
    int rc = poptGetNextOpt(pc);
    if (rc < -1) {
        return usage_error(c, poptStrerror(rc),
                           poptBadOption(pc, POPT_BADOPTION_NOALIAS));
    }
    if (raw->help != 0) {
        fputs(usage_text, c->out);
        return CLI_OK;
    }
    if (raw->version != 0) {
        fprintf(c->out, "cuminwalk %s\n", CW_VERSION);
        return CLI_OK;
    }
    const char *name = poptGetArg(pc);
    if (name == NULL) {
        fputs(usage_text, c->err);
        return CLI_USAGE;
    }
    int code = parse_options(c, raw);
    if (code != CLI_OK) {
        return code;
    }
    c->args = poptGetArgs(pc);
    while (c->args != NULL && c->args[c->arg_count] != NULL) {
        c->arg_count++;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    code = dispatch(c, name);
    curl_global_cleanup();
    return code;
}

int
cli_run(int argc, const char **argv)
{
    struct cli c = {.out = stdout, .err = stderr, .clock = cw_clock_system()};
    struct raw_options raw = {.json = 0};
#define TEXT_OPTION(name, field)                                              \
    {                                                                         \
        (name), '\0', POPT_ARG_STRING, &raw.field, 0, NULL, NULL              \
    }
#define FLAG_OPTION(name, key, field)                                         \
    {                                                                         \
        (name), (key), POPT_ARG_NONE, &raw.field, 0, NULL, NULL               \
    }
    const struct poptOption options[] = {TEXT_OPTION("platform", platform),
                                         TEXT_OPTION("daemon", daemon),
                                         TEXT_OPTION("base", base),
                                         TEXT_OPTION("by", by),
                                         TEXT_OPTION("timeout", timeout),
                                         TEXT_OPTION("from", from),
                                         TEXT_OPTION("to", to),
                                         TEXT_OPTION("format", format),
                                         TEXT_OPTION("against", against),
                                         FLAG_OPTION("json", '\0', json),
                                         FLAG_OPTION("help", 'h', help),
                                         FLAG_OPTION("version", '\0', version),
                                         POPT_TABLEEND};
    poptContext pc = poptGetContext("cuminwalk", argc, argv, options, 0);
    int code = run_command(&c, pc, &raw);
    poptFreeContext(pc);
    free(raw.platform);
    free(raw.daemon);
    free(raw.base);
    free(raw.by);
    free(raw.timeout);
    free(raw.from);
    free(raw.to);
    free(raw.format);
    free(raw.against);
    /* With a full disk or a closed pipe the output is incomplete: the exit
     * code must not be 0 then. */
    if (fflush(stdout) != 0 && code == CLI_OK) {
        fprintf(stderr, "cuminwalk: cannot write the output\n");
        code = CLI_ERROR;
    }
    return code;
}
