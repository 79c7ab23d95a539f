#include "cranberrystile/retry.h"

void
cs_retry_budget_init (cs_retry_budget_t *budget, double ratio,
                      double initial_balance, double max_balance)
{
  budget->ratio = ratio;
  budget->balance = initial_balance;
  budget->max_balance = max_balance;
}

void
cs_retry_budget_first_attempt (cs_retry_budget_t *budget)
{
  budget->balance += budget->ratio;
  if (budget->balance > budget->max_balance)
    budget->balance = budget->max_balance;
}

bool
cs_retry_budget_take (cs_retry_budget_t *budget)
{
  if (budget->balance < 1.0)
    return false;
  budget->balance -= 1.0;
  return true;
}
