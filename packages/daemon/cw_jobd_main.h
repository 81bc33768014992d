/* Main program of the job service. */
#ifndef CW_JOBD_MAIN_H
#define CW_JOBD_MAIN_H

#include <stdbool.h>
#include <stddef.h>

/* Reads a settings file of the daemon or of the job service. Returns NULL when
 * it cannot be read; the caller frees the text. */
char *cw_settings_read(const char *path, size_t *len);
/* Runs the job service until a signal stops it; with check it only validates
 * the settings. Returns the exit code. */
int cw_jobd_main(const char *settings_path, bool check);

#endif
