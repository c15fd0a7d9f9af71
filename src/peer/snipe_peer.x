/* RPC protocol between the daemons of different hosts. All times are in
 * microseconds. */

const PEER_NAME_MAX = 128;
const PEER_BODY_MAX = 4194304;
const PEER_TASKS_MAX = 256;

typedef string peer_name<PEER_NAME_MAX>;

enum peer_state { PEER_LIVE = 0, PEER_LEAVING = 1 };

/* Identity, state and free capacity of the sending host. */
struct peer_load
{
  unsigned hyper incarnation;
  peer_name name;
  /* "ip:port" of the sender's own RPC server. */
  peer_name address;
  peer_name domain;
  unsigned int capacity_weight_permille;
  peer_state state;
  unsigned hyper rules_version;
  unsigned int free_slots;
  unsigned int queued;
  unsigned int best_speed_permille;
  peer_name domains<64>;
};

enum peer_verb { PEER_SUBMIT = 0, PEER_QUERY = 1, PEER_CANCEL = 2 };

struct peer_forward
{
  peer_load from;
  unsigned hyper token;
  peer_verb verb;
  peer_name id;
  /* Whether the platform's table names the receiver as coordinator of the
   * id. */
  bool claimed;
  opaque body<PEER_BODY_MAX>;
};

struct peer_answer
{
  unsigned hyper token;
  int http_status;
  opaque body<PEER_BODY_MAX>;
};

enum peer_forward_state
{
  PEER_ANSWERED = 0,        /* the answer is in this reply */
  PEER_PENDING = 1,         /* the answer follows in a PEER_ANSWER call */
  PEER_NOT_COORDINATOR = 2  /* the receiver is not the coordinator of the id */
};

union peer_forward_reply switch (peer_forward_state state)
{
case PEER_ANSWERED:
  peer_answer answer;
default:
  void;
};

struct peer_task
{
  unsigned int index;
  peer_name kind;
  unsigned int cores;
  unsigned int mem_mb;
  unsigned int accel;
  unsigned hyper declared_duration;
  bool idempotent;
  opaque payload<PEER_BODY_MAX>;
};

struct peer_batch
{
  peer_load from;
  unsigned hyper batch;
  peer_name job;
  peer_name team;
  /* Until the job's deadline. */
  unsigned hyper time_left;
  /* Minimum speed of an endpoint for these tasks, 0: any. */
  unsigned int speed_min_permille;
  peer_task tasks<PEER_TASKS_MAX>;
};

struct peer_batch_reply
{
  peer_load load;
  /* Indexes of the tasks that were rejected and will not be started. */
  unsigned int refused<PEER_TASKS_MAX>;
};

enum peer_outcome
{
  PEER_COMPLETED = 0,
  PEER_FAILED = 1,
  PEER_NOT_RUN = 2,
  PEER_UNKNOWN = 3
};

struct peer_result
{
  unsigned int index;
  peer_outcome outcome;
  opaque result<PEER_BODY_MAX>;
};

struct peer_results
{
  peer_load from;
  unsigned hyper batch;
  peer_result results<PEER_TASKS_MAX>;
};

struct peer_rules
{
  unsigned hyper rules_version;
  opaque text<PEER_BODY_MAX>;
};

program SNIPE_PEER_PROGRAM
{
  version SNIPE_PEER_V1
  {
    peer_load PEER_HEARTBEAT (peer_load) = 1;
    peer_forward_reply PEER_FORWARD (peer_forward) = 2;
    void PEER_ANSWER (peer_answer) = 3;
    peer_batch_reply PEER_RUN_BATCH (peer_batch) = 4;
    peer_load PEER_RESULTS (peer_results) = 5;
    peer_load PEER_OFFER (peer_load) = 6;
    peer_rules PEER_GET_RULES (peer_load) = 7;
  } = 1;
} = 0x20005e1b;
