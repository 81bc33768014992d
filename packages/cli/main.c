/* cuminwalk: documents, queries and reports for operators and analysts. */
#include "cli.h"

int
main(int argc, const char **argv)
{
    return cli_run(argc, argv);
}
