/*
 * split.c -- where a day's worth was lost, from reports of the members' bench
 *
 * Usage: bench-split REPORT...
 *
 * Each report is a JSON file, written by the bench with --report.  For every
 * part of the worth and every price, prints what was lost by it in each report
 * and the mean, rows with less than ROW_MIN everywhere summed up as "others".
 * The last row is the worth: 1 less all rows above it.
 */
#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Rows below this in every report are summed up. */
#define ROW_MIN 0.0015
#define ROWS_MAX 64
#define REPORTS_MAX 16
/* Largest difference between a report's worth and 1 less its losses. */
#define SUM_TOLERANCE 0.002

/** struct row_t - what was lost by one part or price, by report */
typedef struct
{
  char name[64];
  double lost[REPORTS_MAX];
} row_t;

/** struct table_t - all rows, and the reports' own figures of the worth */
typedef struct
{
  row_t rows[ROWS_MAX];
  int nrows;
  double worth[REPORTS_MAX];
  int nreports;
} table_t;

/* The row with this name, made if there is none; NULL when the table is full.
 */
static row_t *
find_row (table_t *t, const char *name)
{
  for (int i = 0; i < t->nrows; i++)
    if (!strcmp (t->rows[i].name, name))
      return &t->rows[i];
  if (t->nrows == ROWS_MAX)
    return NULL;
  snprintf (t->rows[t->nrows].name, sizeof t->rows->name, "%s", name);
  return &t->rows[t->nrows++];
}

static int
add_loss (table_t *t, const char *name, double lost)
{
  row_t *r = find_row (t, name);

  if (!r)
    return -1;
  r->lost[t->nreports] += lost;
  return 0;
}

/* Adds one report as a column; -1 if it lacks what is needed. */
static int
add_report (table_t *t, const json_t *report)
{
  const json_t *worth = json_object_get (report, "G");
  const json_t *parts = json_object_get (report, "parts");
  const json_t *prices = json_object_get (report, "prices");
  const json_t *entry;
  size_t i;

  if (!json_is_number (worth) || !json_is_array (parts)
      || !json_is_array (prices))
    return -1;
  json_array_foreach (parts, i, entry)
  {
    const char *name = json_string_value (json_array_get (entry, 0));
    double weight = json_number_value (json_array_get (entry, 1));
    double served = json_number_value (json_array_get (entry, 2));

    if (!name || add_loss (t, name, weight * (1 - served)))
      return -1;
  }
  json_array_foreach (prices, i, entry)
  {
    const char *name = json_string_value (json_array_get (entry, 0));

    if (!name
        || add_loss (t, name, json_number_value (json_array_get (entry, 2))))
      return -1;
  }
  t->worth[t->nreports++] = json_number_value (worth);
  return 0;
}

static void
print_row (const char *name, const double *v, int n)
{
  double sum = 0;

  printf ("%-32.32s", name);
  for (int i = 0; i < n; i++)
    {
      printf (" %7.3f", v[i]);
      sum += v[i];
    }
  printf (" %7.3f\n", sum / n);
}

/* Prints the table; -1 if a report's worth is not 1 less its losses. */
static int
print_table (const table_t *t)
{
  double others[REPORTS_MAX] = { 0 };
  double rest[REPORTS_MAX];
  int rc = 0;

  for (int k = 0; k < t->nreports; k++)
    rest[k] = 1;
  for (int i = 0; i < t->nrows; i++)
    {
      const row_t *r = &t->rows[i];
      int is_large = 0;

      for (int k = 0; k < t->nreports; k++)
        {
          rest[k] -= r->lost[k];
          is_large |= r->lost[k] >= ROW_MIN;
        }
      if (is_large)
        print_row (r->name, r->lost, t->nreports);
      else
        for (int k = 0; k < t->nreports; k++)
          others[k] += r->lost[k];
    }
  print_row ("others", others, t->nreports);
  print_row ("worth", rest, t->nreports);
  for (int k = 0; k < t->nreports; k++)
    if (rest[k] - t->worth[k] > SUM_TOLERANCE
        || t->worth[k] - rest[k] > SUM_TOLERANCE)
      {
        fprintf (stderr, "report %d: its worth is %.4f, the rows leave %.4f\n",
                 k + 1, t->worth[k], rest[k]);
        rc = -1;
      }
  return rc;
}

int
main (int argc, char **argv)
{
  static const struct option longs[]
      = { { "help", no_argument, NULL, 'h' }, { NULL, 0, NULL, 0 } };
  static table_t table;
  int c = getopt_long (argc, argv, "h", longs, NULL);

  if (c >= 0 || optind == argc || argc - optind > REPORTS_MAX)
    {
      printf ("usage: %s REPORT...   (at most %d)\n", argv[0], REPORTS_MAX);
      return c == 'h' ? 0 : 2;
    }
  for (int i = optind; i < argc; i++)
    {
      json_error_t error;
      json_t *report = json_load_file (argv[i], 0, &error);
      int rc;

      if (!report)
        {
          fprintf (stderr, "%s: line %d: %s\n", argv[i], error.line,
                   error.text);
          return 1;
        }
      rc = add_report (&table, report);
      json_decref (report);
      if (rc)
        {
          fprintf (stderr, "%s: not a report of one day\n", argv[i]);
          return 1;
        }
    }
  return print_table (&table) ? 1 : 0;
}
