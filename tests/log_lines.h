/* Keeps the lines that the code under test logs, and checks them. */
#ifndef LOG_LINES_H
#define LOG_LINES_H

void log_lines_begin(void);
void log_lines_end(void);
/* The lines since log_lines_begin. */
const char *log_lines_text(void);
/* The last line of the event so far has the level and each of the fields,
 * which are separated by blanks. */
void log_lines_expect(const char *name, const char *level, const char *event,
                      const char *fields);

#endif
