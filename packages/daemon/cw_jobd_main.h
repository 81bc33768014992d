/* The program of the job service. */
#ifndef CW_JOBD_MAIN_H
#define CW_JOBD_MAIN_H

#include <stdbool.h>

/* Runs until a signal ends it; with check only reads the settings. Returns the
 * exit code. */
int cw_jobd_main(const char *settings_path, bool check);

#endif
