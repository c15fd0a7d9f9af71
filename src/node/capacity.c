#include "node/capacity.h"

#include <glib.h>

/* An endpoint takes some ten starts a second. A start costs about 0.25 ms of
 * CPU time and 2.5 KB on the link, with its answer, its poll and their
 * headers; a host falls behind when either is used up. */
#define MILLICORES_PER_ENDPOINT 3.75
#define LINK_KBPS_PER_ENDPOINT 333.0
/* Up to the maximum, one pool per domain packs tasks best. Below the minimum,
 * a pool has too few endpoints for tasks that need half of one. */
#define POOL_ENDPOINTS_MIN 6U
#define POOL_ENDPOINTS_MAX 24U

uint32_t
snipe_capacity_of_host (uint32_t cpu_millicores, uint32_t link_kbps)
{
  double by_link
      = link_kbps / LINK_KBPS_PER_ENDPOINT * MILLICORES_PER_ENDPOINT;

  if (link_kbps == 0 || by_link >= cpu_millicores)
    return cpu_millicores;
  return MAX ((uint32_t)by_link, 1);
}

uint32_t
snipe_capacity_pool_endpoints (uint32_t capacity)
{
  return CLAMP ((uint32_t)(capacity / MILLICORES_PER_ENDPOINT),
                POOL_ENDPOINTS_MIN, POOL_ENDPOINTS_MAX);
}
