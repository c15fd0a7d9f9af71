/*
 * Messages between the hosts that dispatch by pools. Every procedure is a
 * batched call (RFC 5531, section 8.4): it has no reply; a response is a
 * separate call in the other direction. Times are relative to the moment of
 * sending, in milliseconds, because monotonic clocks of different hosts cannot
 * be compared.
 */

const LINK_NAME_MAX_BYTES = 200;
const LINK_SPEC_MAX_BYTES = 65536;
const LINK_TASKS_MAX = 4096;
const LINK_POOLS_MAX = 256;
const LINK_ENDPOINTS_MAX = 4096;
const LINK_LOSSES_MAX = 64;
const LINK_URGENCY_CLASSES_MAX = 16;
const LINK_STORE_DATA_MAX_BYTES = 2097152;

typedef string link_name<LINK_NAME_MAX_BYTES>;

struct link_pool
{
  link_name service;
  link_name domain;
  unsigned int shard;
  unsigned int shards;
};

struct link_claim
{
  link_pool pool;
  unsigned hyper token;
};

/* Also the first message on a new connection, which identifies the sender. */
struct link_heartbeat
{
  unsigned hyper incarnation;
  /* Monotonic clock of the sender. */
  hyper sent_us;
  /* Time before the moment of sending up to which the sender has handled all
   * that its callers sent, and has sent what follows from it. */
  unsigned int unhandled_us;
  link_name name;
  link_name address;
  link_name domain;
  unsigned int cpu_millicores;
  bool leaving;
  unsigned hyper config_version;
  unsigned hyper store_version;
  /* Time since the sender last received a message from the receiver. */
  unsigned int since_last_received_ms;
  /* Longest time until the sender's next message. */
  unsigned int heartbeat_interval_ms;
  /* How often the sender has declared the receiver, with its tasks, lost. */
  unsigned int loss_count;
  /* Age of the sender's list of endpoints. */
  unsigned int list_age_ms;
  /* Shortest time between the sending of a heartbeat by the receiver and its
   * arrival here, as the difference of the two clocks. 0: unknown. */
  hyper transit_us;
  link_claim claims<LINK_POOLS_MAX>;
};

/* Load of a pool at the moment of sending. */
struct link_load
{
  unsigned hyper incarnation;
  link_pool pool;
  unsigned hyper token;
  /* Free cores of each usable endpoint, in thousandths. */
  unsigned int free_cpu<LINK_ENDPOINTS_MAX>;
  /* Cores of all usable endpoints, in thousandths. */
  unsigned hyper total_cpu;
  /* Queued tasks: thousandths of cores times milliseconds. */
  unsigned hyper backlog;
  /* Digest of the ids of the pool's endpoints. */
  unsigned hyper endpoint_digest;
  /* Actual over estimated duration of recent tasks, in thousandths. */
  unsigned int slowdown_permille;
};

/* What waits in a pool and would give way to more urgent jobs, at the moment of
 * sending. Sent after the load. */
struct link_waiting
{
  unsigned hyper incarnation;
  link_pool pool;
  unsigned hyper token;
  /* By class of urgency, the most urgent first: thousandths of cores times
   * milliseconds. */
  unsigned hyper work<LINK_URGENCY_CLASSES_MAX>;
};

/* Tasks of one job for the owner of a pool. */
struct link_batch
{
  /* Incarnation of the host that accepted the job. */
  unsigned hyper coordinator;
  unsigned hyper number;
  hyper sent_us;
  /* As in a heartbeat. */
  unsigned int unhandled_us;
  link_pool pool;
  link_name job;
  unsigned int step;
  link_name route;
  opaque spec<LINK_SPEC_MAX_BYTES>;
  unsigned int indexes<LINK_TASKS_MAX>;
  unsigned int cpu;
  unsigned int mem_mb;
  unsigned int gpu;
  link_name label;
  link_name rack;
  unsigned int max_per_endpoint;
  unsigned int priority;
  unsigned int attempts;
  unsigned int estimate_ms;
  int soft_deadline_ms;
  int hard_deadline_ms;
  int caller_deadline_ms;
  /* The tasks may already run under an earlier owner of the pool. */
  bool resent;
  /* Number of the sending. The pool may decline the first one if it cannot
   * start all tasks at once; a batch that it may not decline begins with the
   * second. */
  unsigned int attempt;
  /* If resent: digest of the ids of the endpoints that the earlier owner used
   * last, 0 if unknown. */
  unsigned hyper endpoint_digest;
  /* The tasks are slower if they run in several racks. */
  bool group;
};

struct link_result
{
  unsigned hyper coordinator;
  unsigned hyper number;
  /* Value of the batch that this result belongs to. */
  unsigned int attempt;
  /* enum snipe_task_outcome, one for each index of the batch. */
  unsigned int outcomes<LINK_TASKS_MAX>;
  /* Status code of the first task that did not succeed, 0 if all did. */
  int code;
  unsigned int retry_after_ms;
};

struct link_cancel
{
  unsigned hyper coordinator;
  unsigned hyper number;
};

/* Names a batch. */
struct link_batch_id
{
  unsigned hyper coordinator;
  unsigned hyper number;
};

struct link_cancel_job
{
  link_name job;
};

/* An endpoint is draining. Told to the owner of its pool, which may be unable
 * to reach the store. */
struct link_drain
{
  link_pool pool;
  link_name endpoint;
  /* Start time of the endpoint's incarnation, Unix time; 0 if unknown. */
  hyper started_ms;
};

/* Changes of the list of endpoints between two versions of the store. */
struct link_endpoint_changes
{
  /* Monotonic clock of the sender. */
  hyper sent_us;
  unsigned hyper after_version;
  unsigned hyper new_version;
  /* In the platform's encoding. */
  opaque rows<LINK_STORE_DATA_MAX_BYTES>;
};

/* A pool and a digest of what the sender's list says of its endpoints. */
struct link_listed_pool
{
  link_pool pool;
  unsigned hyper digest;
};

/* Asks for the entries of pools by the receiver's list, because that of the
 * sender is old. */
struct link_list_request
{
  link_listed_pool pools<LINK_POOLS_MAX>;
};

struct link_endpoint
{
  link_name id;
  link_name address;
  link_name kind;
  link_name rack;
  /* Start time of its incarnation, Unix time; 0 if unknown. */
  hyper started_ms;
  /* Version of the store at which the endpoint wrote the entry. */
  unsigned hyper entry_version;
  hyper cpu;
  hyper mem_mb;
  hyper gpu;
  bool draining;
};

/* A pool by the sender's list: its endpoints, none if the digest in the request
 * is that of the list. */
struct link_pool_list
{
  link_pool pool;
  link_endpoint endpoints<LINK_ENDPOINTS_MAX>;
};

/* Answer to a request for the list. */
struct link_list
{
  /* Monotonic clock of the sender. */
  hyper sent_us;
  /* Age of the sender's list. */
  unsigned int age_ms;
  /* The requested ones. */
  link_pool_list pools<LINK_POOLS_MAX>;
};

/* A run of a task was lost with its endpoint. */
struct link_loss
{
  link_name task;
  unsigned int run;
  link_name endpoint;
  /* Start time of the endpoint's incarnation, Unix time; 0 if unknown. */
  hyper started_ms;
  /* enum snipe_loss_kind */
  unsigned int kind;
};

struct link_losses
{
  link_loss losses<LINK_LOSSES_MAX>;
};

/* Asks for the configuration if it is newer than have_version. */
struct link_config_request
{
  unsigned hyper have_version;
};

/* Whether a failure domain is evacuated: nothing may be started there. */
struct link_evacuation
{
  link_name domain;
  bool evacuated;
  /* Version of the store at which this was so. */
  unsigned hyper store_version;
};

/* Configuration in the encoding of the store. */
struct link_config
{
  unsigned hyper config_version;
  unsigned hyper store_version;
  opaque config<LINK_STORE_DATA_MAX_BYTES>;
};

program SNIPE_LINK
{
  version SNIPE_LINK_V1
  {
    void LINK_SEND_HEARTBEAT (link_heartbeat) = 1;
    void LINK_SEND_LOAD (link_load) = 2;
    void LINK_SEND_BATCH (link_batch) = 3;
    void LINK_SEND_RESULT (link_result) = 4;
    void LINK_SEND_CANCEL (link_cancel) = 5;
    void LINK_SEND_CANCEL_JOB (link_cancel_job) = 6;
    void LINK_SEND_CONFIG_REQUEST (link_config_request) = 7;
    void LINK_SEND_CONFIG (link_config) = 8;
    void LINK_SEND_DRAIN (link_drain) = 9;
    void LINK_SEND_ENDPOINT_CHANGES (link_endpoint_changes) = 10;
    void LINK_SEND_LOSSES (link_losses) = 11;
    void LINK_SEND_LIST_REQUEST (link_list_request) = 12;
    void LINK_SEND_LIST (link_list) = 13;
    void LINK_SEND_EVACUATION (link_evacuation) = 14;
    /* Of which nothing is started before a commit. */
    void LINK_SEND_HELD_BATCH (link_batch) = 15;
    /* The owner of a pool keeps room for a held batch. */
    void LINK_SEND_GRANT (link_batch_id) = 16;
    /* All batches of the job have room. */
    void LINK_SEND_COMMIT (link_batch_id) = 17;
    /* Not understood by hosts of earlier versions. */
    void LINK_SEND_WAITING (link_waiting) = 18;
  } = 1;
} = 0x20534e4c;
