#include "stand.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../../tests/soak/checker.h"
#include "../../tests/soak/fakes.h"
#include "../../tests/soak/proxy.h"

#define ZONES 4
#define WORKERS_MAX 128
/* Overlap of two runs that no delay of the stand-ins explains. */
#define OVERLAP_MS 20
#define WORKER_CORES 64000
/* The site's traffic starts this long after its machines. */
#define LEAD_MS 10000
#define READY_MS 8000
#define PORTS_FROM 12000U
#define PORTS 18000U
/* A script that hangs ends itself. */
#define SCRIPT_S 118
#define BLOCK_BYTES 65536

struct host
{
  const char *name;
  const char *zone;
  uint16_t front_port;
  uint16_t ready_port;
  uint16_t link_port;
  uint16_t proxy_port; /**< others reach the link here; 0: directly */
  int proxy_fd;
  int cut;                   /**< atomic */
  struct proxy *store_proxy; /**< NULL: reaches the store directly */
  pid_t pid;
};

/** A connection between two hosts through the proxy of the second one. */
struct relay
{
  struct host *to;
  struct host *from; /**< NULL: not known yet */
  int fds[2];
  bool lost; /**< bytes were lost in a cut */
};

struct start
{
  char *task;
  char *worker;
  int64_t at_ms;
  int64_t ended_ms; /**< 0: it runs */
};

struct stand_request
{
  GThread *thread;
  char *method;
  char *url;
  char *body;
  char *label;
  int deadline_ms;
  struct stand_answer answer;
};

static const char *const zones[ZONES]
    = { "catania", "palermo", "siracusa", "enna" };

static struct host hosts[STAND_HOSTS] = {
  { .name = "edge-catania-1", .zone = "catania" },
  { .name = "edge-catania-2", .zone = "catania" },
  { .name = "edge-palermo-1", .zone = "palermo" },
  { .name = "edge-palermo-2", .zone = "palermo" },
  { .name = "edge-siracusa-1", .zone = "siracusa" },
  { .name = "edge-siracusa-2", .zone = "siracusa" },
  { .name = "edge-enna-1", .zone = "enna" },
};

static struct stand_options options;
static struct fake_store *store;
static int over_capacity; /* atomic */
static struct fake_endpoint *workers[WORKERS_MAX];
static int worker_count; /* atomic */
static FILE *record;
static gint64 began_us;
static bool started_before;
static GMutex lock;
static GPtrArray *starts; /* struct start */

int64_t
stand_ms (void)
{
  return (g_get_monotonic_time () - began_us) / 1000;
}

void
stand_sleep_until (int64_t ms)
{
  while (stand_ms () < ms)
    g_usleep (2000);
}

void
stand_record (const char *format, ...)
{
  va_list args;
  char text[512];
  int64_t now = stand_ms ();

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  g_mutex_lock (&lock);
  if (record != NULL)
    {
      fprintf (record, "%7.3f %s\n", (double)now / 1000, text);
      fflush (record);
    }
  g_mutex_unlock (&lock);
}

bool
stand_wants_trouble (void)
{
  return g_strcmp0 (getenv ("TROUBLE"), "0") != 0;
}

/* What the stand-in of a worker reports; see soak/checker.h. */

void
checker_run_started (const char *endpoint, const char *task, const char *spec,
                     int64_t used_millicores, int64_t capacity_millicores,
                     int64_t draining_for_ms)
{
  struct start *start = g_new0 (struct start, 1);

  (void)spec;
  (void)draining_for_ms;
  start->task = g_strdup (task);
  start->worker = g_strdup (endpoint);
  start->at_ms = stand_ms ();
  g_mutex_lock (&lock);
  g_ptr_array_add (starts, start);
  g_mutex_unlock (&lock);
  if (used_millicores > capacity_millicores)
    g_atomic_int_inc (&over_capacity);
  stand_record ("run      %s starts on %s, %" G_GINT64_FORMAT
                " of %" G_GINT64_FORMAT " cpu used%s",
                task, endpoint, used_millicores, capacity_millicores,
                used_millicores > capacity_millicores ? ", too much" : "");
}

void
checker_run_ended (const char *endpoint, const char *task, bool done)
{
  g_mutex_lock (&lock);
  for (guint i = 0; i < starts->len; i++)
    {
      struct start *start = g_ptr_array_index (starts, i);

      if (start->ended_ms == 0 && strcmp (start->task, task) == 0
          && strcmp (start->worker, endpoint) == 0)
        start->ended_ms = MAX (stand_ms (), 1);
    }
  g_mutex_unlock (&lock);
  stand_record ("run      %s ends on %s, %s", task, endpoint,
                done ? "done" : "not done");
}

void
checker_endpoint_crashed (const char *endpoint, const char *task)
{
  stand_record ("run      %s crashes %s", task, endpoint);
}

bool
checker_is_shrink_known (int64_t shrunk_at_ms)
{
  return g_get_monotonic_time () / 1000 - shrunk_at_ms
         > STAND_CONTACT_MS + STAND_HEARTBEAT_MS;
}

static bool
is_task_of (const struct start *start, const char *job)
{
  size_t len = strlen (job);

  return strncmp (start->task, job, len) == 0 && start->task[len] == '.';
}

int
stand_count_starts (const char *job, int64_t from_ms)
{
  int count = 0;

  g_mutex_lock (&lock);
  for (guint i = 0; i < starts->len; i++)
    {
      const struct start *start = g_ptr_array_index (starts, i);

      count += is_task_of (start, job) && start->at_ms >= from_ms;
    }
  g_mutex_unlock (&lock);
  return count;
}

static bool
overlap (const struct start *one, const struct start *two, int64_t now)
{
  int64_t one_end = one->ended_ms == 0 ? now : one->ended_ms;
  int64_t two_end = two->ended_ms == 0 ? now : two->ended_ms;

  return MIN (one_end, two_end) - MAX (one->at_ms, two->at_ms) >= OVERLAP_MS;
}

int
stand_count_twice (void)
{
  GHashTable *last_by_task = g_hash_table_new (g_str_hash, g_str_equal);
  GString *text = g_string_new (NULL);
  int64_t now = stand_ms ();
  int count = 0;

  g_mutex_lock (&lock);
  for (guint i = 0; i < starts->len; i++)
    {
      struct start *start = g_ptr_array_index (starts, i);
      const struct start *last
          = g_hash_table_lookup (last_by_task, start->task);

      if (last != NULL && overlap (last, start, now))
        {
          count++;
          g_string_append_printf (
              text,
              " %s: on %s from %.3f to %.3f and on %s from %.3f to %.3f;",
              start->task, last->worker, (double)last->at_ms / 1000,
              (double)last->ended_ms / 1000, start->worker,
              (double)start->at_ms / 1000, (double)start->ended_ms / 1000);
        }
      g_hash_table_replace (last_by_task, start->task, start);
    }
  g_mutex_unlock (&lock);
  stand_record ("twice   %s", text->str);
  g_string_free (text, TRUE);
  g_hash_table_destroy (last_by_task);
  return count;
}

/* Counts what ran on the worker of a start when that began. */
static int
count_beside (const struct start *start, const char *job)
{
  int count = 0;

  for (guint i = 0; i < starts->len; i++)
    {
      const struct start *other = g_ptr_array_index (starts, i);

      count += is_task_of (other, job)
               && strcmp (other->worker, start->worker) == 0
               && other->at_ms <= start->at_ms
               && (other->ended_ms == 0 || other->ended_ms > start->at_ms);
    }
  return count;
}

int
stand_most_on_one_worker (const char *job)
{
  int most = 0;

  g_mutex_lock (&lock);
  for (guint i = 0; i < starts->len; i++)
    {
      const struct start *start = g_ptr_array_index (starts, i);

      if (is_task_of (start, job))
        most = MAX (most, count_beside (start, job));
    }
  g_mutex_unlock (&lock);
  return most;
}

static gpointer
run_workers (gpointer data)
{
  (void)data;
  for (;;)
    {
      for (int i = 0; i < g_atomic_int_get (&worker_count); i++)
        fake_endpoint_tick (workers[i]);
      g_usleep (3000);
    }
  return NULL;
}

static struct sockaddr_in
loopback (uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

/* @return a socket that listens on the port, -1 if it is in use. */
static int
listen_on (uint16_t port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, 128) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Below the range from which the kernel takes ports. */
static uint16_t
free_port (int *listening_fd)
{
  static unsigned int next;

  if (next == 0)
    next = (unsigned int)getpid () * 41;
  for (;;)
    {
      uint16_t port = (uint16_t)(PORTS_FROM + next++ % PORTS);
      int fd = listen_on (port);

      if (fd < 0)
        continue;
      if (listening_fd != NULL)
        *listening_fd = fd;
      else
        close (fd);
      return port;
    }
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* The first message on a connection names the host that has opened it. */
static struct host *
find_sender (const char *data, size_t len)
{
  for (int i = 0; i < STAND_HOSTS; i++)
    if (memmem (data, len, hosts[i].name, strlen (hosts[i].name)) != NULL)
      return &hosts[i];
  return NULL;
}

static bool
is_cut (const struct relay *relay)
{
  return g_atomic_int_get (&relay->to->cut)
         || (relay->from != NULL && g_atomic_int_get (&relay->from->cut));
}

static bool
send_all (int fd, const char *data, ssize_t len)
{
  ssize_t sent = 0;

  while (sent < len)
    {
      ssize_t n = send (fd, data + sent, (size_t)(len - sent), MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      sent += n;
    }
  return true;
}

/* Forwards a block from one side to the other; in a cut, when that is over.
 * @return whether the connection stays open */
static bool
forward (struct relay *relay, int side, char *block)
{
  ssize_t len = recv (relay->fds[side], block, BLOCK_BYTES, 0);

  if (len <= 0)
    return false;
  if (side == 0 && relay->from == NULL)
    relay->from = find_sender (block, (size_t)len);
  if (is_cut (relay) && options.cuts_lose)
    {
      relay->lost = true;
      return true;
    }
  while (is_cut (relay))
    g_usleep (5000);
  return send_all (relay->fds[1 - side], block, len);
}

static gpointer
run_relay (gpointer data)
{
  struct relay *relay = data;
  char *block = g_malloc (BLOCK_BYTES);
  bool open = relay->fds[1] >= 0;

  while (open)
    {
      struct pollfd fds[2] = { { .fd = relay->fds[0], .events = POLLIN },
                               { .fd = relay->fds[1], .events = POLLIN } };

      if (relay->from != NULL && is_cut (relay) && !options.cuts_lose)
        {
          g_usleep (5000);
          continue;
        }
      /* The sender's bytes cannot arrive any more. */
      if (relay->lost && !is_cut (relay))
        break;
      if (poll (fds, 2, 20) <= 0)
        continue;
      for (int i = 0; i < 2 && open; i++)
        if (fds[i].revents != 0)
          open = forward (relay, i, block);
    }
  for (int i = 0; i < 2; i++)
    if (relay->fds[i] >= 0)
      close (relay->fds[i]);
  g_free (block);
  g_free (relay);
  return NULL;
}

static gpointer
run_proxy (gpointer data)
{
  struct host *host = data;

  for (;;)
    {
      int fd = accept4 (host->proxy_fd, NULL, NULL, SOCK_CLOEXEC);
      struct relay *relay;
      int one = 1;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      relay = g_new0 (struct relay, 1);
      relay->to = host;
      relay->fds[0] = fd;
      relay->fds[1] = connect_to (host->link_port);
      g_thread_unref (g_thread_new ("relay", run_relay, relay));
    }
  return NULL;
}

static uint16_t
reached_at (const struct host *host)
{
  return host->proxy_port != 0 ? host->proxy_port : host->link_port;
}

/* The arguments of the deploy file; --link-address only beside proxies. */
static GPtrArray *
host_arguments (const struct host *host)
{
  GPtrArray *args = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (args, g_strdup (options.program));
  g_ptr_array_add (args, g_strdup_printf ("--name=%s", host->name));
  g_ptr_array_add (args, g_strdup_printf ("--domain=%s", host->zone));
  g_ptr_array_add (args,
                   g_strdup_printf ("--front=127.0.0.1:%u", host->front_port));
  g_ptr_array_add (args,
                   g_strdup_printf ("--ready=127.0.0.1:%u", host->ready_port));
  g_ptr_array_add (args,
                   g_strdup_printf ("--link=127.0.0.1:%u", host->link_port));
  if (host->proxy_port != 0)
    g_ptr_array_add (args, g_strdup_printf ("--link-address=127.0.0.1:%u",
                                            host->proxy_port));
  g_ptr_array_add (
      args, g_strdup_printf ("--seeds=127.0.0.1:%u,127.0.0.1:%u,127.0.0.1:%u",
                             reached_at (&hosts[STAND_CATANIA_1]),
                             reached_at (&hosts[STAND_PALERMO_1]),
                             reached_at (&hosts[STAND_SIRACUSA_1])));
  g_ptr_array_add (args, g_strdup_printf ("--store=127.0.0.1:%u",
                                          host->store_proxy != NULL
                                              ? proxy_port (host->store_proxy)
                                              : fake_store_port (store)));
  g_ptr_array_add (args, g_strdup ("--lease-ms=1000"));
  g_ptr_array_add (args, g_strdup ("--stop-ms=50"));
  g_ptr_array_add (args, g_strdup ("--resend-ms=1300"));
  g_ptr_array_add (args, g_strdup ("--grace-s=6"));
  g_ptr_array_add (args, g_strdup ("--contact-ms=3000"));
  g_ptr_array_add (args, g_strdup ("--size=0.25"));
  g_ptr_array_add (args, g_strdup ("--link-mbps=1000"));
  g_ptr_array_add (args, g_strdup_printf ("--first-start=%s",
                                          started_before ? "false" : "true"));
  g_ptr_array_add (args, NULL);
  return args;
}

static void
start_host (struct host *host)
{
  GPtrArray *args = host_arguments (host);
  char *log = g_strdup_printf ("%s/%s.log", options.folder, host->name);
  pid_t parent = getpid ();

  host->pid = fork ();
  if (host->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

      /* Ends with the script, however that ends. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent || fd < 0)
        _exit (127);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execv (options.program, (char **)args->pdata);
      _exit (127);
    }
  stand_record ("host     %s starts", host->name);
  g_free (log);
  g_ptr_array_free (args, TRUE);
}

void
stand_host_kill (int host)
{
  stand_record ("trouble  %s gets SIGKILL", hosts[host].name);
  kill (hosts[host].pid, SIGKILL);
  waitpid (hosts[host].pid, NULL, 0);
  hosts[host].pid = 0;
}

void
stand_host_restart (int host)
{
  start_host (&hosts[host]);
}

void
stand_host_cut (int host, bool cut)
{
  stand_record ("trouble  %s %s all other hosts", hosts[host].name,
                cut ? "is cut off from" : "is connected again to");
  g_atomic_int_set (&hosts[host].cut, cut);
}

void
stand_store_cut (int host, bool cut)
{
  stand_record ("trouble  %s %s the store", hosts[host].name,
                cut ? "is cut off from" : "is connected again to");
  proxy_set_mode (hosts[host].store_proxy,
                  cut ? PROXY_DROP_FROM_CLIENT : PROXY_FORWARD, 0);
}

void
stand_store_turn_away (bool away)
{
  stand_record ("trouble  the store %s %s",
                away ? "turns away" : "serves again",
                hosts[STAND_ENNA_1].name);
  proxy_set_mode (hosts[STAND_ENNA_1].store_proxy,
                  away ? PROXY_RESET : PROXY_FORWARD, 0);
}

void
stand_worker_resize (const char *zone, double share)
{
  for (int i = 0; i < ZONES; i++)
    if (strcmp (zones[i], zone) == 0)
      {
        stand_record ("trouble  giro-%s-1 reports %.2f of its capacity", zone,
                      share);
        fake_endpoint_resize (workers[i * options.workers_per_zone], share);
      }
}

int
stand_starts_over_capacity (void)
{
  return g_atomic_int_get (&over_capacity);
}

static void
write_config (void)
{
  json_t *config = json_pack (
      "{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:f, s:I, s:i}], s:[{s:s, "
      "s:b}], s:{}}",
      "version", 3, "routes", "name", "offer-log", "host", "giro.example",
      "path_prefix", "/offer/", "service", "work", "priority", 1, "attempts",
      3, "slack_factor", 1.6, "slo_ms", (json_int_t)options.slo_ms,
      "timeout_ms", 30000, "services", "name", "work", "rejects_overload", 0,
      "limits");

  fake_store_put (store, "op", "config", config);
  json_decref (config);
}

static void
add_worker (const char *zone, int number)
{
  char id[32];
  char address[32];
  struct fake_endpoint *worker;

  snprintf (id, sizeof id, "giro-%s-%d", zone, number);
  worker = fake_endpoint_new (store, id, zone, WORKER_CORES, 1.0);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            fake_endpoint_port (worker));
  fake_endpoint_list (worker, address);
  workers[worker_count] = worker;
  g_atomic_int_inc (&worker_count);
}

void
stand_worker_add (const char *zone)
{
  stand_record ("trouble  giro-%s-%d joins", zone, worker_count + 1);
  add_worker (zone, worker_count + 1);
}

static void
add_workers (void)
{
  for (int zone = 0; zone < ZONES; zone++)
    for (int i = 0; i < options.workers_per_zone; i++)
      add_worker (zones[zone], i + 1);
  g_thread_unref (g_thread_new ("workers", run_workers, NULL));
}

static size_t
on_body (char *data, size_t size, size_t count, void *ctx)
{
  struct stand_answer *answer = ctx;
  size_t used = strlen (answer->body);
  size_t len = MIN (size * count, sizeof answer->body - 1 - used);

  memcpy (answer->body + used, data, len);
  return size * count;
}

/* A host that is started later must not inherit a client's connection. */
static curl_socket_t
open_socket (void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
  (void)ctx;
  (void)purpose;
  return socket (address->family, address->socktype | SOCK_CLOEXEC,
                 address->protocol);
}

static gpointer
run_request (gpointer data)
{
  struct stand_request *request = data;
  struct stand_answer *answer = &request->answer;
  struct curl_slist *headers = NULL;
  CURL *curl = curl_easy_init ();
  char deadline[48];
  long status = 0;

  snprintf (deadline, sizeof deadline, "Deadline-Ms: %d",
            request->deadline_ms);
  headers = curl_slist_append (headers, "Host: giro.example");
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, deadline);
  curl_easy_setopt (curl, CURLOPT_URL, request->url);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, request->method);
  if (request->body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)request->deadline_ms);
  curl_easy_setopt (curl, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  answer->sent_ms = stand_ms ();
  if (request->label != NULL)
    stand_record ("sent     %s %s", request->label,
                  request->body == NULL ? "" : request->body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  answer->status = (int)status;
  answer->ended_ms = stand_ms ();
  if (request->label != NULL)
    stand_record ("answered %s %d %s", request->label, answer->status,
                  answer->body);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return NULL;
}

char *
stand_job (int count, int cpu, int duration_ms, const char *extra)
{
  return g_strdup_printf (
      "{\"spec\":\"d=%d c=%d\",\"best_effort\":true,\"steps\":[{\"count\":%d,"
      "\"cpu\":%d,\"mem_mb\":64,\"estimate_ms\":%d%s}]}",
      duration_ms, cpu, count, cpu, duration_ms, extra);
}

struct stand_request *
stand_send (int host, const char *method, const char *job, const char *body,
            int deadline_ms)
{
  struct stand_request *request = g_new0 (struct stand_request, 1);

  request->method = g_strdup (method);
  request->url = g_strdup_printf ("http://127.0.0.1:%u/offer/%s",
                                  hosts[host].front_port, job);
  request->body = g_strdup (body);
  request->label
      = g_strdup_printf ("%s %s at %s", method, job, hosts[host].name);
  request->deadline_ms = deadline_ms;
  request->thread = g_thread_new ("client", run_request, request);
  return request;
}

struct stand_answer
stand_wait (struct stand_request *request)
{
  struct stand_answer answer;

  g_thread_join (request->thread);
  answer = request->answer;
  g_free (request->method);
  g_free (request->url);
  g_free (request->body);
  g_free (request->label);
  g_free (request);
  return answer;
}

static bool
is_ready (const struct host *host)
{
  struct stand_request request
      = { .method = (char *)"GET", .deadline_ms = 1000 };

  request.url = g_strdup_printf ("http://127.0.0.1:%u/api/readiness",
                                 host->ready_port);
  run_request (&request);
  g_free (request.url);
  return request.answer.status == 200;
}

bool
stand_start (const struct stand_options *wanted)
{
  char *path = g_strdup_printf ("%s/record.txt", wanted->folder);

  began_us = g_get_monotonic_time ();
  options = *wanted;
  starts = g_ptr_array_new ();
  record = fopen (path, "we");
  g_free (path);
  signal (SIGPIPE, SIG_IGN);
  alarm (SCRIPT_S);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (record == NULL || access (options.program, X_OK) != 0)
    return false;
  store = fake_store_new ();
  for (int i = 0; i < STAND_HOSTS; i++)
    if (options.cuts_lose || (options.store_proxy && i == STAND_ENNA_1))
      hosts[i].store_proxy = proxy_new (fake_store_port (store));
  write_config ();
  add_workers ();
  for (int i = 0; i < STAND_HOSTS; i++)
    {
      char *log = g_strdup_printf ("%s/%s.log", options.folder, hosts[i].name);

      unlink (log);
      g_free (log);
      hosts[i].front_port = free_port (NULL);
      hosts[i].ready_port = free_port (NULL);
      hosts[i].link_port = free_port (NULL);
      if (!options.cuts)
        continue;
      hosts[i].proxy_port = free_port (&hosts[i].proxy_fd);
      g_thread_unref (g_thread_new ("proxy", run_proxy, &hosts[i]));
    }
  for (int i = 0; i < STAND_HOSTS; i++)
    start_host (&hosts[i]);
  started_before = true;
  for (int i = 0; i < STAND_HOSTS; i++)
    while (!is_ready (&hosts[i]))
      {
        if (stand_ms () > READY_MS)
          return false;
        g_usleep (50000);
      }
  stand_sleep_until (LEAD_MS);
  return true;
}

void
stand_end (void)
{
  for (int i = 0; i < STAND_HOSTS; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
        hosts[i].pid = 0;
      }
}
