#include "kit.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../tests/soak/checker.h"

#define PROGRAM "target/snipelb-platform"
#define TIME_LIMIT_S 115U
#define READY_WAIT_MS 20000
#define WORKERS_MAX 32

/* A run that a worker has begun. */
struct run
{
  char *worker;
  char *task;
  int64_t began;
  int64_t ended; /* -1: at work */
};

struct relay_connection
{
  struct kit_relay *relay;
  int fds[2];     /* from the sender, to the receiver */
  char head[512]; /* the first bytes, which name the sender */
  size_t head_len;
  int reset;  /* atomic */
  int silent; /* atomic: stays open, but carries nothing any more */
};

struct kit_relay
{
  int listen_fd;
  uint16_t port;
  uint16_t target_port;
  GMutex lock;
  GPtrArray *connections;
};

static struct
{
  FILE *record;
  gint64 began_us;
  bool trouble;
  int broken; /* atomic */
  struct fake_store *store;
  struct fake_endpoint *workers[WORKERS_MAX];
  int worker_count; /* atomic */
  struct kit_host hosts[KIT_HOSTS_MAX];
  int host_count;
  GMutex lock;
  GPtrArray *runs;
} kit;

int64_t
kit_now (void)
{
  return (g_get_monotonic_time () - kit.began_us) / 1000;
}

bool
kit_trouble (void)
{
  return kit.trouble;
}

void
kit_sleep_until (int64_t ms)
{
  while (kit_now () < ms)
    g_usleep (500);
}

static void
write_line (const char *format, va_list args)
{
  char text[600];

  vsnprintf (text, sizeof text, format, args);
  fprintf (kit.record, "%7.3f %s\n", (double)kit_now () / 1000, text);
  fflush (kit.record);
}

void
kit_record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  write_line (format, args);
  va_end (args);
}

void
kit_broken (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  write_line (format, args);
  va_end (args);
  g_atomic_int_inc (&kit.broken);
}

static void
kill_all_hosts (void)
{
  for (int i = 0; i < kit.host_count; i++)
    if (kit.hosts[i].pid > 0)
      {
        kill (kit.hosts[i].pid, SIGKILL);
        waitpid (kit.hosts[i].pid, NULL, 0);
      }
}

void
kit_cannot_run (const char *reason)
{
  kit_record ("cannot run: %s", reason);
  printf ("cannot run: %s\n", reason);
  kill_all_hosts ();
  fflush (stdout);
  _Exit (2);
}

void
kit_end (void)
{
  int broken = g_atomic_int_get (&kit.broken);

  kill_all_hosts ();
  kit_record ("the rule was broken %d times", broken);
  printf ("%s: the rule was broken %d times\n",
          kit.trouble ? "with the disruption" : "without the disruption",
          broken);
  fflush (stdout);
  _Exit (broken > 0 ? 1 : 0);
}

/* The workers of tests/soak report their runs here. */

void
checker_init (void)
{
}

void
checker_run_started (const char *endpoint, const char *task, const char *spec,
                     int64_t used_millicores, int64_t capacity_millicores,
                     int64_t draining_for_ms)
{
  struct run *run = g_new0 (struct run, 1);

  (void)draining_for_ms;
  kit_record ("worker %s starts %s spec=\"%s\" used=%d of %d", endpoint, task,
              spec, (int)used_millicores, (int)capacity_millicores);
  run->worker = g_strdup (endpoint);
  run->task = g_strdup (task);
  run->began = kit_now ();
  run->ended = -1;
  g_mutex_lock (&kit.lock);
  g_ptr_array_add (kit.runs, run);
  g_mutex_unlock (&kit.lock);
}

void
checker_run_ended (const char *endpoint, const char *task, bool done)
{
  kit_record ("worker %s ends %s %s", endpoint, task,
              done ? "done" : "stopped, lapsed or failed");
  g_mutex_lock (&kit.lock);
  for (guint i = 0; i < kit.runs->len; i++)
    {
      struct run *run = g_ptr_array_index (kit.runs, i);

      if (run->ended < 0 && strcmp (run->worker, endpoint) == 0
          && strcmp (run->task, task) == 0)
        run->ended = kit_now ();
    }
  g_mutex_unlock (&kit.lock);
}

static bool
is_of_job (const struct run *run, const char *job)
{
  size_t len = strlen (job);

  return strncmp (run->task, job, len) == 0 && run->task[len] == '.';
}

const char *
kit_wait_running (const char *job, int timeout_ms)
{
  int64_t until = kit_now () + timeout_ms;
  const char *worker = NULL;

  while (worker == NULL && kit_now () < until)
    {
      g_mutex_lock (&kit.lock);
      for (guint i = 0; i < kit.runs->len && worker == NULL; i++)
        {
          const struct run *run = g_ptr_array_index (kit.runs, i);

          if (run->ended < 0 && is_of_job (run, job))
            worker = run->worker;
        }
      g_mutex_unlock (&kit.lock);
      g_usleep (500);
    }
  return worker;
}

int64_t
kit_last_start (const char *job)
{
  int64_t last = -1;

  g_mutex_lock (&kit.lock);
  for (guint i = 0; i < kit.runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (kit.runs, i);

      if (is_of_job (run, job))
        last = MAX (last, run->began);
    }
  g_mutex_unlock (&kit.lock);
  return last;
}

int
kit_runs_at_work (const char *job)
{
  int count = 0;

  g_mutex_lock (&kit.lock);
  for (guint i = 0; i < kit.runs->len; i++)
    {
      const struct run *run = g_ptr_array_index (kit.runs, i);

      count += run->ended < 0 && is_of_job (run, job);
    }
  g_mutex_unlock (&kit.lock);
  return count;
}

int64_t
kit_overlap (const char *job)
{
  int64_t longest = 0;
  int64_t now = kit_now ();

  g_mutex_lock (&kit.lock);
  for (guint i = 0; i < kit.runs->len; i++)
    for (guint k = i + 1; k < kit.runs->len; k++)
      {
        const struct run *a = g_ptr_array_index (kit.runs, i);
        const struct run *b = g_ptr_array_index (kit.runs, k);
        int64_t end = MIN (a->ended < 0 ? now : a->ended,
                           b->ended < 0 ? now : b->ended);

        if (is_of_job (a, job) && strcmp (a->task, b->task) == 0)
          longest = MAX (longest, end - MAX (a->began, b->began));
      }
  g_mutex_unlock (&kit.lock);
  return longest;
}

static uint16_t
listen_on_free_port (int *fd)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (*fd, (struct sockaddr *)&address, sizeof address) < 0
      || getsockname (*fd, (struct sockaddr *)&address, &len) < 0)
    kit_cannot_run ("no free port");
  return ntohs (address.sin_port);
}

/* Ports below the range from which the kernel takes those of connections. */
static uint16_t
free_port (void)
{
  static unsigned int next;

  if (next == 0)
    next = (unsigned int)getpid () * 61;
  for (int tries = 0; tries < 1000; tries++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      uint16_t port = (uint16_t)(10000 + next++ % 20000);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      bool is_free;

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons (port);
      is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  kit_cannot_run ("no free port");
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
close_with_reset (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* @return whether the connection stays open. */
static bool
forward (struct relay_connection *connection, int from)
{
  char data[16384];
  ssize_t received = recv (connection->fds[from], data, sizeof data, 0);
  ssize_t sent = 0;

  if (received <= 0 || g_atomic_int_get (&connection->reset))
    return false;
  if (g_atomic_int_get (&connection->silent))
    return true;
  if (from == 0 && connection->head_len < sizeof connection->head)
    {
      size_t len = MIN ((size_t)received,
                        sizeof connection->head - connection->head_len);

      g_mutex_lock (&connection->relay->lock);
      memcpy (connection->head + connection->head_len, data, len);
      connection->head_len += len;
      g_mutex_unlock (&connection->relay->lock);
    }
  while (sent < received)
    {
      ssize_t n = send (connection->fds[1 - from], data + sent,
                        (size_t)(received - sent), MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      sent += n;
    }
  return true;
}

static gpointer
run_relay_connection (gpointer data)
{
  struct relay_connection *connection = data;
  struct kit_relay *relay = connection->relay;
  bool open = connection->fds[1] >= 0;

  while (open && !g_atomic_int_get (&connection->reset))
    {
      struct pollfd fds[2]
          = { { .fd = connection->fds[0], .events = POLLIN },
              { .fd = connection->fds[1], .events = POLLIN } };

      if (g_atomic_int_get (&connection->silent))
        {
          g_usleep (1000);
          continue;
        }
      if (poll (fds, 2, 1) <= 0)
        continue;
      for (int i = 0; i < 2 && open; i++)
        if (fds[i].revents != 0)
          open = forward (connection, i);
    }
  g_mutex_lock (&relay->lock);
  g_ptr_array_remove_fast (relay->connections, connection);
  g_mutex_unlock (&relay->lock);
  for (int i = 0; i < 2; i++)
    if (connection->fds[i] >= 0)
      {
        if (g_atomic_int_get (&connection->reset))
          close_with_reset (connection->fds[i]);
        else
          close (connection->fds[i]);
      }
  g_free (connection);
  return NULL;
}

static gpointer
run_relay (gpointer data)
{
  struct kit_relay *relay = data;

  for (;;)
    {
      int fd = accept4 (relay->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      struct relay_connection *connection;

      if (fd < 0)
        continue;
      connection = g_new0 (struct relay_connection, 1);
      connection->relay = relay;
      connection->fds[0] = fd;
      connection->fds[1] = connect_to (relay->target_port);
      g_mutex_lock (&relay->lock);
      g_ptr_array_add (relay->connections, connection);
      g_mutex_unlock (&relay->lock);
      g_thread_unref (
          g_thread_new ("relay", run_relay_connection, connection));
    }
  return NULL;
}

static struct kit_relay *
relay_new (uint16_t target_port)
{
  struct kit_relay *relay = g_new0 (struct kit_relay, 1);

  g_mutex_init (&relay->lock);
  relay->connections = g_ptr_array_new ();
  relay->target_port = target_port;
  relay->port = listen_on_free_port (&relay->listen_fd);
  if (listen (relay->listen_fd, 128) < 0)
    kit_cannot_run ("the relay cannot listen");
  g_thread_unref (g_thread_new ("relay", run_relay, relay));
  return relay;
}

/* Whether the first heartbeat on the connection names the host. The caller
 * holds the relay's lock. */
static bool
is_from (const struct relay_connection *connection, const char *name)
{
  size_t len = strlen (name);

  for (size_t i = 0; i + len <= connection->head_len; i++)
    if (memcmp (connection->head + i, name, len) == 0)
      return true;
  return false;
}

void
kit_relay_reset (struct kit_relay *relay, const char *from)
{
  g_mutex_lock (&relay->lock);
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct relay_connection *connection
          = g_ptr_array_index (relay->connections, i);

      if (is_from (connection, from))
        g_atomic_int_set (&connection->reset, 1);
    }
  g_mutex_unlock (&relay->lock);
}

void
kit_relay_silence (struct kit_relay *relay, const char *from)
{
  g_mutex_lock (&relay->lock);
  for (guint i = 0; i < relay->connections->len; i++)
    {
      struct relay_connection *connection
          = g_ptr_array_index (relay->connections, i);

      if (from == NULL || is_from (connection, from))
        g_atomic_int_set (&connection->silent, 1);
    }
  g_mutex_unlock (&relay->lock);
}

static gpointer
run_workers (gpointer data)
{
  (void)data;
  for (;;)
    {
      for (int i = 0; i < g_atomic_int_get (&kit.worker_count); i++)
        fake_endpoint_tick (kit.workers[i]);
      g_usleep (2000);
    }
  return NULL;
}

static void
write_config (void)
{
  json_t *config = json_pack (
      "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:i, s:i}], s:[]}",
      "version", 1, "routes", "name", "desk", "host", KIT_ROUTE_HOST,
      "path_prefix", KIT_PREFIX, "service", "work", "priority", 0, "attempts",
      3, "slack_factor", 1.6, "slo_ms", 60, "timeout_ms", 1500, "services");

  fake_store_put (kit.store, "op", "config", config);
  json_decref (config);
}

void
kit_begin (const char *directory)
{
  char *path = g_build_filename (directory, "record.txt", NULL);
  const char *trouble = g_getenv ("TROUBLE");

  signal (SIGPIPE, SIG_IGN);
  alarm (TIME_LIMIT_S);
  kit.record = fopen (path, "w");
  if (kit.record == NULL)
    {
      fprintf (stderr, "cannot write %s\n", path);
      _Exit (2);
    }
  g_free (path);
  kit.began_us = g_get_monotonic_time ();
  kit.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  kit.runs = g_ptr_array_new ();
  g_mutex_init (&kit.lock);
  kit.store = fake_store_new ();
  write_config ();
  g_thread_unref (g_thread_new ("workers", run_workers, NULL));
}

struct fake_endpoint *
kit_worker (const char *id, const char *zone, int64_t cpu_millicores)
{
  char address[32];
  struct fake_endpoint *worker
      = fake_endpoint_new (kit.store, id, zone, cpu_millicores, 1.0);

  snprintf (address, sizeof address, "127.0.0.1:%u",
            fake_endpoint_port (worker));
  fake_endpoint_list (worker, address);
  kit.workers[kit.worker_count] = worker;
  g_atomic_int_inc (&kit.worker_count);
  return worker;
}

struct kit_host *
kit_host (const char *name, const char *zone, bool with_relay)
{
  struct kit_host *host = &kit.hosts[kit.host_count++];

  host->name = name;
  host->zone = zone;
  host->front_port = free_port ();
  host->ready_port = free_port ();
  host->link_port = free_port ();
  if (with_relay)
    host->link_relay = relay_new (host->link_port);
  return host;
}

static uint16_t
link_address_port (const struct kit_host *host)
{
  return host->link_relay == NULL ? host->link_port : host->link_relay->port;
}

void
kit_start_host (const struct kit_host *host, bool first_start)
{
  struct kit_host *started = &kit.hosts[host - kit.hosts];
  GPtrArray *words = g_ptr_array_new ();
  GString *seeds = g_string_new ("--seeds=");
  const char *log = g_getenv ("KIT_LOG");
  pid_t pid;

  for (int i = 0; i < MIN (kit.host_count, 3); i++)
    g_string_append_printf (seeds, "%s127.0.0.1:%u", i == 0 ? "" : ",",
                            link_address_port (&kit.hosts[i]));
  g_ptr_array_add (words, g_strdup (PROGRAM));
  g_ptr_array_add (words, g_strdup_printf ("--name=%s", host->name));
  g_ptr_array_add (words, g_strdup_printf ("--domain=%s", host->zone));
  g_ptr_array_add (words,
                   g_strdup_printf ("--front=127.0.0.1:%u", host->front_port));
  g_ptr_array_add (words,
                   g_strdup_printf ("--ready=127.0.0.1:%u", host->ready_port));
  g_ptr_array_add (words,
                   g_strdup_printf ("--link=127.0.0.1:%u", host->link_port));
  if (host->link_relay != NULL)
    g_ptr_array_add (words, g_strdup_printf ("--link-address=127.0.0.1:%u",
                                             link_address_port (host)));
  g_ptr_array_add (words, g_string_free (seeds, FALSE));
  g_ptr_array_add (words, g_strdup_printf ("--store=127.0.0.1:%u",
                                           fake_store_port (kit.store)));
  g_ptr_array_add (words, g_strdup ("--lease-ms=1000"));
  g_ptr_array_add (words, g_strdup ("--stop-ms=50"));
  g_ptr_array_add (words, g_strdup ("--resend-ms=1300"));
  g_ptr_array_add (words, g_strdup ("--grace-s=6"));
  g_ptr_array_add (words, g_strdup ("--contact-ms=3000"));
  g_ptr_array_add (words, g_strdup ("--size=0.25"));
  g_ptr_array_add (words, g_strdup ("--link-mbps=1000.0"));
  g_ptr_array_add (words, g_strdup (first_start ? "--first-start=true"
                                                : "--first-start=false"));
  g_ptr_array_add (words, NULL);
  kit_record ("start host %s in zone %s", host->name, host->zone);
  pid = fork ();
  if (pid < 0)
    kit_cannot_run ("fork failed");
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (log == NULL ? "/dev/null" : log, "a", stdout) == NULL)
        _exit (127);
      execv (PROGRAM, (char **)words->pdata);
      _exit (127);
    }
  started->pid = pid;
  g_ptr_array_set_free_func (words, g_free);
  g_ptr_array_free (words, TRUE);
}

bool
kit_is_ready (const struct kit_host *host)
{
  static const char request[]
      = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
  char answer[64] = "";
  int fd = connect_to (host->ready_port);
  bool ready;

  if (fd < 0)
    return false;
  ready = send (fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0
          && recv (fd, answer, sizeof answer - 1, 0) > 0
          && strstr (answer, " 200 ") != NULL;
  close (fd);
  return ready;
}

void
kit_start (void)
{
  for (int i = 0; i < kit.host_count; i++)
    kit_start_host (&kit.hosts[i], true);
  for (int i = 0; i < kit.host_count; i++)
    while (!kit_is_ready (&kit.hosts[i]))
      {
        if (kit_now () > READY_WAIT_MS)
          kit_cannot_run ("a host is not ready");
        g_usleep (20000);
      }
  /* Ownership settles. */
  kit_sleep_until (kit_now () + 3000);
}

void
kit_kill_host (struct kit_host *host)
{
  kit_record ("kill host %s", host->name);
  kill (host->pid, SIGKILL);
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
}

static gpointer
read_answer (gpointer data)
{
  struct kit_request *request = data;
  char text[4096];
  size_t len = 0;
  int status = -1;

  for (;;)
    {
      ssize_t n = recv (request->fd, text + len, sizeof text - 1 - len, 0);
      const char *body;

      if (n <= 0)
        break;
      len += (size_t)n;
      text[len] = '\0';
      body = strstr (text, "\r\n\r\n");
      if (body == NULL || strncmp (text, "HTTP/1.1 ", 9) != 0)
        continue;
      status = (int)strtol (text + 9, NULL, 10);
      request->answer = g_strdup (body + 4);
      break;
    }
  g_atomic_int_set (&request->status, status);
  return NULL;
}

struct kit_request *
kit_send (const struct kit_host *host, const char *method, const char *id,
          const char *body, int deadline_ms)
{
  struct kit_request *request = g_new0 (struct kit_request, 1);
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s " KIT_PREFIX "%s HTTP/1.1\r\n", method,
                          id);
  g_string_append (text, "Host: " KIT_ROUTE_HOST "\r\n"
                         "Content-Type: application/json\r\n");
  if (deadline_ms > 0)
    g_string_append_printf (text, "Deadline-Ms: %d\r\n", deadline_ms);
  g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s",
                          body == NULL ? 0 : strlen (body),
                          body == NULL ? "" : body);
  request->fd = connect_to (host->front_port);
  kit_record ("client sends %s %s to %s%s", method, id, host->name,
              request->fd < 0 ? ", no connection" : "");
  if (request->fd < 0
      || send (request->fd, text->str, text->len, MSG_NOSIGNAL) < 0)
    request->status = -1;
  else
    request->thread = g_thread_new ("client", read_answer, request);
  g_string_free (text, TRUE);
  return request;
}

void
kit_reset (struct kit_request *request)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  /* Disconnecting sends the reset at once, although the reader still uses the
   * socket. */
  setsockopt (request->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  (void)connect (request->fd, &(struct sockaddr){ .sa_family = AF_UNSPEC },
                 sizeof (struct sockaddr));
}

int
kit_wait (struct kit_request *request)
{
  if (request->thread != NULL)
    {
      g_thread_join (request->thread);
      request->thread = NULL;
      close (request->fd);
      kit_record ("answer %d %s", request->status,
                  request->answer == NULL ? "" : request->answer);
    }
  return request->status;
}

char *
kit_job_body (int tasks, int cpu_millicores, int estimate_ms, int work_ms)
{
  return g_strdup_printf (
      "{\"spec\":\"d=%d c=%d\",\"best_effort\":true,\"steps\":[{\"count\":%d,"
      "\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d}]}",
      work_ms, cpu_millicores, tasks, cpu_millicores, estimate_ms);
}
