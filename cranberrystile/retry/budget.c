#include "cranberrystile/retry.h"

void
cs_retry_budget_init (cs_retry_budget_t *budget, double ratio, double start,
                      double most)
{
  budget->ratio = ratio;
  budget->balance = start;
  budget->most = most;
}

void
cs_retry_budget_first_try (cs_retry_budget_t *budget)
{
  budget->balance += budget->ratio;
  if (budget->balance > budget->most)
    budget->balance = budget->most;
}

bool
cs_retry_budget_take (cs_retry_budget_t *budget)
{
  if (budget->balance < 1.0)
    return false;
  budget->balance -= 1.0;
  return true;
}
